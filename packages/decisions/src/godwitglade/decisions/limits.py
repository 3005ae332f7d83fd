"""A concurrency limit for each target, adapted to the load it reports.

The limit is this host's own share of a target: every host raises it slowly
while the target reports no queue and lowers it while one is reported, so
that jobs wait in the hosts' fair queues rather than at the target.
"""

from godwitglade.decisions import directory
from godwitglade.decisions import targets

MIN_LIMIT = 1.0
DECREASE = 0.9
BUSY_DECREASE = 0.7
#: A queue of this share of the capacity is no reason to lower the limit.
ACCEPTED_QUEUE = 0.125
#: A target that refused a call as busy is left alone for this long.
BUSY_PAUSE_MS = 100


def told(
    tracked: directory.TrackedTarget, load: targets.Load, limit_max: int
) -> None:
    """Adapt the limit to a load that came with a reply."""
    if load.queued > ACCEPTED_QUEUE * load.capacity:
        tracked.limit = max(MIN_LIMIT, tracked.limit * DECREASE)
        return
    is_used = tracked.in_flight + 1 >= int(tracked.limit)
    if is_used and load.queued == 0:
        raised = tracked.limit + 1.0 / tracked.limit
        tracked.limit = min(raised, limit_max, 2 * load.capacity)


def refused(tracked: directory.TrackedTarget, now_ms: int) -> None:
    """Lower the limit after a refusal and pause."""
    tracked.limit = max(MIN_LIMIT, tracked.limit * BUSY_DECREASE)
    tracked.busy_until_ms = now_ms + BUSY_PAUSE_MS
