"""What the operator interface needs of the host that it runs on."""

import typing

import attrs

from godwitglade.common import events
from godwitglade.coordination import audit
from godwitglade.coordination import change_results
from godwitglade.coordination import change_rows


@attrs.frozen
class DocumentView:
    """A document in force on this host."""

    pipeline: str
    team: str
    version: int
    sequence: int
    text: str


@attrs.frozen
class HostView:
    """A host as this one knows it.

    ``sequence`` is the last change in force there, as last heard;
    ``heard_ago_ms`` is the time since then, None when never heard from.
    ``refused`` names pipelines of which it holds a version that is not in
    force there.
    """

    name: str
    zone: str
    address: str
    state: str
    sequence: int
    heard_ago_ms: int | None
    refused: tuple[str, ...] = ()


@attrs.frozen
class RefusedView:
    """A version that this host holds but could not take into force."""

    pipeline: str
    version: int
    reason: str


@attrs.frozen
class StatusView:
    """This host, the change in force on it and all hosts it knows of.

    ``refused`` names versions that are not in force here although the host
    holds them, since its release does not understand them.
    """

    host: str
    zone: str
    is_ready: bool
    sequence: int
    hosts: tuple[HostView, ...]
    documents: dict[str, int] = attrs.Factory(dict)
    refused: tuple[RefusedView, ...] = ()


@attrs.frozen
class QuarantineView:
    """A request that is refused because it crashed targets.

    ``pipeline`` is empty where it is not known.
    """

    fingerprint: str
    reason: str
    ends_in_ms: int
    pipeline: str = ''


class Gateway(typing.Protocol):
    """Typed calls into the host; each blocks the calling thread briefly.

    `audit` and `settle` raise errors.StoreUnavailableError. `apply`,
    `change` and `settle` return ChangeUnknown when the host gave no answer
    in time.
    """

    def apply(
        self, request: change_rows.ChangeRequest
    ) -> change_results.ChangeResult:
        """Apply a change of a document."""

    def change(self, change_id: str) -> change_results.ChangeResult:
        """Say how a change id was settled, without settling it."""

    def settle(self, change_id: str) -> change_results.ChangeResult:
        """Make the state of a change id final."""

    def documents(self) -> tuple[DocumentView, ...]:
        """Return the documents in force, ordered by pipeline."""

    def document(self, pipeline: str) -> DocumentView | None:
        """Return the document in force of ``pipeline``."""

    def status(self, at_least: int = 0) -> StatusView:
        """Ask the hosts and return what is in force on each.

        Hosts known to have change ``at_least`` in force are not asked; 0
        asks every host.
        """

    def audit(self, after: int, limit: int) -> tuple[audit.AuditRecord, ...]:
        """Return up to ``limit`` records after sequence ``after``."""

    def quarantine(self) -> tuple[QuarantineView, ...]:
        """Return the requests in quarantine."""

    def clear_quarantine(self, fingerprint: str) -> bool:
        """End a quarantine everywhere; False when there was none."""

    def log(self, event: events.Event, fields: dict[str, typing.Any]) -> None:
        """Write a numbered event to the log."""
