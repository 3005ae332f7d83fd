"""Effects of the steps that follow from the verdict on a claim."""

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
def apply(
    step: typing.Any, context: contexts.Context, job: jobs.Job, now_ms: int
) -> contexts.Effects:
    """Apply a step that `claiming` returned."""
    raise TypeError(f'unsupported step: {step!r}')


@apply.register
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
        return suspects.refuse_or_delay(context, job, now_ms)
    tracked = context.directory.by_name.get(reserved.name)
    if tracked is None or not tracked.accepts_work(now_ms):
        return stages.place(context, job, now_ms)
    return stages.send_or_claim(context, job, tracked, now_ms)


@apply.register
def _(
    step: claiming.UseRecorded,
    context: contexts.Context,
    job: jobs.Job,
    now_ms: int,
) -> contexts.Effects:
    stages.release_reserved(context, job)
    dropped = endings.drop_claim(context, job)
    if not isinstance(step.outcome, outcomes.Answered):
        ended = endings.finish(context, job, step.outcome, now_ms)
        return [*dropped, *ended]
    job.results.update(step.outcome.results)
    return [*dropped, *stages.advance(context, job, now_ms)]


@apply.register
def _(
    step: claiming.ClaimAgain,
    context: contexts.Context,
    job: jobs.Job,
    now_ms: int,
) -> contexts.Effects:
    return claiming.request_claim(context, job, now_ms)


@apply.register
def _(
    step: claiming.Poll,
    context: contexts.Context,
    job: jobs.Job,
    now_ms: int,
) -> contexts.Effects:
    stages.release_reserved(context, job)
    return claiming.poll_later(context, job, now_ms)


@apply.register
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


@apply.register
def _(
    step: claiming.MayHaveRun,
    context: contexts.Context,
    job: jobs.Job,
    now_ms: int,
) -> contexts.Effects:
    job.non_repeatable_ran.append(job.stage.name)
    return endings.give_up(context, job, step.reason, now_ms)
