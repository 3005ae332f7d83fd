"""Order in which hosts send requests to the limited targets of a pool.

One host keeps the schedule of a pool: the requests to each target are spaced
evenly, whoever sends them, so that their rate never exceeds its limit. A
caller that is refused keeps its place: when it comes back at that time, at
any host, its request is sent at once.
"""

import collections
import typing

import attrs

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

    With a count of 0, ``wait_ms`` is the time until a target is free; with
    ``is_kept`` the caller has a place then.
    """

    count: int
    wait_ms: int
    target: str = ''
    is_kept: bool = False


@attrs.frozen
class _Place:
    target: str
    at_ms: float


class PermitSchedule:
    """Permits of the targets of a pool."""

    def __init__(self) -> None:
        self._next_ms: dict[str, float] = {}
        self._places: collections.OrderedDict[str, _Place] = (
            collections.OrderedDict()
        )

    def ask(
        self, asked: Asked, limits: typing.Mapping[str, int], now_ms: int
    ) -> Grant:
        """Give permits to a host, or the time when there is one.

        ``limits`` are those of the targets that it can use, the preferred
        one first, in thousandths of a request per second.
        """
        self._drop_places(now_ms)
        place = self._places.get(asked.caller)
        if place is not None and place.target in limits:
            wait_ms = max(0, round(place.at_ms - now_ms))
            if wait_ms > max(EARLY_MS, asked.max_wait_ms):
                return Grant(0, wait_ms, is_kept=True)
            del self._places[asked.caller]
            return Grant(1, wait_ms, place.target)
        intervals_ms = {
            target: 1_000_000 / max(MIN_LIMIT_MILLI_PER_S, milli_per_s)
            for target, milli_per_s in limits.items()
        }
        starts_ms = {
            target: self._start_ms(target, interval_ms, now_ms)
            for target, interval_ms in intervals_ms.items()
        }
        target = min(starts_ms, key=starts_ms.__getitem__)
        start_ms, interval_ms = starts_ms[target], intervals_ms[target]
        wait_ms = round(start_ms - now_ms)
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
        return Grant(0, wait_ms, is_kept=is_kept)

    def keep_only(self, names: typing.Container[str]) -> None:
        """Forget all other targets."""
        self._next_ms = {
            target: next_ms
            for target, next_ms in self._next_ms.items()
            if target in names
        }

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
