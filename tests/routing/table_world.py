"""A store, and the hosts of a fleet that share its tables, in virtual time.

The hosts' followers do what `platform.follower.Follower` does, with calls
that take time, wait for changes, get no answer or are rejected.
"""

import collections
import enum
import heapq
import itertools
import random

import attrs

from godwitglade.coordination import effects as shared_effects
from godwitglade.coordination import hosts
from godwitglade.coordination import members
from godwitglade.coordination import messages as shared_messages
from godwitglade.platform import follower
from godwitglade.platform import paces
from godwitglade.routing import document_state
from godwitglade.routing import effects
from godwitglade.routing import messages
from godwitglade.routing import table_sharing
from tests.routing import builders

DOCUMENT = table_sharing.Table.DOCUMENT.value
TARGETS = table_sharing.Table.TARGETS.value
HOSTS = table_sharing.Table.HOSTS.value
PACES = {
    DOCUMENT: (paces.DOCUMENT, paces.READER_DOCUMENT),
    TARGETS: (paces.TARGETS, paces.READER_TARGETS),
    HOSTS: (paces.HOSTS, paces.HOSTS),
}
READ_TIMEOUT_MS = 1_000
FEED_SLACK_MS = 700
#: Time in which one half of a call to the store, or to a host, arrives.
HOP_MS = (1, 4)
#: Time of a host in touch without any trouble, contactMs of the sites.
CONTACT_MS = 3_000


class Way(enum.Enum):
    """What becomes of a host's calls to the store."""

    SERVED = 'served'
    REJECTED = 'rejected'
    SILENT = 'silent'


@attrs.frozen
class Change:
    """A change that the store has confirmed."""

    at_ms: int
    era: int
    version: int
    table: str
    name: str


@attrs.define(eq=False)
class Feed:
    """A call that waits at the store for a change."""

    table: str
    after: int
    era: int
    answer: object


@attrs.frozen
class Rows:
    """What the store answers."""

    rows: list
    version: int
    era: int
    document_version: int


class Answer:
    """The way back of one call; what comes first, or nothing, counts."""

    def __init__(self, world, follower_, call):
        self.world, self.follower, self.call = world, follower_, call
        self.node, self.life = follower_.node, follower_.life
        self.is_ended = False

    def __call__(self, rows):
        if rows is not None and not self.world.reads(self.node):
            return
        args = (self.node, self.end, rows)
        self.world.at(self.world.hop_ms(), self.world.on_host, *args)

    def time_out(self):
        self.world.on_host(self.node, self.end, None)

    def end(self, rows):
        is_same = self.node.is_alive and self.node.life is self.life
        if is_same and not self.is_ended:
            self.is_ended = True
            self.follower.ended(self.call, rows)


@attrs.frozen
class Record:
    """A host as membership lists it."""

    host: hosts.HostId
    address: str


