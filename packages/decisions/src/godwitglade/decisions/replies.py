"""Replies of targets, matched by their ids to pending attempts."""

import typing

from godwitglade.common import events
from godwitglade.coordination import effects as coordination_effects
from godwitglade.decisions import calling
from godwitglade.decisions import concurrency_limits
from godwitglade.decisions import context as contexts
from godwitglade.decisions import crash_reports
from godwitglade.decisions import effects
from godwitglade.decisions import endings
from godwitglade.decisions import health
from godwitglade.decisions import jobs
from godwitglade.decisions import messages
from godwitglade.decisions import outcomes
from godwitglade.decisions import stages

_AttemptMessage = (
    messages.StageReplied
    | messages.StreamPiece
    | messages.StreamEnded
    | messages.StageFault
)


def match(
    context: contexts.Context, message: _AttemptMessage
) -> tuple[jobs.Job, jobs.Attempt] | None:
    """Return the job and the attempt that all three ids refer to."""
    job = context.attempts.get(message.attempt_id)
    if job is None or job.request_id != message.request_id:
        return None
    attempt = job.attempts[message.attempt_id]
    return (job, attempt) if attempt.stage == message.stage else None


def count_dropped(message: _AttemptMessage) -> contexts.Effects:
    """Count a reply that matches no pending attempt."""
    fields = {
        'request_id': message.request_id,
        'stage': message.stage,
        'attempt_id': message.attempt_id,
    }
    return [
        coordination_effects.Count('requests.reply_dropped'),
        coordination_effects.LogEvent(events.Event.REPLY_DROPPED, fields),
    ]


def on_reply(
    context: contexts.Context,
    job: jobs.Job,
    attempt: jobs.Attempt,
    message: messages.StageReplied,
    now_ms: int,
) -> contexts.Effects:
    """Complete the stage with a complete reply."""
    if attempt.feed is not None:
        return _end_broken(context, job, attempt, now_ms)
    return _succeed(context, job, attempt, message.output, now_ms)


def on_piece(
    context: contexts.Context,
    job: jobs.Job,
    attempt: jobs.Attempt,
    message: messages.StreamPiece,
    now_ms: int,
) -> contexts.Effects:
    """Add a piece of a stream and forward the text that it completes."""
    feed = attempt.feed
    if feed is None:
        return _end_broken(context, job, attempt, now_ms)
    if not attempt.has_started:
        _record_first_byte(context, job, attempt, now_ms)
    others = _cancel_others(context, job, attempt)
    feed.add(message.offset, message.text)
    if not attempt.has_started:
        attempt.first_piece_ms = now_ms
        attempt.first_piece_length = len(feed.text)
        attempt.pace_checked_ms = now_ms
        attempt.pace_checked_length = len(feed.text)
    sent = [] if job.is_answered else _forward_text(job, feed.text)
    return [*others, *sent, *_check_stream(context, job, attempt, now_ms)]


def on_end(
    context: contexts.Context,
    job: jobs.Job,
    attempt: jobs.Attempt,
    message: messages.StreamEnded,
    now_ms: int,
) -> contexts.Effects:
    """Apply the final frame of a stream."""
    if attempt.feed is None:
        return _end_broken(context, job, attempt, now_ms)
    attempt.feed.finish(message.length, message.digest)
    return _check_stream(context, job, attempt, now_ms)


def on_fault(
    context: contexts.Context,
    job: jobs.Job,
    attempt: jobs.Attempt,
    message: messages.StageFault,
    now_ms: int,
) -> contexts.Effects:
    """End a failed attempt, and retry where that is allowed."""
    calling.remove_attempt(context, job, attempt)
    _revert_sent(job, message)
    if message.is_crash:
        published = crash_reports.record_strike(context, job, attempt, now_ms)
        return [
            *published,
            *_after_fault(context, job, attempt, message, now_ms),
        ]
    return _after_fault(context, job, attempt, message, now_ms)


def _after_fault(
    context: contexts.Context,
    job: jobs.Job,
    attempt: jobs.Attempt,
    message: messages.StageFault,
    now_ms: int,
) -> contexts.Effects:
    if job.is_answered:
        if job.attempts:
            return []
        reason = reason_of(message.kind)
        outcome = outcomes.Unknown(reason, attempt.stage, tuple(job.ran))
        return endings.remove_job(context, job, outcome, now_ms)
    if message.was_sent and not job.stage.is_repeatable:
        reason = reason_of(message.kind)
        return endings.give_up(context, job, reason, now_ms)
    fingerprint = job.request.fingerprint
    if context.quarantine.ends_in_ms(fingerprint, now_ms):
        reason = outcomes.Failure.QUARANTINED
        return endings.give_up(context, job, reason, now_ms)
    if message.kind is messages.FaultKind.REJECTED:
        reason = outcomes.Failure.TARGET_ERROR
        return endings.give_up(context, job, reason, now_ms)
    if message.kind is messages.FaultKind.BUSY:
        return _requeue_refused(context, job, attempt, now_ms)
    return stages.retry(
        context,
        job,
        reason_of(message.kind),
        now_ms,
        is_free=message.is_crash or not message.was_sent,
    )


