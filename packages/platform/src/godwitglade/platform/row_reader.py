"""Decodes rows of the store's tables and posts them to the loop.

The names of a deployment's rows and fields are those of its `Decoder`.
"""

import threading
import typing

import attrs

from godwitglade.common import clock as clocks
from godwitglade.common import codec
from godwitglade.common import errors
from godwitglade.common import events
from godwitglade.coordination import members
from godwitglade.platform import follower
from godwitglade.routing import documents
from godwitglade.routing import messages
from godwitglade.routing import targets

#: Rows about streams older than this by the time of day are not used.
MAX_STREAMS_AGE_MS = 2 * clocks.MINUTE_MS

Post = typing.Callable[[typing.Any], None]
Row = dict[str, typing.Any]


class Decoder(typing.Protocol):
    """Decodes the values of rows; raises MalformedError.

    The document has the key `DOCUMENT_KEY`, its version is the field
    `ROW_VERSION`. A row in the same table whose key is `EVACUATION_PREFIX`
    and a zone evacuates that zone.
    """

    DOCUMENT_KEY: str
    ROW_VERSION: str
    EVACUATION_PREFIX: str

    def decode_value(self, row: Row) -> typing.Any:
        """Return the decoded value of a row."""

    def decode_document(self, plain: typing.Any) -> documents.Document:
        """Return the document decoded from ``plain``."""

    def decode_target(
        self, name: str, plain: typing.Any
    ) -> targets.TargetEntry:
        """Return the target decoded from ``plain``."""


class RowReader:
    """Decodes rows and posts them to the loop as messages."""

    def __init__(
        self,
        post: Post,
        log: follower.Log,
        self_name: str,
        is_registration_lost: threading.Event,
        decoder: Decoder,
    ) -> None:
        self._decoder = decoder
        self._evacuated: frozenset[str] | None = None
        self._post = post
        self._log = log
        self._self_name = self_name
        self._is_registration_lost = is_registration_lost
        self._last_document: tuple[typing.Any, typing.Any] = (None, None)
        self._hosts: dict[str, members.HostEntry] = {}

    def apply_document(
        self, table_rows: follower.Rows, is_full_read: bool, read_ms: int
    ) -> None:
        """Apply rows of the table that holds the document."""
        self._apply_evacuations(table_rows, is_full_read, read_ms)
        key = self._decoder.DOCUMENT_KEY
        rows = [r for r in table_rows.rows if r.get('key') == key]
        for row in rows:
            self._decode_document(row, table_rows.era)
        # A feed without changes confirms the document, which is posted with
        # its new time; a full read without the row does not confirm it.
        if self._last_document[1] is not None and (rows or not is_full_read):
            self._post(messages.DocumentRead(self._last_document[1], read_ms))

    def _apply_evacuations(
        self, table_rows: follower.Rows, is_full_read: bool, read_ms: int
    ) -> None:
        """Apply the rows that evacuate zones, whatever their values are.

        A full read starts anew: it may show an older state of the store.
        """
        prefix = self._decoder.EVACUATION_PREFIX
        by_zone = {
            row['key'].removeprefix(prefix): not row.get('deleted')
            for row in table_rows.rows
            if row['key'].startswith(prefix)
        }
        known = frozenset() if is_full_read else self._evacuated or frozenset()
        removed = {zone for zone, is_set in by_zone.items() if not is_set}
        evacuated = (known | by_zone.keys()) - removed
        if evacuated == self._evacuated and not is_full_read:
            return
        self._evacuated = evacuated
        self._post(
            messages.EvacuationsRead(
                evacuated, table_rows.version, table_rows.era, read_ms
            )
        )

    def apply_targets(
        self, table_rows: follower.Rows, is_full_read: bool, read_ms: int
    ) -> None:
        """Apply rows of the targets table."""
        removed = [r['key'] for r in table_rows.rows if r.get('deleted')]
        present = [
            entry
            for row in table_rows.rows
            if not row.get('deleted')
            and (entry := self._decode_target(row)) is not None
        ]
        if is_full_read:
            message = messages.TargetsRead(
                tuple(present),
                table_rows.version,
                table_rows.outage_ms,
                table_rows.era,
            )
        else:
            message = messages.TargetsChanged(
                tuple(present),
                tuple(removed),
                table_rows.version,
                table_rows.era,
            )
        self._post(attrs.evolve(message, read_from_ms=read_ms))

    def apply_hosts(
        self, table_rows: follower.Rows, is_full_read: bool, read_ms: int
    ) -> None:
        """Apply rows of the hosts table."""
        if is_full_read:
            self._hosts = {}
        for row in table_rows.rows:
            if row.get('deleted'):
                self._hosts.pop(row['key'], None)
            elif entry := self._decode(
                row, members.HostEntry, name=row['key']
            ):
                self._hosts[row['key']] = entry
        if is_full_read and self._self_name not in self._hosts:
            self._is_registration_lost.set()
        if is_full_read or table_rows.rows:
            entries = tuple(self._hosts.values())
            self._post(messages.HostsRead(entries))

    def apply_quarantine(
        self, table_rows: follower.Rows, is_full_read: bool, read_ms: int
    ) -> None:
        """Apply rows about what crashes targets."""
        removed = [r['key'] for r in table_rows.rows if r.get('deleted')]
        present = [
            entry
            for row in table_rows.rows
            if not row.get('deleted')
            and (
                entry := self._decode(
                    row, messages.QuarantineRow, trait=row['key']
                )
            )
        ]
        if is_full_read or table_rows.rows:
            self._post(
                messages.QuarantineRead(
                    tuple(present), tuple(removed), is_full_read
                )
            )

    def apply_streams(self, table_rows: follower.Rows, wall_ms: int) -> None:
        """Apply the rows that hosts have kept about streams."""
        self._post(
            messages.StreamsRead(
                tuple(
                    entry
                    for row in table_rows.rows
                    if (entry := self._decode_streams(row))
                    and wall_ms - entry.at_ms < MAX_STREAMS_AGE_MS
                )
            )
        )

    def _decode_streams(self, row: Row) -> typing.Any:
        return self._decode(row, messages.StreamsRow, host=row['key'])

    def _decode(
        self, row: Row, type_: type, **fields: typing.Any
    ) -> typing.Any:
        """Return the value of a row, None if it is malformed."""
        try:
            return codec.from_plain(
                self._decoder.decode_value(row) | fields, type_
            )
        except (errors.MalformedError, TypeError) as error:
            self._skip(row, error)
            return None

    def _decode_document(self, row: Row, era: int) -> None:
        version = (era, row.get(self._decoder.ROW_VERSION))
        if version == self._last_document[0]:
            return
        try:
            document = self._decoder.decode_document(
                self._decoder.decode_value(row)
            )
        except errors.MalformedError as error:
            self._skip(row, error)
            return
        self._last_document = (version, document)

    def _decode_target(self, row: Row) -> typing.Any:
        try:
            return self._decoder.decode_target(
                row['key'], self._decoder.decode_value(row)
            )
        except errors.MalformedError as error:
            self._skip(row, error)
            return None

    def _skip(self, row: Row, error: Exception) -> None:
        fields = {'key': row.get('key'), 'reason': str(error)}
        self._log(events.Event.ROW_SKIPPED, fields)
