"""Many hosts free of I/O, with engines that a part of a prompt crashes."""

import collections
import heapq
import itertools
import random

import attrs

from godwitglade.coordination import effects as shared_effects
from godwitglade.coordination import hosts
from godwitglade.coordination import members
from godwitglade.coordination import messages as shared_messages
from godwitglade.routing import documents
from godwitglade.routing import effects
from godwitglade.routing import host as routing_host
from godwitglade.routing import messages
from godwitglade.routing import targets
from godwitglade.targets import processes
from tests.routing import builders

CONTACT_MS = 3_000
CRASH_AFTER_MS = 80
LATENCY_MS = (1, 4)
#: Time after which the hosts know of a target that has started or ended.
LIST_DELAY_MS = (200, 500)
EXPIRY_MS = 1_200
PROCESS_START_MS = 1_000
DRAIN_MS = 2_000
#: Time after which a connection that is not established fails.
CONNECT_MS = 500
ROUTE = builders.route(
    documents.RequestKind.STREAM,
    timeout_ms=6_000,
    pools=(documents.WeightedPool('engine'),),
    has_prompt=True,
)
RESUMABLE = attrs.evolve(
    ROUTE, name='resumable', prefix='/b/', is_resumable=True, max_targets=3
)
WITHOUT_PROMPT = attrs.evolve(
    ROUTE, name='without prompt', prefix='/c/', has_prompt=False
)


@attrs.define(eq=False)
class Engine:
    """An engine with the calls that run on it.

    ``told_ms`` is when each process of a host passed on a response that named
    the limit; ``arrivals`` are times with the process that sent.
    """

    name: str
    version: str = 'v1'
    started_ms: int = 0
    calls: dict = attrs.field(factory=dict)
    is_alive: bool = True
    limit: targets.NamedLimit | None = None
    named_ms: int | None = None
    told_ms: dict = attrs.field(factory=dict)
    brittle: int | None = None
    room: int = 1_000
    turned_away_ms: list = attrs.field(factory=list)
    falls_ms: list = attrs.field(factory=list)
    says_start: bool = True
    arrivals: list = attrs.field(factory=list)
    notice: targets.Notice = targets.Notice()

    @property
    def named(self):
        """Return what it names in its responses, None for nothing."""
        if self.brittle is None:
            return self.limit
        return targets.NamedLimit(1_000 * self.brittle, is_adaptive=True)

    def name_limit(self, milli_per_s, now_ms):
        """Name a limit from now on."""
        self.limit = targets.NamedLimit(milli_per_s)
        self.named_ms = now_ms if self.named_ms is None else self.named_ms

    @property
    def listed(self):
        """Return the entry of the list of targets."""
        return builders.listed(
            self.name,
            'engine',
            slots=48,
            version=self.version,
            started_ms=self.started_ms,
        )


@attrs.define(eq=False)
class Node:
    """A host; ``in_touch_ms`` is the time from which rules bind it."""

    name: str
    address: str
    host: routing_host.Host | None = None
    incarnation: int = 0
    in_touch_ms: int = 0


@attrs.define(eq=False)
class Attempt:
    """A request with the parts of its prompt, and when it began.

    ``versions`` are those of the engines whose events its caller has.
    """

    parts: tuple
    sent_ms: int
    name: str = ''
    host_name: str = ''
    versions: set = attrs.field(factory=set)
    is_ended: bool = False
    handed_from: tuple | None = None
    begun_ms: int | None = None
    status: int | None = None
    retry_after_ms: int | None = None
    return_of: 'Attempt | None' = None
    arrivals_ms: list = attrs.field(factory=list)


