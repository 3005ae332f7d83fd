"""Targets that have just started, or lost what they had, and are slow.

A target tells for how long it is cold, in its entry and in its responses.
Until then it may get only so many requests in any second from all hosts
together; above that it crashes. See docs/design/cold-targets.md.
"""

import itertools
import typing

import attrs

from godwitglade.common import clock as clocks
from godwitglade.common import events
from godwitglade.coordination import effects as shared_effects
from godwitglade.routing import document_state

Effects = list[typing.Any]

#: A host that hears from a target first that it is cold tells the others:
#: they may not reach the store, and the entry of the target is older.
FACT_KIND = 'cold'
#: Longer times of a target count as none: they are errors of its entry.
MAX_COLD_MS = 10 * clocks.MINUTE_MS
#: Permits for cold targets that are not used within this time are lost.
PERMIT_TTL_MS = 150
#: Time from a decision to send until the request arrives, at most.
TRANSIT_MS = 100
#: Requests that arrive within a second have permits of this time.
WINDOW_MS = clocks.SECOND_MS + PERMIT_TTL_MS + TRANSIT_MS
#: Time in which all connected hosts learn that a target is cold: an entry is
#: written within 1.2 s and read within 2 s. Until then some send as usual.
LEARNING_MS = 3_500
LEARNING_SHARE = 0.5
#: If so many and such a share of the targets of a pool in a data centre are
#: cold, the others there count as cold for LEARNING_MS: the requests of 65
#: hosts that were cut off from the store all went to the last target that
#: they did not know to be cold (24 in a second).
PRESUMED_SHARE = 0.5
MIN_PRESUMED = 2
#: Greatest bound; figures above it have the same effect.
MAX_PER_S = 1_000_000


@attrs.frozen
class Bounds:
    """Requests of one second that a cold target may get from all hosts.

    They are its nominal rate times ``overshoot``, plus ``tolerance``.
    """

    overshoot: float = 1.0
    tolerance: float = 0.0

    def per_s(self, cold_milli_per_s: int) -> int:
        """Return the whole number of requests of any second."""
        bound = cold_milli_per_s * self.overshoot / 1_000 + self.tolerance
        return int(min(MAX_PER_S, bound)) if bound > 0 else 0


def is_valid(remaining_ms: typing.Any) -> bool:
    """Return whether a figure of a target or host is a remaining time."""
    return type(remaining_ms) is int and 0 < remaining_ms <= MAX_COLD_MS


def until_ms(known_until_ms: int, remaining_ms: int, now_ms: int) -> int:
    """Return until when a target is cold that tells its remaining time now.

    Figures are old when they are read, so each is too late by its age. An
    earlier figure is not shortened by a later one, which may be older.
    """
    if not is_valid(remaining_ms):
        return known_until_ms
    return max(known_until_ms, now_ms + remaining_ms)


@attrs.define
class _Cold:
    name: str
    since_ms: int


class ColdTargets:
    """The cold targets known to this host, and what hosts may send them."""

    def __init__(
        self,
        document_state_: document_state.DocumentState,
        bounds: Bounds | None = None,
        zones: typing.Iterable[str] = (),
    ) -> None:
        self._document_state = document_state_
        self._known: dict[str, _Cold] = {}
        self._presumed_until_ms: dict[tuple[str, str], int] = {}
        self.set_bounds(bounds, zones)

    def set_bounds(
        self, bounds: Bounds | None, zones: typing.Iterable[str]
    ) -> None:
        """Set the bounds in force and the data centres of the deployment."""
        self._bounds = bounds
        self._zones = frozenset(zones)

    @property
    def is_in_force(self) -> bool:
        """Return whether the deployment bounds what cold targets get."""
        return self._bounds is not None

    def per_s(self, pool: str) -> int | None:
        """Return the bound of a second, None if targets are never cold."""
        document = self._document_state.document
        if self._bounds is None or document is None:
            return None
        listed = document.pools.get(pool)
        if listed is None or not listed.cold_milli_per_s:
            return None
        return self._bounds.per_s(listed.cold_milli_per_s)

    def is_cold(self, pool: str, cold_until_ms: int, now_ms: int) -> bool:
        """Return whether a target has told that it is cold."""
        return now_ms < cold_until_ms and self.per_s(pool) is not None

    def is_presumed(self, pool: str, zone: str, now_ms: int) -> bool:
        """Return whether the targets of a data centre count as cold."""
        until_ms_ = self._presumed_until_ms.get((pool, zone), 0)
        return self.is_cold(pool, until_ms_, now_ms)

    def presume(
        self,
        counts: typing.Mapping[tuple[str, str], tuple[int, int]],
        confirmed_ms: int | None,
        now_ms: int,
    ) -> None:
        """Set of how many targets how many are cold, by pool and zone.

        A data centre of which many are cold counts as a whole for a while, at
        a host that has not read the list since ``confirmed_ms`` for longer.
        """
        is_read = confirmed_ms is not None and (
            now_ms - confirmed_ms < LEARNING_MS
        )
        extended_ms = 0 if is_read else now_ms + LEARNING_MS
        self._presumed_until_ms = {
            key: max(
                extended_ms,
                self._presumed_until_ms.get(key, now_ms + LEARNING_MS),
            )
            for key, (cold, listed) in counts.items()
            if cold >= max(MIN_PRESUMED, listed * PRESUMED_SHARE)
        }

    def milli_per_s(
        self, pool: str, registered_zones: typing.Iterable[str]
    ) -> int:
        """Return the rate of a cold target, the bound over the zones."""
        zones = self._zones.union(registered_zones)
        return 1_000 * (self.per_s(pool) or 0) // max(1, len(zones))

    def share(
        self, pool: str, zone: str, registered_zones: typing.Iterable[str]
    ) -> int:
        """Return the permits of WINDOW_MS that hosts of a zone may give.

        The shares of all zones add up to the bound of a second.
        """
        zones = sorted(self._zones.union(registered_zones, [zone]))
        whole, rest = divmod(self.per_s(pool) or 0, len(zones))
        return whole + (zones.index(zone) < rest)

    def permits(self, key: str, share: int, now_ms: int) -> int:
        """Return the permits of WINDOW_MS, fewer while hosts learn of it."""
        known = self._known.setdefault(key, _Cold('', now_ms))
        if now_ms - known.since_ms >= LEARNING_MS:
            return share
        return min(share, max(1, int(share * LEARNING_SHARE)))

    def __contains__(self, key: str) -> bool:
        return key in self._known

    def update(
        self,
        cold: typing.Mapping[str, tuple[str, int]],
        now_ms: int,
    ) -> Effects:
        """Set the names and ends of the targets that are cold; log changes.

        Both maps are by incarnation.
        """
        logs: Effects = []
        for key, (name, cold_until_ms) in cold.items():
            known = self._known.setdefault(key, _Cold('', now_ms))
            if not known.name:
                known.name = name
                fields = {'target': name, 'for_ms': cold_until_ms - now_ms}
                event = events.Event.TARGET_COLD
                logs.append(shared_effects.LogEvent(event, fields))
        ended = itertools.filterfalse(cold.__contains__, list(self._known))
        for known in map(self._known.pop, ended):
            if known.name:
                event = events.Event.TARGET_WARM
                fields = {'target': known.name}
                logs.append(shared_effects.LogEvent(event, fields))
        return logs
