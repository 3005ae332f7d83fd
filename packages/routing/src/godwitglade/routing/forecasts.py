"""How long the stages of a request will take, from what owners last told.

Answers bursts: a request that cannot be in time is refused on arrival
instead of being held until its deadline passes.
"""

import attrs

from godwitglade.routing import documents
from godwitglade.routing import pipeline

#: A told wait is believed for this time; it also runs off as time passes.
WAIT_TTL_MS = 600
#: Gain of a new sample in the time that a pool's targets take to begin.
BEGIN_GAIN = 0.1


@attrs.define(eq=False)
class Forecasts:
    """Waits told by the owners of stage pools, and times to begin."""

    _waits: dict[str, tuple[int, int]] = attrs.Factory(dict)
    _begin_ms: dict[str, float] = attrs.Factory(dict)

    def told(self, pool: str, wait_ms: int, now_ms: int) -> None:
        """Take in the wait that the owner of a pool told."""
        self._waits[pool] = (wait_ms, now_ms)

    def begun(self, pool: str, elapsed_ms: int) -> None:
        """Take in the time a target took from the send to its answer."""
        known_ms = self._begin_ms.setdefault(pool, float(elapsed_ms))
        self._begin_ms[pool] += BEGIN_GAIN * (elapsed_ms - known_ms)

    def begin_ms(self, pool: str) -> float:
        """Return the usual time from the send to the answer's start."""
        return self._begin_ms.get(pool, 0.0)

    def wait_ms(self, pool: str, now_ms: int) -> int:
        """Return the time a job of ``pool`` would wait now."""
        wait_ms, told_ms = self._waits.get(pool, (0, 0))
        age_ms = now_ms - told_ms
        return max(0, wait_ms - age_ms) if age_ms < WAIT_TTL_MS else 0

    def stages_ms(
        self,
        progress: pipeline.Progress,
        numbers: list[int],
        pools: dict[str, documents.Pool],
    ) -> float:
        """Return the time of the calls of some stages, one by one."""
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
        """Return the time to wait in the queues of some stages."""
        return sum(
            self.wait_ms(progress.stages[n].pool, now_ms) for n in numbers
        )

    def left_ms(
        self,
        progress: pipeline.Progress,
        numbers: list[int],
        pools: dict[str, documents.Pool],
        pool: str,
        now_ms: int,
    ) -> float:
        """Return the time from the end of a stage to the answer's start.

        ``numbers`` are the stages still to come, ``pool`` the one that
        answers.
        """
        waits_ms = self.waits_ms(progress, numbers, now_ms)
        calls_ms = self.stages_ms(progress, numbers, pools)
        return waits_ms + calls_ms + self.begin_ms(pool)
