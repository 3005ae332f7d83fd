"""Requests in flight per workspace, on this host and on others."""

import collections

from godwitglade.coordination import effects as coordination_effects
from godwitglade.decisions import context as contexts
from godwitglade.decisions import documents

#: Interval at which counts are published to other hosts.
PUBLISH_INTERVAL_MS = 1_000
#: A count that is not published again expires after this time.
TTL_MS = 10_000


def is_at_limit(
    context: contexts.Context, document: documents.Document, name: str
) -> bool:
    """Tell whether a workspace has reached its limit of requests.

    Without counts from other hosts only this host's requests count.
    """
    workspace = document.workspace(name)
    if workspace is None or workspace.max_in_flight is None:
        return False
    total = in_flight_by_workspace(context)[name] + context.used_elsewhere.get(
        name, 0
    )
    return total >= workspace.max_in_flight


def in_flight_by_workspace(
    context: contexts.Context,
) -> collections.Counter[str]:
    """Return this host's requests in flight by workspace."""
    return collections.Counter(
        job.request.workspace for job in context.jobs.values()
    )


def publish(context: contexts.Context, now_ms: int) -> contexts.Effects:
    """Publish the counts of workspaces that have a limit."""
    if now_ms - context.usage_published_ms < PUBLISH_INTERVAL_MS:
        return []
    context.usage_published_ms = now_ms
    limited = {
        workspace.name
        for document in context.documents.values()
        for workspace in document.workspaces
        if workspace.max_in_flight is not None
    }
    used = in_flight_by_workspace(context) if limited else {}
    return [
        coordination_effects.PublishFact('usage', name, used[name], TTL_MS)
        for name in sorted(limited)
    ]
