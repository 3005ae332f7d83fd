"""Migration of streams away from targets that became slow.

A stream resumes on another target after its last character, so a migration
costs one more prefill of the prompt but loses no generated text.
"""

from godwitglade.decisions import calling
from godwitglade.decisions import context as contexts
from godwitglade.decisions import effects
from godwitglade.decisions import health
from godwitglade.decisions import jobs
from godwitglade.decisions import stages

#: Shortest interval over which the pace of a stream is measured.
PACE_WINDOW_MS = 1_000


def check(context: contexts.Context, now_ms: int) -> contexts.Effects:
    """Mark slow streams; migrate stalled ones and those of ejected targets."""
    if not context.settings.is_ejection_on:
        return []
    done: contexts.Effects = []
    for job in list(context.jobs.values()):
        for attempt in list(job.attempts.values()):
            if _is_slow(context, job, attempt, now_ms):
                attempt.is_slow = True
                tracked = context.directory.by_name.get(attempt.target.name)
                if attempt.is_stalled:
                    done += health.probe(context, tracked, now_ms)
                else:
                    done += health.record_overdue(context, tracked, now_ms)
    for job in list(context.jobs.values()):
        done += _migrate(context, job, now_ms)
    return done


def _is_slow(
    context: contexts.Context,
    job: jobs.Job,
    attempt: jobs.Attempt,
    now_ms: int,
) -> bool:
    if attempt.is_slow or not attempt.has_started:
        return False
    if now_ms - attempt.pace_checked_ms < PACE_WINDOW_MS:
        return False
    if attempt.target.name not in context.directory.by_name:
        return False
    usual = context.stage_durations.pace(job.document.pipeline, attempt.stage)
    if not usual.is_ready:
        return False
    usual_ms = usual.quantile_ms(0.9)
    return attempt.recent_pace_ms(now_ms) > health.SLOW_FACTOR * usual_ms


def _migrate(
    context: contexts.Context, job: jobs.Job, now_ms: int
) -> contexts.Effects:
    if job.is_answered or not job.stage.is_repeatable:
        return []
    if len(job.attempts) != 1:
        return []
    attempt = next(iter(job.attempts.values()))
    tracked = context.directory.by_name.get(attempt.target.name)
    is_on_ejected = tracked is not None and tracked.is_ejected
    if not (is_on_ejected or attempt.is_stalled):
        return []
    if attempt.has_started and not attempt.is_slow:
        return []
    if stages.choose(context, job, now_ms) is None:
        return []
    if not context.retry_budget(job.stage.pool).spend():
        return []
    calling.remove_attempt(context, job, attempt)
    cancelled = effects.CancelCall(attempt.attempt_id, attempt.target)
    return [cancelled, *stages.place(context, job, now_ms)]
