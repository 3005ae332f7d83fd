"""A concurrency limit for each target, adapted to the load it reports.

The limit is this host's own share of a target. Every host scales its own
calls by the same ratio, of what the target should have in hand to what it
reports, so that jobs wait in the hosts' fair queues and not at the target.
"""

from godwitglade.decisions import directory
from godwitglade.decisions import targets

MIN_LIMIT = 0.1
BUSY_DECREASE = 0.7
#: Calls that a target should have in hand, in shares of its capacity.
WANTED_SHARE = 1.06
#: Calls beyond its capacity that a small target should have at least.
WANTED_EXTRA = 0.5
#: Weight of a new report in the limit.
GAIN = 0.5
#: Growth a report may cause, so that idle times do not lift the limit.
MAX_GROWTH = 1.0
#: A target that refused a call as busy is left alone for this long.
BUSY_PAUSE_MS = 100
#: The longest pause for a limit of less than one.
LONGEST_REST_MS = 2_000


def told(
    tracked: directory.TrackedTarget, load: targets.Load, limit_max: int
) -> None:
    """Adapt the limit to a load that came with a reply."""
    total = max(1, load.running + load.queued)
    capacity = load.capacity
    wanted = max(WANTED_SHARE * capacity, capacity + WANTED_EXTRA)
    ratio = wanted / total
    fitting = max(1, tracked.in_flight) * ratio
    step = GAIN * (fitting - tracked.limit)
    limit = tracked.limit + min(step, MAX_GROWTH)
    tracked.limit = max(MIN_LIMIT, min(limit, limit_max))


def ended(
    tracked: directory.TrackedTarget, elapsed_ms: int, now_ms: int
) -> None:
    """Pause after a call when the limit is less than one.

    Where there are more hosts than a target has slots, each host uses it
    for its part of the time only.
    """
    if tracked.limit < 1.0:
        rest_ms = elapsed_ms * (1.0 / tracked.limit - 1.0)
        rest_ms = min(rest_ms, LONGEST_REST_MS)
        tracked.busy_until_ms = now_ms + int(rest_ms)


def refused(tracked: directory.TrackedTarget, now_ms: int) -> None:
    """Lower the limit after a refusal and pause."""
    tracked.limit = max(MIN_LIMIT, tracked.limit * BUSY_DECREASE)
    tracked.busy_until_ms = now_ms + BUSY_PAUSE_MS
