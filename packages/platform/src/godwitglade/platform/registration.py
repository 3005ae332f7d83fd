"""Registers a host in a table of the store."""

import threading
import typing

from godwitglade.common import clock as clocks
from godwitglade.platform import follower


class RowWriter(typing.Protocol):
    """Writes rows of a store; raises CodedError."""

    def write(self, table: str, key: str, value: typing.Any) -> None:
        """Write one row, overwriting its previous value."""


def register(
    client: RowWriter,
    table: str,
    key: str,
    value: typing.Any,
    log: follower.Log,
    is_lost: threading.Event,
) -> None:
    """Write a row, and again each time that ``is_lost`` is set.

    Meant to run on a dedicated thread.
    """
    availability = follower.Availability(log, table)
    pause = threading.Event()
    while True:
        try:
            client.write(table, key, value)
        except Exception as error:
            availability.record_failure(follower.describe(error))
            pause.wait(follower.RETRY_MS / clocks.SECOND_MS)
            continue
        availability.record_success()
        is_lost.wait()
        is_lost.clear()
