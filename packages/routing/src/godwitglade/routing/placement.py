"""Choice of a target for a request.

Answers uneven load: reports are old and all hosts read the same ones, so
that two random candidates are compared by own calls and by what their last
answers said. Prompts that share a part go to the same engine, unless it is
much fuller than the others.
"""

import random
import typing

import attrs

from godwitglade.routing import ownership
from godwitglade.routing import targets

#: A load that a target told is believed for this time.
LOAD_TTL_MS = 1_000
#: An engine is passed over when it is this much fuller than the mean.
FULLNESS_SLACK = 0.25
#: Failures in a row that suspend a target.
MAX_FAILURES = 3
#: Time for which a failing target gets nothing.
SUSPENSION_MS = 1_000
LONGEST_SUSPENSION_MS = 8_000


@attrs.frozen
class Wish:
    """What a request wants of its target.

    ``zone`` is where its inputs are, empty for none; ``affinity`` names the
    prompt part that it shares with others; ``tried`` are the targets that it
    was sent to before.
    """

    zone: str = ''
    affinity: str = ''
    tried: frozenset[str] = frozenset()


def choose(
    candidates: list[targets.Target],
    wish: Wish,
    own_zone: str,
    rng: random.Random,
    now_ms: int,
) -> targets.Target | None:
    """Return the target to send to, None when there is none left."""
    left = [t for t in candidates if t.name not in wish.tried]
    if not left:
        return None
    if wish.affinity:
        return _by_affinity(left, wish, now_ms)
    open_ = [t for t in left if fullness(t, now_ms) < 1.0] or left
    near = [t for t in open_ if t.listed.zone == own_zone] or open_
    if all(fullness(t, now_ms) > 0.5 for t in near):
        near = open_
    drawn = rng.sample(near, min(2, len(near)))
    return min(drawn, key=lambda t: fullness(t, now_ms))


def _by_affinity(
    left: list[targets.Target], wish: Wish, now_ms: int
) -> targets.Target:
    near = [t for t in left if t.listed.zone == wish.zone] or left
    by_name = {t.name: t for t in near}
    fill = {name: fullness(t, now_ms) for name, t in by_name.items()}
    bound = sum(fill.values()) / len(fill) + FULLNESS_SLACK
    order = ownership.rank(wish.affinity, by_name)
    fitting = (name for name in order if fill[name] <= bound)
    return by_name[next(fitting, order[0])]


def fullness(target: targets.Target, now_ms: int) -> float:
    """Return the load over the target's slots, 1 when they are taken."""
    busy: float = target.in_flight
    is_known = target.load is not None
    if is_known and now_ms - target.load_ms < LOAD_TTL_MS:
        busy = max(busy, target.load.running + target.load.waiting)
    return busy / max(1, target.listed.slots)


def succeeded(
    target: targets.Target | None, load: targets.Load | None, now_ms: int
) -> None:
    """Note an answer of a target."""
    if target is None:
        return
    target.failures = 0
    heard(target, load, now_ms)


def heard(
    target: targets.Target | None, load: targets.Load | None, now_ms: int
) -> None:
    """Note the load that came with an answer of any kind."""
    if target is not None and load is not None:
        target.load = load
        target.load_ms = now_ms


def failed(
    target: targets.Target | None, is_unreachable: bool, now_ms: int
) -> bool:
    """Note a failure; tell whether the target is suspended now."""
    if target is None:
        return False
    target.failures += 1
    if not is_unreachable and target.failures < MAX_FAILURES:
        return False
    times = max(0, target.failures - MAX_FAILURES)
    pause_ms = min(LONGEST_SUSPENSION_MS, SUSPENSION_MS * 2**times)
    target.suspended_until_ms = now_ms + pause_ms
    return True


def affinity_of(parts: typing.Sequence) -> str:
    """Return the name of the last prompt part that others may share."""
    return parts[-2].name if len(parts) > 1 else ''
