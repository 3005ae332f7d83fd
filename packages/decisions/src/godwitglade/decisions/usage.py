"""Requests in flight of each workspace, on this host and elsewhere."""

import collections

from godwitglade.coordination import effects as coordination_effects
from godwitglade.decisions import context as contexts
from godwitglade.decisions import documents

#: A count is told to the other hosts this often.
TELL_MS = 1_000
#: A count that is not told again ends after this time.
LAPSE_MS = 10_000


def is_at_limit(
    context: contexts.Context, document: documents.Document, name: str
) -> bool:
    """Tell whether a workspace has all the requests it may have.

    Without word from other hosts only this host's requests count.
    """
    workspace = document.workspace(name)
    if workspace is None or workspace.max_in_flight is None:
        return False
    total = counts(context)[name] + context.used_elsewhere.get(name, 0)
    return total >= workspace.max_in_flight


def counts(context: contexts.Context) -> collections.Counter[str]:
    """Return this host's requests in flight by workspace."""
    return collections.Counter(
        job.request.workspace for job in context.jobs.values()
    )


def tell(context: contexts.Context, now_ms: int) -> contexts.Effects:
    """Tell the other hosts the counts of limited workspaces."""
    if now_ms - context.usage_told_ms < TELL_MS:
        return []
    context.usage_told_ms = now_ms
    limited = {
        workspace.name
        for document in context.documents.values()
        for workspace in document.workspaces
        if workspace.max_in_flight is not None
    }
    used = counts(context) if limited else {}
    return [
        coordination_effects.PublishFact('usage', name, used[name], LAPSE_MS)
        for name in sorted(limited)
    ]
