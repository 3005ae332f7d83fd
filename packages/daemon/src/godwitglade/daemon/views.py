"""Views of a host for operators; all functions run on the loop's thread."""

from godwitglade.coordination import members
from godwitglade.decisions import host as hosts
from godwitglade.operators import gateway


def documents_of(
    host: hosts.Host, now_ms: int
) -> tuple[gateway.DocumentView, ...]:
    """Return the documents in force on this host, ordered by pipeline."""
    documents = sorted(
        host.components.documents.stored_documents(), key=lambda d: d.pipeline
    )
    return tuple(
        gateway.DocumentView(
            document.pipeline,
            host.in_force.team_of(document.pipeline),
            document.version,
            document.sequence,
            document.text,
        )
        for document in documents
        if document.text is not None
    )


def status_of(host: hosts.Host, now_ms: int) -> gateway.StatusView:
    """Return the state of this host and the last known state of others."""
    self_id = host.self_id
    return gateway.StatusView(
        host=self_id.name,
        zone=self_id.zone,
        is_ready=host.is_ready,
        sequence=host.components.documents.sequence,
        hosts=tuple(
            _host_view(member, now_ms)
            for member in host.components.members.all_members()
            if member.host.name != self_id.name
        ),
        documents=host.in_force.versions,
        refused=tuple(
            gateway.RefusedView(
                refusal.pipeline, refusal.version, refusal.reason
            )
            for refusal in host.in_force.refused
        ),
    )


def quarantine_of(
    host: hosts.Host, now_ms: int
) -> tuple[gateway.QuarantineView, ...]:
    """Return the requests refused because they crashed targets."""
    return tuple(
        gateway.QuarantineView(*entry)
        for entry in host.components.requests.quarantined(now_ms)
    )


def _host_view(member: members.Member, now_ms: int) -> gateway.HostView:
    last_contact_ms = member.last_contact_ms
    return gateway.HostView(
        name=member.host.name,
        zone=member.host.zone,
        address=member.address,
        state=member.state.value,
        sequence=member.sequence,
        heard_ago_ms=(
            None if last_contact_ms is None else now_ms - last_contact_ms
        ),
        refused=member.refused,
    )
