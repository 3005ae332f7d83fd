"""Measured durations of stages, as decaying histograms."""

import bisect

import attrs

#: Ratio of successive bucket bounds.
_BOUND_GROWTH = 1.15
_BOUNDS_MS = tuple(_BOUND_GROWTH**n for n in range(92))

#: Weight of a new sample in the mean.
_MEAN_GAIN = 0.1

#: Samples needed before the quantiles are used.
MIN_SAMPLES = 10

#: All weights are halved after this many samples.
_HALVING_SAMPLES = 32


@attrs.define(eq=False)
class DurationSketch:
    """Quantiles of recent durations, exact to about 15%."""

    _weights: list[float] = attrs.Factory(lambda: [0.0] * len(_BOUNDS_MS))
    _total: float = 0.0
    mean_ms: float = 0.0

    def add(self, elapsed_ms: float) -> None:
        """Add one duration."""
        index = bisect.bisect_left(_BOUNDS_MS, elapsed_ms)
        self._weights[min(index, len(_BOUNDS_MS) - 1)] += 1.0
        self._total += 1.0
        gain = max(1.0 / self._total, _MEAN_GAIN)
        self.mean_ms += gain * (elapsed_ms - self.mean_ms)
        if self._total >= 2 * _HALVING_SAMPLES:
            self._weights = [weight / 2 for weight in self._weights]
            self._total /= 2

    @property
    def count(self) -> float:
        """Return the number of recent samples, older ones weighted less."""
        return self._total

    @property
    def is_ready(self) -> bool:
        """Tell whether there are enough samples to use the quantiles."""
        return self._total >= MIN_SAMPLES

    def quantile_ms(self, share: float) -> float:
        """Return the duration that ``share`` of the samples don't exceed."""
        wanted = share * self._total
        cumulative = 0.0
        for bound_ms, weight in zip(_BOUNDS_MS, self._weights):
            cumulative += weight
            if weight and cumulative >= wanted:
                return bound_ms
        return 0.0


@attrs.define(eq=False)
class StageDurations:
    """Duration sketches by pipeline and stage."""

    _complete_call: dict[tuple[str, str], DurationSketch] = attrs.Factory(dict)
    _first_byte: dict[tuple[str, str], DurationSketch] = attrs.Factory(dict)
    _pace: dict[tuple[str, str], DurationSketch] = attrs.Factory(dict)

    def pace(self, pipeline: str, stage: str) -> DurationSketch:
        """Return the sketch of milliseconds per character of a stage."""
        key = (pipeline, stage)
        return self._pace.setdefault(key, DurationSketch())

    def complete_call(self, pipeline: str, stage: str) -> DurationSketch:
        """Return the sketch of the durations of complete calls of a stage."""
        key = (pipeline, stage)
        return self._complete_call.setdefault(key, DurationSketch())

    def first_byte(self, pipeline: str, stage: str) -> DurationSketch:
        """Return the sketch of times to the first byte of a stage."""
        key = (pipeline, stage)
        return self._first_byte.setdefault(key, DurationSketch())