class Follower:
    """Follows one table for a host."""

    def __init__(self, world, node, table):
        self.world, self.node, self.table = world, node, table
        self.life = node.life
        self.is_following, self.is_reader = True, True
        self.is_requested = True
        self.version = self.full_read_ms = None
        self.era = self.confirmed_ms = self.number = self.resumes_at_ms = 0
        self.is_lost = self.is_busy = False
        self.step(0)

    def set_following(self, is_following, is_reader):
        if is_following and not self.is_following:
            self.version = None
            pace = PACES[self.table][self.is_reader]
            self.resumes_at_ms = self.world.now_ms + pace.resume_ms
        self.is_following, self.is_reader = is_following, is_reader
        self.wake()

    def request(self):
        self.version, self.is_requested = None, True
        self.wake()

    def wake(self):
        self.number += 1
        if not self.is_busy:
            self.step(self.number)

    def step(self, number):
        is_idle = not self.is_following and not self.is_requested
        if number != self.number or self.is_busy or is_idle:
            return
        now_ms = self.world.now_ms
        if now_ms < self.resumes_at_ms and not self.is_requested:
            self.later(self.resumes_at_ms - now_ms)
            return
        self.is_busy = True
        pace = PACES[self.table][self.is_reader]
        is_full = (
            self.version is None
            or now_ms - self.full_read_ms >= pace.full_read_ms
        )
        after = None if is_full else self.version
        wait_ms = pace.feed_wait_ms(self.confirmed_ms, now_ms)
        call = (is_full, wait_ms, now_ms, pace)
        self.world.call(self, after, wait_ms, call)

    def ended(self, call, rows):
        """Take the rows of a call, None after a failure."""
        is_full, wait_ms, started_ms, pace = call
        self.is_busy = False
        if rows is None:
            self.is_lost, self.version, pause_ms = True, None, 250
        elif rows.era != self.era and not is_full:
            self.era, self.version, pause_ms = rows.era, None, 0
        else:
            self.take(rows, is_full, wait_ms, started_ms)
            times = (self.confirmed_ms, self.world.now_ms)
            pause_ms = 0 if is_full else pace.feed_pause_ms(*times)
        self.later(pause_ms)

    def later(self, pause_ms):
        self.number += 1
        args = (self.node, self.step_again, self.number)
        self.world.at(self.world.now_ms + pause_ms, self.world.on_host, *args)

    def step_again(self, number):
        if self.node.is_alive and self.node.life is self.life:
            self.step(number)

    def take(self, rows, is_full, wait_ms, started_ms):
        self.era, self.version = rows.era, rows.version
        if is_full:
            self.is_requested = False
            self.full_read_ms = self.confirmed_ms = started_ms
        else:
            self.confirmed_ms = follower.feed_confirms_ms(
                bool(rows.rows), wait_ms, started_ms, self.world.now_ms
            )
        outage_ms, self.is_lost = int(self.is_lost), False
        args = (rows, is_full, outage_ms, self.confirmed_ms)
        self.world.apply(self.node, self.table, *args)


@attrs.define(eq=False)
class Node:
    """A host with its view of the store; ``life`` is one process.

    ``disturbed_ms`` is when it last had any trouble of its own.
    """

    host: hosts.HostId
    life: object = None
    state: document_state.DocumentState = None
    followers: dict = None
    way: Way = Way.SERVED
    is_alive: bool = True
    is_cut: bool = False
    is_frozen: bool = False
    held: list = attrs.Factory(list)
    disturbed_ms: int = -CONTACT_MS

    @property
    def sharing(self):
        return self.life


