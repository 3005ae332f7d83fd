"""Membership: one exchange a second is probe, push and pull at once.

Each host sends one `bodies.Exchange` a second to a random host, whatever
the size of the fleet. A host that does not answer is probed through two
others, then suspected, then gone unless it contradicts the suspicion with a
higher refutation number.
"""

import functools
import itertools
import random as randoms
import typing

import attrs

from godwitglade.coordination import bodies
from godwitglade.coordination import detection
from godwitglade.coordination import effects
from godwitglade.coordination import hosts
from godwitglade.coordination import members
from godwitglade.coordination import messages

Member = members.Member
HostEntry = members.HostEntry
Settings = detection.Settings
Effects = list[typing.Any]

TICK_TOKEN = 'members:tick'
REPAIR_TOKEN = 'members:repair:'

#: A table smaller than this share of a peer's is repaired at once.
NEAR_SIZE = 0.9


class Attachment(typing.Protocol):
    """A part whose data travels on the exchange."""

    def bind(self, membership: 'Membership') -> None:
        """Learn the membership that carries this part's data."""

    def attach(
        self,
        exchange: bodies.Exchange,
        theirs: bodies.Exchange | None,
        now_ms: int,
    ) -> bodies.Exchange:
        """Return ``exchange`` with this part's data; a reply has ``theirs``.

        The result goes to one peer only.
        """

    def receive(self, exchange: bodies.Exchange, now_ms: int) -> Effects:
        """Take in this part's data of a peer's exchange or reply."""


