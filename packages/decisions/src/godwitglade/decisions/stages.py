"""Running the stages of a job one after another."""

import typing

from godwitglade.decisions import admission
from godwitglade.decisions import affinity
from godwitglade.decisions import calling
from godwitglade.decisions import claiming
from godwitglade.decisions import context as contexts
from godwitglade.decisions import directory
from godwitglade.decisions import endings
from godwitglade.decisions import jobs
from godwitglade.decisions import outcomes
from godwitglade.decisions import quarantine
from godwitglade.decisions import records
from godwitglade.decisions import suspects
from godwitglade.decisions import suspicion


def begin(
    context: contexts.Context, job: jobs.Job, now_ms: int
) -> contexts.Effects:
    """Start the job's current stage."""
    job.begun_ms = now_ms
    job.stage_attempts = 0
    job.bounces = 0
    job.tried = set()
    job.text = ''
    context.retry_budget(job.stage.pool).earn()
    context.hedge_budget(job.stage.pool).earn()
    return place(context, job, now_ms)


def place(
    context: contexts.Context, job: jobs.Job, now_ms: int
) -> contexts.Effects:
    """Send the current stage now, or let it wait for a target."""
    if suspects.must_wait(context, job, now_ms):
        return suspects.gate(context, job, now_ms)
    queue = context.queue(job.stage.pool)
    tracked = choose(context, job, now_ms) if not len(queue) else None
    if tracked is not None:
        return use(context, job, tracked, now_ms)
    if not _has_target(context, job, now_ms):
        reason = outcomes.Failure.NO_TARGET
        return endings.give_up(context, job, reason, now_ms)
    evicted = queue.push(job)
    if evicted is None:
        return []
    return endings.give_up(
        context,
        evicted,
        outcomes.Failure.OUT_OF_ATTEMPTS,
        now_ms,
        outcomes.Refusal.OVERLOADED,
        retry_after_ms=1_000,
    )


def drain(
    context: contexts.Context, pool: str, now_ms: int
) -> contexts.Effects:
    """Give free targets of a pool to waiting jobs, in order."""
    queue = context.queue(pool)
    done: contexts.Effects = []
    passed: list[jobs.Job] = []
    while len(queue) and len(passed) < _MAX_PASSED:
        if not any(t.has_room(now_ms) for t in context.directory.pool(pool)):
            break
        job = queue.pop()
        if _is_given_up(context, job, now_ms):
            done += _hopeless(context, job, now_ms)
            continue
        if suspects.must_wait(context, job, now_ms):
            done += suspects.gate(context, job, now_ms)
            continue
        tracked = choose(context, job, now_ms)
        if tracked is None:
            passed.append(job)
            continue
        done += use(context, job, tracked, now_ms)
    for job in passed:
        queue.push(job)
    return done


def cut_short(context: contexts.Context, now_ms: int) -> contexts.Effects:
    """End the waits that cannot pay off."""
    return [
        effect
        for queue in context.queues.values()
        for job in queue.waiting()
        if _is_given_up(context, job, now_ms)
        for effect in _hopeless(context, job, now_ms)
    ]


def choose(
    context: contexts.Context, job: jobs.Job, now_ms: int
) -> directory.TrackedTarget | None:
    """Return a target with room that the stage was not sent to yet."""
    return context.chooser.choose(
        _candidates(context, job, now_ms),
        context.host_id.zone,
        affinity.key_of(job),
        now_ms,
    )


def run_suspect(
    context: contexts.Context, job: jobs.Job, now_ms: int
) -> contexts.Effects:
    """Send a suspect when its turn comes, then watch how it does."""
    if job.attempts:
        return _watch_suspect(context, job, now_ms)
    if not suspects.must_wait(context, job, now_ms):
        job.is_suspect = False
        return place(context, job, now_ms)
    if context.quarantine.ends_in_ms(job.request.fingerprint, now_ms):
        return suspects.gate(context, job, now_ms)
    usable = {t.name: t for t in _candidates(context, job, now_ms)}
    lane = context.quarantine.lane(job.request.fingerprint, list(usable))
    if lane is None:
        reason = outcomes.Failure.NO_TARGET
        return endings.give_up(context, job, reason, now_ms)
    name, is_due = lane
    again = suspects.look_again(job, now_ms)
    if not is_due:
        return again
    return [*use(context, job, usable[name], now_ms), *again]


def _watch_suspect(
    context: contexts.Context, job: jobs.Job, now_ms: int
) -> contexts.Effects:
    attempt = next(iter(job.attempts.values()))
    strikes = context.quarantine.strikes(job.request.fingerprint)
    elapsed_ms = now_ms - attempt.sent_ms
    if elapsed_ms > quarantine.clears_after_ms(strikes):
        return suspicion.cleared(context, job)
    return suspects.look_again(job, now_ms)


