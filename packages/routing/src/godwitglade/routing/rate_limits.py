"""Limits that targets name, and the permits to send to such targets.

A host that hears a limit tells all others, as a fact. Before a request is
sent to a limited target, its host asks the first host in rendezvous order of
the pool for a permit (see `permit_schedule`). A host that gets none, or no
reply, uses other targets until the time that it was told. Cold targets are
limited too, without naming a limit (see `cold_targets`, `permit_hosts`).
"""

import collections
import functools
import itertools
import typing

import attrs

from godwitglade.common import clock as clocks
from godwitglade.common import events
from godwitglade.coordination import effects as shared_effects
from godwitglade.coordination import membership as memberships
from godwitglade.coordination import messages as shared_messages
from godwitglade.routing import adaptive_rates
from godwitglade.routing import bodies
from godwitglade.routing import cold_targets
from godwitglade.routing import document_state
from godwitglade.routing import hand_over
from godwitglade.routing import permit_hosts
from godwitglade.routing import permit_schedule
from godwitglade.routing import rendezvous
from godwitglade.routing import targets

Effects = list[typing.Any]

TOKEN = 'limits:'
FACT_KIND = 'limit'

#: Time for which a limit is known that no response has named again.
TTL_MS = 10 * clocks.MINUTE_MS
#: Intervals at which a host tells the others of a limit.
MIN_PUBLISH_MS = clocks.SECOND_MS
REPEAT_PUBLISH_MS = clocks.MINUTE_MS
#: A limit ends after this many responses without it, and this time.
ENDING_RESPONSES = 2
ENDING_MS = 2 * clocks.SECOND_MS
#: Time in which the host that schedules a target has to reply, and for which
#: the target is not used if it does not.
REPLY_TIMEOUT_MS = 150
SILENCE_MS = 300
#: Bounds of what comes from other hosts, and of what is kept.
MAX_PERMITS = 100
MAX_WAIT_MS = 20 * clocks.SECOND_MS
MAX_TEXT_LENGTH = 400
MAX_LIMITS = 1_024
MAX_SCHEDULES = 1_024
MAX_CANDIDATES = 32


@attrs.define(eq=False)
class _Limit:
    milli_per_s: int
    heard_ms: int
    is_adaptive: bool = False
    told_ms: int | None = None
    told_milli_per_s: int | None = None
    responses_without: int = 0


@attrs.define(eq=False)
class _Use:
    """How this host uses a target that it needs permits for."""

    turned_away: int = 0
    closed_until_ms: int = 0
    permits_until_ms: list[int] = attrs.Factory(list)
    sent_ms: collections.deque[int] = attrs.Factory(collections.deque)


