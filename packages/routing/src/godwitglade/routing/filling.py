"""Which waiting items go into the next call of a target.

Answers bursts: among items still in time the operators' ranks decide, then
the earliest due time; late ones fill up what is left. Items with heavy inputs
stay near them while they can; a slow target is left idle where another ends
the work earlier.
"""

import math
import typing

import attrs

from godwitglade.routing import bodies
from godwitglade.routing import lanes
from godwitglade.routing import targets

#: A lane is left idle when another ends the work this much earlier.
WORTH_WAITING_MS = 100
#: Inputs of a job as large as this are not moved to another data centre
#: while the job can still be in time at a target near them.
HEAVY_INPUT_BYTES = 200_000
#: A target slower than this is compared with the others first.
SLOW = 1.5


@attrs.frozen
class Job:
    """A job with its times on this host's clock."""

    asked: bodies.JobAsked
    origin: str
    due_ms: int
    deadline_ms: int


@attrs.define(eq=False)
class Waiting:
    """A job whose items are not all made."""

    job: Job
    number: int
    pending: set[int]
    has_begun: bool = False
    made: dict[int, str] = attrs.Factory(dict)
    tries: int = 0
    zone: str = ''


class Filler:
    """Fills the calls of one pool."""

    def __init__(self, lanes_: lanes.Lanes) -> None:
        self._lanes = lanes_

    @property
    def _max_items(self) -> int:
        return self._lanes.batching.max_items

    def choose(
        self,
        waiting: typing.Iterable[Waiting],
        target: targets.Target,
        pool: list[targets.Target],
        now_ms: int,
    ) -> list[tuple[Waiting, int]]:
        """Return the items of the next call of ``target``."""
        slowness = self._lanes.of(target).current_slowness(now_ms)
        room_bytes = self._lanes.room_bytes(target, now_ms)
        chosen: list[tuple[Waiting, int]] = []
        soonest_ms = self._soonest_by_zone(pool, now_ms)
        for entry in self._in_order(waiting, slowness, now_ms):
            if self._waits_for_zone(entry, target, soonest_ms, now_ms):
                continue
            size = entry.job.asked.result_bytes
            left = self._max_items - len(chosen)
            if size:
                left = min(left, int(room_bytes // size))
            if left < min(len(entry.pending), self._max_items):
                # Items of one job stay together unless they never fit.
                if chosen or left <= 0 or self._fits_empty(entry):
                    continue
            taken = sorted(entry.pending)[:left]
            chosen += [(entry, index) for index in taken]
            room_bytes -= size * len(taken)
            if len(chosen) >= self._max_items:
                break
        if self._is_better_elsewhere(target, len(chosen), pool, now_ms):
            return []
        return chosen

    def _soonest_by_zone(
        self, pool: list[targets.Target], now_ms: int
    ) -> dict[str, float]:
        """Return when the first target of each data centre gets free."""
        found: dict[str, float] = {}
        for target in pool:
            zone = target.listed.zone
            ready_ms = self._lanes.ready_ms(target, now_ms)
            found[zone] = min(ready_ms, found.get(zone, math.inf))
        return found

    def _waits_for_zone(
        self,
        entry: Waiting,
        target: targets.Target,
        soonest_ms: dict[str, float],
        now_ms: int,
    ) -> bool:
        """Tell whether a job does better to wait for a target near by."""
        asked = entry.job.asked
        heavy = asked.input_bytes * asked.count >= HEAVY_INPUT_BYTES
        is_near = asked.zone in ('', target.listed.zone)
        if is_near or not heavy or asked.zone not in soonest_ms:
            return False
        need_ms = self._lanes.estimate_ms(self._max_items)
        end_ms = soonest_ms[asked.zone] + need_ms
        return end_ms <= entry.job.due_ms

    def _fits_empty(self, entry: Waiting) -> bool:
        """Tell whether the job's items fit a target without results."""
        count = len(entry.pending)
        size = count * entry.job.asked.result_bytes
        limit_bytes = lanes.ROOM_SHARE * self._lanes.batching.room_bytes
        return count <= self._max_items and size <= limit_bytes

    def _in_order(
        self,
        waiting: typing.Iterable[Waiting],
        slowness: float,
        now_ms: int,
    ) -> list[Waiting]:
        def key(entry: Waiting) -> tuple:
            need_ms = self._lanes.estimate_ms(len(entry.pending), slowness)
            is_late = now_ms + need_ms > entry.job.due_ms
            rank = entry.job.asked.rank
            return is_late, rank, entry.job.due_ms, entry.number

        return sorted((e for e in waiting if e.pending), key=key)

    def _is_better_elsewhere(
        self,
        target: targets.Target,
        count: int,
        pool: list[targets.Target],
        now_ms: int,
    ) -> bool:
        """Tell whether a busy target would end the call much earlier."""
        slowness = self._lanes.of(target).current_slowness(now_ms)
        if not count or slowness <= SLOW:
            return False
        own_ms = now_ms + self._lanes.estimate_ms(count, slowness)
        ends = [
            self._lanes.ready_ms(other, now_ms)
            + self._lanes.estimate_ms(
                count, self._lanes.of(other).current_slowness(now_ms)
            )
            for other in pool
            if other is not target
        ]
        return bool(ends) and own_ms > min(ends) + WORTH_WAITING_MS
