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
#: Speed of engines whose times are not known yet, between the 37 and 110
#: tokens per ms that engines have, and its bounds.
TOKEN_MS = 1 / 60
TOKEN_MS_BOUNDS = (1 / 200, 1 / 20)
#: Delay of a first event by each running request, before any time is known.
RUNNING_MS = 5.0
RUNNING_MS_BOUNDS = (0.0, 100.0)
#: Call time assumed before a call has ended.
CALL_MS = 1_000.0
#: Samples that the defaults count for, and the variances that they stand
#: for: prompts differ by about 2,000 tokens, loads by two requests.
DEFAULT_SAMPLES = 20
DEFAULT_VARIANCES = (4e6, 4.0)
#: Samples after which the first ones are outweighed.
MAX_SAMPLES = 200
#: A first event that took longer tells more of a fault than of the speed.
MAX_READ_MS = 10_000
#: More requests than engines take; a report of more is not learnt from.
MAX_REQUESTS = 1_000


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
class EngineTimes:
    """Figures of a pool's engines, learnt from this host's own calls.

    A linear regression of the time to the first event gives the time for
    each token to read and for each request that runs already.
    """

    token_ms: float = TOKEN_MS
    running_ms: float = RUNNING_MS
    call_ms: float = CALL_MS
    memory_tokens: float = 0.0
    _samples: float = 0.0
    _means: list[float] = attrs.Factory(lambda: [0.0] * 3)
    _moments: list[float] = attrs.Factory(lambda: [0.0] * 5)

    def record_call(self, elapsed_ms: int) -> None:
        """Record the time from a send to the end of the response."""
        self.call_ms += SAMPLE_GAIN * (elapsed_ms - self.call_ms)

    def record_prompt(self, tokens: int) -> None:
        """Record the tokens of memory that a request needs."""
        self.memory_tokens += SAMPLE_GAIN * (tokens - self.memory_tokens)

    def record_read(
        self, tokens: int, running: int, elapsed_ms: float
    ) -> None:
        """Record a time from a send to the first event, at usual pace."""
        if not 0 <= elapsed_ms <= MAX_READ_MS or running > MAX_REQUESTS:
            return
        self._samples = min(self._samples + 1, MAX_SAMPLES)
        gain = 1 / self._samples
        means = self._means
        sample = (tokens, running, elapsed_ms)
        errors = [x - mean for x, mean in zip(sample, means)]
        for n, error in enumerate(errors):
            means[n] += gain * error
        # Co-moments of tokens (t), requests (r) and elapsed time (e).
        t, r, e = errors
        for n, product in enumerate((t * t, t * r, r * r, t * e, r * e)):
            self._moments[n] += gain * (
                (1 - gain) * product - self._moments[n]
            )
        self._solve()

    def _solve(self) -> None:
        """Compute the slopes, drawn to the defaults while samples are few."""
        tt, tr, rr, te, re = self._moments
        share = DEFAULT_SAMPLES / self._samples
        prior_t, prior_r = (share * v for v in DEFAULT_VARIANCES)
        tt, te = tt + prior_t, te + prior_t * TOKEN_MS
        rr, re = rr + prior_r, re + prior_r * RUNNING_MS
        determinant = tt * rr - tr * tr
        self.token_ms = _clamp(
            (te * rr - re * tr) / determinant, TOKEN_MS_BOUNDS
        )
        self.running_ms = _clamp(
            (re * tt - te * tr) / determinant, RUNNING_MS_BOUNDS
        )


def _clamp(value: float, bounds: tuple[float, float]) -> float:
    low, high = bounds
    return max(low, min(high, value))


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
