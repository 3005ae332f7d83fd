"""Order in which hosts send requests to the limited targets of a pool.

One host keeps the schedule of a pool: the requests to each target are spaced
evenly, whoever sends them, so that their rate never exceeds its limit. A
caller that is refused keeps its place: when it comes back at that time, at
any host, its request is sent at once.
"""

import bisect
import collections
import math
import types
import typing

import attrs

from godwitglade.routing import cold_targets

#: A target that names less still gets a request from time to time, since its
#: responses show when the limit ends.
MIN_LIMIT_MILLI_PER_S = 100
#: Permits for this time may be given out together.
BATCH_MS = 100
#: A place is kept for a caller from before to after its time.
EARLY_MS = 300
KEPT_MS = 1_500
MAX_PLACES = 512
#: A host that takes over a schedule waits, as it does not know what was sent.
MAX_START_MS = 1_000
#: A permit that is not used within this time is lost.
PERMIT_TTL_MS = 250
#: Time that a permit for a cold target has left at least when it is given,
#: for the way to the host that asked.
MIN_TTL_MS = 50


@attrs.frozen
class Asked:
    """What a host asks for.

    ``caller`` is equal when the same caller comes back, empty if unknown.
    The request can wait ``max_wait_ms`` at its host; its caller would come
    back within ``max_return_ms``, 0 if it is not to be refused.
    """

    count: int = 1
    caller: str = ''
    max_wait_ms: int = 0
    max_return_ms: int = 0


@attrs.frozen
class Grant:
    """Permits to send ``count`` requests to a target, after ``wait_ms``.

    They end after another ``ttl_ms``. With a count of 0, ``wait_ms`` is the
    time until a target is free; with ``is_kept`` the caller has a place then.
    """

    count: int
    wait_ms: int
    target: str = ''
    is_kept: bool = False
    ttl_ms: int = PERMIT_TTL_MS


@attrs.frozen
class _Place:
    target: str
    at_ms: float


class ColdPermits:
    """Times of the permits for cold targets, also of those kept for callers.

    Any `cold_targets.WINDOW_MS` has at most as many as a target may get.
    """

    def __init__(self) -> None:
        self._times_ms: dict[str, list[float]] = {}

    def next_ms(self, target: str, from_ms: float, permits: int) -> float:
        """Return the first time from which there is room for a permit."""
        times_ms = self._times_ms.get(target, [])
        ends_ms = [at_ms + cold_targets.WINDOW_MS for at_ms in times_ms]
        starts_ms = sorted(ms for ms in ends_ms if ms > from_ms)
        return next(
            at_ms
            for at_ms in (math.ceil(ms) for ms in (from_ms, *starts_ms))
            if _has_room(times_ms, at_ms, permits)
        )

    def record(self, target: str, at_ms: float) -> None:
        """Record a permit for a time."""
        bisect.insort(self._times_ms.setdefault(target, []), at_ms)

    def has(self, target: str, at_ms: float) -> bool:
        """Return whether a permit for a time was recorded."""
        return at_ms in self._times_ms.get(target, [])

    def remove(self, target: str, at_ms: float) -> None:
        """Remove one for a time, if it was recorded."""
        times_ms = self._times_ms.get(target, [])
        if at_ms in times_ms:
            times_ms.remove(at_ms)

    def drop_old(self, now_ms: int) -> None:
        """Drop the times that no longer matter."""
        oldest_ms = now_ms - cold_targets.WINDOW_MS
        self._times_ms = {
            target: times_ms[bisect.bisect_right(times_ms, oldest_ms) :]
            for target, times_ms in self._times_ms.items()
            if times_ms and times_ms[-1] > oldest_ms
        }

    def keep_only(self, names: typing.Container[str]) -> None:
        """Forget all other targets."""
        self._times_ms = {
            target: times_ms
            for target, times_ms in self._times_ms.items()
            if target in names
        }


def _has_room(times_ms: list[float], at_ms: float, permits: int) -> bool:
    """Return whether no window has too many permits with one more then."""
    with_it = sorted([*times_ms, at_ms])
    index = bisect.bisect_left(with_it, at_ms)
    near = with_it[max(0, index - permits) : index + permits + 1]
    return all(
        last - first >= cold_targets.WINDOW_MS
        for first, last in zip(near, near[permits:])
    )


