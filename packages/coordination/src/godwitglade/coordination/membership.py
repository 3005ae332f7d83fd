"""Membership by gossip with periodic exchanges.

Each host sends one `bodies.Exchange` a second to a random host, whatever
the size of the fleet. The exchange is a probe, a push and a pull at once. A
host that does not reply is probed through two others, then becomes suspect,
and then gone unless it refutes the suspicion with a higher refutation
number.
"""

import functools
import itertools
import random as randoms
import typing

import attrs

from godwitglade.coordination import bodies
from godwitglade.coordination import effects
from godwitglade.coordination import failure_detection
from godwitglade.coordination import hosts
from godwitglade.coordination import members
from godwitglade.coordination import messages

Member = members.Member
HostEntry = members.HostEntry
Settings = failure_detection.Settings
Effects = list[typing.Any]

TICK_TOKEN = 'members:tick'
REPAIR_TOKEN = 'members:repair:'
#: A host does not contradict a suspicion of a higher number.
MAX_REFUTATION = 2**31

#: A table with less than this share of a peer's members is repaired early.
MIN_SIZE_RATIO = 0.9


class Attachment(typing.Protocol):
    """A component whose data the exchange carries."""

    def bind(self, membership: 'Membership') -> None:
        """Set the membership whose exchanges carry the data."""

    def attach(
        self,
        exchange: bodies.Exchange,
        peer_exchange: bodies.Exchange | None,
        now_ms: int,
    ) -> bodies.Exchange:
        """Return ``exchange`` with the data of this component.

        ``peer_exchange`` is the request when ``exchange`` is a reply, else
        None. The result is sent to one peer only.
        """

    def receive(self, exchange: bodies.Exchange, now_ms: int) -> Effects:
        """Apply the data of a peer's exchange or reply."""


