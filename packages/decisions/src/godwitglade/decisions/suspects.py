"""Repeated runs of suspects, each on a target without other suspects."""

import functools

import attrs

from godwitglade.decisions import calling
from godwitglade.decisions import context as contexts
from godwitglade.decisions import crash_reports
from godwitglade.decisions import jobs
from godwitglade.decisions import outcomes
from godwitglade.decisions import resend_refusals

#: Time for all strikes of a crash to reach all hosts.
STRIKE_SPREAD_MS = 200
#: Interval at which a suspect's turn and progress are checked.
CHECK_INTERVAL_MS = 50
#: Retry delay given to callers that resend a suspect that runs elsewhere.
RETRY_AFTER_MS = 2_000


def wait_for_turn(
    context: contexts.Context, job: jobs.Job, now_ms: int
) -> contexts.Effects:
    """Make a suspect wait for its turn."""
    job.is_suspect = True
    return calling.timer('suspect', job.request_id, now_ms + STRIKE_SPREAD_MS)


def schedule_check(job: jobs.Job, now_ms: int) -> contexts.Effects:
    """Schedule the next check of a suspect."""
    return calling.timer('suspect', job.request_id, now_ms + CHECK_INTERVAL_MS)


def end_duplicates(
    context: contexts.Context, fingerprint: str, now_ms: int
) -> contexts.Effects:
    """End jobs of a request that is quarantined or that another host runs."""
    duplicates = [
        job
        for job in context.jobs.values()
        if job.request.fingerprint == fingerprint and not job.is_answered
    ]
    if context.quarantine.ends_in_ms(fingerprint, now_ms):
        end_job = functools.partial(_refuse_quarantined, context)
    elif context.quarantine.runner(fingerprint) in (
        None,
        context.host_id.name,
    ):
        return []
    else:
        end_job = functools.partial(_refuse_run_elsewhere, context)
        duplicates = [
            job for job in duplicates if must_wait(context, job, now_ms)
        ]
    return [effect for job in duplicates for effect in end_job(job, now_ms)]


def must_wait(context: contexts.Context, job: jobs.Job, now_ms: int) -> bool:
    """Tell whether the job's stage must not be sent like other stages."""
    fingerprint = job.request.fingerprint
    if context.quarantine.ends_in_ms(fingerprint, now_ms):
        return True
    strikes = context.quarantine.strikes(job.request.fingerprint)
    return any(strike.pool == job.stage.pool for strike in strikes)


def refuse_or_delay(
    context: contexts.Context, job: jobs.Job, now_ms: int
) -> contexts.Effects:
    """Refuse the stage of a suspect, or make it wait for its turn."""
    fingerprint = job.request.fingerprint
    if context.quarantine.ends_in_ms(fingerprint, now_ms):
        return _refuse_quarantined(context, job, now_ms)
    runner = context.quarantine.runner(fingerprint)
    is_elsewhere = runner not in (None, context.host_id.name)
    if is_elsewhere or _has_other_job(context, job):
        return _refuse_run_elsewhere(context, job, now_ms)
    published: contexts.Effects = []
    if runner is None:
        published = _take_over(context, job)
    return [*published, *wait_for_turn(context, job, now_ms)]


def _refuse_quarantined(
    context: contexts.Context, job: jobs.Job, now_ms: int
) -> contexts.Effects:
    left_ms = context.quarantine.ends_in_ms(job.request.fingerprint, now_ms)
    reason = outcomes.Failure.QUARANTINED
    refusal = outcomes.Refusal.QUARANTINED
    return resend_refusals.refuse(
        context, job, reason, refusal, left_ms, now_ms
    )


def _refuse_run_elsewhere(
    context: contexts.Context, job: jobs.Job, now_ms: int
) -> contexts.Effects:
    return resend_refusals.refuse(
        context,
        job,
        outcomes.Failure.TARGET_LOST,
        outcomes.Refusal.OVERLOADED,
        RETRY_AFTER_MS,
        now_ms,
    )


def _has_other_job(context: contexts.Context, job: jobs.Job) -> bool:
    fingerprint = job.request.fingerprint
    return any(
        other.is_suspect and other.request.fingerprint == fingerprint
        for other in context.jobs.values()
        if other is not job
    )


def _take_over(context: contexts.Context, job: jobs.Job) -> contexts.Effects:
    fingerprint = job.request.fingerprint
    first = context.quarantine.strikes(fingerprint)[0]
    host = context.host_id.name
    strike = attrs.evolve(first, host=host, is_held=True)
    return crash_reports.publish_strike(context, fingerprint, strike)
