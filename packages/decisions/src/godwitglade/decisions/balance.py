"""Target selection: own zone first, then the better of two candidates."""

import random
import typing

import attrs

from godwitglade.decisions import affinity
from godwitglade.decisions import directory

#: An engine is skipped when its load exceeds this multiple of the mean.
LOAD_BOUND = 1.25
LOAD_SLACK = 0.1
#: Engines considered for a prefix before the choice is by load alone.
MAX_RANK = 3

#: The weight of a reported load halves after this time.
LOAD_HALF_LIFE_MS = 500


class Chooser(typing.Protocol):
    """Selects a target among candidates that all accept work."""

    def choose(
        self,
        candidates: list[directory.TrackedTarget],
        zone: str,
        prefix: str,
        now_ms: int,
    ) -> directory.TrackedTarget | None:
        """Return the target to call, None when none has capacity."""


@attrs.define(eq=False)
class TwoChoices:
    """Power of two choices, by own calls and the decayed reported load."""

    rng: random.Random

    def choose(
        self,
        candidates: list[directory.TrackedTarget],
        zone: str,
        prefix: str,
        now_ms: int,
    ) -> directory.TrackedTarget | None:
        """Return the less loaded of two candidates with capacity."""
        if prefix:
            preferred = self._preferred(candidates, prefix, now_ms)
            if preferred is not None:
                return preferred
        with_capacity = [t for t in candidates if t.has_capacity(now_ms)]
        local = [t for t in with_capacity if t.target.zone == zone]
        choices = local or with_capacity
        if not choices:
            return None
        drawn = self.rng.sample(choices, min(2, len(choices)))
        return min(drawn, key=lambda tracked: relative_load(tracked, now_ms))

    def _preferred(
        self,
        candidates: list[directory.TrackedTarget],
        key: str,
        now_ms: int,
    ) -> directory.TrackedTarget | None:
        """Return the highest-ranked engine whose load is within the bound."""
        if not candidates:
            return None
        loads = {t.name: relative_load(t, now_ms) for t in candidates}
        mean = sum(loads.values()) / len(loads)
        bound = LOAD_BOUND * mean + LOAD_SLACK
        order = affinity.ranked(key, candidates)[:MAX_RANK]
        below_bound = (t for t in order if loads[t.name] <= bound)
        return next((t for t in below_bound if t.has_capacity(now_ms)), None)


def relative_load(tracked: directory.TrackedTarget, now_ms: int) -> float:
    """Return the expected load of a target, in shares of its capacity."""
    if tracked.load is None:
        return tracked.in_flight / max(1.0, tracked.limit)
    age_ms = max(0, now_ms - tracked.load_ms)
    weight = 0.5 ** (age_ms / LOAD_HALF_LIFE_MS)
    reported = (tracked.load.running + tracked.load.queued) * weight
    return max(reported, tracked.in_flight) / max(1, tracked.load.capacity)
