"""Handling of timers, target health signals and facts from other hosts."""

from godwitglade.coordination import effects as coordination_effects
from godwitglade.coordination import messages as coordination_messages
from godwitglade.decisions import calling
from godwitglade.decisions import claiming
from godwitglade.decisions import concurrency_limits
from godwitglade.decisions import context as contexts
from godwitglade.decisions import crash_reports
from godwitglade.decisions import effects
from godwitglade.decisions import endings
from godwitglade.decisions import health
from godwitglade.decisions import hedging
from godwitglade.decisions import jobs
from godwitglade.decisions import messages
from godwitglade.decisions import outcomes
from godwitglade.decisions import replies
from godwitglade.decisions import stages
from godwitglade.decisions import stream_migration
from godwitglade.decisions import suspects
from godwitglade.decisions import targets
from godwitglade.decisions import usage


def next_tick(context: contexts.Context, now_ms: int) -> contexts.Effects:
    """Start the timer of the periodic maintenance."""
    return calling.timer('tick', '', now_ms + context.settings.tick_ms)


def deadline_timer(job: jobs.Job) -> contexts.Effects:
    """Start the timer of a job's deadline."""
    deadline_ms = job.request.deadline_ms
    return calling.timer('deadline', job.request_id, deadline_ms)


def drain_all(context: contexts.Context, now_ms: int) -> contexts.Effects:
    """Assign free targets of every pool to waiting jobs."""
    return [
        effect
        for pool in list(context.queues)
        for effect in stages.drain(context, pool, now_ms)
    ]


def load_reported(
    context: contexts.Context, name: str, load: targets.Load, now_ms: int
) -> contexts.Effects:
    """Record the load that a target reported and whether it is leaving."""
    context.directory.record_load(name, load, now_ms)
    tracked = context.directory.by_name.get(name)
    if tracked is not None:
        concurrency_limits.apply_load(
            tracked, load, context.settings.max_calls_per_target
        )
    return mark_leaving(context, name, now_ms) if load.is_leaving else []


def mark_leaving(
    context: contexts.Context, name: str, now_ms: int
) -> contexts.Effects:
    """Stop sending new work to a target and notify the other hosts."""
    tracked = context.directory.by_name.get(name)
    if tracked is None:
        return []
    was_leaving = tracked.is_leaving(now_ms)
    leaving_ms = context.settings.leaving_ms
    tracked.leaving_until_ms = now_ms + leaving_ms
    if was_leaving:
        return []
    fact = coordination_effects.PublishFact(
        'leaving', name, True, leaving_ms, is_urgent=True
    )
    return [fact]


def update_target_health(
    context: contexts.Context,
    attempt: jobs.Attempt,
    message: object,
    now_ms: int,
) -> contexts.Effects:
    """Update a target's health from the fault of an attempt."""
    tracked = context.directory.by_name.get(attempt.target.name)
    if tracked is None or not isinstance(message, messages.StageFault):
        return []
    health_effects = health.record_failure(context, tracked, message, now_ms)
    if message.kind is messages.FaultKind.LEAVING:
        health_effects += mark_leaving(context, tracked.name, now_ms)
    if message.kind is messages.FaultKind.BUSY:
        concurrency_limits.apply_busy_refusal(tracked, now_ms)
    if message.kind is messages.FaultKind.SILENT:
        health_effects += health.probe(context, tracked, now_ms)
    return health_effects


def probe_answered(
    context: contexts.Context, message: messages.ProbeEnded, now_ms: int
) -> contexts.Effects:
    """Apply the result of a probe."""
    tracked = context.directory.by_name.get(message.target)
    if tracked is None:
        return []
    return health.record_probe(tracked, message.is_alive, now_ms)


def fact_changed(
    context: contexts.Context,
    message: coordination_messages.FactChanged,
    now_ms: int,
) -> contexts.Effects:
    """Apply a fact that some host published."""
    if message.kind in ('strike', 'quarantine'):
        crash_reports.apply_fact(context, message, now_ms)
        return suspects.end_duplicates(context, message.key, now_ms)
    if message.kind == 'usage':
        context.used_elsewhere[message.key] = message.value or 0
        return []
    tracked = context.directory.by_name.get(message.key)
    if tracked is None:
        return []
    if message.kind == 'leaving':
        is_over = message.value is None
        until_ms = now_ms + context.settings.leaving_ms
        tracked.leaving_until_ms = None if is_over else until_ms
    is_own = message.origin in (context.host_id.name, str(context.host_id))
    if message.kind == 'ejected' and message.value is not None and not is_own:
        return health.record_peer_ejection(
            context, tracked, message.origin, now_ms
        )
    return []


