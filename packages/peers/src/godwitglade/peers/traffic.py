"""Counts the bytes that hosts exchange, and the exchanges."""

import threading

import attrs
import urllib3

#: Headers that the server library adds to the received ones.
SERVER_ADDED_HEADERS = ('Remote-Addr',)
SEPARATOR_BYTES = 4


@attrs.define
class Traffic:
    """HTTP bytes with headers in both directions, and number of exchanges.

    ``message_count`` counts a message and its reply once.
    """

    sent_bytes: int = 0
    received_bytes: int = 0
    message_count: int = 0
    _lock: threading.Lock = attrs.Factory(threading.Lock)

    def add(self, sent_bytes: int, received_bytes: int) -> None:
        """Count one exchange, a message and its reply."""
        with self._lock:
            self.sent_bytes += sent_bytes
            self.received_bytes += received_bytes
            self.message_count += 1


def header_bytes(headers: dict[str, str]) -> int:
    """Return the length of ``headers`` as HTTP/1.1 writes them."""
    return sum(
        len(name) + len(value) + SEPARATOR_BYTES
        for name, value in headers.items()
        if name not in SERVER_ADDED_HEADERS
        and value != urllib3.util.SKIP_HEADER
    )
