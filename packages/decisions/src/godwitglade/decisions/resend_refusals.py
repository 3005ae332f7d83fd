"""Refusal of resent requests, after a look-up of their claims.

A request that lost its target is a suspect, and a resend of it is refused.
Where a non-repeatable stage of the earlier request may have run, the outcome
"not run" would mislead the caller. So the claims of the idempotency key are
looked up first.
"""

import functools

from godwitglade.decisions import context as contexts
from godwitglade.decisions import effects
from godwitglade.decisions import endings
from godwitglade.decisions import jobs
from godwitglade.decisions import outcomes
from godwitglade.decisions import queries

#: States of a claim in which its stage may have run.
MAY_HAVE_RUN = ('running', 'unknown')


def refuse(
    context: contexts.Context,
    job: jobs.Job,
    reason: str,
    refusal: str,
    retry_after_ms: int,
    now_ms: int,
) -> contexts.Effects:
    """End a job with the outcome recorded for its key, else ``refusal``.

    Does nothing while a look-up or a verdict is pending. If a non-repeatable
    stage may have run, the reason becomes OWNED_ELSEWHERE.
    """
    if job.request_id in context.queries or _awaits_verdict(job):
        return []
    keys = queries.claim_keys(
        job.document, job.request.workspace, job.request.idempotency_key or ''
    )
    if job.ran or job.claim is not None or not keys:
        return endings.give_up(
            context, job, reason, now_ms, refusal, retry_after_ms
        )
    on_answer = functools.partial(
        _answer, context, job, reason, refusal, retry_after_ms
    )
    return queries.start(context, job.request_id, keys, now_ms, on_answer)


def _answer(
    context: contexts.Context,
    job: jobs.Job,
    reason: str,
    refusal: str,
    retry_after_ms: int,
    answer: effects.AnswerQuery,
    now_ms: int,
) -> contexts.Effects:
    if job.is_answered:
        return []
    if answer.outcome is not None:
        return endings.finish(context, job, answer.outcome, now_ms)
    if answer.state in MAY_HAVE_RUN:
        job.non_repeatable_ran.extend(_non_repeatable(job))
        reason = outcomes.Failure.OWNED_ELSEWHERE
    return endings.give_up(
        context, job, reason, now_ms, refusal, retry_after_ms
    )


def _awaits_verdict(job: jobs.Job) -> bool:
    """Return whether the verdict on the job's claim is pending.

    The verdict will show whether the stage may have run.
    """
    states = (jobs.ClaimState.REQUESTED, jobs.ClaimState.FOLLOWING)
    return job.claim is not None and job.claim.state in states


def _non_repeatable(job: jobs.Job) -> list[str]:
    return [s.name for s in job.document.stages if not s.is_repeatable]
