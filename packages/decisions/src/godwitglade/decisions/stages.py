"""Runs the stages of a job one after another."""

import typing

from godwitglade.decisions import affinity
from godwitglade.decisions import calling
from godwitglade.decisions import claiming
from godwitglade.decisions import context as contexts
from godwitglade.decisions import crash_reports
from godwitglade.decisions import deadline_estimates
from godwitglade.decisions import directory
from godwitglade.decisions import endings
from godwitglade.decisions import jobs
from godwitglade.decisions import outcomes
from godwitglade.decisions import quarantine
from godwitglade.decisions import records
from godwitglade.decisions import suspects


def begin(
    context: contexts.Context, job: jobs.Job, now_ms: int
) -> contexts.Effects:
    """Start the job's current stage."""
    job.stage_started_ms = now_ms
    job.stage_attempts = 0
    job.busy_refusals = 0
    job.tried_targets = set()
    job.text = ''
    context.retry_budget(job.stage.pool).earn()
    context.hedge_budget(job.stage.pool).earn()
    return place(context, job, now_ms)


def place(
    context: contexts.Context, job: jobs.Job, now_ms: int
) -> contexts.Effects:
    """Send the current stage, or enqueue the job until a target is free."""
    if suspects.must_wait(context, job, now_ms):
        return suspects.refuse_or_delay(context, job, now_ms)
    queue = context.queue(job.stage.pool)
    tracked = choose(context, job, now_ms) if not len(queue) else None
    if tracked is not None:
        return send_or_claim(context, job, tracked, now_ms)
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
    """Dispatch waiting jobs to free targets of a pool, in order."""
    queue = context.queue(pool)
    done: contexts.Effects = []
    skipped: list[jobs.Job] = []
    while len(queue) and len(skipped) < _MAX_SKIPPED:
        if not any(
            t.has_capacity(now_ms) for t in context.directory.pool(pool)
        ):
            break
        job = queue.pop()
        if _will_miss_deadline(context, job, now_ms):
            done += _give_up_late(context, job, now_ms)
            continue
        if suspects.must_wait(context, job, now_ms):
            done += suspects.refuse_or_delay(context, job, now_ms)
            continue
        tracked = choose(context, job, now_ms)
        if tracked is None:
            skipped.append(job)
            continue
        done += send_or_claim(context, job, tracked, now_ms)
    for job in skipped:
        queue.push(job)
    return done


def give_up_late_waits(
    context: contexts.Context, now_ms: int
) -> contexts.Effects:
    """Give up waiting jobs that can no longer meet their deadline."""
    return [
        effect
        for queue in context.queues.values()
        for job in queue.waiting()
        if _will_miss_deadline(context, job, now_ms)
        for effect in _give_up_late(context, job, now_ms)
    ]


def choose(
    context: contexts.Context, job: jobs.Job, now_ms: int
) -> directory.TrackedTarget | None:
    """Return a target with capacity that was not tried for the stage."""
    return context.chooser.choose(
        _candidates(context, job, now_ms),
        context.host_id.zone,
        affinity.key_of(job),
        now_ms,
    )


def run_suspect(
    context: contexts.Context, job: jobs.Job, now_ms: int
) -> contexts.Effects:
    """Send a suspect when its turn comes, then monitor its attempt."""
    if job.attempts:
        return _watch_suspect(context, job, now_ms)
    if not suspects.must_wait(context, job, now_ms):
        job.is_suspect = False
        return place(context, job, now_ms)
    if context.quarantine.ends_in_ms(job.request.fingerprint, now_ms):
        return suspects.refuse_or_delay(context, job, now_ms)
    usable = {t.name: t for t in _candidates(context, job, now_ms)}
    retry_target = context.quarantine.retry_target(
        job.request.fingerprint, list(usable)
    )
    if retry_target is None:
        reason = outcomes.Failure.NO_TARGET
        return endings.give_up(context, job, reason, now_ms)
    name, is_due = retry_target
    recheck = suspects.schedule_check(job, now_ms)
    if not is_due:
        return recheck
    return [*send_or_claim(context, job, usable[name], now_ms), *recheck]


