"""Selection of the queued items for the next call of a target.

Items that can meet their objective go first, by the operators' rank and
then by the earliest due time; late items fill the rest of the call. Items
with large inputs run in the data centre of the inputs if they can still be
in time. A slow target stays idle where another one ends the work earlier.
"""

import math
import typing

import attrs

from godwitglade.routing import bodies
from godwitglade.routing import home_regions
from godwitglade.routing import target_states
from godwitglade.routing import targets

#: A slow target is left idle when another ends the work this much earlier.
MIN_TIME_SAVED_MS = 100
#: Inputs of a job of at least this size are not moved to another zone while
#: the job can still be in time at a target near them.
LARGE_INPUT_BYTES = 200_000
#: Slowness (call times relative to the pool's nominal times) above which a
#: target gets a call only if no other one would end the call much earlier.
SLOWNESS_THRESHOLD = 1.5


@attrs.frozen
class Job:
    """A job request with its times on this host's clock.

    ``later_backlog_ms`` is the backlog in the pools of later stages.
    """

    request: bodies.JobRequest
    origin: str
    due_ms: int
    deadline_ms: int
    later_backlog_ms: int = 0


@attrs.define(eq=False)
class QueuedJob:
    """A job some of whose results are missing.

    ``pending`` are the indexes of items to dispatch, also those of overdue
    calls; ``handles`` has the results by item.
    """

    job: Job
    number: int
    pending: set[int]
    has_started: bool = False
    handles: dict[int, str] = attrs.Factory(dict)
    tries: int = 0
    zone: str = ''


class ItemSelector:
    """Selects the items for the calls of one pool."""

    def __init__(
        self,
        states: target_states.TargetStates,
        home: home_regions.HomeRegions | None = None,
    ) -> None:
        self._states = states
        self._home = home or home_regions.HomeRegions({})

    def may_run(
        self,
        regions: tuple[str, ...],
        pool: typing.Iterable[targets.Target],
    ) -> bool:
        """Return whether items of ``regions`` may go to one of a pool."""
        if not regions:
            return True
        allowed = home_regions.allowed(regions)
        return any(self._home.is_home(t.listed.zone, allowed) for t in pool)

    @property
    def _max_items(self) -> int:
        return self._states.batching.max_items

    def choose(
        self,
        waiting: typing.Iterable[QueuedJob],
        target: targets.Target,
        pool: list[targets.Target],
        now_ms: int,
    ) -> list[tuple[QueuedJob, int]]:
        """Return the items of the next call of ``target``."""
        slowness = self._states.of(target).current_slowness(now_ms)
        free_bytes = self._states.free_bytes(target, now_ms)
        chosen: list[tuple[QueuedJob, int]] = []
        ready_by_zone_ms = self._ready_by_zone(pool, now_ms)
        fitting = [
            entry
            for entry in waiting
            if self.may_run(entry.job.request.regions, [target])
        ]
        for entry in self._by_urgency(fitting, slowness, now_ms):
            if self._should_wait_for_zone(
                entry, target, ready_by_zone_ms, now_ms
            ):
                continue
            size = entry.job.request.result_bytes
            left = self._max_items - len(chosen)
            if size:
                left = min(left, int(free_bytes // size))
            if left < min(len(entry.pending), self._max_items):
                # Items of one job are split only if they never fit a call.
                if chosen or left <= 0 or self._fits_empty(entry):
                    continue
            indexes = sorted(entry.pending)[:left]
            chosen += [(entry, index) for index in indexes]
            free_bytes -= size * len(indexes)
            if len(chosen) >= self._max_items:
                break
        named = {entry.job.request.regions for entry, _ in chosen}
        others = [
            other
            for other in pool
            if all(self.may_run(regions, [other]) for regions in named)
        ]
        if self._is_faster_elsewhere(target, len(chosen), others, now_ms):
            return []
        return chosen

    def is_late(
        self,
        entry: QueuedJob,
        call_items: int,
        now_ms: int,
        slowness: float = 1.0,
    ) -> bool:
        """Return whether a call of so many items would end too late."""
        call_ms = self._states.estimate_ms(call_items, slowness)
        return now_ms + call_ms > entry.job.due_ms

    def _ready_by_zone(
        self, pool: list[targets.Target], now_ms: int
    ) -> dict[str, float]:
        """Return when the first target of each data centre is free."""
        by_zone_ms: dict[str, float] = {}
        for target in pool:
            zone = target.listed.zone
            ready_ms = self._states.ready_ms(target, now_ms)
            by_zone_ms[zone] = min(ready_ms, by_zone_ms.get(zone, math.inf))
        return by_zone_ms

    def _should_wait_for_zone(
        self,
        entry: QueuedJob,
        target: targets.Target,
        ready_by_zone_ms: dict[str, float],
        now_ms: int,
    ) -> bool:
        """Return whether a job should wait for a target near its inputs."""
        request = entry.job.request
        is_large = request.input_bytes * request.count >= LARGE_INPUT_BYTES
        is_near = request.zone in ('', target.listed.zone)
        if is_near or not is_large or request.zone not in ready_by_zone_ms:
            return False
        call_ms = self._states.estimate_ms(self._max_items)
        end_ms = ready_by_zone_ms[request.zone] + call_ms
        return end_ms <= entry.job.due_ms

    def _fits_empty(self, entry: QueuedJob) -> bool:
        """Return whether the job's items fit a target without results."""
        count = len(entry.pending)
        size = count * entry.job.request.result_bytes
        limit_bytes = (
            target_states.USABLE_MEMORY_SHARE
            * self._states.batching.result_memory_bytes
        )
        return count <= self._max_items and size <= limit_bytes

    def _by_urgency(
        self,
        waiting: list[QueuedJob],
        slowness: float,
        now_ms: int,
    ) -> list[QueuedJob]:
        # A call ends for all of its items at once, and takes all that fit.
        call_items = sum(len(entry.pending) for entry in waiting)

        def key(entry: QueuedJob) -> tuple:
            is_late = self.is_late(entry, call_items, now_ms, slowness)
            rank = entry.job.request.rank
            return is_late, rank, entry.job.due_ms, entry.number

        return sorted((e for e in waiting if e.pending), key=key)

    def _is_faster_elsewhere(
        self,
        target: targets.Target,
        count: int,
        pool: list[targets.Target],
        now_ms: int,
    ) -> bool:
        """Return whether another target would end the call much earlier."""
        slowness = self._states.of(target).current_slowness(now_ms)
        if not count or slowness <= SLOWNESS_THRESHOLD:
            return False
        own_ms = now_ms + self._states.estimate_ms(count, slowness)
        ends = [
            self._states.ready_ms(other, now_ms)
            + self._states.estimate_ms(
                count, self._states.of(other).current_slowness(now_ms)
            )
            for other in pool
            if other is not target
        ]
        return bool(ends) and own_ms > min(ends) + MIN_TIME_SAVED_MS
