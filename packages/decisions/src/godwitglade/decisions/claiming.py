"""Claims of non-repeatable stages: what a verdict means for a job."""

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
    """The claim is held: place and send the stage."""


@attrs.frozen
class Take:
    """The stage ran before; ``outcome`` is what was recorded then."""

    outcome: outcomes.Outcome


@attrs.frozen
class AskAgain:
    """Claim once more."""


@attrs.frozen
class Poll:
    """Look at the key again later: its call still runs elsewhere."""


@attrs.frozen
class Refuse:
    """The stage did not and will not run for this job."""

    reason: str
    refusal: str


@attrs.frozen
class MayHaveRun:
    """The stage may have run for an earlier request with the key."""

    reason: str


Step = Send | Take | AskAgain | Poll | Refuse | MayHaveRun


def ask(
    context: contexts.Context, job: jobs.Job, now_ms: int
) -> contexts.Effects:
    """Claim the job's current stage, or wait for a local claimant."""
    key = key_of(job)
    claimant = context.claimants.get(key)
    if claimant is not None and claimant is not job:
        job.claim = jobs.Claim(key, state=jobs.ClaimState.FOLLOWING)
        context.followers.setdefault(key, []).append(job)
        return []
    context.claimants[key] = job
    nonce = f'{context.host_id}:{context.rng.getrandbits(64):016x}'
    job.claim = jobs.Claim(key, nonce, jobs.ClaimState.ASKED)
    context.nonces[nonce] = job
    digest = records.request_digest(job.request)
    deadline_ms = job.request.deadline_ms
    return context.claims.claim(key, digest, deadline_ms, now_ms, nonce)


def settled(
    context: contexts.Context,
    message: claim_messages.ClaimSettled,
    now_ms: int,
) -> tuple[jobs.Job | None, contexts.Effects]:
    """Return the job that a verdict is for, None when it ended.

    A claim granted to a job that ended is released: it was never sent.
    """
    job = context.nonces.pop(message.nonce, None)
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
    """Look at the job's key again after a while."""
    due_ms = now_ms + context.settings.claim_poll_ms
    return calling.timer('poll', job.request_id, due_ms)


@functools.singledispatch
def judge(verdict: typing.Any) -> Step:
    """Return what a verdict of `claims.Claims` asks for."""
    raise TypeError(f'no verdict: {verdict!r}')


@judge.register
def _(verdict: claim_messages.Granted) -> Step:
    return Send()


@judge.register
def _(verdict: claim_messages.Done) -> Step:
    return _taken(verdict.outcome)


@judge.register
def _(verdict: claim_messages.HeldElsewhere) -> Step:
    if verdict.is_running:
        return Poll()
    return MayHaveRun(outcomes.Failure.OWNED_ELSEWHERE)


@judge.register
def _(verdict: claim_messages.NotRun) -> Step:
    return _refused(verdict.reason)


@judge.register
def _(verdict: claim_messages.Undecided) -> Step:
    return _refused(verdict.reason)


@judge.register
def _(verdict: claim_messages.KeyReused) -> Step:
    reused = outcomes.Refusal.KEY_REUSED
    return Refuse(reused, reused)


def judge_look(looked: claim_messages.ClaimLooked) -> Step:
    """Return what the state of a key held elsewhere asks for."""
    if looked.state == 'settled' and looked.outcome is not None:
        return _taken(looked.outcome)
    if looked.state == 'absent':
        return AskAgain()
    if looked.state in ('running', 'unavailable'):
        return Poll()
    return MayHaveRun(outcomes.Failure.OWNED_ELSEWHERE)


def _taken(record: dict[str, typing.Any]) -> Step:
    try:
        return Take(records.from_record(record))
    except errors.MalformedError:
        return MayHaveRun(outcomes.Failure.OWNED_ELSEWHERE)


def _refused(reason: str) -> Step:
    if reason == claim_messages.Reason.DEADLINE_PASSED:
        refusal = outcomes.Refusal.CANNOT_MEET_DEADLINE
        return Refuse(outcomes.Failure.DEADLINE, refusal)
    refusal = outcomes.Refusal.STORE_UNAVAILABLE
    return Refuse(outcomes.Failure.STORE_UNAVAILABLE, refusal)
