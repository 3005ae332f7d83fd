"""Strikes and sentences that hosts tell each other."""

import typing

import attrs

from godwitglade.coordination import effects as coordination_effects
from godwitglade.coordination import messages as coordination_messages
from godwitglade.decisions import context as contexts
from godwitglade.decisions import jobs
from godwitglade.decisions import messages
from godwitglade.decisions import quarantine


def struck(
    context: contexts.Context,
    job: jobs.Job,
    attempt: jobs.Attempt,
    now_ms: int,
) -> contexts.Effects:
    """Strike the request that ran on a target when it crashed."""
    fingerprint = job.request.fingerprint
    if not fingerprint:
        return []
    earlier = context.quarantine.strikes(fingerprint)
    name = attempt.target.name
    ran_ms = now_ms - attempt.sent_ms
    if any(quarantine.is_alike(s, name, ran_ms) for s in earlier):
        return _condemn(context, job, now_ms)
    host = context.host_id.name
    strike = quarantine.Strike(name, attempt.target.pool, ran_ms, host)
    job.is_suspect = True
    return tell(context, fingerprint, strike)


def cleared(context: contexts.Context, job: jobs.Job) -> contexts.Effects:
    """Clear a suspect that ran well."""
    if not job.is_suspect:
        return []
    job.is_suspect = False
    fingerprint = job.request.fingerprint
    context.quarantine.clear(fingerprint)
    return [_fact('strike', fingerprint, None, context)]


def let_go(context: contexts.Context, job: jobs.Job) -> contexts.Effects:
    """Let any host run a suspect whose job ended without a verdict."""
    if not job.is_suspect:
        return []
    job.is_suspect = False
    fingerprint = job.request.fingerprint
    return [
        effect
        for strike in context.quarantine.strikes(fingerprint)
        if strike.host == context.host_id.name
        for effect in tell(context, fingerprint, _free(strike))
    ]


def learned(
    context: contexts.Context,
    message: coordination_messages.FactLearned,
    now_ms: int,
) -> None:
    """Take in what another host told of strikes and quarantine."""
    kind, key, value = message.kind, message.key, message.value
    if message.origin == context.host_id.name and value is not None:
        return
    if kind == 'quarantine' and value is None:
        context.quarantine.lift(key)
    elif kind == 'quarantine':
        context.quarantine.condemn(
            key,
            value['pipeline'],
            value['reason'],
            now_ms + value['lapse_ms'],
        )
    elif value is None:
        context.quarantine.clear(key, message.origin)
    else:
        strike = quarantine.Strike(**value)
        context.quarantine.add(key, message.origin, strike)


def lifted(
    context: contexts.Context, message: messages.QuarantineCleared
) -> contexts.Effects:
    """End a quarantine everywhere."""
    context.quarantine.lift(message.fingerprint)
    return [
        _fact('quarantine', message.fingerprint, None, context),
        _fact('strike', message.fingerprint, None, context),
    ]


def _condemn(
    context: contexts.Context, job: jobs.Job, now_ms: int
) -> contexts.Effects:
    fingerprint = job.request.fingerprint
    pipeline = job.document.pipeline
    reason = 'crashed two targets'
    lapse_ms = context.settings.quarantine_ms
    until_ms = now_ms + lapse_ms
    context.quarantine.condemn(fingerprint, pipeline, reason, until_ms)
    job.is_suspect = False
    value = {'pipeline': pipeline, 'reason': reason, 'lapse_ms': lapse_ms}
    return [_fact('quarantine', fingerprint, value, context)]


def _free(strike: quarantine.Strike) -> quarantine.Strike:
    return attrs.evolve(strike, is_held=False)


def tell(
    context: contexts.Context,
    fingerprint: str,
    strike: quarantine.Strike,
) -> contexts.Effects:
    """Note a strike of this host and make it known."""
    host = context.host_id.name
    context.quarantine.add(fingerprint, host, strike)
    value = attrs.asdict(strike)
    return [_fact('strike', fingerprint, value, context)]


def _fact(
    kind: str, key: str, value: typing.Any, context: contexts.Context
) -> coordination_effects.PublishFact:
    lapse_ms = context.settings.quarantine_ms
    return coordination_effects.PublishFact(
        kind, key, value, lapse_ms, is_urgent=True
    )
