"""Interface between the operator application and its host."""

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
    """Another host, as known to this host.

    ``sequence`` is the last change in force there, as of the last contact;
    ``heard_ago_ms`` is the time since then, None without any contact.
    ``refused`` names the pipelines of which that host stores a version that
    it could not put in force.
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
    """A version that this host stores but could not put in force."""

    pipeline: str
    version: int
    reason: str


@attrs.frozen
class StatusView:
    """This host, the last change in force on it and all known hosts.

    ``refused`` lists versions that the host stores but could not put in
    force, since its release does not support them.
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

    ``pipeline`` is empty when it is unknown.
    """

    fingerprint: str
    reason: str
    ends_in_ms: int
    pipeline: str = ''


class Gateway(typing.Protocol):
    """Typed calls to the host; each blocks the calling thread.

    `audit` and `settle` raise errors.StoreUnavailableError. `apply`,
    `change` and `settle` return ChangeUnknown when the host did not reply
    in time.
    """

    def apply(
        self, request: change_rows.ChangeRequest
    ) -> change_results.ChangeResult:
        """Apply a change to a document."""

    def change(self, change_id: str) -> change_results.ChangeResult:
        """Return the state of a change id without making it final."""

    def settle(self, change_id: str) -> change_results.ChangeResult:
        """Make the state of a change id final."""

    def documents(self) -> tuple[DocumentView, ...]:
        """Return the documents in force, ordered by pipeline."""

    def document(self, pipeline: str) -> DocumentView | None:
        """Return the document in force for ``pipeline``, if any."""

    def status(self, at_least: int = 0) -> StatusView:
        """Query the hosts and return what is in force on each.

        Hosts known to have change ``at_least`` in force are not queried; 0
        queries every host.
        """

    def audit(self, after: int, limit: int) -> tuple[audit.AuditRecord, ...]:
        """Return up to ``limit`` records after sequence ``after``."""

    def quarantine(self) -> tuple[QuarantineView, ...]:
        """Return the quarantined requests."""

    def clear_quarantine(self, fingerprint: str) -> bool:
        """End a quarantine on all hosts; return False if there was none."""

    def log(self, event: events.Event, fields: dict[str, typing.Any]) -> None:
        """Write a numbered event to the log."""