class RateLimits:
    """The limits known to this host, and the schedules that it keeps."""

    def __init__(
        self,
        self_name: str,
        members: memberships.Membership,
        cut_off: hand_over.CutOffHosts,
        cold: cold_targets.ColdTargets | None = None,
    ) -> None:
        self._cut_off = cut_off
        self._self_name = self_name
        self._members = members
        self.cold = cold or cold_targets.ColdTargets(
            document_state.DocumentState()
        )
        self.permit_hosts = permit_hosts.PermitHosts(members, cut_off)
        self._limits: dict[str, _Limit] = {}
        self._uses: dict[str, _Use] = {}
        self._ended: set[str] = set()
        self._rates = adaptive_rates.AdaptiveRates()
        self._schedules: collections.OrderedDict[
            str, permit_schedule.PermitSchedule
        ] = collections.OrderedDict()

    def record_response(
        self,
        target: targets.Target | None,
        named: targets.NamedLimit | None,
        sent_ms: int,
        now_ms: int,
    ) -> Effects:
        """Record what a target named in a response to a request."""
        if target is None:
            return []
        if named is not None:
            return self.record_limit(target, named, now_ms)
        key = key_of(target)
        limit = self._limits.get(key)
        if limit is None or sent_ms < limit.heard_ms:
            # Sent before the target named its limit.
            return []
        limit.responses_without += 1
        is_quiet = now_ms - limit.heard_ms >= ENDING_MS
        if limit.responses_without < ENDING_RESPONSES or not is_quiet:
            return []
        fact = shared_effects.PublishFact(FACT_KIND, key, None, TTL_MS, True)
        return [*self._end(key), fact]

    def record_limit(
        self,
        target: targets.Target | None,
        named: targets.NamedLimit | None,
        now_ms: int,
    ) -> Effects:
        """Record a limit that a target names, also if it ran nothing."""
        if target is None or named is None or named.milli_per_s is None:
            return []
        key = key_of(target)
        logs = self._set(key, named.milli_per_s, now_ms)
        limit = self._limits[key]
        limit.is_adaptive = named.is_adaptive
        since_ms = now_ms - (limit.told_ms or 0)
        is_new = limit.told_ms is None
        is_changed = (
            limit.told_milli_per_s != limit.milli_per_s
            and since_ms >= MIN_PUBLISH_MS
        )
        if not (is_new or is_changed or since_ms >= REPEAT_PUBLISH_MS):
            return logs
        _set_told(limit, now_ms)
        value = [limit.milli_per_s] + [1] * limit.is_adaptive
        return [
            *logs,
            shared_effects.PublishFact(FACT_KIND, key, value, TTL_MS, True),
        ]

    def tell_cold(
        self, target: targets.Target, remaining_ms: int, now_ms: int
    ) -> Effects:
        """Tell other hosts of a target that turns out to be cold."""
        is_news = (
            cold_targets.is_valid(remaining_ms)
            and self.cold.per_s(target.listed.pool) is not None
            and now_ms >= target.cold_until_ms
        )
        if not is_news:
            return []
        return [
            shared_effects.PublishFact(
                cold_targets.FACT_KIND,
                key_of(target),
                remaining_ms,
                remaining_ms,
                True,
            )
        ]

    def record_cold(
        self,
        message: shared_messages.FactChanged,
        directory: targets.Directory,
        now_ms: int,
    ) -> None:
        """Record that another host tells of a cold target."""
        target = directory.find(message.key.rpartition('@')[0])
        if target is None or key_of(target) != message.key:
            return
        if cold_targets.is_valid(message.value):
            target.record_cold(message.value, now_ms)

    @functools.singledispatchmethod
    def handle(self, message: typing.Any, now_ms: int) -> Effects:
        """Handle a message; messages of other components are ignored."""
        return []

    @handle.register
    def _(self, message: shared_messages.FactChanged, now_ms: int) -> Effects:
        if len(message.key) > MAX_TEXT_LENGTH:
            return []
        if message.value is None:
            return self._end(message.key)
        if not _is_valid_value(message.value):
            return []
        logs = self._set(message.key, message.value[0], now_ms)
        limit = self._limits[message.key]
        limit.is_adaptive = len(message.value) > 1
        _set_told(limit, now_ms)
        return logs

    @handle.register
    def _(self, message: shared_messages.PeerMessage, now_ms: int) -> Effects:
        grant = self.grant(message.body, now_ms)
        reply = bodies.PermitGranted(
            grant.count,
            grant.wait_ms,
            grant.target,
            grant.is_kept,
            grant.ttl_ms,
        )
        return [shared_effects.ReplyPeer(message.reply_token, reply)]

    def maintain(
        self,
        listed: typing.Collection[targets.Target],
        now_ms: int,
        confirmed_ms: int | None = None,
    ) -> Effects:
        """Forget targets that are gone; expect as much of new ones.

        A target that starts beside brittle ones is taken for one of them
        until it has responded. The list was read last at ``confirmed_ms``.
        Returns log events about cold targets.
        """
        pools = {key_of(target): target.listed.pool for target in listed}
        keys = set(pools)
        self._ended &= keys
        adaptive = {
            pools[key]: limit.milli_per_s
            for key, limit in self._limits.items()
            if limit.is_adaptive and key in keys
        }
        for key in keys - self._limits.keys() - self._ended:
            if pools[key] in adaptive:
                self._set(key, adaptive[pools[key]], now_ms)
                self._limits[key].is_adaptive = True
        for key in [key for key in self._limits if key not in keys]:
            del self._limits[key]
        for schedule in self._schedules.values():
            schedule.keep_only(keys)
        self._rates.keep_only(keys)
        if self.cold.is_in_force:
            self.permit_hosts.maintain(now_ms)
        cold = {
            key_of(target): (target.name, target.cold_until_ms)
            for target in listed
            if self.cold.is_cold(
                target.listed.pool, target.cold_until_ms, now_ms
            )
        }
        self.cold.presume(_count_cold(listed, cold), confirmed_ms, now_ms)
        used = self._limits.keys() | {
            key_of(target) for target in listed if self.is_cold(target, now_ms)
        }
        self._uses = {k: use for k, use in self._uses.items() if k in used}
        return self.cold.update(cold, now_ms)

    def _set(self, key: str, milli_per_s: int, now_ms: int) -> Effects:
        limit = self._limits.get(key)
        if limit is None:
            if len(self._limits) >= MAX_LIMITS:
                del self._limits[next(iter(self._limits))]
            limit = self._limits[key] = _Limit(milli_per_s, now_ms)
        elif limit.milli_per_s == milli_per_s:
            limit.heard_ms, limit.responses_without = now_ms, 0
            return []
        limit.milli_per_s = milli_per_s
        limit.heard_ms, limit.responses_without = now_ms, 0
        fields = {'target': key, 'milli_per_s': milli_per_s}
        event = events.Event.TARGET_LIMITED
        return [shared_effects.LogEvent(event, fields)]

    def _end(self, key: str) -> Effects:
        if self._limits.pop(key, None) is None:
            return []
        self._uses.pop(key, None)
        self._ended.add(key)
        event = events.Event.TARGET_LIMIT_ENDED
        return [shared_effects.LogEvent(event, {'target': key})]

    def is_limited(self, target: targets.Target) -> bool:
        """Return whether a target has named a limit."""
        return key_of(target) in self._limits

    def is_cold(self, target: targets.Target, now_ms: int) -> bool:
        """Return whether a target may get few requests, as it has started."""
        pool, zone = target.listed.pool, target.listed.zone
        return self.cold.is_cold(
            pool, target.cold_until_ms, now_ms
        ) or self.cold.is_presumed(pool, zone, now_ms)

    def needs_permit(self, target: targets.Target, now_ms: int) -> bool:
        """Return whether a request needs a permit to be sent to a target."""
        return self.is_cold(target, now_ms) or self.is_limited(target)

    def wait_ms(self, target: targets.Target, now_ms: int) -> int:
        """Return the time for which a target is not to be used, 0 for none."""
        use = self._uses.get(key_of(target))
        if use is None or not self.needs_permit(target, now_ms):
            return 0
        return max(0, use.closed_until_ms - now_ms)

    def record_turned_away(self, target: targets.Target) -> None:
        """Record that a target had no room for a request."""
        if self.is_limited(target):
            self._use(key_of(target)).turned_away += 1

    def use_permit(self, target: targets.Target, now_ms: int) -> bool:
        """Use a permit that was given out with an earlier one."""
        use = self._uses.get(key_of(target))
        if use is None:
            return False
        valid = [ms for ms in use.permits_until_ms if ms > now_ms]
        use.permits_until_ms = valid[1:]
        return bool(valid)

    def record_send(self, target: targets.Target, now_ms: int) -> None:
        """Record that a request is sent, for the number of permits to ask."""
        if not self.is_limited(target):
            return
        use = self._use(key_of(target))
        use.sent_ms.append(now_ms)
        while use.sent_ms[0] <= now_ms - permit_schedule.BATCH_MS:
            use.sent_ms.popleft()

    def _use(self, key: str) -> _Use:
        return self._uses.setdefault(key, _Use())

    def ask(
        self,
        token: str,
        candidates: typing.Sequence[targets.Target],
        asked: permit_schedule.Asked,
        now_ms: int,
    ) -> permit_schedule.Grant | shared_effects.SendPeer:
        """Return the answer, or the message that asks another host for it.

        ``candidates`` are targets of a pool that need permits, the preferred
        one first.
        """
        pool = candidates[0].listed.pool
        asked_for = {key_of(t): t for t in candidates[:MAX_CANDIDATES]}
        uses = {key: self._use(key) for key in asked_for}
        cold = tuple(
            key for key, t in asked_for.items() if self.is_cold(t, now_ms)
        )
        recent = max(len(use.sent_ms) for use in uses.values())
        body = bodies.PermitRequest(
            pool,
            {key: self._asked_rate(pool, key, key in cold) for key in uses},
            min(MAX_PERMITS, recent + 1),
            asked.caller,
            asked.max_wait_ms,
            asked.max_return_ms,
            tuple(key for key in uses if self._is_adaptive(key)),
            {key: use.turned_away for key, use in uses.items()},
            cold,
        )
        for use in uses.values():
            use.turned_away = 0
        addresses = {m.host.name: m.address for m in self._members.serving()}
        name = self._permit_host(pool, addresses)
        if name in (None, self._self_name):
            return self.grant(body, now_ms)
        return shared_effects.SendPeer(
            TOKEN + token, addresses[name], body, REPLY_TIMEOUT_MS
        )

    def _is_adaptive(self, key: str) -> bool:
        limit = self._limits.get(key)
        return limit is not None and limit.is_adaptive

    def _asked_rate(self, pool: str, key: str, is_cold: bool) -> int:
        """Return the lower of the limits of a target.

        A host of an earlier build spaces the permits of a cold target by it.
        """
        limit = self._limits.get(key)
        rates = [] if limit is None else [limit.milli_per_s]
        if is_cold:
            zones = self.permit_hosts.zones
            rates.append(self.cold.milli_per_s(pool, zones))
        return min(rates, default=0)

    def _permit_host(
        self, pool: str, addresses: typing.Iterable[str]
    ) -> str | None:
        """Return the host that gives the permits of a pool.

        With cold targets it is one whose data centre has a share of them.
        """
        reaching = self._cut_off.reaching(addresses)
        if self.cold.per_s(pool) is not None:
            eligible = self.permit_hosts.eligible(self._has_share(pool))
            reaching = eligible or reaching
        return rendezvous.first(pool, reaching)

    def _share(self, pool: str, zone: str) -> int:
        return self.cold.share(pool, zone, self.permit_hosts.zones)

    def _has_share(self, pool: str) -> typing.Callable[[str], bool]:
        return lambda zone: self._share(pool, zone) > 0

    def _cold_permits(
        self, body: bodies.PermitRequest, now_ms: int
    ) -> dict[str, int]:
        """Return the cold targets asked for, and what this host may give.

        The permits are those of `cold_targets.WINDOW_MS`, 0 for none.
        """
        if self.cold.per_s(body.pool) is None:
            return {}
        keys = [
            key
            for key in itertools.islice(body.limits, MAX_CANDIDATES)
            if key in body.cold or key in self.cold
        ]
        may_give = keys and self.permit_hosts.may_give(
            body.pool, self._has_share(body.pool), now_ms
        )
        if not may_give:
            return dict.fromkeys(keys, 0)
        zone = self._members.table.own.host.zone
        share = self._share(body.pool, zone)
        return {key: self.cold.permits(key, share, now_ms) for key in keys}

    def grant(
        self, body: bodies.PermitRequest, now_ms: int
    ) -> permit_schedule.Grant:
        """Decide what a host gets that asks this one for permits."""
        asked_limits = list(body.limits.items())[:MAX_CANDIDATES]
        cold = self._cold_permits(body, now_ms)
        limits = {
            key: self._allowed(body, key, max(0, milli_per_s), now_ms)
            for key, milli_per_s in asked_limits
            if len(key) <= MAX_TEXT_LENGTH and cold.get(key) != 0
        }
        if not limits or len(body.pool) > MAX_TEXT_LENGTH:
            return permit_schedule.Grant(0, SILENCE_MS)
        schedule = self._schedules.setdefault(
            body.pool, permit_schedule.PermitSchedule()
        )
        if len(self._schedules) > MAX_SCHEDULES:
            self._schedules.popitem(last=False)
        asked = permit_schedule.Asked(
            max(1, min(MAX_PERMITS, body.count)),
            body.caller[:MAX_TEXT_LENGTH],
            max(0, min(MAX_WAIT_MS, body.max_wait_ms)),
            max(0, min(MAX_WAIT_MS, body.max_return_ms)),
        )
        given = {key: cold[key] for key in limits if key in cold}
        return schedule.ask(asked, limits, now_ms, given)

    def _allowed(
        self,
        body: bodies.PermitRequest,
        key: str,
        milli_per_s: int,
        now_ms: int,
    ) -> int:
        """Return the rate of requests that a target may get."""
        lower = self._lower(key, milli_per_s)
        if key not in body.adaptive:
            return lower
        turned_away = body.turned_away.get(key, 0)
        return self._rates.update(key, lower, turned_away, now_ms)

    def _lower(self, key: str, milli_per_s: int) -> int:
        """Return the lower of a limit and the one known to this host."""
        limit = self._limits.get(key)
        if limit is None:
            return milli_per_s
        return min(milli_per_s, limit.milli_per_s)

    def apply_grant(
        self,
        candidates: typing.Sequence[targets.Target],
        grant: permit_schedule.Grant,
        asked_ms: int,
        now_ms: int,
    ) -> permit_schedule.Grant:
        """Keep the permits beyond the first, or close the candidates.

        Returns the grant, without permits if it names no candidate or its
        reply to what was asked at ``asked_ms`` came too late to use them.
        """
        until_ms = permit_until_ms(grant, asked_ms)
        is_named = grant.target in map(key_of, candidates)
        if grant.count and not (is_named and now_ms < until_ms):
            grant = permit_schedule.Grant(0, SILENCE_MS)
        for target in candidates:
            if not self.needs_permit(target, now_ms):
                continue
            use = self._use(key_of(target))
            if not grant.count:
                use.closed_until_ms = now_ms + max(1, grant.wait_ms)
            elif key_of(target) == grant.target:
                use.permits_until_ms += [until_ms] * (grant.count - 1)
        return grant