def _requeue_refused(
    context: contexts.Context,
    job: jobs.Job,
    attempt: jobs.Attempt,
    now_ms: int,
) -> contexts.Effects:
    """Place a job again that a target refused as busy."""
    if job.attempts:
        return []
    job.busy_refusals += 1
    job.stage_attempts -= 1
    job.tried_targets.discard(attempt.target.name)
    if job.busy_refusals <= MAX_BUSY_REFUSALS:
        return stages.place(context, job, now_ms)
    reason = outcomes.Failure.OUT_OF_ATTEMPTS
    return endings.give_up(context, job, reason, now_ms, retry_after_ms=500)


def reason_of(kind: messages.FaultKind) -> str:
    """Return the `outcomes.Failure` for a kind of fault."""
    return _REASONS.get(kind, outcomes.Failure.TARGET_LOST)


def _revert_sent(job: jobs.Job, message: messages.StageFault) -> None:
    """Revert what was recorded for a call that certainly did not run."""
    if message.was_sent:
        return
    is_unconnected = message.kind is messages.FaultKind.CONNECT
    if is_unconnected and job.stage_attempts == 1 and job.ran:
        job.ran.remove(job.stage.name)
    if job.is_claim_sent:
        job.claim.state = jobs.ClaimState.GRANTED
        job.non_repeatable_ran.remove(job.stage.name)


def _succeed(
    context: contexts.Context,
    job: jobs.Job,
    attempt: jobs.Attempt,
    output: typing.Any,
    now_ms: int,
) -> contexts.Effects:
    pipeline = job.document.pipeline
    elapsed_ms = now_ms - attempt.sent_ms
    sketch = context.stage_durations.complete_call(pipeline, attempt.stage)
    tracked = context.directory.by_name.get(attempt.target.name)
    if tracked is not None:
        concurrency_limits.pause_after_call(tracked, elapsed_ms, now_ms)
        mean_ms = max(1.0, sketch.mean_ms)
        ratio = elapsed_ms / mean_ms if sketch.is_ready else 1.0
        health.record_success(tracked, ratio)
    if health.is_typical(context, tracked):
        sketch.add(elapsed_ms)
        _record_pace(context, job, attempt, now_ms)
    calling.remove_attempt(context, job, attempt)
    return stages.complete(context, job, output, attempt.target.name, now_ms)


def _record_first_byte(
    context: contexts.Context,
    job: jobs.Job,
    attempt: jobs.Attempt,
    now_ms: int,
) -> None:
    tracked = context.directory.by_name.get(attempt.target.name)
    if health.is_typical(context, tracked) and not tracked.is_on_trial:
        name = job.document.pipeline
        sketch = context.stage_durations.first_byte(name, attempt.stage)
        sketch.add(now_ms - attempt.sent_ms)


def _record_pace(
    context: contexts.Context,
    job: jobs.Job,
    attempt: jobs.Attempt,
    now_ms: int,
) -> None:
    if attempt.has_started:
        pace = context.stage_durations.pace(
            job.document.pipeline, attempt.stage
        )
        pace.add(attempt.pace_ms(now_ms))


def _forward_text(job: jobs.Job, text: str) -> contexts.Effects:
    offset = len(job.text)
    if len(text) <= offset:
        return []
    job.text = text
    if not job.is_forwarded:
        return []
    return [effects.SendPiece(job.request_id, offset, text[offset:])]


def _check_stream(
    context: contexts.Context,
    job: jobs.Job,
    attempt: jobs.Attempt,
    now_ms: int,
) -> contexts.Effects:
    if attempt.feed.is_broken:
        return _end_broken(context, job, attempt, now_ms)
    if not attempt.feed.is_complete:
        return []
    output = {'text': attempt.feed.text}
    return _succeed(context, job, attempt, output, now_ms)


def _end_broken(
    context: contexts.Context,
    job: jobs.Job,
    attempt: jobs.Attempt,
    now_ms: int,
) -> contexts.Effects:
    """End an attempt with an invalid reply."""
    calling.remove_attempt(context, job, attempt)
    cancelled = effects.CancelCall(attempt.attempt_id, attempt.target)
    reason = outcomes.Failure.BROKEN_STREAM
    is_seen = bool(job.text) and job.is_forwarded
    if not job.stage.is_repeatable or is_seen:
        # Text that was sent to the caller cannot be withdrawn.
        ended = endings.give_up(context, job, reason, now_ms)
        return [cancelled, *ended]
    job.text = ''
    return [cancelled, *stages.retry(context, job, reason, now_ms)]


def _cancel_others(
    context: contexts.Context, job: jobs.Job, winner: jobs.Attempt
) -> contexts.Effects:
    others = [a for a in job.attempts.values() if a is not winner]
    for attempt in others:
        calling.remove_attempt(context, job, attempt)
    return [effects.CancelCall(a.attempt_id, a.target) for a in others]


#: A job is given up after more busy refusals than this.
MAX_BUSY_REFUSALS = 16

_REASONS = {
    messages.FaultKind.TIMEOUT: outcomes.Failure.DEADLINE,
    messages.FaultKind.ERROR: outcomes.Failure.TARGET_ERROR,
    messages.FaultKind.REJECTED: outcomes.Failure.TARGET_ERROR,
    messages.FaultKind.BUSY: outcomes.Failure.OUT_OF_ATTEMPTS,
    messages.FaultKind.LEAVING: outcomes.Failure.NO_TARGET,
}
