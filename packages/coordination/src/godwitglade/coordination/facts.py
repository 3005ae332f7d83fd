"""Small keyed facts, replicated to every host within seconds.

The exchange carries facts, newest first, and urgent ones are forwarded at
once. Each fact has a time to live, so that the facts of a host that is gone
need no cleanup. The numbers of facts stored and sent are bounded.
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
from godwitglade.coordination import replicated_map
from godwitglade.coordination import usage

Effects = list[typing.Any]

TICK_TOKEN = 'facts:tick'
REPAIR_TOKEN = 'facts:repair:'
TICK_MS = clock.SECOND_MS

USAGE_KIND = 'usage'

#: Kinds with a separate value for each host under the same key.
PER_ORIGIN_KINDS = frozenset({'strike', 'crash', 'sound'})

FACT_LIMIT = 4_096
VALUE_LIMIT_BYTES = 512
DELTA_LIMIT = 8
REPAIR_LIMIT = 64
REPAIR_INTERVAL_MS = 5 * clock.SECOND_MS

#: Peers to which each host forwards a newly received urgent fact at once.
URGENT_FANOUT = 3

#: Maximum rate at which one host starts urgent exchanges.
URGENT_SENDS_PER_S = 4

#: Versions above this, and longer times to live, are not believed.
MAX_VERSION = 2**52
MAX_TTL_MS = 60 * clock.MINUTE_MS

#: A fact about to expire is not applied again from a slower host.
MIN_TTL_MS = 2 * clock.SECOND_MS

#: The tombstone of a fact outlives the copies of it still in transit.
TOMBSTONE_MARGIN_MS = 10 * clock.SECOND_MS


class Facts:
    """The facts stored on one host."""

    def __init__(self, self_id: hosts.HostId, random: randoms.Random) -> None:
        self._self_id = self_id
        self._random = random
        self._records = replicated_map.ReplicatedMap(_version_of)
        self._expiry_ms: dict[str, int] = {}
        self._usage_estimator = usage.UsageEstimator()
        self._membership: memberships.Membership | None = None
        self._last_repair_ms = -REPAIR_INTERVAL_MS
        self._urgent_sends_left = URGENT_SENDS_PER_S

    def __len__(self) -> int:
        return len(self._records)

    def start(self, now_ms: int) -> Effects:
        """Start the timer that expires facts."""
        return [effects.StartTimer(TICK_TOKEN, now_ms + TICK_MS)]

    def publish(self, fact: effects.PublishFact, now_ms: int) -> Effects:
        """Publish a fact to every host, including this one.

        The fact is dropped and counted if its value is too large, or if the
        table is full of facts that expire later.
        """
        if fact.kind == USAGE_KIND:
            self._usage_estimator.publish(fact.key, fact.value or 0, now_ms)
            return []
        if len(codec.to_json(fact.value)) > VALUE_LIMIT_BYTES:
            return [effects.Count('facts.too_large')]
        record = self._next_record(fact, now_ms)
        new_effects = self._apply(record, now_ms)
        if fact.is_urgent:
            new_effects += self._send_urgently(now_ms)
        return new_effects

    def find(self, kind: str) -> tuple[bodies.FactRecord, ...]:
        """Return the facts of ``kind`` that are not removed or expired."""
        return tuple(
            record
            for record in self._records
            if record.kind == kind and record.value is not None
        )

    def bind(self, membership: memberships.Membership) -> None:
        """Set the membership whose exchanges carry the facts."""
        self._membership = membership

    def attach(
        self,
        exchange: bodies.Exchange,
        peer_exchange: bodies.Exchange | None,
        now_ms: int,
    ) -> bodies.Exchange:
        """Add facts to send, the digest and the usage of this host."""
        host_count = len(self._membership.table.records)
        deltas = self._records.next_deltas(DELTA_LIMIT, host_count)
        return attrs.evolve(
            exchange,
            fact_digest=self._records.digest,
            facts=self._with_remaining_ttl(deltas, now_ms),
            usage=self._usage_estimator.sample(now_ms),
        )

    def receive(self, exchange: bodies.Exchange, now_ms: int) -> Effects:
        """Apply the facts and the usage of a peer."""
        name = exchange.sender.host.name
        self._usage_estimator.receive(name, exchange.usage, now_ms)
        new_effects = self._apply_all(exchange.facts, now_ms)
        return new_effects + self._repair_with(exchange, now_ms)

    @functools.singledispatchmethod
    def handle(self, message: typing.Any, now_ms: int) -> Effects:
        """Handle a message; messages for other components are ignored."""
        return []

    @handle.register
    def _(self, message: messages.TimerFired, now_ms: int) -> Effects:
        if message.token != TICK_TOKEN:
            return []
        self._urgent_sends_left = URGENT_SENDS_PER_S
        timer = effects.StartTimer(TICK_TOKEN, now_ms + TICK_MS)
        return [
            timer,
            *self._remove_expired(now_ms),
            *self._report_usage(now_ms),
        ]

    @handle.register
    def _(self, message: messages.PeerMessage, now_ms: int) -> Effects:
        if not isinstance(message.body, bodies.FactsRequest):
            return []
        records = self._records.differing_records(
            message.body.buckets, REPAIR_LIMIT
        )
        reply = bodies.FactsReply(
            self._with_remaining_ttl(records, now_ms),
            len(records) == REPAIR_LIMIT,
        )
        return [effects.ReplyPeer(message.reply_token, reply)]

    @handle.register
    def _(self, message: messages.PeerReply, now_ms: int) -> Effects:
        if not isinstance(message.body, bodies.FactsReply):
            return []
        new_effects = self._apply_all(
            message.body.facts, now_ms, is_forwarded=False
        )
        if not (new_effects and message.body.is_partial):
            return new_effects
        address = message.token.removeprefix(REPAIR_TOKEN)
        return new_effects + [self._request_repair(address)]

    def _next_record(
        self, fact: effects.PublishFact, now_ms: int
    ) -> bodies.FactRecord:
        key = _key_of(fact.kind, fact.key, self._self_id.name)
        current = self._records.get(key)
        version = current.version + 1 if current else 1
        ttl_ms = fact.ttl_ms
        if fact.value is None:
            remaining_ms = self._expiry_ms.get(key, now_ms) - now_ms
            ttl_ms = max(ttl_ms, remaining_ms) + TOMBSTONE_MARGIN_MS
        return bodies.FactRecord(
            fact.kind,
            fact.key,
            self._self_id.name,
            # Versions must exceed those of the previous incarnation.
            max(version, self._self_id.incarnation),
            fact.value,
            ttl_ms,
            fact.is_urgent,
        )

    def _apply_all(
        self,
        records: tuple[bodies.FactRecord, ...],
        now_ms: int,
        is_forwarded: bool = True,
    ) -> Effects:
        new_effects: Effects = []
        is_urgent = False
        for record in records:
            if record.ttl_ms < MIN_TTL_MS or not _is_sound(record):
                continue
            record_effects = self._apply(record, now_ms, is_forwarded)
            is_urgent |= (
                record.is_urgent and is_forwarded and bool(record_effects)
            )
            new_effects += record_effects
        if is_urgent:
            new_effects += self._send_urgently(now_ms)
        return new_effects

    def _apply(
        self,
        record: bodies.FactRecord,
        now_ms: int,
        is_forwarded: bool = True,
    ) -> Effects:
        key = _key_of(record.kind, record.key, record.origin)
        expiry_ms = now_ms + min(record.ttl_ms, MAX_TTL_MS)
        if key not in self._expiry_ms and not self._ensure_capacity(expiry_ms):
            return [effects.Count('facts.dropped')]
        if not self._records.merge(key, record, is_forwarded):
            return []
        self._expiry_ms[key] = expiry_ms
        return [_fact_changed(record, record.value)]

    def _ensure_capacity(self, expiry_ms: int) -> bool:
        """Evict the fact that expires first if the table is full."""
        if len(self._expiry_ms) < FACT_LIMIT:
            return True
        earliest = min(self._expiry_ms, key=self._expiry_ms.__getitem__)
        if self._expiry_ms[earliest] >= expiry_ms:
            return False
        self._records.discard(earliest)
        del self._expiry_ms[earliest]
        return True

    def _remove_expired(self, now_ms: int) -> Effects:
        expired_keys = [
            key
            for key, expiry_ms in self._expiry_ms.items()
            if expiry_ms <= now_ms
        ]
        expired_records = [self._records.get(key) for key in expired_keys]
        for key in expired_keys:
            self._records.discard(key)
            del self._expiry_ms[key]
        return [
            _fact_changed(record, None)
            for record in expired_records
            if record.value is not None
        ]

    def _report_usage(self, now_ms: int) -> Effects:
        host_count = len(self._membership.serving())
        changed_estimates = self._usage_estimator.changed_estimates(
            host_count, now_ms
        )
        return [
            effects.Deliver(
                messages.FactChanged(USAGE_KIND, workspace, count, 'fleet')
            )
            for workspace, count in changed_estimates.items()
        ]

    def _send_urgently(self, now_ms: int) -> Effects:
        if not self._urgent_sends_left:
            return []
        self._urgent_sends_left -= 1
        return self._membership.exchange_now(URGENT_FANOUT, now_ms)

    def _repair_with(self, exchange: bodies.Exchange, now_ms: int) -> Effects:
        is_equal = exchange.fact_digest == self._records.digest
        is_transient = bool(exchange.facts) or self._records.has_deltas
        is_recent = now_ms - self._last_repair_ms < REPAIR_INTERVAL_MS
        if is_equal or is_transient or is_recent:
            return []
        self._last_repair_ms = now_ms
        return [self._request_repair(exchange.sender.address)]

    def _request_repair(self, address: str) -> effects.SendPeer:
        body = bodies.FactsRequest(self._records.buckets)
        return effects.SendPeer(
            REPAIR_TOKEN + address, address, body, clock.SECOND_MS
        )

    def _with_remaining_ttl(
        self, records: tuple[bodies.FactRecord, ...], now_ms: int
    ) -> tuple[bodies.FactRecord, ...]:
        return tuple(
            attrs.evolve(record, ttl_ms=self._remaining_ttl_ms(record, now_ms))
            for record in records
        )

    def _remaining_ttl_ms(self, record: bodies.FactRecord, now_ms: int) -> int:
        key = _key_of(record.kind, record.key, record.origin)
        return max(0, self._expiry_ms[key] - now_ms)


def _key_of(kind: str, key: str, origin: str) -> str:
    if kind in PER_ORIGIN_KINDS:
        return '\0'.join((kind, key, origin))
    return '\0'.join((kind, key))


def _is_sound(record: bodies.FactRecord) -> bool:
    """Return whether a fact of another host can be sent on."""
    try:
        size_bytes = len(codec.to_json(record.value))
    except (TypeError, RecursionError):
        return False
    return size_bytes <= VALUE_LIMIT_BYTES and record.version <= MAX_VERSION


def _version_of(record: bodies.FactRecord) -> tuple[int, str]:
    return (record.version, record.origin)


def _fact_changed(
    record: bodies.FactRecord, value: typing.Any
) -> effects.Deliver:
    return effects.Deliver(
        messages.FactChanged(record.kind, record.key, value, record.origin)
    )
