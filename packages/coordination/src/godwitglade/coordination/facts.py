"""Small keyed facts that every host learns within seconds.

Facts travel on the exchange, newest first, and urgent ones are passed on at
once. Each has a time to live, so that nothing has to be cleaned up after a
host that is gone. The number kept and the number sent are bounded.
"""

import functools
import random as randoms
import typing

import attrs

from godwitglade.common import clock
from godwitglade.common import codec
from godwitglade.coordination import bodies
from godwitglade.coordination import effects
from godwitglade.coordination import hosts
from godwitglade.coordination import membership as memberships
from godwitglade.coordination import messages
from godwitglade.coordination import replicas
from godwitglade.coordination import usage

Effects = list[typing.Any]

TICK_TOKEN = 'facts:tick'
REPAIR_TOKEN = 'facts:repair:'
TICK_MS = clock.SECOND_MS

USAGE_KIND = 'usage'

#: Kinds of which each host keeps a value of its own under the same key.
PER_ORIGIN_KINDS = frozenset({'strike'})

FACT_LIMIT = 4_096
VALUE_LIMIT_BYTES = 512
DELTA_LIMIT = 8
REPAIR_LIMIT = 64
REPAIR_INTERVAL_MS = 5 * clock.SECOND_MS

#: Hosts that hear an urgent fact at once from each host that learns it.
URGENT_COUNT = 3

#: Urgent sends that one host starts in a second at most.
URGENT_PER_S = 4

#: A fact about to end is not taken in again from a slower host.
MIN_TTL_MS = 2 * clock.SECOND_MS

#: The end of a fact outlives the copies of it that are still under way.
END_MARGIN_MS = 10 * clock.SECOND_MS