class Fleet:
    """Hosts, engines and callers with a virtual clock.

    A request with a part in ``bad_parts`` ends the process of each engine
    that begins to answer it. The last part is also that of its body. Engines
    fail ``failing_share`` of the requests at once.
    """

    settings = routing_host.Settings()
    document = builders.document(ROUTE, RESUMABLE, WITHOUT_PROMPT)

    def __init__(self, seed, host_count=9, engine_count=6):
        self.rng = random.Random(seed)
        self.now_ms = 0
        self.bad_parts = set()
        self.crashes_ms = {}
        self.attempts = []
        self.engines = []
        self.lost_share = 0.0
        self.failing_share = 0.0
        self.breaking_share = 0.0
        self.on_broken = lambda attempt: None
        self.cut_names = frozenset()
        self.unreaching = {}
        self.handed_over = []
        self._hung = {}
        self._held = {}
        self._confirmed = set()
        self._taken = {}
        self._arrived = {}
        self.store_is_down = False
        self.on_refused = lambda attempt: None
        self.rows = {}
        self.stream_rows = {}
        self.stream_writes = 0
        self.sent_bodies = collections.Counter()
        self._events = []
        self._numbers = itertools.count(1)
        self._reply_tokens = {}
        self._open = {}
        for _ in range(engine_count):
            self.start_engine()
        self.nodes = {
            f'h{n}': Node(f'h{n}', f'10.0.1.{n}:1') for n in range(host_count)
        }
        for node in self.nodes.values():
            self.start(node)

    def at(self, due_ms, function, *args):
        """Call a function at a time."""
        event = (due_ms, next(self._numbers), function, args)
        heapq.heappush(self._events, event)

    def run(self, duration_ms):
        """Advance the clock."""
        end_ms = self.now_ms + duration_ms
        while self._events and self._events[0][0] <= end_ms:
            self.now_ms, _, function, args = heapq.heappop(self._events)
            function(*args)
        self.now_ms = end_ms

    def _later(self, function, *args, span_ms=LATENCY_MS):
        self.at(self.now_ms + self.rng.randint(*span_ms), function, *args)

    # Hosts

    def start(self, node):
        """Start the process of a host."""
        node.incarnation += 1
        node.in_touch_ms = self.now_ms + CONTACT_MS if self.now_ms else 0
        zone = f'z{int(node.name[1:]) % 3}'
        components = routing_host.make_components(
            hosts.HostId(node.name, zone, node.incarnation),
            node.address,
            random.Random(self.rng.getrandbits(64)),
            self.settings,
        )
        node.host = routing_host.Host(components)
        self._post(node, messages.DocumentRead(self.document, self.now_ms))
        entries = tuple(
            members.HostEntry(
                n.name,
                f'z{int(n.name[1:]) % 3}',
                n.address,
                hand_over_address=f'{n.address}1',
            )
            for n in self.nodes.values()
        )
        self._post(node, messages.HostsRead(entries))
        listed = tuple(e.listed for e in self.engines if e.is_alive)
        self._post(node, messages.TargetsRead(listed, 1))
        if not self.store_is_down:
            rows = tuple(self.rows.values())
            self._post(node, messages.QuarantineRead(rows, (), True))
            stream_rows = tuple(self.stream_rows.values())
            self._post(node, messages.StreamsRead(stream_rows))
        self._carry_out(node, node.host.start(self.now_ms))

    def restart(self, names):
        """Kill processes, and start them again after a second."""
        for name in names:
            node = self.nodes[name]
            node.host = None
            self.at(self.now_ms + PROCESS_START_MS, self.start, node)
        lost = [
            attempt
            for attempt in self._open.values()
            if attempt.host_name in names and not attempt.is_ended
        ]
        for attempt in lost:
            self._break(attempt)

    def _post(self, node, message):
        if node.host is not None:
            self._carry_out(node, node.host.handle(message, self.now_ms))

    def _post_to(self, node, incarnation, message):
        if node.incarnation == incarnation:
            self._post(node, message)

    def _carry_out(self, node, new_effects):
        for effect in new_effects:
            handler = self._HANDLERS.get(type(effect))
            if handler is not None:
                handler(self, node, effect)

    def _start_timer(self, node, effect):
        message = shared_messages.TimerFired(effect.token)
        due_ms = max(self.now_ms, effect.due_ms)
        self.at(due_ms, self._post_to, node, node.incarnation, message)

    def _send_peer(self, node, effect):
        receiver = next(
            n for n in self.nodes.values() if n.address == effect.address
        )
        self.sent_bodies[type(effect.body)] += 1
        is_cut = (receiver.name in self.cut_names) != (
            node.name in self.cut_names
        )
        if is_cut or self.rng.random() < self.lost_share:
            reply = shared_messages.PeerReply(effect.token, None)
            self.at(
                self.now_ms + effect.timeout_ms,
                self._post_to,
                node,
                node.incarnation,
                reply,
            )
            return
        token = f'reply{next(self._numbers)}'
        self._reply_tokens[token] = (node, node.incarnation, effect.token)
        sender = node.host.components.members.table.own.host
        message = shared_messages.PeerMessage(sender, effect.body, token)
        self._later(self._post, receiver, message)

    def _reply_peer(self, _node, effect):
        node, incarnation, token = self._reply_tokens.pop(effect.reply_token)
        reply = shared_messages.PeerReply(token, effect.body)
        self._later(self._post_to, node, incarnation, reply)

    def _confirm_targets(self, node, _effect):
        """Let the store answer that nothing has changed."""
        unchanged = messages.TargetsChanged(
            (), (), 1, read_from_ms=self.now_ms
        )
        self._later(self._post_to, node, node.incarnation, unchanged)

    def _write_row(self, _node, effect):
        if self.store_is_down:
            return
        row = messages.QuarantineRow(effect.trait, effect.crashes)
        self.rows[effect.trait] = row
        self._tell_all(messages.QuarantineRead((row,)))

    def _remove_row(self, _node, effect):
        if self.store_is_down:
            return
        self.rows.pop(effect.trait, None)
        self._tell_all(messages.QuarantineRead((), (effect.trait,)))

    def _write_streams(self, node, effect):
        self.stream_writes += 1
        if not self.store_is_down:
            row = messages.StreamsRow(
                effect.versions,
                effect.streams,
                host=node.name,
                ages_ms=effect.ages_ms,
            )
            self.stream_rows[node.name] = row
        self._report_row(node)

    def _remove_streams(self, node, _effect):
        self.stream_rows.pop(node.name, None)
        self._report_row(node)

    def _report_row(self, node):
        written = messages.StreamsRowWritten(not self.store_is_down)
        self._later(self._post, node, written)

    def _tell_all(self, message):
        for node in self.nodes.values():
            self._later(self._post, node, message)

    # Engines

    def start_engine(self, version='v1'):
        """Start an engine under a new name."""
        name = f'e{len(self.engines)}'
        engine = Engine(name, version, self.now_ms + 1)
        self.engines.append(engine)
        self._tell_later(messages.TargetsChanged((engine.listed,), (), 1))

    def restart_engine(self, engine, version):
        """Start an engine again under its name, soon after it ended."""
        self.end_engine(engine, is_replaced=False)
        back_ms = self.now_ms + self.rng.randint(1_000, 2_000)
        self.at(back_ms, self._start_again, engine, version)

    def replace_engine(self, engine, version):
        """Start an engine again under its name as soon as it has ended."""
        self._break_calls(engine)
        self._start_again(engine, version)

    def _start_again(self, engine, version):
        engine.is_alive = True
        engine.version, engine.started_ms = version, self.now_ms + 1
        self._tell_later(messages.TargetsChanged((engine.listed,), (), 1))

    def drain_engine(self, engine):
        """Let an engine leave, which serves on for a while."""
        listed = attrs.evolve(engine.listed, is_leaving=True)
        self._tell_later(messages.TargetsChanged((listed,), (), 1))
        self.at(self.now_ms + DRAIN_MS, self.end_engine, engine, False)

    def _tell_later(self, message, extra_ms=0):
        for node in getattr(self, 'nodes', {}).values():
            delay_ms = extra_ms + self.rng.randint(*LIST_DELAY_MS)
            self.at(self.now_ms + delay_ms, self._post, node, message)

    def end_engine(self, engine, is_replaced=True):
        """End the process of an engine; another one may start later."""
        if not engine.is_alive:
            return
        engine.is_alive = False
        self._break_calls(engine)
        removed = messages.TargetsChanged((), (engine.name,), 1)
        self._tell_later(removed, EXPIRY_MS)
        if not is_replaced:
            return
        back_ms = self.now_ms + self.rng.randint(2_000, 4_000)
        self.at(back_ms, self.start_engine)

    def _break_calls(self, engine):
        """Break the connections of the calls at an engine."""
        for node, incarnation, effect, _ in engine.calls.values():
            attempt = self._open[effect.request_id]
            broken = messages.StreamBroken(
                effect.request_id,
                effect.call,
                attempt.begun_ms is not None,
                'lost',
                is_target_gone=True,
            )
            self._later(self._post_to, node, incarnation, broken)
        engine.calls.clear()

    def cut_from_engines(self, names, how):
        """Cut hosts off from all engines.

        Their connections ``hang``, are ``refused`` or ``reset`` once they
        are established, or the ``kept`` ones live on while new ones are
        refused.
        """
        self.unreaching = dict.fromkeys(names, how)
        for engine in self.engines:
            for key, call in list(engine.calls.items()):
                if self.unreaching.get(call[0].name, 'kept') == 'kept':
                    continue
                del engine.calls[key]
                node, incarnation, effect, attempt = call
                if how == 'hang':
                    self._hung[key] = (node, incarnation, effect)
                    continue
                self._break_call(node, incarnation, effect, 'reset', True)

    def end_cut(self):
        """Let all hosts reach the engines again."""
        self.unreaching = {}

    def _break_call(self, node, incarnation, effect, detail, is_gone=False):
        attempt = self._open[effect.request_id]
        broken = messages.StreamBroken(
            effect.request_id,
            effect.call,
            attempt.begun_ms is not None,
            detail,
            is_gone,
        )
        self._later(self._post_to, node, incarnation, broken)

    def _forward_cut(self, node, effect, how):
        """Send to an engine from a host that is cut off from all."""
        key = (effect.request_id, effect.call)
        if how == 'reset':
            self._break_call(node, node.incarnation, effect, 'reset')
            return
        is_kept = not effect.needs_new_connection and self.rng.random() < 0.5
        if how == 'hang' and is_kept:
            self._hung[key] = (node, node.incarnation, effect)
            return
        failed = messages.CallNotSent(*key, 'no connection')
        delay_ms = min(effect.timeout_ms, CONNECT_MS) if how == 'hang' else 1
        due_ms = self.now_ms + delay_ms
        self.at(due_ms, self._post_to, node, node.incarnation, failed)

    def _probe_target(self, node, effect):
        engine = next(e for e in self.engines if e.name == effect.name)
        how = self.unreaching.get(node.name)
        is_reached = how is None and engine.is_alive
        delay_ms = effect.timeout_ms if how == 'hang' else 2
        message = messages.TargetProbed(effect.name, is_reached)
        due_ms = self.now_ms + delay_ms
        self.at(due_ms, self._post_to, node, node.incarnation, message)

    def _hand_over(self, node, effect):
        """Let another host take a request over."""
        taker = next(
            n
            for n in self.nodes.values()
            if f'{n.address}1' == effect.target.address
        )
        key = (effect.request_id, effect.call)
        is_cut = (taker.name in self.cut_names) != (
            node.name in self.cut_names
        )
        if taker.host is None or is_cut:
            failed = messages.CallNotSent(*key, 'refused')
            self._later(self._post_to, node, node.incarnation, failed)
            return
        outer = self._open[effect.request_id]
        name = f'r{next(self._numbers)}'
        taken = Attempt(outer.parts, self.now_ms, name, taker.name)
        taken.versions = outer.versions
        taken.handed_from = (node, node.incarnation, effect)
        self.handed_over.append(taken)
        self._open[name] = taken
        self._taken[key] = (taker, name)
        arrived = attrs.evolve(
            self._arrived[effect.request_id],
            request_id=name,
            read_ms=self.now_ms,
            budget_ms=effect.timeout_ms,
            is_taken_over=True,
        )
        self._arrived[name] = arrived
        self._later(self._post, taker, arrived)

    def _report(self, attempt, kind, *args):
        """Report to the host that handed a request over."""
        if attempt.handed_from is None:
            return
        node, incarnation, effect = attempt.handed_from
        outer = self._open[effect.request_id]
        is_served = kind is messages.StreamStarted
        if is_served and outer.begun_ms is None:
            outer.begun_ms = self.now_ms
        message = kind(effect.request_id, effect.call, *args)
        self._post_to(node, incarnation, message)
        if kind is messages.ResponseCompleted:
            outer.is_ended = True
            if args[0] != 200:
                outer.status = args[0]

    def _forward(self, node, effect):
        if effect.target.is_host:
            self._hand_over(node, effect)
            return
        how = self.unreaching.get(node.name)
        is_kept = not effect.needs_new_connection and how == 'kept'
        if how is not None and not (is_kept and self.rng.random() < 0.5):
            self._forward_cut(node, effect, how)
            return
        engine = next(e for e in self.engines if e.name == effect.target.name)
        self._later(self._arrive, node, node.incarnation, effect, engine)

    def _arrive(self, node, incarnation, effect, engine):
        if not engine.is_alive:
            message = messages.CallNotSent(
                effect.request_id, effect.call, 'refused'
            )
            self._later(self._post_to, node, incarnation, message)
            return
        if (
            engine.says_start
            and effect.process_check in processes.BOUND_CHECKS
            and engine.started_ms != effect.target.started_ms
        ):
            message = messages.CallNotSent(
                effect.request_id, effect.call, 'replaced', is_replaced=True
            )
            self._later(self._post_to, node, incarnation, message)
            return
        attempt = self._open[effect.request_id]
        if self.now_ms >= node.in_touch_ms:
            attempt.arrivals_ms.append(self.now_ms)
            arrival = (self.now_ms, (node.name, incarnation))
            engine.arrivals.append(arrival)
        if self.failing_share and self.rng.random() < self.failing_share:
            message = messages.CallFailed(effect.request_id, effect.call, 500)
            self._later(self._post_to, node, incarnation, message)
            return
        key = (effect.request_id, effect.call)
        if len(engine.calls) >= engine.room:
            self._turn_away(engine, node, incarnation, effect)
            return
        engine.calls[key] = (node, incarnation, effect, attempt)
        if self.bad_parts & set(attempt.parts):
            due_ms = self.now_ms + CRASH_AFTER_MS
            self.at(due_ms, self._crash, engine, key)
        else:
            due_ms = self.now_ms + self.rng.randint(60, 300)
            self.at(due_ms, self._begin, engine, key)

    def _turn_away(self, engine, node, incarnation, effect):
        """Reject a request; a brittle engine that does so often ends."""
        message = messages.CallNotRun(
            effect.request_id, effect.call, 503, limit=engine.named
        )
        self._later(self._post_to, node, incarnation, message)
        engine.turned_away_ms.append(self.now_ms)
        if engine.brittle is None:
            return
        recent = [
            ms for ms in engine.turned_away_ms if ms > self.now_ms - 1_000
        ]
        if len(recent) > engine.brittle:
            engine.falls_ms.append(self.now_ms)
            self.end_engine(engine, is_replaced=False)
            back_ms = self.now_ms + self.rng.randint(2_000, 4_000)
            self.at(back_ms, self._start_again, engine, engine.version)

    def _crash(self, engine, key):
        if engine.is_alive and key in engine.calls:
            parts = set(engine.calls[key][3].parts)
            for part in self.bad_parts & parts:
                self.crashes_ms.setdefault(part, []).append(self.now_ms)
            self.end_engine(engine)

    def _begin(self, engine, key):
        if key not in engine.calls:
            return
        node, incarnation, effect, attempt = engine.calls[key]
        if node.incarnation != incarnation or node.host is None:
            del engine.calls[key]
            return
        started_ms = self._told_start_ms(engine, effect)
        is_waiting = processes.must_confirm(effect, started_ms)
        if is_waiting and key not in self._confirmed:
            self._await_confirmation(engine, key)
            return
        attempt.versions.add(engine.version)
        if attempt.begun_ms is None:
            attempt.begun_ms = self.now_ms
        if engine.limit is not None:
            engine.told_ms.setdefault((node.name, incarnation), self.now_ms)
        message = messages.StreamStarted(
            effect.request_id,
            effect.call,
            limit=engine.named,
            notice=engine.notice,
            started_ms=started_ms,
        )
        self._post_to(node, incarnation, message)
        self._report(attempt, messages.StreamStarted)
        due_ms = self.now_ms + self.rng.randint(300, 2_500)
        if self.rng.random() < self.breaking_share:
            self.at(due_ms, self._break_off, engine, key)
        else:
            self.at(due_ms, self._complete, engine, key)

    def _told_start_ms(self, engine, effect):
        is_asked = effect.process_check is not effects.ProcessCheck.NONE
        return engine.started_ms if engine.says_start and is_asked else 0

    def _await_confirmation(self, engine, key):
        """Hold the first event of a call whose process is not known."""
        node, incarnation, effect, _ = engine.calls[key]
        self._held[key] = (engine, node, incarnation, effect)
        self._post_to(node, incarnation, messages.ProcessUnknown(*key))
        due_ms = self.now_ms + processes.CONFIRM_TIMEOUT_MS
        self.at(due_ms, self._break_held, key)

    def _break_held(self, key):
        if key in self._held:
            engine, node, incarnation, effect = self._held.pop(key)
            engine.calls.pop(key, None)
            self._break_call(node, incarnation, effect, 'not confirmed')

    def _confirm_process(self, _node, effect):
        key = (effect.request_id, effect.call)
        if key in self._held:
            self._confirmed.add(key)
            self._begin(self._held.pop(key)[0], key)

    def _break_off(self, engine, key):
        if key in engine.calls:
            node, incarnation, effect, _ = engine.calls.pop(key)
            broken = messages.StreamBroken(
                effect.request_id, effect.call, True, 'lost'
            )
            self._post_to(node, incarnation, broken)

    def _complete(self, engine, key):
        if key in engine.calls:
            node, incarnation, effect, attempt = engine.calls.pop(key)
            attempt.is_ended |= node.incarnation == incarnation
            message = messages.ResponseCompleted(
                effect.request_id, effect.call, 200
            )
            self._post_to(node, incarnation, message)
            self._report(attempt, messages.ResponseCompleted, 200)

    def _cancel_call(self, _node, effect):
        key = (effect.request_id, effect.call)
        self._break_held(key)
        for engine in self.engines:
            engine.calls.pop(key, None)
        if key in self._hung:
            self._break_call(*self._hung.pop(key), 'cancelled')
        if key in self._taken:
            taker, name = self._taken.pop(key)
            self._later(self._post, taker, messages.CallerDisconnected(name))

    # Callers

    def _choose_node(self, running, fields):
        return self.rng.choice(running)

    def send(self, parts, path='/a/x', return_of=None, stream=None, **fields):
        """Send a request to a running host, chosen at random.

        ``stream`` has the versions of the events that its caller has.
        """
        running = [n for n in self.nodes.values() if n.host is not None]
        if not running:
            return None
        node = self._choose_node(running, fields)
        name = f'r{next(self._numbers)}'
        attempt = Attempt(
            parts, self.now_ms, name, node.name, return_of=return_of
        )
        if stream is not None:
            attempt.versions = stream
        self.attempts.append(attempt)
        self._open[name] = attempt
        arrived = builders.arrived(
            name,
            path,
            self.now_ms,
            prompt=tuple(messages.PromptPart(p, 100) for p in parts),
            body_digest=parts[-1],
            **fields,
        )
        self._arrived[name] = arrived
        self._post(node, arrived)
        return attempt

    def _break(self, attempt):
        if attempt.is_ended:
            return
        attempt.is_ended = True
        if attempt.handed_from is not None:
            has_begun = attempt.begun_ms is not None
            kind = messages.StreamBroken
            self._later(self._report, attempt, kind, has_begun, 'lost')
            return
        self._later(self.on_broken, attempt)

    def _abort(self, _node, effect):
        attempt = self._open[effect.request_id]
        if not attempt.is_ended:
            self._break(attempt)

    def _answer(self, _node, effect):
        attempt = self._open[effect.request_id]
        attempt.status = effect.status
        attempt.is_ended = True
        attempt.retry_after_ms = effect.retry_after_ms
        if attempt.handed_from is not None:
            self._report_answer(attempt)
            return
        if effect.retry_after_ms is not None:
            self.on_refused(attempt)

    def _report_answer(self, attempt):
        if attempt.status == 421:
            self._report(attempt, messages.CallNotRun, 421)
            return
        self._report(attempt, messages.ResponseCompleted, attempt.status)
        node, incarnation, effect = attempt.handed_from
        outer = self._open[effect.request_id]
        outer.retry_after_ms = attempt.retry_after_ms
        if (
            outer.retry_after_ms is not None
            and node.incarnation == incarnation
        ):
            self.on_refused(outer)

    _HANDLERS = {
        shared_effects.StartTimer: _start_timer,
        shared_effects.SendPeer: _send_peer,
        shared_effects.ReplyPeer: _reply_peer,
        effects.Forward: _forward,
        effects.CancelCall: _cancel_call,
        effects.ConfirmProcess: _confirm_process,
        effects.ProbeTarget: _probe_target,
        effects.AbortResponse: _abort,
        effects.Answer: _answer,
        effects.ConfirmTargets: _confirm_targets,
        effects.WriteStreams: _write_streams,
        effects.RemoveStreams: _remove_streams,
        effects.ReleaseStream: lambda *_: None,
        effects.WriteQuarantine: _write_row,
        effects.RemoveQuarantine: _remove_row,
    }
