"""Software versions at which streams began, known beyond their hosts.

What targets of two versions write does not fit together, and targets do not
check it. So a caller's stream goes on only at the version that began it. The
host that began it may be gone, so while a pool has several versions, each
host tells two others of the streams that begin there, and keeps those that
have not ended in its row of the store, for the time after a restart of all
hosts. A host that does not know a stream asks those that would.
"""

import collections
import functools
import itertools
import typing

import attrs
import xxhash

from godwitglade.common import clock as clocks
from godwitglade.coordination import effects as shared_effects
from godwitglade.coordination import hosts
from godwitglade.coordination import membership as memberships
from godwitglade.coordination import messages as shared_messages
from godwitglade.routing import ages
from godwitglade.routing import bodies
from godwitglade.routing import effects
from godwitglade.routing import messages
from godwitglade.routing import pool_versions
from godwitglade.routing import rendezvous
from godwitglade.routing import request as request_
from godwitglade.routing import stream_rows
from godwitglade.routing import targets

Effects = list[typing.Any]

TOKEN = 'streams:'
TOLD_TOKEN = f'{TOKEN}told:'
ASKED_TOKEN = f'{TOKEN}asked:'
FLUSH_TOKEN = f'{TOKEN}flush'

#: Hosts that are told of a stream, and hosts that are asked: one of those
#: told may have gone or be unknown to the one that asks.
TOLD_HOSTS = 2
ASKED_HOSTS = 3
FLUSH_DELAY_MS = 50
TELL_TIMEOUT_MS = 500
ASK_TIMEOUT_MS = 150
MAX_TELLS = 3
MAX_BATCH = 500
#: Streams that are remembered, and for how long.
MAX_STREAMS = 16_384
KEPT_MS = pool_versions.KEPT_MS
#: Streams in the row of a host, and the time for which one stays there that
#: broke off.
MAX_ROW_STREAMS = 256
BROKEN_MS = 10 * clocks.SECOND_MS
MAX_TEXT_LENGTH = 200


@attrs.frozen
class Begun:
    """Where a stream began; ``version`` is empty if it is not known."""

    pool: str
    version: str


@attrs.frozen
class Process:
    """The process of a target.

    It started at ``started_ms`` (Unix time), 0 if that is not known, and ran
    at ``since_ms``.
    """

    target: str
    started_ms: int = 0
    since_ms: int = 0


@attrs.define
class _Stream:
    begun: Begun
    at_ms: int
    process: Process | None = None
    is_open: bool = False