def timer_fired(
    context: contexts.Context, token: str, now_ms: int
) -> contexts.Effects:
    """Run the handler of a timer of the request policy."""
    component, _, rest = token.partition(':')
    purpose, _, name = rest.partition(':')
    if component != 'requests' or purpose not in _TIMERS:
        return []
    return _TIMERS[purpose](context, name, now_ms)


def _maintain(
    context: contexts.Context, _name: str, now_ms: int
) -> contexts.Effects:
    checked = health.check(context, now_ms)
    checked += health.refresh_loads(context, now_ms)
    checked += stream_migration.check(context, now_ms)
    checked += usage.publish(context, now_ms)
    drained = drain_all(context, now_ms)
    given_up = stages.give_up_late_waits(context, now_ms)
    return [*checked, *drained, *given_up, *next_tick(context, now_ms)]


def _end_at_deadline(
    context: contexts.Context, name: str, now_ms: int
) -> contexts.Effects:
    job = context.jobs.get(name)
    if job is None or job.is_answered:
        return []
    if now_ms < job.request.deadline_ms:
        return deadline_timer(job)
    pool = job.stage.pool
    reason = outcomes.Failure.DEADLINE
    ended = endings.give_up(context, job, reason, now_ms)
    return [*ended, *stages.drain(context, pool, now_ms)]


def _watch_attempt(
    context: contexts.Context, name: str, now_ms: int
) -> contexts.Effects:
    """Hedge an attempt, record it as overdue or end it at its time limit."""
    job = context.attempts.get(name)
    if job is None:
        return []
    attempt = job.attempts[name]
    ends_ms = calling.ends_ms(attempt)
    if now_ms >= ends_ms:
        return _time_out(context, job, attempt, now_ms)
    hedge_ms = hedging.due_ms(context, job, attempt)
    if attempt.is_overdue_handled or hedge_ms is None:
        return calling.timer('watch', name, ends_ms)
    if now_ms < hedge_ms:
        return calling.timer('watch', name, min(hedge_ms, ends_ms))
    attempt.is_overdue_handled = True
    done = _handle_overdue(context, job, attempt, now_ms)
    return [*done, *calling.timer('watch', name, ends_ms)]


def _handle_overdue(
    context: contexts.Context,
    job: jobs.Job,
    attempt: jobs.Attempt,
    now_ms: int,
) -> contexts.Effects:
    tracked = context.directory.by_name.get(attempt.target.name)
    done: contexts.Effects = []
    if tracked is not None and not attempt.has_started:
        done += health.record_overdue(context, tracked, now_ms)
        done += health.probe(context, tracked, now_ms)
    other = stages.choose(context, job, now_ms)
    if other is not None and hedging.may_hedge(context, job, attempt):
        done += calling.send(context, job, other, now_ms, is_hedge=True)
    return done


def _time_out(
    context: contexts.Context,
    job: jobs.Job,
    attempt: jobs.Attempt,
    now_ms: int,
) -> contexts.Effects:
    fault = messages.StageFault(
        job.request_id,
        attempt.stage,
        attempt.attempt_id,
        messages.FaultKind.TIMEOUT,
    )
    pool = attempt.target.pool
    cancelled = effects.CancelCall(attempt.attempt_id, attempt.target)
    health_effects = update_target_health(context, attempt, fault, now_ms)
    ended = replies.on_fault(context, job, attempt, fault, now_ms)
    drained = stages.drain(context, pool, now_ms)
    return [cancelled, *health_effects, *ended, *drained]


def _run_suspect(
    context: contexts.Context, name: str, now_ms: int
) -> contexts.Effects:
    job = context.jobs.get(name)
    if job is None or job.is_answered or not job.is_suspect:
        return []
    return stages.run_suspect(context, job, now_ms)


def _poll_claim(
    context: contexts.Context, name: str, now_ms: int
) -> contexts.Effects:
    job = context.jobs.get(name)
    if job is None or job.is_answered:
        return []
    return context.claims.look_up(claiming.key_of(job), name, now_ms)


def _claim_for_follower(
    context: contexts.Context, key: str, now_ms: int
) -> contexts.Effects:
    waiting = context.waiting_claimants.pop(key, [])
    if not waiting or key in context.claimants:
        if waiting:
            context.waiting_claimants[key] = waiting
        return []
    first, *rest = waiting
    if rest:
        context.waiting_claimants[key] = rest
    return claiming.request_claim(context, first, now_ms)


_TIMERS = {
    'tick': _maintain,
    'deadline': _end_at_deadline,
    'watch': _watch_attempt,
    'poll': _poll_claim,
    'suspect': _run_suspect,
    'follow': _claim_for_follower,
}
