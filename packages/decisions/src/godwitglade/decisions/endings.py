"""Final outcomes: each request gets just one."""

from godwitglade.common import events
from godwitglade.coordination import effects as coordination_effects
from godwitglade.decisions import admission
from godwitglade.decisions import calling
from godwitglade.decisions import context as contexts
from godwitglade.decisions import effects
from godwitglade.decisions import health
from godwitglade.decisions import jobs
from godwitglade.decisions import metrics
from godwitglade.decisions import outcomes
from godwitglade.decisions import records
from godwitglade.decisions import suspicion


def refuse(
    request_id: str, reason: str, retry_after_ms: int = 0
) -> contexts.Effects:
    """Refuse a request that was not admitted."""
    outcome = outcomes.RefusedNotRun(reason, retry_after_ms)
    return [effects.AnswerCaller(request_id, outcome), *_logged(outcome)]


def give_up(
    context: contexts.Context,
    job: jobs.Job,
    reason: str,
    now_ms: int,
    refusal: str | None = None,
    retry_after_ms: int = 0,
) -> contexts.Effects:
    """End a job unanswered, with the outcome that is true for it.

    ``reason`` is a `outcomes.Failure`; ``refusal`` is the
    `outcomes.Refusal` given when nothing was sent to any target.
    """
    ran = tuple(job.ran)
    outcome: outcomes.Outcome
    if job.unsafe_stage is not None:
        outcome = outcomes.Unknown(reason, job.unsafe_stage, ran)
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
    """Answer the caller and forget the job; does nothing a second time.

    A non-repeatable call still in flight stays awaited, so that its reply
    can be recorded for a later question about the outcome.
    """
    if job.is_answered:
        return []
    job.is_answered = True
    admission.ended(context, job)
    context.queue(job.stage.pool).remove(job)
    if job.reserved is not None:
        calling.release_slot(context, job.reserved.name)
        job.reserved = None
    done = [
        effects.AnswerCaller(job.request_id, outcome),
        *_logged(outcome),
        *metrics.measure_job(job, outcome, now_ms),
    ]
    if job.is_claim_sent and job.attempts:
        return done
    return [*done, *forget(context, job, outcome, now_ms)]


def forget(
    context: contexts.Context,
    job: jobs.Job,
    outcome: outcomes.Outcome,
    now_ms: int,
) -> contexts.Effects:
    """Drop an answered job, its attempts and its claim."""
    context.jobs.pop(job.request_id, None)
    if not isinstance(outcome, outcomes.Answered):
        _note_unfinished(context, job, now_ms)
    cancelled = calling.cancel_all(context, job)
    closed = _close_claim(context, job, outcome, now_ms)
    closed += suspicion.let_go(context, job)
    return [*cancelled, *closed, *exit_if_idle(context)]


def _note_unfinished(
    context: contexts.Context, job: jobs.Job, now_ms: int
) -> None:
    # Without the calls that took too long, measured times look too short.
    # A call without a first byte from a target that has nothing waiting
    # tells of its connection, not of its stage.
    times = context.times
    for attempt in job.attempts.values():
        sketch = times.whole(job.document.pipeline, attempt.stage)
        elapsed_ms = now_ms - attempt.sent_ms
        tracked = context.directory.by_name.get(attempt.target.name)
        is_telling = attempt.has_begun or health.has_queue(tracked)
        is_usual = health.is_usual(context, tracked)
        if is_telling and is_usual and elapsed_ms > sketch.mean_ms:
            sketch.add(elapsed_ms)


def exit_if_idle(context: contexts.Context) -> contexts.Effects:
    """End a planned stop once no request is in flight."""
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
    return [*closed, *leave_claim(context, job)]


def leave_claim(context: contexts.Context, job: jobs.Job) -> contexts.Effects:
    """Let the next local job with the same claim key go on."""
    claim, job.claim = job.claim, None
    if claim is None:
        return []
    waiting = context.followers.get(claim.key, [])
    if job in waiting:
        waiting.remove(job)
    if not waiting:
        context.followers.pop(claim.key, None)
    if context.claimants.get(claim.key) is not job:
        return []
    del context.claimants[claim.key]
    return calling.timer('follow', claim.key, 0) if waiting else []


def _logged(outcome: outcomes.Outcome) -> contexts.Effects:
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
