"""Selection of a target for a request.

Load reports are old, and hosts that all chose the least loaded target would
overload it. So two random candidates are compared, by this host's own calls
and by the load in their last responses. Prompts that share a part go to the
same engine, unless it is much fuller than the others.
"""

import random
import typing

import attrs

from godwitglade.routing import rendezvous
from godwitglade.routing import targets

#: A load reported by a target is used for this time.
LOAD_TTL_MS = 1_000
#: An engine is skipped when its fullness exceeds the mean by more than this.
FULLNESS_SLACK = 0.25
#: Failures in a row that suspend a target.
MAX_FAILURES = 3
#: Time for which a failing target gets no requests; it doubles for each
#: further failure.
SUSPENSION_MS = 1_000
MAX_SUSPENSION_MS = 8_000


@attrs.frozen
class Preferences:
    """What a request prefers in its target.

    ``zone`` is the data centre of its inputs, empty for none; ``affinity``
    names the prompt part that it may share with other requests; ``tried``
    are the targets that it was already sent to.
    """

    zone: str = ''
    affinity: str = ''
    tried: frozenset[str] = frozenset()


def choose(
    candidates: list[targets.Target],
    preferences: Preferences,
    own_zone: str,
    rng: random.Random,
    now_ms: int,
) -> targets.Target | None:
    """Return the target to send to, None if no untried one is left."""
    untried = [t for t in candidates if t.name not in preferences.tried]
    if not untried:
        return None
    if preferences.affinity:
        return _by_affinity(untried, preferences, now_ms)
    with_free_slots = [
        t for t in untried if fullness(t, now_ms) < 1.0
    ] or untried
    near = [
        t for t in with_free_slots if t.listed.zone == own_zone
    ] or with_free_slots
    if all(fullness(t, now_ms) > 0.5 for t in near):
        near = with_free_slots
    sampled = rng.sample(near, min(2, len(near)))
    return min(sampled, key=lambda t: paced_fullness(t, now_ms))


def _by_affinity(
    untried: list[targets.Target], preferences: Preferences, now_ms: int
) -> targets.Target:
    near = [t for t in untried if t.listed.zone == preferences.zone] or untried
    by_name = {t.name: t for t in near}
    fullness_by_name = {
        name: paced_fullness(t, now_ms) for name, t in by_name.items()
    }
    max_fullness = (
        sum(fullness_by_name.values()) / len(fullness_by_name) + FULLNESS_SLACK
    )
    order = rendezvous.rank(preferences.affinity, by_name)
    fitting = (
        name for name in order if fullness_by_name[name] <= max_fullness
    )
    return by_name[next(fitting, order[0])]


def fullness(target: targets.Target, now_ms: int) -> float:
    """Return the load divided by the target's slots, 1 if all are in use."""
    return requests_at(target, now_ms) / max(1, target.listed.slots)


def requests_at(target: targets.Target, now_ms: int) -> int:
    """Return the number of requests at a target, as far as known."""
    if target.load is None or now_ms - target.load_ms >= LOAD_TTL_MS:
        return target.in_flight
    return max(target.in_flight, target.load.requests)


def load_freshness(target: targets.Target, now_ms: int) -> float:
    """Return 1 for a load reported now, falling to 0 when it is unknown."""
    if target.load is None:
        return 0.0
    age_ms = max(0, now_ms - target.load_ms)
    return max(0.0, 1 - age_ms / LOAD_TTL_MS)


def pace(target: targets.Target, now_ms: int) -> float:
    """Return the time that work takes at a target, divided by the usual.

    The reported pace changes many times per second, so its difference to the
    usual pace counts less with its age.
    """
    freshness = load_freshness(target, now_ms)
    if target.load is None or not freshness:
        return 1.0
    excess_percent = target.load.pace_percent - targets.USUAL_PACE_PERCENT
    return 1.0 + excess_percent / 100 * freshness


def paced_fullness(target: targets.Target, now_ms: int) -> float:
    """Return the fullness that delays a further request as much.

    It is that of a target of the usual pace, so a slow idle target compares
    like one that is partly in use.
    """
    pace_ = pace(target, now_ms)
    if pace_ == 1.0:
        return fullness(target, now_ms)
    requests = (requests_at(target, now_ms) + 1) * pace_ - 1
    return requests / max(1, target.listed.slots)


def record_success(
    target: targets.Target | None, load: targets.Load | None, now_ms: int
) -> None:
    """Record a success of a target, and its load."""
    if target is None:
        return
    target.failures = 0
    record_load(target, load, now_ms)


def record_load(
    target: targets.Target | None, load: targets.Load | None, now_ms: int
) -> None:
    """Record the load reported in a response of any kind."""
    if target is not None and load is not None and load.is_known:
        target.load = load
        target.load_ms = now_ms


def record_failure(
    target: targets.Target | None, is_unreachable: bool, now_ms: int
) -> bool:
    """Record a failure; return whether the target is suspended now."""
    if target is None or now_ms < target.suspended_until_ms:
        # Calls that were under way at a failure do not count as further ones.
        return False
    target.failures += 1
    if not is_unreachable and target.failures < MAX_FAILURES:
        return False
    times = max(0, target.failures - MAX_FAILURES)
    pause_ms = min(MAX_SUSPENSION_MS, SUSPENSION_MS * 2**times)
    target.suspended_until_ms = now_ms + pause_ms
    return True


def shared_part(parts: typing.Sequence) -> str:
    """Return the name of the last prompt part that may be shared."""
    return parts[-2].name if len(parts) > 1 else ''