class Facts:
    """The facts known to one host."""

    def __init__(self, self_id: hosts.HostId, random: randoms.Random) -> None:
        self._self_id = self_id
        self._random = random
        self._records = replicas.Replicas(_version_of)
        self._expiry_ms: dict[str, int] = {}
        self._usage = usage.Usage()
        self._membership: memberships.Membership | None = None
        self._repaired_ms = -REPAIR_INTERVAL_MS
        self._urgent_left = URGENT_PER_S

    def __len__(self) -> int:
        return len(self._records)

    def start(self, now_ms: int) -> Effects:
        """Start the timer that ends facts."""
        return [effects.StartTimer(TICK_TOKEN, now_ms + TICK_MS)]

    def publish(self, fact: effects.PublishFact, now_ms: int) -> Effects:
        """Make a fact known to every host, this one included.

        A fact whose value is too large, or that finds the table full of
        longer-lived facts, is dropped and counted.
        """
        if fact.kind == USAGE_KIND:
            self._usage.publish(fact.key, fact.value or 0, now_ms)
            return []
        if len(codec.to_json(fact.value)) > VALUE_LIMIT_BYTES:
            return [effects.Count('facts.too_large')]
        record = self._next_record(fact, now_ms)
        found = self._take(record, now_ms)
        if fact.is_urgent:
            found += self._send_urgently(now_ms)
        return found

    def find(self, kind: str) -> tuple[bodies.FactRecord, ...]:
        """Return the facts of ``kind`` that have not ended."""
        return tuple(
            record
            for record in self._records
            if record.kind == kind and record.value is not None
        )

    def bind(self, membership: memberships.Membership) -> None:
        """Learn the membership that carries the facts."""
        self._membership = membership

    def attach(
        self,
        exchange: bodies.Exchange,
        theirs: bodies.Exchange | None,
        now_ms: int,
    ) -> bodies.Exchange:
        """Add the facts to send, their digest and the own usage."""
        host_count = len(self._membership.table.records)
        deltas = self._records.take_deltas(DELTA_LIMIT, host_count)
        return attrs.evolve(
            exchange,
            fact_digest=self._records.digest,
            facts=self._with_ttl(deltas, now_ms),
            usage=self._usage.sample(now_ms),
        )

    def receive(self, exchange: bodies.Exchange, now_ms: int) -> Effects:
        """Take in the facts of a peer."""
        name = exchange.sender.host.name
        self._usage.receive(name, exchange.usage, now_ms)
        found = self._take_all(exchange.facts, now_ms)
        return found + self._repair_with(exchange, now_ms)

    @functools.singledispatchmethod
    def handle(self, message: typing.Any, now_ms: int) -> Effects:
        """Take in a message; those of other parts are ignored."""
        return []

    @handle.register
    def _(self, message: messages.TimerFired, now_ms: int) -> Effects:
        if message.token != TICK_TOKEN:
            return []
        self._urgent_left = URGENT_PER_S
        timer = effects.StartTimer(TICK_TOKEN, now_ms + TICK_MS)
        return [timer, *self._end_expired(now_ms), *self._tell_usage(now_ms)]

    @handle.register
    def _(self, message: messages.PeerMessage, now_ms: int) -> Effects:
        if not isinstance(message.body, bodies.FactsCompared):
            return []
        records = self._records.differing(message.body.buckets, REPAIR_LIMIT)
        given = bodies.FactsGiven(
            self._with_ttl(records, now_ms), len(records) == REPAIR_LIMIT
        )
        return [effects.ReplyPeer(message.reply_token, given)]

    @handle.register
    def _(self, message: messages.PeerReply, now_ms: int) -> Effects:
        if not isinstance(message.body, bodies.FactsGiven):
            return []
        found = self._take_all(message.body.facts, now_ms, is_news=False)
        if not (found and message.body.is_partial):
            return found
        address = message.token.removeprefix(REPAIR_TOKEN)
        return found + [self._ask_repair(address)]

    def _next_record(
        self, fact: effects.PublishFact, now_ms: int
    ) -> bodies.FactRecord:
        key = _key_of(fact.kind, fact.key, self._self_id.name)
        held = self._records.get(key)
        version = held.version + 1 if held else 1
        ttl_ms = fact.ttl_ms
        if fact.value is None:
            left_ms = self._expiry_ms.get(key, now_ms) - now_ms
            ttl_ms = max(ttl_ms, left_ms) + END_MARGIN_MS
        return bodies.FactRecord(
            fact.kind,
            fact.key,
            self._self_id.name,
            # A new life must not count below the facts of the one before.
            max(version, self._self_id.incarnation),
            fact.value,
            ttl_ms,
            fact.is_urgent,
        )

    def _take_all(
        self,
        records: tuple[bodies.FactRecord, ...],
        now_ms: int,
        is_news: bool = True,
    ) -> Effects:
        found: Effects = []
        is_urgent = False
        for record in records:
            if record.ttl_ms < MIN_TTL_MS:
                continue
            learned = self._take(record, now_ms, is_news)
            is_urgent |= record.is_urgent and is_news and bool(learned)
            found += learned
        if is_urgent:
            found += self._send_urgently(now_ms)
        return found

    def _take(
        self,
        record: bodies.FactRecord,
        now_ms: int,
        is_news: bool = True,
    ) -> Effects:
        key = _key_of(record.kind, record.key, record.origin)
        expiry_ms = now_ms + record.ttl_ms
        if key not in self._expiry_ms and not self._make_room(expiry_ms):
            return [effects.Count('facts.dropped')]
        if not self._records.merge(key, record, is_news):
            return []
        self._expiry_ms[key] = expiry_ms
        return [_learned(record, record.value)]

    def _make_room(self, expiry_ms: int) -> bool:
        """Give up the fact that ends first when the table is full."""
        if len(self._expiry_ms) < FACT_LIMIT:
            return True
        first = min(self._expiry_ms, key=self._expiry_ms.__getitem__)
        if self._expiry_ms[first] >= expiry_ms:
            return False
        self._records.discard(first)
        del self._expiry_ms[first]
        return True

    def _end_expired(self, now_ms: int) -> Effects:
        due = [
            key
            for key, expiry_ms in self._expiry_ms.items()
            if expiry_ms <= now_ms
        ]
        ended = [self._records.get(key) for key in due]
        for key in due:
            self._records.discard(key)
            del self._expiry_ms[key]
        return [
            _learned(record, None)
            for record in ended
            if record.value is not None
        ]

    def _tell_usage(self, now_ms: int) -> Effects:
        host_count = len(self._membership.serving())
        news = self._usage.news(host_count, now_ms)
        return [
            effects.Deliver(
                messages.FactLearned(USAGE_KIND, workspace, count, 'fleet')
            )
            for workspace, count in news.items()
        ]

    def _send_urgently(self, now_ms: int) -> Effects:
        if not self._urgent_left:
            return []
        self._urgent_left -= 1
        return self._membership.exchange_now(URGENT_COUNT, now_ms)

    def _repair_with(self, exchange: bodies.Exchange, now_ms: int) -> Effects:
        is_equal = exchange.fact_digest == self._records.digest
        is_transient = bool(exchange.facts) or self._records.has_deltas
        is_recent = now_ms - self._repaired_ms < REPAIR_INTERVAL_MS
        if is_equal or is_transient or is_recent:
            return []
        self._repaired_ms = now_ms
        return [self._ask_repair(exchange.sender.address)]

    def _ask_repair(self, address: str) -> effects.SendPeer:
        body = bodies.FactsCompared(self._records.buckets)
        return effects.SendPeer(
            REPAIR_TOKEN + address, address, body, clock.SECOND_MS
        )

    def _with_ttl(
        self, records: tuple[bodies.FactRecord, ...], now_ms: int
    ) -> tuple[bodies.FactRecord, ...]:
        return tuple(
            attrs.evolve(record, ttl_ms=self._ttl_ms(record, now_ms))
            for record in records
        )

    def _ttl_ms(self, record: bodies.FactRecord, now_ms: int) -> int:
        key = _key_of(record.kind, record.key, record.origin)
        return max(0, self._expiry_ms[key] - now_ms)


def _key_of(kind: str, key: str, origin: str) -> str:
    if kind in PER_ORIGIN_KINDS:
        return '\0'.join((kind, key, origin))
    return '\0'.join((kind, key))


def _version_of(record: bodies.FactRecord) -> tuple[int, str]:
    return (record.version, record.origin)


def _learned(record: bodies.FactRecord, value: typing.Any) -> effects.Deliver:
    return effects.Deliver(
        messages.FactLearned(record.kind, record.key, value, record.origin)
    )