class Membership:
    """The hosts as seen from one of them, and the exchange with them."""

    def __init__(
        self,
        self_id: hosts.HostId,
        address: str,
        random: randoms.Random,
        attachments: tuple[Attachment, ...] = (),
        settings: detection.Settings = detection.Settings(),
    ) -> None:
        own = bodies.MemberRecord(self_id, address)
        self.table = members.Table(own)
        self._random = random
        self._attachments = attachments
        self._settings = settings
        self._numbers = itertools.count(1)
        self._tick_count = 0
        self._detector = detection.Detector(self.table, random, settings)
        self._entries: dict[str, HostEntry] = {}
        self._repaired_ms = -settings.repair_interval_ms
        self._now_ms = 0
        for attachment in attachments:
            attachment.bind(self)

    def start(self, now_ms: int) -> Effects:
        """Begin: contact some of the hosts listed and start the timer."""
        self._now_ms = now_ms
        jitter_ms = self._random.randrange(self._settings.interval_ms)
        timer = effects.StartTimer(TICK_TOKEN, now_ms + jitter_ms)
        entries = self._unmet_entries()
        count = min(len(entries), self._settings.start_count)
        chosen = self._random.sample(entries, count)
        return [timer] + [
            self._exchange_with(entry.name, 0, entry.address, now_ms)
            for entry in chosen
        ]

    def listed(
        self, entries: typing.Iterable[HostEntry], now_ms: int
    ) -> Effects:
        """Take in hosts from settings or from the lagging host list."""
        self._entries.update((entry.name, entry) for entry in entries)
        return []

    def live(self, zone: str | None = None) -> tuple[Member, ...]:
        """Return the hosts in service, this one included, maybe by zone."""
        return self.table.live(zone, self._now_ms)

    def serving(self) -> tuple[bodies.MemberRecord, ...]:
        """Return the records of `live`; the same tuple until one changes."""
        return self.table.serving(self._now_ms)

    def all_members(self) -> tuple[Member, ...]:
        """Return every host known, whatever its state."""
        return self.table.all()

    def leave(self, now_ms: int) -> Effects:
        """Announce that this host is leaving."""
        own = self.table.own
        self._replace_own(
            own.refutation + 1, bodies.MemberState.LEAVING, now_ms
        )
        return self.exchange_now(self._settings.start_count, now_ms)

    def exchange_now(self, count: int, now_ms: int) -> Effects:
        """Exchange with ``count`` random hosts without waiting."""
        peers = self.table.peers()
        chosen = self._random.sample(peers, min(count, len(peers)))
        return [self._probe(record, now_ms) for record in chosen]

    @functools.singledispatchmethod
    def handle(self, message: typing.Any, now_ms: int) -> Effects:
        """Take in a message; those of other parts are ignored."""
        return []

    @handle.register
    def _(self, message: messages.TimerFired, now_ms: int) -> Effects:
        if message.token != TICK_TOKEN:
            return []
        self._now_ms = now_ms
        self._tick_count += 1
        self._detector.end_suspicions(now_ms)
        self.table.forget_gone(now_ms)
        next_ms = now_ms + self._settings.interval_ms
        timer = effects.StartTimer(TICK_TOKEN, next_ms)
        return [timer] + self._tick_exchange(now_ms)

    @handle.register
    def _(self, message: messages.PeerMessage, now_ms: int) -> Effects:
        return self._answer(message.body, message, now_ms)

    @handle.register
    def _(self, message: messages.PeerReply, now_ms: int) -> Effects:
        if isinstance(message.body, bodies.MembersGiven):
            return self._take_repair(message, now_ms)
        found = self._detector.settle(message, now_ms)
        if isinstance(message.body, bodies.Exchange):
            found += self._receive(message.body, now_ms)
        return found

    @functools.singledispatchmethod
    def _answer(
        self,
        body: typing.Any,
        message: messages.PeerMessage,
        now_ms: int,
    ) -> Effects:
        return []

    @_answer.register
    def _(
        self,
        body: bodies.Exchange,
        message: messages.PeerMessage,
        now_ms: int,
    ) -> Effects:
        found = self._receive(body, now_ms)
        reply = self._compose(body, now_ms)
        return [effects.ReplyPeer(message.reply_token, reply)] + found

    @_answer.register
    def _(
        self,
        body: bodies.Ping,
        message: messages.PeerMessage,
        now_ms: int,
    ) -> Effects:
        return [effects.ReplyPeer(message.reply_token, bodies.Pong())]

    @_answer.register
    def _(
        self,
        body: bodies.IndirectProbe,
        message: messages.PeerMessage,
        now_ms: int,
    ) -> Effects:
        return self._detector.relay(body, message.reply_token)

    @_answer.register
    def _(
        self,
        body: bodies.MembersCompared,
        message: messages.PeerMessage,
        now_ms: int,
    ) -> Effects:
        limit = self._settings.repair_limit
        records = self.table.records.differing(body.buckets, limit)
        given = bodies.MembersGiven(records, len(records) == limit)
        return [effects.ReplyPeer(message.reply_token, given)]

    def _tick_exchange(self, now_ms: int) -> Effects:
        peers = self.table.peers()
        is_rejoin = self._tick_count % self._settings.rejoin_every == 0
        if is_rejoin or not peers:
            strangers = self._unmet_entries() + self.table.gone()
            if strangers:
                chosen = self._random.choice(strangers)
                return [self._contact(chosen, now_ms)]
        if not peers:
            return []
        accused = self._detector.next_accused()
        return [self._probe(accused or self._choose_peer(peers), now_ms)]

    def _choose_peer(
        self, peers: list[bodies.MemberRecord]
    ) -> bodies.MemberRecord:
        zone = self.table.own.host.zone
        near = [record for record in peers if record.host.zone == zone]
        far = [record for record in peers if record.host.zone != zone]
        is_far = self._random.random() < self._settings.far_share
        chosen = far if is_far else near
        return self._random.choice(chosen or near or far)

    def _contact(
        self, stranger: HostEntry | bodies.MemberRecord, now_ms: int
    ) -> effects.SendPeer:
        if isinstance(stranger, HostEntry):
            return self._exchange_with(
                stranger.name, 0, stranger.address, now_ms
            )
        return self._probe(stranger, now_ms)

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
        self._detector.expect(token, name, incarnation)
        body = self._compose(None, now_ms)
        return effects.SendPeer(
            token, address, body, self._settings.timeout_ms
        )

    def _compose(
        self, theirs: bodies.Exchange | None, now_ms: int
    ) -> bodies.Exchange:
        records = self.table.records
        deltas = records.take_deltas(self._settings.delta_limit, len(records))
        exchange = bodies.Exchange(
            sender=self.table.own,
            member_count=len(records),
            member_digest=records.digest,
            members=self._about_sender(theirs) + deltas,
        )
        for attachment in self._attachments:
            exchange = attachment.attach(exchange, theirs, now_ms)
        return exchange

    def _about_sender(
        self, theirs: bodies.Exchange | None
    ) -> tuple[bodies.MemberRecord, ...]:
        """Return our record of a sender that is taken for dead here."""
        if theirs is None:
            return ()
        held = self.table.records.get(theirs.sender.host.name)
        if held is None or held.state is theirs.sender.state:
            return ()
        return (held,)

    def _receive(self, exchange: bodies.Exchange, now_ms: int) -> Effects:
        host = exchange.sender.host
        for record in (exchange.sender, *exchange.members):
            self._merge(record, now_ms)
        held = self.table.records.get(host.name)
        if held is not None and held.host == host:
            self.table.hear(host, exchange.sequence, now_ms)
        found = self._repair_with(exchange, now_ms)
        for attachment in self._attachments:
            found += attachment.receive(exchange, now_ms)
        return found

    def _merge(
        self,
        record: bodies.MemberRecord,
        now_ms: int,
        is_news: bool = True,
    ) -> bool:
        if record.host.name != self.table.own_name:
            return self.table.merge(record, now_ms, is_news)
        if not self._contradicts_own(record):
            return False
        self._replace_own(record.refutation + 1, self.table.own.state, now_ms)
        return True

    def _contradicts_own(self, record: bodies.MemberRecord) -> bool:
        own = self.table.own
        is_same_life = record.host.incarnation == own.host.incarnation
        is_newer = members.record_version(record) > members.record_version(own)
        return is_same_life and is_newer

    def _replace_own(
        self, refutation: int, state: bodies.MemberState, now_ms: int
    ) -> None:
        own = attrs.evolve(self.table.own, refutation=refutation, state=state)
        self.table.merge(own, now_ms)

    def _repair_with(self, exchange: bodies.Exchange, now_ms: int) -> Effects:
        records = self.table.records
        is_equal = exchange.member_digest == records.digest
        # Deltas under way explain a difference between tables of one size.
        is_transient = bool(exchange.members) or records.has_deltas
        is_behind = len(records) < exchange.member_count * NEAR_SIZE
        if is_equal or (is_transient and not is_behind):
            return []
        wait_ms = self._settings.repair_interval_ms
        if is_behind:
            wait_ms = self._settings.interval_ms
        if now_ms - self._repaired_ms < wait_ms:
            return []
        self._repaired_ms = now_ms
        return [self._ask_repair(exchange.sender.address)]

    def _ask_repair(self, address: str) -> effects.SendPeer:
        body = bodies.MembersCompared(self.table.records.buckets)
        return effects.SendPeer(
            f'{REPAIR_TOKEN}{address}',
            address,
            body,
            self._settings.timeout_ms,
        )

    def _take_repair(
        self, message: messages.PeerReply, now_ms: int
    ) -> Effects:
        news = [
            self._merge(record, now_ms, is_news=False)
            for record in message.body.members
        ]
        if not message.body.is_partial or not any(news):
            return []
        address = message.token.removeprefix(REPAIR_TOKEN)
        return [self._ask_repair(address)]

    def _unmet_entries(self) -> list[HostEntry]:
        return [
            entry
            for entry in self._entries.values()
            if self.table.records.get(entry.name) is None
        ]

    def _token(self, purpose: str) -> str:
        return f'members:{purpose}:{next(self._numbers)}'