def _watch_suspect(
    context: contexts.Context, job: jobs.Job, now_ms: int
) -> contexts.Effects:
    attempt = next(iter(job.attempts.values()))
    strikes = context.quarantine.strikes(job.request.fingerprint)
    elapsed_ms = now_ms - attempt.sent_ms
    if elapsed_ms > quarantine.clears_after_ms(strikes):
        return crash_reports.clear_suspect(context, job)
    return suspects.schedule_check(job, now_ms)


def retry(
    context: contexts.Context,
    job: jobs.Job,
    reason: str,
    now_ms: int,
    is_free: bool = False,
) -> contexts.Effects:
    """Retry the stage on another target, or give up the job.

    ``is_free`` does not charge the retry budget: the last attempt cost no
    work, or its target crashed and cannot cause further retries.
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
    """Record the output of the stage and continue with the next one."""
    cancelled = calling.cancel_all(context, job)
    cancelled += crash_reports.clear_suspect(context, job)
    calling.add_stage_report(job, target_name, now_ms)
    job.results[job.stage.name] = output
    settled = _settle(context, job, now_ms)
    return [*cancelled, *settled, *advance(context, job, now_ms)]


def advance(
    context: contexts.Context, job: jobs.Job, now_ms: int
) -> contexts.Effects:
    """Start the next stage, or answer after the last one."""
    if job.is_answered:
        return endings.remove_job(context, job, answer_of(job), now_ms)
    if job.is_last_stage:
        return endings.finish(context, job, answer_of(job), now_ms)
    job.stage_index += 1
    return begin(context, job, now_ms)


def answer_of(job: jobs.Job) -> outcomes.Answered:
    """Return the answer with the outputs so far that it includes."""
    stages = job.document.stages
    included = [s.name for s in stages if s.in_answer or s is stages[-1]]
    return outcomes.Answered(
        {name: job.results[name] for name in included if name in job.results},
        tuple(job.reports),
    )


def send_or_claim(
    context: contexts.Context,
    job: jobs.Job,
    tracked: directory.TrackedTarget,
    now_ms: int,
) -> contexts.Effects:
    """Send the stage to a target; claim a non-repeatable one first."""
    if job.stage.is_repeatable:
        return calling.send(context, job, tracked, now_ms)
    if job.claim is None or job.claim.state is jobs.ClaimState.NONE:
        tracked.in_flight += 1
        job.reserved = tracked.target
        return claiming.request_claim(context, job, now_ms)
    claim = job.claim
    if not context.claims.may_send(claim.key, claim.nonce, now_ms):
        reason = outcomes.Failure.DEADLINE
        return endings.give_up(context, job, reason, now_ms)
    claim.state = jobs.ClaimState.SENT
    job.non_repeatable_ran.append(job.stage.name)
    return calling.send(context, job, tracked, now_ms)


def _will_miss_deadline(
    context: contexts.Context, job: jobs.Job, now_ms: int
) -> bool:
    is_enabled = context.settings.is_admission_on
    return is_enabled and deadline_estimates.will_miss_deadline(
        context, job, now_ms
    )


def _give_up_late(
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
    return [*settled, *endings.drop_claim(context, job)]


def answer_so_far(job: jobs.Job) -> outcomes.Answered:
    """Return the answer so far, with the output of the current stage."""
    answer = answer_of(job)
    name = job.stage.name
    results = {**answer.results, name: job.results[name]}
    return outcomes.Answered(results, answer.stages)


def release_reserved(context: contexts.Context, job: jobs.Job) -> None:
    """Release the slot reserved for a job while it claims its stage."""
    if job.reserved is not None:
        calling.release_slot(context, job.reserved.name)
        job.reserved = None


def _candidates(
    context: contexts.Context, job: jobs.Job, now_ms: int
) -> list[directory.TrackedTarget]:
    return [
        tracked
        for tracked in context.directory.pool(job.stage.pool)
        if tracked.accepts_work(now_ms)
        and tracked.name not in job.tried_targets
    ]


def _has_target(context: contexts.Context, job: jobs.Job, now_ms: int) -> bool:
    return bool(_candidates(context, job, now_ms))


#: Waiting jobs skipped because they cannot use any free target.
_MAX_SKIPPED = 4
