"""Rows in which hosts keep what must outlive a restart of all of them."""

import typing

import attrs

from godwitglade.common import clock as clocks
from godwitglade.routing import effects

QUARANTINE_TABLE = 'quarantine'
STREAMS_TABLE = 'streams'


class RowWriter(typing.Protocol):
    """Writes rows of a store; raises CodedError."""

    def write(self, table: str, key: str, value: typing.Any) -> None:
        """Write one row, overwriting its previous value."""

    def remove(self, table: str, key: str) -> None:
        """Remove one row, if it exists."""


@attrs.define(eq=False)
class QuarantineRows:
    """Keeps in the store what crashes targets; raises CodedError."""

    client: RowWriter

    def write(self, trait: str, crashes: tuple[str, ...]) -> None:
        """Write the row of a trait."""
        self.client.write(QUARANTINE_TABLE, trait, {'crashes': crashes})

    def remove(self, trait: str) -> None:
        """Remove the row of a trait."""
        self.client.remove(QUARANTINE_TABLE, trait)


@attrs.define(eq=False)
class StreamRows:
    """The row of this host about streams; raises CodedError."""

    client: RowWriter
    host: str
    clock: clocks.Clock

    def write(self, effect: effects.WriteStreams) -> None:
        """Write the row, with the time of day."""
        value = attrs.asdict(effect) | {'at_ms': self.clock.wall_ms()}
        self.client.write(STREAMS_TABLE, self.host, value)

    def remove(self) -> None:
        """Remove the row."""
        self.client.remove(STREAMS_TABLE, self.host)