class PermitSchedule:
    """Permits of the targets of a pool."""

    def __init__(self) -> None:
        self._next_ms: dict[str, float] = {}
        self._places: collections.OrderedDict[str, _Place] = (
            collections.OrderedDict()
        )
        self._cold = ColdPermits()

    def ask(
        self,
        asked: Asked,
        limits: typing.Mapping[str, int],
        now_ms: int,
        cold: typing.Mapping[str, int] = types.MappingProxyType({}),
    ) -> Grant:
        """Give permits to a host, or the time when there is one.

        ``limits`` are those of the targets that it can use, the preferred
        one first, in thousandths of a request per second. Those in ``cold``
        get at most so many permits in `cold_targets.WINDOW_MS`.
        """
        self._drop_places(now_ms)
        self._cold.drop_old(now_ms)
        place = self._places.get(asked.caller)
        if place is not None and place.target in cold:
            grant = self._use_cold_place(asked, place, cold, now_ms)
            if grant is not None:
                return grant
            place = None
        if place is not None and place.target in limits:
            wait_ms = max(0, round(place.at_ms - now_ms))
            if wait_ms > max(EARLY_MS, asked.max_wait_ms):
                return Grant(0, wait_ms, is_kept=True)
            del self._places[asked.caller]
            return Grant(1, wait_ms, place.target)
        intervals_ms = {
            target: max(
                1_000_000 / max(MIN_LIMIT_MILLI_PER_S, milli_per_s),
                cold_targets.WINDOW_MS / cold.get(target, math.inf),
            )
            for target, milli_per_s in limits.items()
        }
        starts_ms = {
            target: self._start_ms(target, interval_ms, now_ms)
            for target, interval_ms in intervals_ms.items()
        }
        for key, permits in cold.items():
            starts_ms[key] = self._cold.next_ms(key, starts_ms[key], permits)
        target = min(starts_ms, key=starts_ms.__getitem__)
        start_ms, interval_ms = starts_ms[target], intervals_ms[target]
        wait_ms = round(start_ms - now_ms)
        if target in cold and wait_ms <= asked.max_wait_ms:
            self._cold.record(target, start_ms)
            self._next_ms[target] = start_ms + interval_ms
            ttl_ms = cold_targets.PERMIT_TTL_MS
            return Grant(1, wait_ms, target, ttl_ms=ttl_ms)
        if wait_ms <= asked.max_wait_ms:
            count = min(asked.count, max(1, int(BATCH_MS / interval_ms)))
            self._next_ms[target] = start_ms + count * interval_ms
            return Grant(count, wait_ms, target)
        has_room = len(self._places) < MAX_PLACES
        is_kept = (
            bool(asked.caller) and has_room and wait_ms <= asked.max_return_ms
        )
        if is_kept:
            self._places[asked.caller] = _Place(target, start_ms)
            self._next_ms[target] = start_ms + interval_ms
            if target in cold:
                self._cold.record(target, start_ms)
        return Grant(0, wait_ms, is_kept=is_kept)

    def _use_cold_place(
        self,
        asked: Asked,
        place: _Place,
        cold: typing.Mapping[str, int],
        now_ms: int,
    ) -> Grant | None:
        """Return what a caller gets that comes back, None if as a new one.

        A caller that is a little late uses the rest of its permit's time. One
        that is later, or whose place was kept before the target was cold,
        gets a permit only if there is room for it.
        """
        wait_ms = max(0, math.ceil(place.at_ms - now_ms))
        if wait_ms > max(EARLY_MS, asked.max_wait_ms):
            return Grant(0, wait_ms, is_kept=True)
        del self._places[asked.caller]
        late_ms = max(0, math.ceil(now_ms - place.at_ms))
        ttl_ms = cold_targets.PERMIT_TTL_MS
        is_in_time = ttl_ms - late_ms >= MIN_TTL_MS
        if is_in_time and self._cold.has(place.target, place.at_ms):
            return Grant(1, wait_ms, place.target, ttl_ms=ttl_ms - late_ms)
        self._cold.remove(place.target, place.at_ms)
        at_ms = max(now_ms, place.at_ms)
        permits = cold[place.target]
        if self._cold.next_ms(place.target, at_ms, permits) > at_ms:
            return None
        self._cold.record(place.target, at_ms)
        return Grant(1, wait_ms, place.target, ttl_ms=ttl_ms)

    def keep_only(self, names: typing.Container[str]) -> None:
        """Forget all other targets."""
        self._next_ms = {
            target: next_ms
            for target, next_ms in self._next_ms.items()
            if target in names
        }
        self._cold.keep_only(names)

    def _start_ms(self, target: str, interval_ms: float, now_ms: int) -> float:
        first_ms = now_ms + min(MAX_START_MS, interval_ms)
        return max(now_ms, self._next_ms.setdefault(target, first_ms))

    def _drop_places(self, now_ms: int) -> None:
        """Drop the oldest places whose callers have not come back."""
        while self._places:
            caller, place = next(iter(self._places.items()))
            if now_ms <= place.at_ms + KEPT_MS:
                return
            del self._places[caller]
