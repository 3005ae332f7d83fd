"""Strikes and quarantines, which hosts publish to each other as facts."""

import typing

import attrs

from godwitglade.coordination import effects as coordination_effects
from godwitglade.coordination import messages as coordination_messages
from godwitglade.decisions import context as contexts
from godwitglade.decisions import jobs
from godwitglade.decisions import messages
from godwitglade.decisions import quarantine


def record_strike(
    context: contexts.Context,
    job: jobs.Job,
    attempt: jobs.Attempt,
    now_ms: int,
) -> contexts.Effects:
    """Record a strike of the request that ran on a target that crashed.

    A second crash, of another target after a similar run time, quarantines
    the request instead.
    """
    fingerprint = job.request.fingerprint
    if not fingerprint:
        return []
    earlier = context.quarantine.strikes(fingerprint)
    target_name = attempt.target.name
    ran_ms = now_ms - attempt.sent_ms
    if any(
        quarantine.has_similar_runtime(s, target_name, ran_ms) for s in earlier
    ):
        return _start_quarantine(context, job, now_ms)
    host = context.host_id.name
    strike = quarantine.Strike(target_name, attempt.target.pool, ran_ms, host)
    job.is_suspect = True
    return publish_strike(context, fingerprint, strike)


def clear_suspect(
    context: contexts.Context, job: jobs.Job
) -> contexts.Effects:
    """Clear a suspect that ran without a crash."""
    if not job.is_suspect:
        return []
    job.is_suspect = False
    fingerprint = job.request.fingerprint
    context.quarantine.clear_strikes(fingerprint)
    return [_fact('strike', fingerprint, None, context)]


def release_suspect(
    context: contexts.Context, job: jobs.Job
) -> contexts.Effects:
    """Release a suspect whose job ended undecided, so any host may run it."""
    if not job.is_suspect:
        return []
    job.is_suspect = False
    fingerprint = job.request.fingerprint
    return [
        effect
        for strike in context.quarantine.strikes(fingerprint)
        if strike.host == context.host_id.name
        for effect in publish_strike(context, fingerprint, _released(strike))
    ]


def apply_fact(
    context: contexts.Context,
    message: coordination_messages.FactChanged,
    now_ms: int,
) -> None:
    """Apply a fact about a strike or a quarantine.

    Of this host's own facts only removals are applied.
    """
    kind, key, value = message.kind, message.key, message.value
    if message.origin == context.host_id.name and value is not None:
        return
    if kind == 'quarantine' and value is None:
        context.quarantine.end_quarantine(key)
    elif kind == 'quarantine':
        context.quarantine.start_quarantine(
            key,
            value['pipeline'],
            value['reason'],
            now_ms + value['lapse_ms'],
        )
    elif value is None:
        context.quarantine.clear_strikes(key, message.origin)
    else:
        strike = quarantine.Strike(**value)
        context.quarantine.add_strike(key, message.origin, strike)


def end_quarantine_everywhere(
    context: contexts.Context, message: messages.QuarantineEndRequested
) -> contexts.Effects:
    """End a quarantine on all hosts."""
    context.quarantine.end_quarantine(message.fingerprint)
    return [
        _fact('quarantine', message.fingerprint, None, context),
        _fact('strike', message.fingerprint, None, context),
    ]


def _start_quarantine(
    context: contexts.Context, job: jobs.Job, now_ms: int
) -> contexts.Effects:
    fingerprint = job.request.fingerprint
    pipeline = job.document.pipeline
    reason = 'crashed two targets'
    ttl_ms = context.settings.quarantine_ms
    until_ms = now_ms + ttl_ms
    context.quarantine.start_quarantine(
        fingerprint, pipeline, reason, until_ms
    )
    job.is_suspect = False
    value = {'pipeline': pipeline, 'reason': reason, 'lapse_ms': ttl_ms}
    return [_fact('quarantine', fingerprint, value, context)]


def _released(strike: quarantine.Strike) -> quarantine.Strike:
    return attrs.evolve(strike, is_held=False)


def publish_strike(
    context: contexts.Context,
    fingerprint: str,
    strike: quarantine.Strike,
) -> contexts.Effects:
    """Record a strike on behalf of this host and publish it."""
    host = context.host_id.name
    context.quarantine.add_strike(fingerprint, host, strike)
    value = attrs.asdict(strike)
    return [_fact('strike', fingerprint, value, context)]


def _fact(
    kind: str, key: str, value: typing.Any, context: contexts.Context
) -> coordination_effects.PublishFact:
    ttl_ms = context.settings.quarantine_ms
    return coordination_effects.PublishFact(
        kind, key, value, ttl_ms, is_urgent=True
    )
