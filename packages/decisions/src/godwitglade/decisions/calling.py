"""Sending attempts to targets and cancelling them."""

from godwitglade.coordination import effects as coordination_effects
from godwitglade.decisions import context as contexts
from godwitglade.decisions import deadline_estimates
from godwitglade.decisions import directory
from godwitglade.decisions import durations
from godwitglade.decisions import effects
from godwitglade.decisions import health
from godwitglade.decisions import jobs
from godwitglade.decisions import outcomes
from godwitglade.decisions import payloads
from godwitglade.decisions import streams


def send(
    context: contexts.Context,
    job: jobs.Job,
    tracked: directory.TrackedTarget,
    now_ms: int,
    is_hedge: bool = False,
) -> contexts.Effects:
    """Send an attempt of the job's current stage to a target."""
    timeout_ms = max(1, min(job.stage.budget_ms, job.time_left_ms(now_ms)))
    attempt = jobs.Attempt(
        attempt_id=context.next_attempt_id(),
        stage=job.stage.name,
        target=tracked.target,
        sent_ms=now_ms,
        timeout_ms=timeout_ms,
        is_hedge=is_hedge,
        feed=streams.StreamFeed(job.text) if job.is_streamed else None,
    )
    deadline_estimates.remove_sent(context, job)
    job.attempts[attempt.attempt_id] = attempt
    context.attempts[attempt.attempt_id] = job
    tracked.in_flight += 1
    job.tried_targets.add(tracked.name)
    job.stage_attempts += 1
    if job.stage.name not in job.ran:
        job.ran.append(job.stage.name)
    return [
        _call(context, job, attempt),
        *timer('watch', attempt.attempt_id, attempt.sent_ms),
    ]


def ends_ms(attempt: jobs.Attempt) -> int:
    """Return when an attempt times out if the transport reports no end."""
    return attempt.sent_ms + attempt.timeout_ms + TIMEOUT_GRACE_MS


def needs_fresh_connection(job: jobs.Job) -> bool:
    """Tell whether a call must not use a long idle connection.

    What makes one idle connection unresponsive usually affects all of the
    same age, including those to other targets.
    """
    return not job.stage.is_repeatable or job.stage_attempts > 1


def remove_attempt(
    context: contexts.Context, job: jobs.Job, attempt: jobs.Attempt
) -> None:
    """Remove an attempt that ended or was cancelled."""
    job.attempts.pop(attempt.attempt_id, None)
    context.attempts.pop(attempt.attempt_id, None)
    release_slot(context, attempt.target.name)


def release_slot(context: contexts.Context, target_name: str) -> None:
    """Release one in-flight slot of a target."""
    tracked = context.directory.by_name.get(target_name)
    if tracked is not None and tracked.in_flight > 0:
        tracked.in_flight -= 1


def cancel_all(context: contexts.Context, job: jobs.Job) -> contexts.Effects:
    """Cancel every pending attempt of a job."""
    cancelled = list(job.attempts.values())
    for attempt in cancelled:
        remove_attempt(context, job, attempt)
    return [
        effects.CancelCall(attempt.attempt_id, attempt.target)
        for attempt in cancelled
    ]


def add_stage_report(job: jobs.Job, target_name: str, now_ms: int) -> None:
    """Add the report of the current stage to the job."""
    job.reports.append(
        outcomes.StageReport(
            stage=job.stage.name,
            target=target_name,
            attempts=job.stage_attempts,
            elapsed_ms=now_ms - job.stage_started_ms,
        )
    )


def timer(part: str, name: str, due_ms: int) -> contexts.Effects:
    """Start a timer of the request policy."""
    token = f'requests:{part}:{name}'
    return [coordination_effects.StartTimer(token, due_ms)]


def sketch_of(
    context: contexts.Context, job: jobs.Job
) -> durations.DurationSketch:
    """Return the durations that an attempt of the stage is judged by.

    For a stream these are the times to the first byte.
    """
    pipeline, name = job.document.pipeline, job.stage.name
    if job.is_streamed:
        return context.stage_durations.first_byte(pipeline, name)
    return context.stage_durations.complete_call(pipeline, name)


def first_byte_timeout_ms(
    context: contexts.Context, job: jobs.Job, timeout_ms: int
) -> int:
    """Return how long the first byte of a reply may take.

    The limit is derived from the measured durations of the stage. Without
    enough samples, for a non-repeatable stage or in a busy pool, it is the
    timeout of the call.
    """
    sketch = sketch_of(context, job)
    if not sketch.is_ready or not job.stage.is_repeatable:
        return timeout_ms
    if health.is_busy(context.directory.pool(job.stage.pool)):
        return timeout_ms
    max_ms = FIRST_BYTE_FACTOR * sketch.quantile_ms(0.99)
    min_ms = context.settings.min_first_byte_ms
    return min(timeout_ms, max(min_ms, int(max_ms)))


#: Time after the timeout for the transport to report the end itself.
TIMEOUT_GRACE_MS = 50

#: The first byte may take this multiple of the 99th percentile.
FIRST_BYTE_FACTOR = 5.0


def _call(
    context: contexts.Context,
    job: jobs.Job,
    attempt: jobs.Attempt,
) -> effects.CallTarget:
    stage = job.stage
    return effects.CallTarget(
        request_id=job.request_id,
        stage=stage.name,
        attempt_id=attempt.attempt_id,
        target=attempt.target,
        path=stage.call_path,
        payload=payloads.payload_of(job),
        timeout_ms=attempt.timeout_ms,
        first_byte_ms=first_byte_timeout_ms(context, job, attempt.timeout_ms),
        is_stream=job.is_streamed,
        resume_offset=len(job.text) if job.is_streamed else 0,
        prefix=job.text if job.is_streamed else '',
        priority=job.rank,
        needs_fresh_connection=needs_fresh_connection(job),
    )
