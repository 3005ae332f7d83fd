"""Hosts, targets and the network between them, in virtual time."""

import functools
import random

from bench.measure import deployments
from bench.measure import fake_claims
from bench.measure import fake_engines
from bench.measure import fake_targets
from bench.measure import schedule
from bench.measure import tally
from godwitglade.coordination import effects as coordination_effects
from godwitglade.coordination import hosts
from godwitglade.coordination import messages as coordination_messages
from godwitglade.decisions import effects
from godwitglade.decisions import messages
from godwitglade.decisions import targets

LOCAL_MS = 0.3
REFUSED_MS = 1.0
CONNECT_TIMEOUT_MS = 300.0
LIST_INTERVAL_MS = 2_000
LIST_LAG_MS = 5_000
LOAD_LAG_MS = 300
FACT_MS = 60.0
SLOW_FACT_MS = 1_000.0


class Entry:
    """An entry host: its decisions and its open calls."""

    def __init__(self, world: 'World', host_id, make_requests) -> None:
        self.world = world
        self.host_id = host_id
        self.open: dict[str, effects.CallTarget] = {}
        self.begun: set[str] = set()
        self.silent: set[str] = set()
        claims = fake_claims.FakeClaims(
            world.table,
            world.clock,
            lambda: host_id.zone in world.cut_zones,
            self.tell,
        )
        seed = world.rng.getrandbits(64)
        self.requests = make_requests(host_id, random.Random(seed), claims)
        self.carry_out(self.requests.start(0))

    def tell(self, message) -> None:
        """Hand a message to the decisions and carry out what follows."""
        now_ms = int(self.world.clock.now_ms)
        self.carry_out(self.requests.handle(message, now_ms))

    def carry_out(self, asked) -> None:
        """Carry out effects."""
        for effect in asked:
            _carry_out(effect, self)

    def fault(self, call, kind, **changes) -> None:
        """End an open call with a fault."""
        if self.open.pop(call.attempt_id, None) is not None:
            self.tell(
                messages.StageFault(
                    call.request_id,
                    call.stage,
                    call.attempt_id,
                    kind,
                    **changes,
                )
            )

    def check_first_byte(self, call) -> None:
        """End a call that has had no byte of reply in its time."""
        if call.attempt_id not in self.begun:
            self.fault(call, messages.FaultKind.SILENT)

    def receive(self, call, message) -> None:
        """Take what a target sent, unless the call is closed."""
        if call.attempt_id not in self.open:
            return
        if call.target.name in self.silent and not _is_fresh(call):
            return
        if not self.world.is_reachable(self.host_id.zone, call.target.zone):
            return
        self.begun.add(call.attempt_id)
        if not isinstance(message, messages.StreamPiece):
            del self.open[call.attempt_id]
            self.begun.discard(call.attempt_id)
        self.tell(message)


class World:
    """One run: a deployment, a seed and a policy."""

    def __init__(
        self, deployment: deployments.Deployment, seed: int, make_requests
    ) -> None:
        self.deployment = deployment
        self.rng = random.Random(seed)
        self.clock = schedule.Schedule()
        self.table = fake_claims.Table()
        self.tally = tally.Tally()
        self.cut_zones: set[str] = set()
        self.listed = deployment.targets()
        self.targets = {t.name: self._fake(t) for t in self.listed}
        self.sizes: dict[str, dict[str, fake_targets.Work]] = {}
        self.entries = [
            Entry(
                self,
                hosts.HostId(
                    f'host-{i}',
                    deployment.zones[i % len(deployment.zones)],
                    1,
                ),
                make_requests,
            )
            for i in range(deployment.host_count)
        ]
        self._publish_documents()
        self._publish_list(tuple(self.listed))
        self.clock.after(LIST_INTERVAL_MS, self._list_again)

    def is_reachable(self, zone: str, other: str) -> bool:
        """Tell whether two zones can exchange messages."""
        is_cut = zone in self.cut_zones or other in self.cut_zones
        return zone == other or not is_cut

    def delay_ms(self, zone: str, other: str) -> float:
        """Return the one-way time between two zones."""
        return LOCAL_MS if zone == other else self.deployment.one_way_ms

    def arrive(self, entry: Entry, request, sizes) -> None:
        """Let a caller's request reach a host."""
        self.sizes[request.request_id] = sizes
        entry.tell(request)

    def _fake(self, target: targets.Target) -> fake_targets.FakeTarget:
        is_engine = target.pool == self.deployment.engine_pool
        kind = (
            fake_engines.FakeEngine if is_engine else fake_targets.FakeTarget
        )
        shape = self.deployment.shape(target.pool)
        rng = random.Random(self.rng.getrandbits(64))
        return kind(target, shape, self.clock, rng, self.tally.cost)

    def _publish_documents(self) -> None:
        documents = {
            mix.document.pipeline: mix.document
            for mix in self.deployment.mixes
        }
        for entry in self.entries:
            entry.tell(messages.DocumentsInForce(documents))

    def _publish_list(self, listed) -> None:
        for entry in self.entries:
            if entry.host_id.zone not in self.cut_zones:
                entry.tell(messages.TargetsListed(listed))

    def _list_again(self) -> None:
        listed = tuple(
            targets.Target(
                t.name, t.pool, t.zone, t.address, self._state_of(t)
            )
            for t in self.listed
        )
        self.clock.after(LIST_LAG_MS, self._publish_list, listed)
        self.clock.after(LIST_INTERVAL_MS, self._list_again)

    def _state_of(self, target) -> targets.TargetState:
        is_leaving = self.targets[target.name].is_leaving
        states = targets.TargetState
        return states.LEAVING if is_leaving else states.LIVE