class Membership:
    """The hosts as one of them sees them, and its exchanges with them."""

    def __init__(
        self,
        self_id: hosts.HostId,
        address: str,
        random: randoms.Random,
        attachments: tuple[Attachment, ...] = (),
        settings: failure_detection.Settings = failure_detection.Settings(),
    ) -> None:
        own = bodies.MemberRecord(self_id, address)
        self.table = members.MemberTable(own)
        self._random = random
        self._attachments = attachments
        self._settings = settings
        self._numbers = itertools.count(1)
        self._tick_count = 0
        self._detector = failure_detection.FailureDetector(
            self.table, random, settings
        )
        self._entries: dict[str, HostEntry] = {}
        self._last_repair_ms = -settings.repair_interval_ms
        self._now_ms = 0
        for attachment in attachments:
            attachment.bind(self)

    def start(self, now_ms: int) -> Effects:
        """Contact some of the listed hosts and start the timer."""
        self._now_ms = now_ms
        jitter_ms = self._random.randrange(self._settings.interval_ms)
        timer = effects.StartTimer(TICK_TOKEN, now_ms + jitter_ms)
        entries = self._unknown_entries()
        count = min(len(entries), self._settings.announce_count)
        chosen = self._random.sample(entries, count)
        return [timer] + [
            self._exchange_with(entry.name, 0, entry.address, now_ms)
            for entry in chosen
        ]

    def add_entries(
        self, entries: typing.Iterable[HostEntry], now_ms: int
    ) -> Effects:
        """Add hosts from the settings or from the host list, which may lag."""
        self._entries.update((entry.name, entry) for entry in entries)
        return []

    def live(self, zone: str | None = None) -> tuple[Member, ...]:
        """Return the hosts in service, optionally of one zone only."""
        return self.table.live(zone, self._now_ms)

    def serving(self) -> tuple[bodies.MemberRecord, ...]:
        """Return the records of `live`; the tuple is cached until a change."""
        return self.table.serving(self._now_ms)

    def all_members(self) -> tuple[Member, ...]:
        """Return every known host, whatever its state."""
        return self.table.all()

    def leave(self, now_ms: int) -> Effects:
        """Announce to peers that this host is leaving."""
        own = self.table.own
        self._replace_own(
            own.refutation + 1, bodies.MemberState.LEAVING, now_ms
        )
        return self.exchange_now(self._settings.announce_count, now_ms)

    def exchange_now(self, count: int, now_ms: int) -> Effects:
        """Start exchanges with ``count`` random hosts at once."""
        peers = self.table.peers()
        chosen = self._random.sample(peers, min(count, len(peers)))
        return [self._probe(record, now_ms) for record in chosen]

    @functools.singledispatchmethod
    def handle(self, message: typing.Any, now_ms: int) -> Effects:
        """Handle a message; messages for other components are ignored."""
        return []

    @handle.register
    def _(self, message: messages.TimerFired, now_ms: int) -> Effects:
        if message.token != TICK_TOKEN:
            return []
        self._now_ms = now_ms
        self._tick_count += 1
        self._detector.expire_suspicions(now_ms)
        self.table.purge_gone(now_ms)
        next_ms = now_ms + self._settings.interval_ms
        timer = effects.StartTimer(TICK_TOKEN, next_ms)
        return [timer] + self._tick_exchange(now_ms)

    @handle.register
    def _(self, message: messages.PeerMessage, now_ms: int) -> Effects:
        return self._reply_to(message.body, message, now_ms)

    @handle.register
    def _(self, message: messages.PeerReply, now_ms: int) -> Effects:
        if isinstance(message.body, bodies.MembersReply):
            return self._apply_repair(message, now_ms)
        new_effects = self._detector.handle_reply(message, now_ms)
        if isinstance(message.body, bodies.Exchange):
            new_effects += self._receive(message.body, now_ms)
        return new_effects

    @functools.singledispatchmethod
    def _reply_to(
        self,
        body: typing.Any,
        message: messages.PeerMessage,
        now_ms: int,
    ) -> Effects:
        return []

    @_reply_to.register
    def _(
        self,
        body: bodies.Exchange,
        message: messages.PeerMessage,
        now_ms: int,
    ) -> Effects:
        new_effects = self._receive(body, now_ms)
        reply = self._compose(body, now_ms)
        return [effects.ReplyPeer(message.reply_token, reply)] + new_effects

    @_reply_to.register
    def _(
        self,
        body: bodies.Ping,
        message: messages.PeerMessage,
        now_ms: int,
    ) -> Effects:
        return [effects.ReplyPeer(message.reply_token, bodies.Pong())]

    @_reply_to.register
    def _(
        self,
        body: bodies.IndirectProbe,
        message: messages.PeerMessage,
        now_ms: int,
    ) -> Effects:
        return self._detector.relay_probe(body, message.reply_token)

    @_reply_to.register
    def _(
        self,
        body: bodies.MembersRequest,
        message: messages.PeerMessage,
        now_ms: int,
    ) -> Effects:
        limit = self._settings.repair_limit
        records = self.table.records.differing_records(body.buckets, limit)
        members_reply = bodies.MembersReply(records, len(records) == limit)
        return [effects.ReplyPeer(message.reply_token, members_reply)]

    def _tick_exchange(self, now_ms: int) -> Effects:
        peers = self.table.peers()
        is_rejoin = (
            self._tick_count % self._settings.rejoin_interval_ticks == 0
        )
        if is_rejoin or not peers:
            candidates = self._unknown_entries() + self.table.gone()
            if candidates:
                chosen = self._random.choice(candidates)
                return [self._contact(chosen, now_ms)]
        if not peers:
            return []
        suspect = self._detector.next_suspect()
        return [self._probe(suspect or self._choose_peer(peers), now_ms)]

    def _choose_peer(
        self, peers: list[bodies.MemberRecord]
    ) -> bodies.MemberRecord:
        zone = self.table.own.host.zone
        same_zone = [record for record in peers if record.host.zone == zone]
        other_zones = [record for record in peers if record.host.zone != zone]
        is_cross_zone = self._random.random() < self._settings.cross_zone_share
        chosen = other_zones if is_cross_zone else same_zone
        return self._random.choice(chosen or same_zone or other_zones)

    def _contact(
        self, candidate: HostEntry | bodies.MemberRecord, now_ms: int
    ) -> effects.SendPeer:
        if isinstance(candidate, HostEntry):
            return self._exchange_with(
                candidate.name, 0, candidate.address, now_ms
            )
        return self._probe(candidate, now_ms)

    def _probe(
        self, record: bodies.MemberRecord, now_ms: int
    ) -> effects.SendPeer:
        host = record.host
        return self._exchange_with(
            host.name, host.incarnation, record.address, now_ms
        )

    def _exchange_with(
        self, name: str, incarnation: int, address: str, now_ms: int
    ) -> effects.SendPeer:
        token = self._token('exchange')
        self._detector.track_probe(token, name, incarnation)
        body = self._compose(None, now_ms)
        return effects.SendPeer(
            token, address, body, self._settings.timeout_ms
        )

    def _compose(
        self, peer_exchange: bodies.Exchange | None, now_ms: int
    ) -> bodies.Exchange:
        records = self.table.records
        deltas = records.next_deltas(self._settings.delta_limit, len(records))
        exchange = bodies.Exchange(
            sender=self.table.own,
            member_count=len(records),
            member_digest=records.digest,
            members=self._sender_correction(peer_exchange) + deltas,
        )
        for attachment in self._attachments:
            exchange = attachment.attach(exchange, peer_exchange, now_ms)
        return exchange

    def _sender_correction(
        self, peer_exchange: bodies.Exchange | None
    ) -> tuple[bodies.MemberRecord, ...]:
        """Return our record of the sender if its state differs here.

        A sender that is suspect or gone here can then refute it.
        """
        if peer_exchange is None:
            return ()
        current = self.table.records.get(peer_exchange.sender.host.name)
        if current is None or current.state is peer_exchange.sender.state:
            return ()
        return (current,)

    def _receive(self, exchange: bodies.Exchange, now_ms: int) -> Effects:
        host = exchange.sender.host
        for record in (exchange.sender, *exchange.members):
            self._merge(record, now_ms)
        current = self.table.records.get(host.name)
        if current is not None and current.host == host:
            self.table.record_report(host, exchange.sequence, now_ms)
        new_effects = self._repair_with(exchange, now_ms)
        for attachment in self._attachments:
            new_effects += attachment.receive(exchange, now_ms)
        return new_effects

    def _merge(
        self,
        record: bodies.MemberRecord,
        now_ms: int,
        is_forwarded: bool = True,
    ) -> bool:
        if record.host.name != self.table.own_name:
            return self.table.merge(record, now_ms, is_forwarded)
        if not self._contradicts_own(record):
            return False
        self._replace_own(record.refutation + 1, self.table.own.state, now_ms)
        return True

    def _contradicts_own(self, record: bodies.MemberRecord) -> bool:
        own = self.table.own
        is_same_incarnation = record.host.incarnation == own.host.incarnation
        is_newer = members.record_version(record) > members.record_version(own)
        is_sound = record.refutation < MAX_REFUTATION
        return is_same_incarnation and is_newer and is_sound

    def _replace_own(
        self, refutation: int, state: bodies.MemberState, now_ms: int
    ) -> None:
        own = attrs.evolve(self.table.own, refutation=refutation, state=state)
        self.table.merge(own, now_ms)

    def _repair_with(self, exchange: bodies.Exchange, now_ms: int) -> Effects:
        records = self.table.records
        is_equal = exchange.member_digest == records.digest
        # Pending deltas explain a difference between tables of similar size.
        is_transient = bool(exchange.members) or records.has_deltas
        is_behind = len(records) < exchange.member_count * MIN_SIZE_RATIO
        if is_equal or (is_transient and not is_behind):
            return []
        wait_ms = self._settings.repair_interval_ms
        if is_behind:
            wait_ms = self._settings.interval_ms
        if now_ms - self._last_repair_ms < wait_ms:
            return []
        self._last_repair_ms = now_ms
        return [self._request_repair(exchange.sender.address)]

    def _request_repair(self, address: str) -> effects.SendPeer:
        body = bodies.MembersRequest(self.table.records.buckets)
        return effects.SendPeer(
            f'{REPAIR_TOKEN}{address}',
            address,
            body,
            self._settings.timeout_ms,
        )

    def _apply_repair(
        self, message: messages.PeerReply, now_ms: int
    ) -> Effects:
        are_newer = [
            self._merge(record, now_ms, is_forwarded=False)
            for record in message.body.members
        ]
        if not message.body.is_partial or not any(are_newer):
            return []
        address = message.token.removeprefix(REPAIR_TOKEN)
        return [self._request_repair(address)]

    def _unknown_entries(self) -> list[HostEntry]:
        return [
            entry
            for entry in self._entries.values()
            if self.table.records.get(entry.name) is None
        ]

    def _token(self, purpose: str) -> str:
        return f'members:{purpose}:{next(self._numbers)}'
