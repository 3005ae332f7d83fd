"""Hedges: a second attempt of a repeatable stage that takes too long."""

from godwitglade.decisions import calling
from godwitglade.decisions import context as contexts
from godwitglade.decisions import health
from godwitglade.decisions import jobs

#: Without measured durations, a hedge is due after this part of the budget.
UNMEASURED_DIVISOR = 2


def due_ms(
    context: contexts.Context, job: jobs.Job, attempt: jobs.Attempt
) -> int | None:
    """Return when an attempt is due for a hedge, None for never."""
    if not context.settings.is_hedging_on or attempt.is_hedge:
        return None
    if not job.stage.is_hedged or not job.stage.is_repeatable:
        return None
    sketch = calling.sketch_of(context, job)
    if not sketch.is_ready:
        return attempt.sent_ms + job.stage.budget_ms // UNMEASURED_DIVISOR
    after_ms = sketch.quantile_ms(context.settings.hedge_quantile)
    return attempt.sent_ms + int(after_ms) + 1


def may_hedge(
    context: contexts.Context, job: jobs.Job, attempt: jobs.Attempt
) -> bool:
    """Tell whether a hedge is allowed, and charge it to the budget if so.

    In a busy pool long waits are normal, and hedges would add to them.
    """
    if job.is_answered or len(job.attempts) > 1 or attempt.has_started:
        return False
    if health.is_busy(context.directory.pool(job.stage.pool)):
        return False
    return context.hedge_budget(job.stage.pool).spend()
