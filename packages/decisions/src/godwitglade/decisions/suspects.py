"""Running suspects again, each where no other suspect runs."""

import functools

import attrs

from godwitglade.decisions import calling
from godwitglade.decisions import context as contexts
from godwitglade.decisions import jobs
from godwitglade.decisions import outcomes
from godwitglade.decisions import recall
from godwitglade.decisions import suspicion

#: Time in which all hosts learn of the other strikes of a crash.
GATHER_MS = 200
#: A suspect's turn and its progress are looked at this often.
LOOK_MS = 50
#: A resend of a suspect that runs elsewhere is asked to wait this long.
RETRY_AFTER_MS = 2_000


def hold(
    context: contexts.Context, job: jobs.Job, now_ms: int
) -> contexts.Effects:
    """Let a suspect wait for its turn."""
    job.is_suspect = True
    return calling.timer('suspect', job.request_id, now_ms + GATHER_MS)


def look_again(job: jobs.Job, now_ms: int) -> contexts.Effects:
    """Look at a suspect again soon."""
    return calling.timer('suspect', job.request_id, now_ms + LOOK_MS)


def end_copies(
    context: contexts.Context, fingerprint: str, now_ms: int
) -> contexts.Effects:
    """End what this host runs of a request judged on another host."""
    copies = [
        job
        for job in context.jobs.values()
        if job.request.fingerprint == fingerprint and not job.is_answered
    ]
    if context.quarantine.ends_in_ms(fingerprint, now_ms):
        ending = functools.partial(_quarantined, context)
    elif context.quarantine.holder(fingerprint) in (
        None,
        context.host_id.name,
    ):
        return []
    else:
        ending = functools.partial(_run_elsewhere, context)
        copies = [job for job in copies if must_wait(context, job, now_ms)]
    return [effect for job in copies for effect in ending(job, now_ms)]


def must_wait(context: contexts.Context, job: jobs.Job, now_ms: int) -> bool:
    """Tell whether the job's stage may not be sent as others are."""
    fingerprint = job.request.fingerprint
    if context.quarantine.ends_in_ms(fingerprint, now_ms):
        return True
    strikes = context.quarantine.strikes(job.request.fingerprint)
    return any(strike.pool == job.stage.pool for strike in strikes)


def gate(
    context: contexts.Context, job: jobs.Job, now_ms: int
) -> contexts.Effects:
    """Handle the stage of a suspect in place of sending it."""
    fingerprint = job.request.fingerprint
    if context.quarantine.ends_in_ms(fingerprint, now_ms):
        return _quarantined(context, job, now_ms)
    holder = context.quarantine.holder(fingerprint)
    is_elsewhere = holder not in (None, context.host_id.name)
    if is_elsewhere or _is_held_here(context, job):
        return _run_elsewhere(context, job, now_ms)
    told: contexts.Effects = []
    if holder is None:
        told = _take_over(context, job)
    return [*told, *hold(context, job, now_ms)]


def _quarantined(
    context: contexts.Context, job: jobs.Job, now_ms: int
) -> contexts.Effects:
    left_ms = context.quarantine.ends_in_ms(job.request.fingerprint, now_ms)
    reason = outcomes.Failure.QUARANTINED
    refusal = outcomes.Refusal.QUARANTINED
    return recall.refuse(context, job, reason, refusal, left_ms, now_ms)


def _run_elsewhere(
    context: contexts.Context, job: jobs.Job, now_ms: int
) -> contexts.Effects:
    return recall.refuse(
        context,
        job,
        outcomes.Failure.TARGET_LOST,
        outcomes.Refusal.OVERLOADED,
        RETRY_AFTER_MS,
        now_ms,
    )


def _is_held_here(context: contexts.Context, job: jobs.Job) -> bool:
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
    return suspicion.tell(context, fingerprint, strike)
