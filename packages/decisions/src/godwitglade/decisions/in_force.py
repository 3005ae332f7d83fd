"""The document versions that are in force on this host.

A version in force is the one that requests are served by. A version that
this release cannot parse is refused: the earlier one stays in force, and
the refusal is reported to operators and to other hosts.
"""

import typing

import attrs

from godwitglade.common import errors
from godwitglade.common import events
from godwitglade.coordination import effects as shared_effects
from godwitglade.coordination import messages as shared_messages
from godwitglade.decisions import documents
from godwitglade.decisions import messages

Effects = list[typing.Any]
ParseDocument = typing.Callable[[str], documents.Document]


@attrs.frozen
class Version:
    """A document version in force and the team that owns it."""

    number: int
    team: str


@attrs.frozen
class RefusedDocument:
    """A version that this host could not parse and did not put into force."""

    pipeline: str
    version: int
    reason: str


class InForce:
    """The versions in force and those refused, by pipeline.

    ``parse_document`` turns a text into a Document and raises CodedError
    for a text that this release cannot parse.
    """

    def __init__(self, parse_document: ParseDocument) -> None:
        self._parse_document = parse_document
        self._versions: dict[str, Version] = {}
        self._refused: dict[str, RefusedDocument] = {}

    @property
    def refused(self) -> tuple[RefusedDocument, ...]:
        """Return the received versions that are not in force."""
        return tuple(self._refused.values())

    @property
    def versions(self) -> dict[str, int]:
        """Return the version in force by pipeline, sorted by pipeline."""
        return {
            pipeline: version.number
            for pipeline, version in sorted(self._versions.items())
        }

    def team_of(self, pipeline: str) -> str:
        """Return the team of a pipeline, empty when none is in force."""
        version = self._versions.get(pipeline)
        return '' if version is None else version.team

    def apply(self, message: shared_messages.DocumentChanged) -> Effects:
        """Put a changed version into force, or refuse it."""
        self._refused.pop(message.pipeline, None)
        document = None
        if message.text is not None:
            try:
                document = self._parse_document(message.text)
            except errors.CodedError as error:
                return self._refuse(message, error)
        self._record(message, document)
        changed = messages.DocumentsInForce({message.pipeline: document})
        fields = {
            'pipeline': message.pipeline,
            'version': message.version,
            'sequence': message.sequence,
        }
        return [
            shared_effects.Deliver(changed),
            shared_effects.LogEvent(events.Event.DOCUMENT_IN_FORCE, fields),
        ]

    def _record(
        self,
        message: shared_messages.DocumentChanged,
        document: documents.Document | None,
    ) -> None:
        self._versions.pop(message.pipeline, None)
        if document is not None:
            version = Version(message.version, document.team)
            self._versions[message.pipeline] = version

    def _refuse(
        self,
        message: shared_messages.DocumentChanged,
        error: errors.CodedError,
    ) -> Effects:
        refused = RefusedDocument(
            message.pipeline, message.version, str(error)
        )
        self._refused[message.pipeline] = refused
        event = events.Event.DOCUMENT_REFUSED
        return [shared_effects.LogEvent(event, attrs.asdict(refused))]
