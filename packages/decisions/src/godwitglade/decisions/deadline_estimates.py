"""Estimates of whether a request can meet its deadline.

A stage can start once the pool has served the admitted jobs that go before
it, at the rate at which the pool completes calls. These jobs are counted in
the order of `queueing`: of each workspace, only those that fair sharing
serves before this request.
"""

from godwitglade.decisions import context as contexts
from godwitglade.decisions import directory
from godwitglade.decisions import documents
from godwitglade.decisions import jobs

#: Quantile of a stage's durations that admission plans with.
ADMISSION_QUANTILE = 0.8
#: A waiting job is given up when even this quantile would be too late.
ABANDON_QUANTILE = 0.75
#: The shortest retry delay given to a refused caller.
MIN_RETRY_AFTER_MS = 250


def add_to_backlogs(context: contexts.Context, job: jobs.Job) -> None:
    """Add a job to the backlog of every pool that it needs."""
    job.pending_pools = [stage.pool for stage in job.document.stages]
    for pool in job.pending_pools:
        context.backlog(pool).add(job, 1)


def remove_sent(context: contexts.Context, job: jobs.Job) -> None:
    """Remove the current stage, now sent, from its backlog; idempotent."""
    stages_left = len(job.document.stages) - job.stage_index
    while len(job.pending_pools) >= stages_left:
        context.backlog(job.pending_pools.pop(0)).add(job, -1)


def remove_from_backlogs(context: contexts.Context, job: jobs.Job) -> None:
    """Remove a job from the backlogs that still count it."""
    for pool in job.pending_pools:
        context.backlog(pool).add(job, -1)
    job.pending_pools = []


def lateness_ms(
    context: contexts.Context, job: jobs.Job, now_ms: int
) -> float:
    """Return by how much a new job would miss its deadline, else 0."""
    stages = job.document.stages
    waits_ms = [_wait_ms(context, job, stage, now_ms) for stage in stages]
    # Without a wait, long durations come from single targets or requests.
    quantile = ADMISSION_QUANTILE if any(waits_ms) else ABANDON_QUANTILE
    needed_ms = 0.0
    for stage, start_ms in zip(stages, waits_ms):
        needed_ms = max(needed_ms, start_ms)
        needed_ms += _duration_ms(context, job, stage, quantile)
    return max(0.0, needed_ms - job.time_left_ms(now_ms))


def will_miss_deadline(
    context: contexts.Context, job: jobs.Job, now_ms: int
) -> bool:
    """Tell whether the remaining stages would end after the deadline."""
    remaining = job.document.stages[job.stage_index :]
    needed_ms = sum(
        _duration_ms(context, job, stage, ABANDON_QUANTILE)
        for stage in remaining
    )
    return needed_ms > job.time_left_ms(now_ms)


def _duration_ms(
    context: contexts.Context,
    job: jobs.Job,
    stage: documents.Stage,
    quantile: float,
) -> float:
    sketch = context.stage_durations.complete_call(
        job.document.pipeline, stage.name
    )
    if not sketch.is_ready:
        return 0.0
    return sketch.quantile_ms(quantile)


def has_targets(
    context: contexts.Context, document: documents.Document, now_ms: int
) -> bool:
    """Tell whether every stage has a target that accepts work."""
    pools = {stage.pool for stage in document.stages}
    return all(_available_targets(context, pool, now_ms) for pool in pools)


def _available_targets(
    context: contexts.Context, pool: str, now_ms: int
) -> list[directory.TrackedTarget]:
    return [
        tracked
        for tracked in context.directory.pool(pool)
        if tracked.accepts_work(now_ms)
    ]


def _wait_ms(
    context: contexts.Context,
    job: jobs.Job,
    stage: documents.Stage,
    now_ms: int,
) -> float:
    """Return the time until the pool can start a new job."""
    workspace = job.document.workspace(job.request.workspace)
    share = workspace.share if workspace else 1
    backlog = context.backlog(stage.pool)
    ahead = backlog.ahead_of(job.rank, job.request.workspace, share)
    available = _available_targets(context, stage.pool, now_ms)
    free_slots = sum(max(0.0, t.limit - t.in_flight) for t in available)
    if ahead < free_slots:
        return 0.0
    mean_ms = context.stage_durations.complete_call(
        job.document.pipeline, stage.name
    ).mean_ms
    slots = sum(t.limit for t in available)
    return (ahead - free_slots + 1) * mean_ms / max(1.0, slots)
