"""Estimates of the time that a request and its stages will take.

They are based on the waits last reported by the owners of pools. In a burst
of load, a request that cannot be in time is refused on arrival instead of
being queued until its deadline passes.
"""

import attrs

from godwitglade.routing import documents
from godwitglade.routing import pipeline

#: A reported wait is used for this time, and decreases as time passes.
WAIT_TTL_MS = 600
#: Weight of a new sample in the response times of a route.
SAMPLE_GAIN = 0.1


@attrs.define
class _ResponseTime:
    """Mean and mean deviation of times to the start or end of a response."""

    mean_ms: float
    deviation_ms: float = 0.0

    @property
    def expected_ms(self) -> float:
        """Return the time that most responses take at most."""
        return self.mean_ms + self.deviation_ms

    def add(self, elapsed_ms: int) -> None:
        """Update the estimates with one time."""
        error_ms = elapsed_ms - self.mean_ms
        self.mean_ms += SAMPLE_GAIN * error_ms
        self.deviation_ms += SAMPLE_GAIN * (abs(error_ms) - self.deviation_ms)


@attrs.define(eq=False)
class Forecasts:
    """Queue waits of stage pools, and response times of targets.

    The response times are kept by route: the prompts of some are many times as
    long as those of others in the same pool.
    """

    _waits: dict[str, tuple[int, int]] = attrs.Factory(dict)
    _starts: dict[str, _ResponseTime] = attrs.Factory(dict)
    _ends: dict[str, _ResponseTime] = attrs.Factory(dict)

    def record_wait(self, pool: str, wait_ms: int, now_ms: int) -> None:
        """Record the wait reported by the owner of a pool."""
        self._waits[pool] = (wait_ms, now_ms)

    def record_start(self, route: str, elapsed_ms: int) -> None:
        """Record the time from a send to the start of the response."""
        start = self._starts.setdefault(
            route, _ResponseTime(float(elapsed_ms))
        )
        start.add(elapsed_ms)

    def start_ms(self, route: str) -> float:
        """Estimate the time from a send to the start of the response."""
        start = self._starts.get(route)
        return start.expected_ms if start is not None else 0.0

    def record_end(self, route: str, elapsed_ms: int) -> None:
        """Record the time from the arrival to the end of the response."""
        end = self._ends.setdefault(route, _ResponseTime(float(elapsed_ms)))
        end.add(elapsed_ms)

    def end_ms(self, route: str) -> float:
        """Estimate the time from the arrival to the end of the response."""
        end = self._ends.get(route)
        return end.expected_ms if end is not None else 0.0

    def wait_ms(self, pool: str, now_ms: int) -> int:
        """Estimate the time that a job of ``pool`` would wait now."""
        wait_ms, reported_ms = self._waits.get(pool, (0, 0))
        age_ms = now_ms - reported_ms
        return max(0, wait_ms - age_ms) if age_ms < WAIT_TTL_MS else 0

    def stages_ms(
        self,
        progress: pipeline.Progress,
        numbers: list[int],
        pools: dict[str, documents.Pool],
    ) -> float:
        """Estimate the time of the calls of some stages in sequence."""
        total_ms = 0.0
        for number in numbers:
            pool = pools.get(progress.stages[number].pool)
            if pool is None or pool.batching is None:
                continue
            batching = pool.batching
            count = min(progress.counts[number], batching.max_items)
            total_ms += batching.call_ms + count * batching.item_ms
        return total_ms

    def waits_ms(
        self, progress: pipeline.Progress, numbers: list[int], now_ms: int
    ) -> int:
        """Estimate the time to wait in the queues of some stages."""
        return sum(
            self.wait_ms(progress.stages[n].pool, now_ms) for n in numbers
        )

    def remaining_ms(
        self,
        progress: pipeline.Progress,
        numbers: list[int],
        pools: dict[str, documents.Pool],
        route: str,
        now_ms: int,
    ) -> float:
        """Estimate the time from a stage's end to the response's start.

        ``numbers`` are the later stages of a request on ``route``.
        """
        waits_ms = self.waits_ms(progress, numbers, now_ms)
        calls_ms = self.stages_ms(progress, numbers, pools)
        return waits_ms + calls_ms + self.start_ms(route)