class World:
    """A store with one document and targets, and the hosts of a fleet.

    ``calls`` counts the calls to the store by host, ``calls_ms`` has the
    time of each. ``late`` has the changes that a host in touch did not know
    ``bound_ms`` after the store had confirmed them.
    """

    def __init__(self, zones, seed=1, bound_ms=2_000):
        self.rng = random.Random(seed)
        self.now_ms = 0
        self.bound_ms = bound_ms
        self.calls, self.calls_ms = collections.Counter(), []
        self.targets = {f't{n}': 0 for n in range(20)}
        self.version, self.era, self.document_version = 1, 0, 1
        self.history = []
        self.document_changed_ms = 0
        self.feeds = []
        self.store_is_up = True
        self.trouble_ms = -CONTACT_MS
        self.knows_no_members = False
        self.late, self.checks, self.logged = [], 0, []
        self.events, self.numbers = [], itertools.count()
        self.answer_of = None
        self._serving = None
        self.nodes = {}
        for number, zone in enumerate(zones):
            host = hosts.HostId(f'h{number}', zone, 1)
            self.nodes[host.name] = Node(host)
        self.records = {
            name: Record(node.host, name) for name, node in self.nodes.items()
        }
        for node in self.nodes.values():
            self.start(node)

    def at(self, due_ms, function, *args):
        event = (due_ms, next(self.numbers), function, args)
        heapq.heappush(self.events, event)

    def run(self, until_ms):
        while self.events and self.events[0][0] <= until_ms:
            self.now_ms, _, function, args = heapq.heappop(self.events)
            function(*args)
        self.now_ms = until_ms

    # Hosts

    def serving(self):
        """Return the records of the hosts that run, as membership does."""
        if self.knows_no_members:
            return ()
        if self._serving is None:
            self._serving = tuple(
                record
                for name, record in self.records.items()
                if self.nodes[name].is_alive
            )
        return self._serving

    def start(self, node):
        node.state = document_state.DocumentState(5_000)
        node.life = table_sharing.TableSharing(node.host, self, node.state)
        node.is_alive, self._serving = True, None
        self.carry_out(node, node.life.start(self.now_ms))
        node.followers = {t: Follower(self, node, t) for t in PACES}

    def restart(self, names):
        for name in names:
            node = self.nodes[name]
            node.is_alive, self._serving = False, None
            node.disturbed_ms = self.now_ms + 1_000
            self.at(self.now_ms + 1_000, self.start, node)

    def set_way(self, names, way):
        """Change what becomes of the hosts' calls; end those that wait."""
        for name in names:
            node = self.nodes[name]
            node.way, node.disturbed_ms = way, self.now_ms
            if way is Way.REJECTED:
                for feed in [f for f in self.feeds if f.answer.node is node]:
                    self.feeds.remove(feed)
                    feed.answer(None)

    def cut(self, names):
        for name in names:
            self.nodes[name].is_cut = True

    def join(self, names):
        for name in names:
            self.nodes[name].is_cut = False
            self.nodes[name].disturbed_ms = self.now_ms

    def freeze(self, names):
        for name in names:
            self.nodes[name].is_frozen = True

    def wake(self, names):
        """Let hosts go on, with all that has come for them meanwhile."""
        for name in names:
            node = self.nodes[name]
            node.is_frozen, node.disturbed_ms = False, self.now_ms
            held, node.held = node.held, []
            self.rng.shuffle(held)
            for function, args in held:
                self.at(self.now_ms, self.on_host, node, function, *args)

    def on_host(self, node, function, *args):
        """Do something on a host, once it runs."""
        if node.is_frozen:
            node.held.append((function, args))
        else:
            function(*args)

    def deliver(self, node, life, message):
        if node.is_alive and node.life is life:
            self.carry_out(node, life.handle(message, self.now_ms))

    def carry_out(self, node, new_effects):
        for effect in new_effects:
            self.HANDLERS[type(effect)](self, node, effect)

    def start_timer(self, node, effect):
        message = shared_messages.TimerFired(effect.token)
        args = (node, self.deliver, node, node.life, message)
        self.at(effect.due_ms, self.on_host, *args)

    def hop_ms(self):
        return self.now_ms + self.rng.randint(*HOP_MS)

    def send(self, node, effect):
        taker, life = self.nodes[effect.address], node.life
        lost = shared_messages.PeerReply(effect.token, None)
        args = (node, self.deliver, node, life, lost)
        self.at(self.now_ms + effect.timeout_ms, self.on_host, *args)
        if not taker.is_alive or taker.is_cut or node.is_cut:
            return
        token = (node, life, effect.token, self.now_ms + effect.timeout_ms)
        message = shared_messages.PeerMessage(node.host, effect.body, token)
        args = (taker, self.deliver, taker, taker.life, message)
        self.at(self.hop_ms(), self.on_host, *args)

    def reply(self, replier, effect):
        node, life, token, until_ms = effect.reply_token
        if node.is_cut or replier.is_cut or self.now_ms >= until_ms:
            return
        body = effect.body if self.answer_of is None else self.answer_of
        reply = shared_messages.PeerReply(token, body)
        args = (node, self.deliver, node, life, reply)
        self.at(self.hop_ms(), self.on_host, *args)

    def follow_tables(self, node, effect):
        for follower_ in node.followers.values():
            is_reader = getattr(effect, 'is_reader', False)
            follower_.set_following(effect.is_following, is_reader)

    HANDLERS = {
        shared_effects.StartTimer: start_timer,
        shared_effects.SendPeer: send,
        shared_effects.ReplyPeer: reply,
        shared_effects.Deliver: lambda s, n, e: n.life.record_targets(
            e.message, s.now_ms
        ),
        shared_effects.LogEvent: lambda s, n, e: s.logged.append(e.event),
        effects.FollowTables: follow_tables,
        effects.ReadTable: lambda s, n, e: n.followers[e.table].request(),
    }

    # The store

    def reads(self, node):
        is_served = node.way is Way.SERVED and not node.is_cut
        return self.store_is_up and is_served

    def call(self, follower_, after, wait_ms, call):
        """Carry out one call to the store."""
        node = follower_.node
        self.calls[node.host.name] += 1
        self.calls_ms.append(self.now_ms)
        limit_ms = wait_ms + FEED_SLACK_MS
        if after is None:
            limit_ms = READ_TIMEOUT_MS
        answer = Answer(self, follower_, call)
        self.at(self.now_ms + limit_ms, answer.time_out)
        if not self.store_is_up or node.way is Way.REJECTED:
            answer(None)
        elif self.reads(node):
            args = (follower_.table, after, wait_ms, answer)
            self.at(self.hop_ms(), self.arrive, *args)

    def arrive(self, table, after, wait_ms, answer):
        if not self.store_is_up:
            answer(None)
        elif after is None or self.changes(table, after) or not wait_ms:
            answer(self.rows(table, after))
        else:
            feed = Feed(table, after, self.era, answer)
            self.feeds.append(feed)
            self.at(self.now_ms + wait_ms, self.end_feed, feed)

    def changes(self, table, after):
        return [
            change
            for change in self.history
            if change.table == table
            and change.era == self.era
            and change.version > after
        ]

    def rows(self, table, after):
        """Return what the store holds, or what has changed."""
        names = list(self.targets)
        if after is not None:
            names = sorted({c.name for c in self.changes(table, after)})
        rows = [(name, self.targets.get(name)) for name in names]
        return Rows(rows, self.version, self.era, self.document_version)

    def end_feed(self, feed):
        if feed in self.feeds:
            self.feeds.remove(feed)
            feed.answer(self.rows(feed.table, feed.after))

    def change(self, table, name):
        """Change a row; check later which hosts in touch know of it."""
        self.version += 1
        if table == TARGETS:
            self.targets[name] = self.version
        else:
            self.document_version += 1
            self.document_changed_ms = self.now_ms
        change = Change(self.now_ms, self.era, self.version, table, name)
        self.history.append(change)
        for feed in [f for f in self.feeds if f.table == table]:
            self.end_feed(feed)
        is_stable = self.now_ms >= self.trouble_ms + CONTACT_MS
        if is_stable and self.store_is_up:
            args = (change, self.document_version)
            self.at(self.now_ms + self.bound_ms, self.check, *args)

    def change_target(self):
        self.change(TARGETS, self.rng.choice(list(self.targets)))

    def change_document(self):
        self.change(DOCUMENT, 'config')

    def go_back(self):
        """Go back to an older state, which gives versions out again."""
        self.era += 1
        self.version = max(1, self.version - 3)
        self.trouble_ms = self.now_ms
        feeds, self.feeds = self.feeds, []
        for feed in feeds:
            feed.answer(None)

    def stop_store(self):
        self.store_is_up = False

    def start_store(self):
        self.store_is_up, self.trouble_ms = True, self.now_ms

    def is_in_touch(self, node):
        has_rested = self.now_ms >= node.disturbed_ms + CONTACT_MS
        is_running = node.is_alive and not node.is_frozen
        return is_running and self.reads(node) and has_rested

    def check(self, change, document_version):
        if change.era != self.era:
            return
        for node in self.nodes.values():
            if not self.is_in_touch(node):
                continue
            self.checks += 1
            if change.table == TARGETS:
                known = (node.life._log.era, node.life._log.version)
                is_late = known < (change.era, change.version)
            else:
                is_late = node.state.document.version < document_version
            if is_late:
                self.late.append((node.host.name, change))

    def apply(self, node, table, rows, is_full, outage_ms, read_ms):
        """Give a host what it has read."""
        life = node.life
        if table == HOSTS:
            life.record_hosts(self.entries(), self.now_ms)
            return
        if table == DOCUMENT:
            document = builders.document()
            document = attrs.evolve(document, version=rows.document_version)
            node.state.apply(document, read_ms)
            life.record_document(read_ms)
            return
        listed = [
            builders.listed(name, sequence=sequence)
            for name, sequence in rows.rows
        ]
        if is_full:
            fields = (tuple(listed), rows.version, outage_ms, rows.era)
            message = messages.TargetsRead(*fields, read_from_ms=read_ms)
        else:
            fields = (tuple(listed), (), rows.version, rows.era)
            message = messages.TargetsChanged(*fields, read_from_ms=read_ms)
        life.record_targets(message, self.now_ms)

    def entries(self):
        return tuple(
            members.HostEntry(name, record.host.zone, record.address)
            for name, record in self.records.items()
        )

    def readers(self, zone=None):
        """Return the names of the hosts that follow the tables."""
        return [
            name
            for name, node in self.nodes.items()
            if node.life.is_following and zone in (None, node.host.zone)
        ]
