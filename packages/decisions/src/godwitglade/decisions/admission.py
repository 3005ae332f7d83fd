"""Admission: is there time for what a request still needs?

The time at which a stage can begin is estimated from the work admitted
before it that goes first, over the rate at which the pool takes work. The
count of that work follows the order of `queueing`: of each workspace only
the part that fair sharing serves before this request.
"""

from godwitglade.decisions import context as contexts
from godwitglade.decisions import directory
from godwitglade.decisions import documents
from godwitglade.decisions import jobs

#: Share of a stage's calls whose time admission counts on.
NEED_QUANTILE = 0.8
#: A waiting job is given up when even this share would be too late.
HOPE_QUANTILE = 0.75
#: The shortest time told to come back after.
MIN_RETRY_AFTER_MS = 250


def admit(context: contexts.Context, job: jobs.Job) -> None:
    """Count a job against every pool that it needs."""
    job.owed = [stage.pool for stage in job.document.stages]
    for pool in job.owed:
        context.backlog(pool).add(job, 1)


def sent(context: contexts.Context, job: jobs.Job) -> None:
    """Count the current stage as sent; does nothing a second time."""
    stages_left = len(job.document.stages) - job.stage_index
    while len(job.owed) >= stages_left:
        context.backlog(job.owed.pop(0)).add(job, -1)


def ended(context: contexts.Context, job: jobs.Job) -> None:
    """Count a job out of every pool."""
    for pool in job.owed:
        context.backlog(pool).add(job, -1)
    job.owed = []


def late_by_ms(context: contexts.Context, job: jobs.Job, now_ms: int) -> float:
    """Return by how much a new job would miss its deadline, 0 if not."""
    stages = job.document.stages
    waits_ms = [_wait_ms(context, job, stage, now_ms) for stage in stages]
    # Without a wait, long times come from single targets or requests.
    share = NEED_QUANTILE if any(waits_ms) else HOPE_QUANTILE
    needed_ms = 0.0
    for stage, begin_ms in zip(stages, waits_ms):
        needed_ms = max(needed_ms, begin_ms)
        needed_ms += _time_ms(context, job, stage, share)
    return max(0.0, needed_ms - job.time_left_ms(now_ms))


def is_hopeless(context: contexts.Context, job: jobs.Job, now_ms: int) -> bool:
    """Tell whether the stages left would end after the deadline."""
    left = job.document.stages[job.stage_index :]
    needed_ms = sum(
        _time_ms(context, job, stage, HOPE_QUANTILE) for stage in left
    )
    return needed_ms > job.time_left_ms(now_ms)


def _time_ms(
    context: contexts.Context,
    job: jobs.Job,
    stage: documents.Stage,
    share: float,
) -> float:
    sketch = context.times.whole(job.document.pipeline, stage.name)
    if not sketch.is_ready:
        return 0.0
    return sketch.quantile_ms(share)


def has_targets(
    context: contexts.Context, document: documents.Document, now_ms: int
) -> bool:
    """Tell whether every stage has a target that takes work."""
    pools = {stage.pool for stage in document.stages}
    return all(_usable(context, pool, now_ms) for pool in pools)


def _usable(
    context: contexts.Context, pool: str, now_ms: int
) -> list[directory.TrackedTarget]:
    return [
        tracked
        for tracked in context.directory.pool(pool)
        if tracked.takes_work(now_ms)
    ]


def _wait_ms(
    context: contexts.Context,
    job: jobs.Job,
    stage: documents.Stage,
    now_ms: int,
) -> float:
    """Return the time until the pool gets to a new job."""
    workspace = job.document.workspace(job.request.workspace)
    share = workspace.share if workspace else 1
    backlog = context.backlog(stage.pool)
    ahead = backlog.ahead_of(job.rank, job.request.workspace, share)
    usable = _usable(context, stage.pool, now_ms)
    room = sum(max(0.0, t.limit - t.in_flight) for t in usable)
    if ahead < room:
        return 0.0
    mean_ms = context.times.whole(job.document.pipeline, stage.name).mean_ms
    slots = sum(t.limit for t in usable)
    return (ahead - room + 1) * mean_ms / max(1.0, slots)
