"""Final outcomes: each request gets exactly one."""

from godwitglade.common import events
from godwitglade.coordination import effects as coordination_effects
from godwitglade.decisions import calling
from godwitglade.decisions import context as contexts
from godwitglade.decisions import crash_reports
from godwitglade.decisions import deadline_estimates
from godwitglade.decisions import effects
from godwitglade.decisions import health
from godwitglade.decisions import jobs
from godwitglade.decisions import metrics
from godwitglade.decisions import outcomes
from godwitglade.decisions import records


def refuse(
    request_id: str, reason: str, retry_after_ms: int = 0
) -> contexts.Effects:
    """Refuse a request that was not admitted."""
    outcome = outcomes.RefusedNotRun(reason, retry_after_ms)
    return [
        effects.AnswerCaller(request_id, outcome),
        *_outcome_events(outcome),
    ]


def give_up(
    context: contexts.Context,
    job: jobs.Job,
    reason: str,
    now_ms: int,
    refusal: str | None = None,
    retry_after_ms: int = 0,
) -> contexts.Effects:
    """End a job without an answer, with the outcome that applies to it.

    ``reason`` is an `outcomes.Failure`; ``refusal`` is the
    `outcomes.Refusal` reported when nothing was sent to any target.
    """
    ran = tuple(job.ran)
    outcome: outcomes.Outcome
    if job.last_non_repeatable is not None:
        outcome = outcomes.Unknown(reason, job.last_non_repeatable, ran)
    elif ran:
        outcome = outcomes.Failed(reason, ran, retry_after_ms)
    else:
        code = refusal or _REFUSALS.get(reason, outcomes.Refusal.OVERLOADED)
        outcome = outcomes.RefusedNotRun(code, retry_after_ms)
    return finish(context, job, outcome, now_ms)


def finish(
    context: contexts.Context,
    job: jobs.Job,
    outcome: outcomes.Outcome,
    now_ms: int,
) -> contexts.Effects:
    """Answer the caller and remove the job; idempotent.

    A job with a non-repeatable call in flight stays, so that the reply can
    be recorded for later queries of the outcome.
    """
    if job.is_answered:
        return []
    job.is_answered = True
    deadline_estimates.remove_from_backlogs(context, job)
    context.queue(job.stage.pool).remove(job)
    if job.reserved is not None:
        calling.release_slot(context, job.reserved.name)
        job.reserved = None
    done = [
        effects.AnswerCaller(job.request_id, outcome),
        *_outcome_events(outcome),
        *metrics.measure_job(job, outcome, now_ms),
    ]
    if job.is_claim_sent and job.attempts:
        return done
    return [*done, *remove_job(context, job, outcome, now_ms)]


def remove_job(
    context: contexts.Context,
    job: jobs.Job,
    outcome: outcomes.Outcome,
    now_ms: int,
) -> contexts.Effects:
    """Remove an answered job, its attempts and its claim."""
    context.jobs.pop(job.request_id, None)
    if not isinstance(outcome, outcomes.Answered):
        _record_unfinished(context, job, now_ms)
    cancelled = calling.cancel_all(context, job)
    closed = _close_claim(context, job, outcome, now_ms)
    closed += crash_reports.release_suspect(context, job)
    return [*cancelled, *closed, *exit_if_idle(context)]


def _record_unfinished(
    context: contexts.Context, job: jobs.Job, now_ms: int
) -> None:
    # Leaving out calls that took too long would bias the durations low. A
    # call without a first byte at a target with an empty queue says more
    # about the connection than about the stage, and is left out.
    durations = context.stage_durations
    for attempt in job.attempts.values():
        sketch = durations.complete_call(job.document.pipeline, attempt.stage)
        elapsed_ms = now_ms - attempt.sent_ms
        tracked = context.directory.by_name.get(attempt.target.name)
        is_conclusive = attempt.has_started or health.has_queue(tracked)
        is_typical = health.is_typical(context, tracked)
        if is_conclusive and is_typical and elapsed_ms > sketch.mean_ms:
            sketch.add(elapsed_ms)


def exit_if_idle(context: contexts.Context) -> contexts.Effects:
    """Complete a planned stop once no request is in flight."""
    if context.is_stopping and not context.jobs and not context.has_exited:
        context.has_exited = True
        return [effects.Exit()]
    return []


def _close_claim(
    context: contexts.Context,
    job: jobs.Job,
    outcome: outcomes.Outcome,
    now_ms: int,
) -> contexts.Effects:
    claim = job.claim
    if claim is None:
        return []
    closed: contexts.Effects = []
    if claim.state is jobs.ClaimState.GRANTED:
        closed = context.claims.release(
            claim.key, claim.nonce, 'not_sent', now_ms
        )
    if claim.state is jobs.ClaimState.SENT:
        closed = context.claims.settle(
            claim.key, claim.nonce, records.to_record(outcome), now_ms
        )
    return [*closed, *drop_claim(context, job)]


def drop_claim(context: contexts.Context, job: jobs.Job) -> contexts.Effects:
    """Drop the claim of a job; the next local job with its key continues."""
    claim, job.claim = job.claim, None
    if claim is None:
        return []
    waiting = context.waiting_claimants.get(claim.key, [])
    if job in waiting:
        waiting.remove(job)
    if not waiting:
        context.waiting_claimants.pop(claim.key, None)
    if context.claimants.get(claim.key) is not job:
        return []
    del context.claimants[claim.key]
    return calling.timer('follow', claim.key, 0) if waiting else []


def _outcome_events(outcome: outcomes.Outcome) -> contexts.Effects:
    name = f'requests.{outcome.code}'
    fields = {'outcome': outcome.code}
    reason = getattr(outcome, 'reason', None)
    if reason is not None:
        fields['reason'] = reason
    return [
        coordination_effects.Count(name),
        coordination_effects.LogEvent(events.Event.REQUEST_SETTLED, fields),
    ]


_REFUSALS = {
    outcomes.Failure.DEADLINE: outcomes.Refusal.CANNOT_MEET_DEADLINE,
    outcomes.Failure.NO_TARGET: outcomes.Refusal.NO_TARGET,
    outcomes.Failure.QUARANTINED: outcomes.Refusal.QUARANTINED,
    outcomes.Failure.STORE_UNAVAILABLE: outcomes.Refusal.STORE_UNAVAILABLE,
}
