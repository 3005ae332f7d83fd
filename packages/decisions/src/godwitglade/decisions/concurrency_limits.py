"""Concurrency limit of each target, adapted to the load it reports.

The limit is the share of a target that this host may use. All hosts scale
their calls by the same ratio of the desired to the reported load, so that
jobs wait in the fair queues of the hosts and not at the target.
"""

from godwitglade.decisions import directory
from godwitglade.decisions import targets

MIN_LIMIT = 0.1
BUSY_DECREASE = 0.7
#: Desired load of a target, in shares of its capacity.
DESIRED_LOAD_RATIO = 1.06
#: Least desired load above the capacity, in calls; matters for small targets.
MIN_EXTRA_CALLS = 0.5
#: Weight of a new load report.
GAIN = 0.5
#: Largest increase per report, so that idle times do not raise the limit.
MAX_GROWTH = 1.0
#: Pause after a target refused a call as busy.
BUSY_PAUSE_MS = 100
#: Longest pause for a limit below one.
MAX_PAUSE_MS = 2_000


def apply_load(
    tracked: directory.TrackedTarget, load: targets.Load, limit_max: int
) -> None:
    """Adapt the limit to a reported load."""
    total = max(1, load.running + load.queued)
    capacity = load.capacity
    desired = max(DESIRED_LOAD_RATIO * capacity, capacity + MIN_EXTRA_CALLS)
    ratio = desired / total
    scaled = max(1, tracked.in_flight) * ratio
    step = GAIN * (scaled - tracked.limit)
    limit = tracked.limit + min(step, MAX_GROWTH)
    tracked.limit = max(MIN_LIMIT, min(limit, limit_max))


def pause_after_call(
    tracked: directory.TrackedTarget, elapsed_ms: int, now_ms: int
) -> None:
    """Pause after a call when the limit is below one.

    When there are more hosts than slots at a target, each host may use it
    only part of the time.
    """
    if tracked.limit < 1.0:
        pause_ms = elapsed_ms * (1.0 / tracked.limit - 1.0)
        pause_ms = min(pause_ms, MAX_PAUSE_MS)
        tracked.busy_until_ms = now_ms + int(pause_ms)


def apply_busy_refusal(tracked: directory.TrackedTarget, now_ms: int) -> None:
    """Lower the limit and pause after a target refused a call as busy."""
    tracked.limit = max(MIN_LIMIT, tracked.limit * BUSY_DECREASE)
    tracked.busy_until_ms = now_ms + BUSY_PAUSE_MS
