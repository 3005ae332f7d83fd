"""Checks of a new request, before any of its stages is sent."""

import attrs

from godwitglade.decisions import context as contexts
from godwitglade.decisions import deadline_estimates
from godwitglade.decisions import documents
from godwitglade.decisions import jobs
from godwitglade.decisions import messages
from godwitglade.decisions import outcomes
from godwitglade.decisions import usage


@attrs.frozen
class Rejection:
    """Why a request is refused, and when the caller may retry."""

    reason: str
    retry_after_ms: int = 0


def check(
    context: contexts.Context, request: messages.RequestArrived, now_ms: int
) -> jobs.Job | Rejection:
    """Return a new job for ``request``, or the reason to refuse it."""
    document = context.documents.get(request.pipeline)
    reason = _refusal_reason(context, request, document, now_ms)
    if reason is not None:
        left_ms = context.quarantine.ends_in_ms(request.fingerprint, now_ms)
        return Rejection(reason, _RETRY_AFTER_MS.get(reason, left_ms))
    priority = request.priority or document.default_priority
    longest_ms = now_ms + document.deadline_ms
    deadline_ms = min(request.deadline_ms, longest_ms)
    job = jobs.Job(
        request=attrs.evolve(request, deadline_ms=deadline_ms),
        document=document,
        rank=document.priorities[priority],
        arrived_ms=now_ms,
        stage_started_ms=now_ms,
    )
    if not context.settings.is_admission_on:
        return job
    late_ms = deadline_estimates.lateness_ms(context, job, now_ms)
    if late_ms <= 0:
        return job
    return Rejection(
        outcomes.Refusal.CANNOT_MEET_DEADLINE,
        max(deadline_estimates.MIN_RETRY_AFTER_MS, int(late_ms)),
    )


def _refusal_reason(
    context: contexts.Context,
    request: messages.RequestArrived,
    document: documents.Document | None,
    now_ms: int,
) -> str | None:
    refusal = outcomes.Refusal
    if context.is_stopping:
        return refusal.STOPPING
    if document is None:
        return refusal.UNKNOWN_PIPELINE
    if document.workspace(request.workspace) is None:
        return refusal.UNKNOWN_WORKSPACE
    priority = request.priority or document.default_priority
    if priority not in document.priorities:
        return refusal.UNKNOWN_PRIORITY
    if document.has_non_repeatable and not request.idempotency_key:
        return refusal.KEY_REQUIRED
    if request.deadline_ms <= now_ms:
        return refusal.DEADLINE_PASSED
    # A request that may have run before is refused only after its claims
    # were looked up, which `resend_refusals` does.
    needs_claim_lookup = document.has_non_repeatable
    left_ms = context.quarantine.ends_in_ms(request.fingerprint, now_ms)
    if left_ms and not needs_claim_lookup:
        return refusal.QUARANTINED
    if document.has_non_repeatable and now_ms < context.store_down_until_ms:
        return refusal.STORE_UNAVAILABLE
    if usage.is_at_limit(context, document, request.workspace):
        return refusal.WORKSPACE_LIMIT
    if not deadline_estimates.has_targets(context, document, now_ms):
        return refusal.NO_TARGET
    if len(context.jobs) >= context.settings.max_jobs:
        return refusal.OVERLOADED
    return None


_RETRY_AFTER_MS = {
    outcomes.Refusal.STOPPING: 1,
    outcomes.Refusal.OVERLOADED: 1_000,
    outcomes.Refusal.NO_TARGET: 1_000,
    outcomes.Refusal.STORE_UNAVAILABLE: 1_000,
    outcomes.Refusal.WORKSPACE_LIMIT: 1_000,
}
