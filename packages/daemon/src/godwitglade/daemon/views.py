"""What operators see of a host; each function runs on the loop's thread."""

from godwitglade.coordination import members
from godwitglade.decisions import host as hosts
from godwitglade.operators import gateway


def documents_of(
    host: hosts.Host, now_ms: int
) -> tuple[gateway.DocumentView, ...]:
    """Return the documents in force on this host, ordered by pipeline."""
    held = sorted(host.parts.documents.held(), key=lambda d: d.pipeline)
    return tuple(
        gateway.DocumentView(
            document.pipeline,
            host.in_force.team_of(document.pipeline),
            document.version,
            document.sequence,
            document.text,
        )
        for document in held
        if document.text is not None
    )


def status_of(host: hosts.Host, now_ms: int) -> gateway.StatusView:
    """Return this host's state and what it last heard of the others."""
    self_id = host.self_id
    return gateway.StatusView(
        host=self_id.name,
        zone=self_id.zone,
        is_ready=host.is_ready,
        sequence=host.parts.documents.sequence,
        hosts=tuple(
            _host_view(member, now_ms)
            for member in host.parts.members.all_members()
            if member.host.name != self_id.name
        ),
        documents=host.in_force.versions,
        refused=tuple(
            gateway.RefusedView(found.pipeline, found.version, found.reason)
            for found in host.in_force.refused
        ),
    )


def quarantine_of(
    host: hosts.Host, now_ms: int
) -> tuple[gateway.QuarantineView, ...]:
    """Return the requests refused because they crashed targets."""
    return tuple(
        gateway.QuarantineView(*entry)
        for entry in host.parts.requests.quarantined(now_ms)
    )


def _host_view(member: members.Member, now_ms: int) -> gateway.HostView:
    heard_ms = member.last_heard_ms
    return gateway.HostView(
        name=member.host.name,
        zone=member.host.zone,
        address=member.address,
        state=member.state.value,
        sequence=member.sequence,
        heard_ago_ms=None if heard_ms is None else now_ms - heard_ms,
        refused=member.refused,
    )