class StreamVersions:
    """The streams known to this host, its own and those of others."""

    def __init__(
        self,
        self_id: hosts.HostId,
        members: memberships.Membership,
        versions: pool_versions.PoolVersions,
    ) -> None:
        self._self_id = self_id
        self._members = members
        self._versions = versions
        self._streams: collections.OrderedDict[str, _Stream] = (
            collections.OrderedDict()
        )
        self._own: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._untold: dict[str, int] = {}
        self._told: dict[str, tuple[tuple[str, ...], int]] = {}
        self._numbers = itertools.count(1)
        self._is_flush_due = False
        self._mixed_pools: frozenset[str] = frozenset()
        self._row = stream_rows.StreamRow(lambda: len(members.serving()))
        self._seen: tuple[typing.Any, ...] = ()
        self._serving: dict[str, str] = {}
        self._lost: dict[str, tuple[str, int]] = {}

    def __len__(self) -> int:
        return len(self._streams)

    def find(self, key: str) -> Begun | None:
        """Return where a stream began, None if this host does not know."""
        stream = self._streams.get(key)
        return None if stream is None else stream.begun

    def record_begun(
        self,
        key: str,
        begun: Begun,
        process: Process,
        request_id: str,
        now_ms: int,
    ) -> Effects:
        """Record that an event of a stream arrived from a target."""
        known = self._streams.get(key)
        if known is not None and known.begun.version:
            # Only what brought the first event counts.
            begun, process = known.begun, known.process
        self._put(key, _Stream(begun, now_ms, process, True))
        self._own[key] = None
        self._own.move_to_end(key)
        if begun.pool not in self._mixed_pools:
            return [effects.ReleaseStream(request_id)]
        held = self._row.hold(key, request_id)
        return held + self._tell([key], now_ms) + self._update_row(now_ms)

    def is_mixed(self, pool: str) -> bool:
        """Return whether a pool has or lately had several versions."""
        return pool in self._mixed_pools

    def hold_ms(self, pool: str) -> int:
        """Return how long the first event of a stream waits for the row."""
        return self._row.hold_ms if self.is_mixed(pool) else 0

    def record_end(self, key: str, is_complete: bool, now_ms: int) -> None:
        """Record that this host no longer brings a stream to its caller."""
        stream = self._streams.get(key)
        if stream is None:
            return
        stream.is_open = False
        stream.at_ms = now_ms
        if is_complete:
            self._own.pop(key, None)

    def settle(self, key: str, begun: Begun) -> None:
        """Record the version of a stream for which it was in doubt."""
        stream = self._streams.get(key)
        if stream is not None and not stream.begun.version:
            stream.begun = begun

    def record_replaced(
        self, entry: targets.TargetEntry, now_ms: int
    ) -> Effects:
        """Judge the streams of a target that is listed as started again.

        Those of the new process get its version. Those of a process whose
        start is not known get none, unless it ran so early that the last
        list would have shown a later one.
        """
        own = {
            key: stream
            for key, stream in self._streams.items()
            if stream.process is not None
            and stream.process.target == entry.name
        }
        settled = {
            key: entry.version
            for key, stream in own.items()
            if stream.process.started_ms == entry.started_ms > 0
        }
        known_ms = self._versions.confirmed_ms
        since_ms = now_ms if known_ms is None else min(now_ms, known_ms)
        doubtful = {
            key: ''
            for key, stream in own.items()
            if not stream.process.started_ms
            and stream.process.since_ms > since_ms - targets.ENTRY_LAG_MS
        }
        changed = settled | doubtful
        for key, version in changed.items():
            stream = self._streams[key]
            stream.begun = Begun(stream.begun.pool, version)
        return self._tell(changed, now_ms)

    def update_pools(self, now_ms: int) -> Effects:
        """Tell of the streams of pools that have several versions now."""
        mixed = frozenset(self._versions.mixed(now_ms))
        new, self._mixed_pools = mixed - self._mixed_pools, mixed
        if not new:
            return []
        keys = [k for k in self._own if self._streams[k].begun.pool in new]
        return self._tell(keys, now_ms)

    def ask(
        self, key: str, request_id: str, pools: tuple[str, ...]
    ) -> Effects:
        """Ask the hosts that would know of a stream."""
        body = bodies.StreamQuery(key, pools)
        return [
            shared_effects.SendPeer(
                f'{ASKED_TOKEN}{request_id}', address, body, ASK_TIMEOUT_MS
            )
            for address in self._asked(key)
        ]

    def _asked(self, key: str) -> list[str]:
        """Return the addresses of hosts that may know of a stream.

        Hosts lost since the list of targets was read may be on the other
        side of a cut. If all are of this data centre, another one is asked,
        which does not answer if the data centre is cut off.
        """
        lost = {name: address for name, (address, _) in self._lost.items()}
        addresses = lost | self._addresses()
        ranked = rendezvous.rank(key, addresses)
        asked, rest = ranked[:ASKED_HOSTS], ranked[ASKED_HOSTS:]
        near = {
            record.host.name
            for record in self._members.serving()
            if record.host.zone == self._self_id.zone
        }
        if near.issuperset(asked):
            asked += [name for name in rest if name not in near][:1]
        return [addresses[name] for name in asked]

    def _record_lost(self, now_ms: int) -> None:
        members = self._members.serving()
        if members is self._seen and not self._lost:
            return
        self._seen, serving = members, self._addresses()
        gone = self._serving.keys() - serving.keys()
        self._lost |= {n: (self._serving[n], now_ms) for n in gone}
        self._lost = {
            name: (address, lost_ms)
            for name, (address, lost_ms) in self._lost.items()
            if name not in serving
            and not self._versions.is_confirmed_since(lost_ms)
        }
        self._serving = serving

    @functools.singledispatchmethod
    def handle(self, message: typing.Any, now_ms: int) -> Effects:
        """Handle a message; messages of other components are ignored."""
        return []

    @handle.register
    def _(self, message: shared_messages.PeerMessage, now_ms: int) -> Effects:
        if isinstance(message.body, bodies.StreamQuery):
            pools = message.body.pools[: pool_versions.MAX_VERSIONS]
            known = self._versions.known_of(pools, now_ms)
            answer = bodies.StreamAnswer(versions=tuple(sorted(known)))
            found = self.find(message.body.key)
            if found is not None:
                answer = attrs.evolve(
                    answer,
                    is_known=True,
                    pool=found.pool,
                    version=found.version,
                )
            return [shared_effects.ReplyPeer(message.reply_token, answer)]
        received = bodies.Received(self._self_id.incarnation)
        reply = shared_effects.ReplyPeer(message.reply_token, received)
        return [reply, *self._receive(message.body.streams, now_ms)]

    @handle.register
    def _(self, message: shared_messages.PeerReply, now_ms: int) -> Effects:
        keys, tells = self._told.pop(message.token, ((), 0))
        if message.body is not None or tells >= MAX_TELLS:
            return []
        return self._tell(keys, now_ms, tells)

    @handle.register
    def _(self, message: messages.StreamsRowWritten, now_ms: int) -> Effects:
        released = self._row.written(message.is_written)
        if not message.is_written:
            # The next maintenance tries again.
            return released
        return released + self._update_row(now_ms)

    @handle.register
    def _(self, message: shared_messages.TimerFired, now_ms: int) -> Effects:
        if message.token == stream_rows.TIMER_TOKEN:
            return self._update_row(now_ms)
        self._is_flush_due = False
        by_host: dict[tuple[str, int], list[str]] = {}
        for key, tells in self._untold.items():
            if key in self._streams:
                for address in self._keepers(key, TOLD_HOSTS):
                    by_host.setdefault((address, tells), []).append(key)
        self._untold.clear()
        return [
            self._tell_host(address, tuple(batch), tells)
            for (address, tells), keys in by_host.items()
            for batch in _batches(keys)
        ]

    @handle.register
    def _(self, message: messages.StreamsRead, now_ms: int) -> Effects:
        for row in message.rows:
            for pool, versions in row.versions.items():
                told = row.ages_ms.get(pool, ())
                for version, age_ms in itertools.islice(
                    itertools.zip_longest(versions, told[: len(versions)]),
                    pool_versions.MAX_VERSIONS,
                ):
                    # To forget a version too early would join streams.
                    age_ms = age_ms if ages.is_age(age_ms) else 0
                    self._versions.record(pool, version, now_ms, age_ms)
            self._receive(row.streams, now_ms)
            if row.host == self._self_id.name:
                # Hosts that start later read them from the new row.
                self._own.update(
                    (key, None) for key in row.streams if key in self._streams
                )
        self._versions.is_complete = True
        return self.update_pools(now_ms)

    def maintain(self, now_ms: int) -> Effects:
        """Forget old streams; write the row of this host if it changed."""
        while self._streams:
            key, stream = next(iter(self._streams.items()))
            if now_ms - stream.at_ms < KEPT_MS:
                break
            self._drop(key)
        self._versions.maintain(now_ms)
        self._record_lost(now_ms)
        told = self.update_pools(now_ms)
        return told + self._update_row(now_ms)

    def _update_row(self, now_ms: int) -> Effects:
        if not self._versions.is_complete:
            return []
        versions = self._versions.mixed(now_ms)
        if not versions:
            return self._row.update(None, now_ms)
        row = effects.WriteStreams(
            versions,
            self._row_streams(now_ms),
            {
                pool: self._versions.ages_ms(pool, names, now_ms)
                for pool, names in versions.items()
            },
        )
        return self._row.update(row, now_ms)

    def _row_streams(self, now_ms: int) -> dict[str, tuple[str, str]]:
        """Return the streams of this host that callers may take up."""
        lasting = (
            (key, stream)
            for key in reversed(self._own)
            if (stream := self._streams[key]).begun.pool in self._mixed_pools
            and (stream.is_open or now_ms - stream.at_ms < BROKEN_MS)
        )
        return {
            key: (stream.begun.pool, stream.begun.version)
            for key, stream in itertools.islice(lasting, MAX_ROW_STREAMS)
        }

    def _receive(
        self, streams: dict[str, tuple[str, ...]], now_ms: int
    ) -> Effects:
        valid = {
            key: Begun(*begun)
            for key, begun in itertools.islice(streams.items(), MAX_BATCH)
            if len(begun) == 2
            and all(len(text) <= MAX_TEXT_LENGTH for text in (key, *begun))
        }
        for key, begun in valid.items():
            own = self._streams.get(key) if key in self._own else None
            if own is None:
                self._put(key, _Stream(begun, now_ms))
            if begun.version:
                self._versions.record(begun.pool, begun.version, now_ms)
        return self.update_pools(now_ms) if valid else []

    def _tell(
        self, keys: typing.Iterable[str], now_ms: int, tells: int = 0
    ) -> Effects:
        """Tell the keepers of streams, together with others that begin."""
        self._untold.update(dict.fromkeys(keys, tells))
        if self._is_flush_due or not self._untold:
            return []
        self._is_flush_due = True
        due_ms = now_ms + FLUSH_DELAY_MS
        return [shared_effects.StartTimer(FLUSH_TOKEN, due_ms)]

    def _tell_host(
        self, address: str, keys: tuple[str, ...], tells: int
    ) -> shared_effects.SendPeer:
        token = f'{TOLD_TOKEN}{next(self._numbers)}'
        self._told[token] = (keys, tells + 1)
        begun = {key: self._streams[key].begun for key in keys}
        body = bodies.StreamsBegun(
            {key: (b.pool, b.version) for key, b in begun.items()}
        )
        return shared_effects.SendPeer(token, address, body, TELL_TIMEOUT_MS)

    def _keepers(self, key: str, count: int) -> list[str]:
        """Return the addresses of other hosts that keep a stream."""
        addresses = self._addresses()
        return [addresses[n] for n in rendezvous.rank(key, addresses)[:count]]

    def _addresses(self) -> dict[str, str]:
        """Return the addresses of the other hosts that serve."""
        return {
            record.host.name: record.address
            for record in self._members.serving()
            if record.host.name != self._self_id.name
        }

    def _put(self, key: str, stream: _Stream) -> None:
        self._streams[key] = stream
        self._streams.move_to_end(key)
        if len(self._streams) > MAX_STREAMS:
            self._drop(next(iter(self._streams)))

    def _drop(self, key: str) -> None:
        del self._streams[key]
        self._own.pop(key, None)
        self._untold.pop(key, None)


def key_of(request: request_.Request) -> str:
    """Return the key of the stream that a request begins or takes up.

    Another workspace's stream has another key, whatever id is named.
    """
    arrived = request.arrived
    workspace = request.workspace.name if request.workspace else ''
    first_id = arrived.resumes or arrived.attempt_id
    text = '\n'.join((workspace, arrived.host, arrived.path, first_id))
    return xxhash.xxh3_64_hexdigest(text.encode())


def decode_answer(body: typing.Any) -> Begun | None:
    """Return what another host knows of a stream, None for nothing."""
    if not isinstance(body, bodies.StreamAnswer) or not body.is_known:
        return None
    return Begun(body.pool, body.version)


def decode_versions(body: typing.Any) -> frozenset[str]:
    """Return the versions of which another host knows."""
    if not isinstance(body, bodies.StreamAnswer):
        return frozenset()
    return frozenset(body.versions[: pool_versions.MAX_VERSIONS])


def _batches(keys: list[str]) -> typing.Iterator[list[str]]:
    rest = iter(keys)
    return iter(lambda: list(itertools.islice(rest, MAX_BATCH)), [])
