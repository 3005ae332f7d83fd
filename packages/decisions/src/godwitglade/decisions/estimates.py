"""Measured times of stages as decaying histograms."""

import bisect

import attrs

#: Bucket bounds grow by this factor.
_GROWTH = 1.15
_BOUNDS_MS = tuple(_GROWTH**n for n in range(92))

#: Weight of a new sample in the mean.
_MEAN_GAIN = 0.1

#: Samples before a measured time is used.
MIN_SAMPLES = 10

#: All weights are halved after this many samples.
_WINDOW = 32


@attrs.define(eq=False)
class DurationSketch:
    """Quantiles of recent durations, exact to about 15%."""

    _weights: list[float] = attrs.Factory(lambda: [0.0] * len(_BOUNDS_MS))
    _total: float = 0.0
    mean_ms: float = 0.0

    def add(self, elapsed_ms: float) -> None:
        """Count one duration."""
        index = bisect.bisect_left(_BOUNDS_MS, elapsed_ms)
        self._weights[min(index, len(_BOUNDS_MS) - 1)] += 1.0
        self._total += 1.0
        gain = max(1.0 / self._total, _MEAN_GAIN)
        self.mean_ms += gain * (elapsed_ms - self.mean_ms)
        if self._total >= 2 * _WINDOW:
            self._weights = [weight / 2 for weight in self._weights]
            self._total /= 2

    @property
    def count(self) -> float:
        """Return how many recent samples there are."""
        return self._total

    @property
    def is_ready(self) -> bool:
        """Tell whether there are enough samples to go by."""
        return self._total >= MIN_SAMPLES

    def quantile_ms(self, share: float) -> float:
        """Return the duration that ``share`` of samples do not exceed."""
        wanted = share * self._total
        seen = 0.0
        for bound_ms, weight in zip(_BOUNDS_MS, self._weights):
            seen += weight
            if weight and seen >= wanted:
                return bound_ms
        return 0.0


@attrs.define(eq=False)
class StageTimes:
    """Duration sketches by pipeline and stage."""

    _whole: dict[tuple[str, str], DurationSketch] = attrs.Factory(dict)
    _first: dict[tuple[str, str], DurationSketch] = attrs.Factory(dict)
    _pace: dict[tuple[str, str], DurationSketch] = attrs.Factory(dict)

    def pace(self, pipeline: str, stage: str) -> DurationSketch:
        """Return the sketch of milliseconds a character of a stage."""
        key = (pipeline, stage)
        return self._pace.setdefault(key, DurationSketch())

    def whole(self, pipeline: str, stage: str) -> DurationSketch:
        """Return the sketch of whole calls of a stage."""
        key = (pipeline, stage)
        return self._whole.setdefault(key, DurationSketch())

    def first_byte(self, pipeline: str, stage: str) -> DurationSketch:
        """Return the sketch of times to the first byte of a stage."""
        key = (pipeline, stage)
        return self._first.setdefault(key, DurationSketch())