def permit_until_ms(grant: permit_schedule.Grant, asked_ms: int) -> int:
    """Return when the permits end for which a host asked at ``asked_ms``.

    They were given after that, at a time that the other host does not tell.
    """
    return asked_ms + grant.wait_ms + grant.ttl_ms


def decode_grant(body: typing.Any) -> permit_schedule.Grant:
    """Return the checked answer of another host, None for no answer."""
    if not isinstance(body, bodies.PermitGranted):
        return permit_schedule.Grant(0, SILENCE_MS)
    return permit_schedule.Grant(
        max(0, min(MAX_PERMITS, body.count)),
        max(0, min(MAX_WAIT_MS, body.wait_ms)),
        body.target,
        body.is_kept,
        max(0, min(permit_schedule.PERMIT_TTL_MS, body.ttl_ms)),
    )


def key_of(target: targets.Target) -> str:
    """Return the key of one incarnation of a target."""
    key = f'{target.name}@{target.listed.started_ms}'
    return key[-MAX_TEXT_LENGTH:]


def _count_cold(
    listed: typing.Iterable[targets.Target], cold: typing.Container[str]
) -> dict[tuple[str, str], tuple[int, int]]:
    """Return the number of cold targets and of all, by pool and zone."""
    if not cold:
        return {}
    counts: dict[tuple[str, str], tuple[int, int]] = {}
    for target in listed:
        place = target.listed.pool, target.listed.zone
        cold_count, count = counts.get(place, (0, 0))
        is_cold = key_of(target) in cold
        counts[place] = cold_count + is_cold, count + 1
    return counts


def _set_told(limit: _Limit, now_ms: int) -> None:
    limit.told_ms, limit.told_milli_per_s = now_ms, limit.milli_per_s


def _is_valid_value(value: typing.Any) -> bool:
    """Return whether a fact of another host holds a limit."""
    if not isinstance(value, list) or len(value) not in (1, 2):
        return False
    if value[1:] not in ([], [1]):
        return False
    is_number = type(value[0]) is int
    return is_number and 0 <= value[0] <= targets.MAX_LIMIT_MILLI_PER_S
