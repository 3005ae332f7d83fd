"""Claims of non-repeatable stages, and the steps that verdicts lead to."""

import functools
import typing

import attrs

from godwitglade.common import errors
from godwitglade.coordination import claim_messages
from godwitglade.decisions import calling
from godwitglade.decisions import context as contexts
from godwitglade.decisions import jobs
from godwitglade.decisions import outcomes
from godwitglade.decisions import records


@attrs.frozen
class Send:
    """The claim is held: send the stage."""


@attrs.frozen
class UseRecorded:
    """The stage ran before; ``outcome`` is its recorded outcome."""

    outcome: outcomes.Outcome


@attrs.frozen
class ClaimAgain:
    """Request the claim again."""


@attrs.frozen
class Poll:
    """Look up the claim again later: its call still runs elsewhere."""


@attrs.frozen
class Refuse:
    """The stage has not run and will not run for this job."""

    reason: str
    refusal: str


@attrs.frozen
class MayHaveRun:
    """The stage may have run for an earlier request with this key."""

    reason: str


Step = Send | UseRecorded | ClaimAgain | Poll | Refuse | MayHaveRun


def request_claim(
    context: contexts.Context, job: jobs.Job, now_ms: int
) -> contexts.Effects:
    """Request the claim of the current stage, or wait for a local job."""
    key = key_of(job)
    claimant = context.claimants.get(key)
    if claimant is not None and claimant is not job:
        job.claim = jobs.Claim(key, state=jobs.ClaimState.FOLLOWING)
        context.waiting_claimants.setdefault(key, []).append(job)
        return []
    context.claimants[key] = job
    nonce = f'{context.host_id}:{context.rng.getrandbits(64):016x}'
    job.claim = jobs.Claim(key, nonce, jobs.ClaimState.REQUESTED)
    context.jobs_by_nonce[nonce] = job
    digest = records.request_digest(job.request)
    deadline_ms = job.request.deadline_ms
    return context.claims.claim(key, digest, deadline_ms, now_ms, nonce)


def job_for_verdict(
    context: contexts.Context,
    message: claim_messages.ClaimSettled,
    now_ms: int,
) -> tuple[jobs.Job | None, contexts.Effects]:
    """Return the job that a verdict is for, None if the job has ended.

    A claim granted to an ended job is released, since nothing was sent.
    """
    job = context.jobs_by_nonce.pop(message.nonce, None)
    if job is not None and not job.is_answered:
        return job, []
    if not isinstance(message.verdict, claim_messages.Granted):
        return None, []
    released = context.claims.release(
        message.claim_key, message.nonce, 'not_sent', now_ms
    )
    return None, released


def key_of(job: jobs.Job) -> str:
    """Return the claim key of the job's current stage."""
    request = job.request
    return records.claim_key(
        request.workspace,
        request.pipeline,
        request.idempotency_key or '',
        job.stage.name,
    )


def poll_later(
    context: contexts.Context, job: jobs.Job, now_ms: int
) -> contexts.Effects:
    """Look up the claim of the job again after the polling interval."""
    due_ms = now_ms + context.settings.claim_poll_ms
    return calling.timer('poll', job.request_id, due_ms)


@functools.singledispatch
def step_for_verdict(verdict: typing.Any) -> Step:
    """Return the step that follows from a verdict of `claims.Claims`."""
    raise TypeError(f'unsupported verdict: {verdict!r}')


@step_for_verdict.register
def _(verdict: claim_messages.Granted) -> Step:
    return Send()


@step_for_verdict.register
def _(verdict: claim_messages.Done) -> Step:
    return _recorded_step(verdict.outcome)


@step_for_verdict.register
def _(verdict: claim_messages.HeldElsewhere) -> Step:
    if verdict.is_running:
        return Poll()
    return MayHaveRun(outcomes.Failure.OWNED_ELSEWHERE)


@step_for_verdict.register
def _(verdict: claim_messages.NotRun) -> Step:
    return _refused_step(verdict.reason)


@step_for_verdict.register
def _(verdict: claim_messages.Undecided) -> Step:
    return _refused_step(verdict.reason)


@step_for_verdict.register
def _(verdict: claim_messages.KeyReused) -> Step:
    reused = outcomes.Refusal.KEY_REUSED
    return Refuse(reused, reused)


def step_for_lookup(looked: claim_messages.ClaimLooked) -> Step:
    """Return the step for the state of a claim held elsewhere."""
    if looked.state == 'settled' and looked.outcome is not None:
        return _recorded_step(looked.outcome)
    if looked.state == 'absent':
        return ClaimAgain()
    if looked.state in ('running', 'unavailable'):
        return Poll()
    return MayHaveRun(outcomes.Failure.OWNED_ELSEWHERE)


def _recorded_step(record: dict[str, typing.Any]) -> Step:
    try:
        return UseRecorded(records.from_record(record))
    except errors.MalformedError:
        return MayHaveRun(outcomes.Failure.OWNED_ELSEWHERE)


def _refused_step(reason: str) -> Step:
    if reason == claim_messages.Reason.DEADLINE_PASSED:
        refusal = outcomes.Refusal.CANNOT_MEET_DEADLINE
        return Refuse(outcomes.Failure.DEADLINE, refusal)
    refusal = outcomes.Refusal.STORE_UNAVAILABLE
    return Refuse(outcomes.Failure.STORE_UNAVAILABLE, refusal)
