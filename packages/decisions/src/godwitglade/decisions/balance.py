"""Choice of a target: nearest zone first, then two random candidates."""

import random
import typing

import attrs

from godwitglade.decisions import directory

#: A reported load counts half after this time.
LOAD_HALF_LIFE_MS = 500


class Chooser(typing.Protocol):
    """Chooses a target among candidates that all take work."""

    def choose(
        self,
        candidates: list[directory.TrackedTarget],
        zone: str,
        affinity: str,
        now_ms: int,
    ) -> directory.TrackedTarget | None:
        """Return the target to call, None to wait for room."""


@attrs.define(eq=False)
class TwoChoices:
    """Power of two choices over own calls and the discounted load."""

    rng: random.Random

    def choose(
        self,
        candidates: list[directory.TrackedTarget],
        zone: str,
        affinity: str,
        now_ms: int,
    ) -> directory.TrackedTarget | None:
        """Return the less loaded of two candidates with room."""
        with_room = [t for t in candidates if t.has_room(now_ms)]
        near = [t for t in with_room if t.target.zone == zone]
        choices = near or with_room
        if not choices:
            return None
        drawn = self.rng.sample(choices, min(2, len(choices)))
        return min(drawn, key=lambda tracked: pressure(tracked, now_ms))


def pressure(tracked: directory.TrackedTarget, now_ms: int) -> float:
    """Return the expected work ahead at a target, in shares of capacity."""
    if tracked.load is None:
        return tracked.in_flight / max(1.0, tracked.limit)
    age_ms = max(0, now_ms - tracked.load_ms)
    weight = 0.5 ** (age_ms / LOAD_HALF_LIFE_MS)
    reported = (tracked.load.running + tracked.load.queued) * weight
    return max(reported, tracked.in_flight) / max(1, tracked.load.capacity)