def _is_fresh(call) -> bool:
    return call.needs_fresh_connection


@functools.singledispatch
def _carry_out(effect, entry: Entry) -> None:
    """Carry out an effect of a host; log effects have no fake."""


@_carry_out.register
def _(effect: coordination_effects.StartTimer, entry: Entry) -> None:
    fired = coordination_messages.TimerFired(effect.token)
    entry.world.clock.at(effect.due_ms, entry.tell, fired)


@_carry_out.register
def _(effect: coordination_effects.Deliver, entry: Entry) -> None:
    entry.tell(effect.message)


@_carry_out.register
def _(effect: coordination_effects.PublishFact, entry: Entry) -> None:
    world = entry.world
    delay_ms = FACT_MS if effect.is_urgent else SLOW_FACT_MS
    learned = coordination_messages.FactLearned(
        effect.kind, effect.key, effect.value, entry.host_id.name
    )
    for other in world.entries:
        zones = entry.host_id.zone, other.host_id.zone
        if world.is_reachable(*zones):
            world.clock.after(delay_ms, other.tell, learned)


@_carry_out.register
def _(effect: effects.CallTarget, entry: Entry) -> None:
    world = entry.world
    world.tally.sent(effect)
    entry.open[effect.attempt_id] = effect
    target = world.targets[effect.target.name]
    zones = entry.host_id.zone, effect.target.zone
    kinds = messages.FaultKind
    if not world.is_reachable(*zones) or target.is_down:
        is_cut = not world.is_reachable(*zones)
        delay_ms = CONNECT_TIMEOUT_MS if is_cut else REFUSED_MS
        fault = functools.partial(entry.fault, was_sent=False)
        world.clock.after(delay_ms, fault, effect, kinds.CONNECT)
        return
    if effect.first_byte_ms < effect.timeout_ms:
        world.clock.after(effect.first_byte_ms, entry.check_first_byte, effect)
    world.clock.after(effect.timeout_ms, entry.fault, effect, kinds.TIMEOUT)
    if effect.target.name in entry.silent and not _is_fresh(effect):
        return
    delay_ms = world.delay_ms(*zones)

    def reply(message) -> None:
        target.note_sign(message)
        world.clock.after(delay_ms, entry.receive, effect, message)

    work = world.sizes[effect.request_id][effect.stage]
    world.clock.after(delay_ms, _take, target, effect, work, reply, entry)


def _take(target, call, work, reply, entry) -> None:
    if target.is_down:
        kind = messages.FaultKind.CONNECT
        entry.fault(call, kind, was_sent=False)
        return
    world = entry.world
    world.tally.reached(call, target.sign_ms, world.clock.now_ms)
    if target.has_place:
        world.tally.taken(call)
    target.take(call, work, reply)


@_carry_out.register
def _(effect: effects.CancelCall, entry: Entry) -> None:
    entry.open.pop(effect.attempt_id, None)
    entry.begun.discard(effect.attempt_id)
    world = entry.world
    zones = entry.host_id.zone, effect.target.zone
    if world.is_reachable(*zones):
        target = world.targets[effect.target.name]
        delay_ms = world.delay_ms(*zones)
        world.clock.after(delay_ms, target.cancel, effect.attempt_id)


@_carry_out.register
def _(effect: effects.AnswerCaller, entry: Entry) -> None:
    now_ms = entry.world.clock.now_ms
    entry.world.tally.answered(effect, now_ms)


@_carry_out.register
def _(effect: effects.SendPiece, entry: Entry) -> None:
    entry.world.tally.piece(effect)


@_carry_out.register
def _(effect: effects.DropConnections, entry: Entry) -> None:
    entry.silent.discard(effect.target.name)


@_carry_out.register
def _(effect: effects.ProbeTarget, entry: Entry) -> None:
    world = entry.world
    target = world.targets[effect.target.name]
    zones = entry.host_id.zone, effect.target.zone
    is_alive = world.is_reachable(*zones) and not target.is_down
    delay_ms = 4 * world.delay_ms(*zones) if is_alive else effect.timeout_ms
    world.clock.after(delay_ms, _probed, entry, effect.target, is_alive)


def _probed(entry: Entry, target, is_alive: bool) -> None:
    if is_alive:
        load = entry.world.targets[target.name].load()
        entry.tell(messages.LoadReported(target.name, load))
    entry.tell(messages.ProbeAnswered(target.name, is_alive))
