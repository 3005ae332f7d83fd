"""Following what a claim's verdict asks for."""

import functools
import typing

from godwitglade.decisions import calling
from godwitglade.decisions import claiming
from godwitglade.decisions import context as contexts
from godwitglade.decisions import endings
from godwitglade.decisions import jobs
from godwitglade.decisions import outcomes
from godwitglade.decisions import stages
from godwitglade.decisions import suspects


@functools.singledispatch
def follow(
    step: typing.Any, context: contexts.Context, job: jobs.Job, now_ms: int
) -> contexts.Effects:
    """Do what a step of `claiming` asks for."""
    raise TypeError(f'no step: {step!r}')


@follow.register
def _(
    step: claiming.Send,
    context: contexts.Context,
    job: jobs.Job,
    now_ms: int,
) -> contexts.Effects:
    job.claim.state = jobs.ClaimState.GRANTED
    reserved, job.reserved = job.reserved, None
    if reserved is None:
        return stages.place(context, job, now_ms)
    calling.release_slot(context, reserved.name)
    if suspects.must_wait(context, job, now_ms):
        return suspects.gate(context, job, now_ms)
    tracked = context.directory.by_name.get(reserved.name)
    if tracked is None or not tracked.takes_work(now_ms):
        return stages.place(context, job, now_ms)
    return stages.use(context, job, tracked, now_ms)


@follow.register
def _(
    step: claiming.Take,
    context: contexts.Context,
    job: jobs.Job,
    now_ms: int,
) -> contexts.Effects:
    stages.release_reserved(context, job)
    left = endings.leave_claim(context, job)
    if not isinstance(step.outcome, outcomes.Answered):
        ended = endings.finish(context, job, step.outcome, now_ms)
        return [*left, *ended]
    job.results.update(step.outcome.results)
    return [*left, *stages.advance(context, job, now_ms)]


@follow.register
def _(
    step: claiming.AskAgain,
    context: contexts.Context,
    job: jobs.Job,
    now_ms: int,
) -> contexts.Effects:
    return claiming.ask(context, job, now_ms)


@follow.register
def _(
    step: claiming.Poll,
    context: contexts.Context,
    job: jobs.Job,
    now_ms: int,
) -> contexts.Effects:
    stages.release_reserved(context, job)
    return claiming.poll_later(context, job, now_ms)


@follow.register
def _(
    step: claiming.Refuse,
    context: contexts.Context,
    job: jobs.Job,
    now_ms: int,
) -> contexts.Effects:
    backoff_ms = context.settings.store_backoff_ms
    if step.reason == outcomes.Failure.STORE_UNAVAILABLE:
        context.store_down_until_ms = now_ms + backoff_ms
    is_final = step.refusal == outcomes.Refusal.KEY_REUSED
    retry_after_ms = 0 if is_final else backoff_ms
    return endings.give_up(
        context, job, step.reason, now_ms, step.refusal, retry_after_ms
    )


@follow.register
def _(
    step: claiming.MayHaveRun,
    context: contexts.Context,
    job: jobs.Job,
    now_ms: int,
) -> contexts.Effects:
    job.unsafe.append(job.stage.name)
    return endings.give_up(context, job, step.reason, now_ms)