def retry(
    context: contexts.Context,
    job: jobs.Job,
    reason: str,
    now_ms: int,
    is_free: bool = False,
) -> contexts.Effects:
    """Try the stage on another target, or give the job up.

    ``is_free`` leaves the budget alone: the last attempt cost no work, or
    its target is gone and can draw no more of them.
    """
    if job.attempts or job.is_answered:
        return []
    budget = context.retry_budget(job.stage.pool)
    may_retry = (
        job.stage_attempts < context.settings.max_attempts_per_stage
        and _has_target(context, job, now_ms)
        and (is_free or budget.spend())
    )
    if may_retry:
        return place(context, job, now_ms)
    return endings.give_up(context, job, reason, now_ms, retry_after_ms=500)


def complete(
    context: contexts.Context,
    job: jobs.Job,
    output: typing.Any,
    target_name: str,
    now_ms: int,
) -> contexts.Effects:
    """Take the stage's output and go on with the next stage."""
    cancelled = calling.cancel_all(context, job)
    cancelled += suspicion.cleared(context, job)
    calling.report(job, target_name, now_ms)
    job.results[job.stage.name] = output
    settled = _settle(context, job, now_ms)
    return [*cancelled, *settled, *advance(context, job, now_ms)]


def advance(
    context: contexts.Context, job: jobs.Job, now_ms: int
) -> contexts.Effects:
    """Begin the next stage, or answer after the last."""
    if job.is_answered:
        return endings.forget(context, job, answer_of(job), now_ms)
    if job.is_last_stage:
        return endings.finish(context, job, answer_of(job), now_ms)
    job.stage_index += 1
    return begin(context, job, now_ms)


def answer_of(job: jobs.Job) -> outcomes.Answered:
    """Return the answer made of the outputs so far."""
    stages = job.document.stages
    shown = [s.name for s in stages if s.in_answer or s is stages[-1]]
    return outcomes.Answered(
        {name: job.results[name] for name in shown if name in job.results},
        tuple(job.reports),
    )


def use(
    context: contexts.Context,
    job: jobs.Job,
    tracked: directory.TrackedTarget,
    now_ms: int,
) -> contexts.Effects:
    """Send the stage to a target, or claim it first where it must be."""
    if job.stage.is_repeatable:
        return calling.send(context, job, tracked, now_ms)
    if job.claim is None or job.claim.state is jobs.ClaimState.NONE:
        tracked.in_flight += 1
        job.reserved = tracked.target
        return claiming.ask(context, job, now_ms)
    claim = job.claim
    if not context.claims.may_send(claim.key, claim.nonce, now_ms):
        reason = outcomes.Failure.DEADLINE
        return endings.give_up(context, job, reason, now_ms)
    claim.state = jobs.ClaimState.SENT
    job.unsafe.append(job.stage.name)
    return calling.send(context, job, tracked, now_ms)


def _is_given_up(
    context: contexts.Context, job: jobs.Job, now_ms: int
) -> bool:
    is_on = context.settings.is_admission_on
    return is_on and admission.is_hopeless(context, job, now_ms)


def _hopeless(
    context: contexts.Context, job: jobs.Job, now_ms: int
) -> contexts.Effects:
    reason = outcomes.Failure.DEADLINE
    return endings.give_up(context, job, reason, now_ms, retry_after_ms=1_000)


def _settle(
    context: contexts.Context, job: jobs.Job, now_ms: int
) -> contexts.Effects:
    claim = job.claim
    if claim is None or claim.state is not jobs.ClaimState.SENT:
        return []
    record = records.to_record(answer_so_far(job))
    settled = context.claims.settle(claim.key, claim.nonce, record, now_ms)
    return [*settled, *endings.leave_claim(context, job)]


def answer_so_far(job: jobs.Job) -> outcomes.Answered:
    """Return the answer with the current stage's output in it."""
    answer = answer_of(job)
    name = job.stage.name
    results = {**answer.results, name: job.results[name]}
    return outcomes.Answered(results, answer.stages)


def release_reserved(context: contexts.Context, job: jobs.Job) -> None:
    """Give back the slot kept for a job while it claims."""
    if job.reserved is not None:
        calling.release_slot(context, job.reserved.name)
        job.reserved = None


def _candidates(
    context: contexts.Context, job: jobs.Job, now_ms: int
) -> list[directory.TrackedTarget]:
    return [
        tracked
        for tracked in context.directory.pool(job.stage.pool)
        if tracked.takes_work(now_ms) and tracked.name not in job.tried
    ]


def _has_target(context: contexts.Context, job: jobs.Job, now_ms: int) -> bool:
    return bool(_candidates(context, job, now_ms))


#: Waiting jobs passed over because no free target suits them.
_MAX_PASSED = 4
