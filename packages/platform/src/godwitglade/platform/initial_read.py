"""Reads a table of the store once, after the start."""

import threading
import typing

from godwitglade.common import clock as clocks
from godwitglade.platform import follower


class RowsReader(typing.Protocol):
    """Reads the rows of a store; raises CodedError."""

    def read(self, table: str) -> follower.Rows:
        """Return every row of a table."""


def read(
    client: RowsReader,
    table: str,
    apply_rows: typing.Callable[[follower.Rows], None],
    log: follower.Log,
) -> None:
    """Read a table until it succeeds, and apply its rows.

    Meant to run on a dedicated thread.
    """
    availability = follower.Availability(log, table)
    pause = threading.Event()
    while True:
        try:
            apply_rows(client.read(table).usable(log))
        except Exception as error:
            # An odd response must not end the reading.
            availability.record_failure(follower.describe(error))
            pause.wait(follower.RETRY_MS / clocks.SECOND_MS)
        else:
            availability.record_success()
            return
