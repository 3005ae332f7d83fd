"""Connections to one target, with the age and the proof of life of each.

urllib3's pools hide which connection serves a call and when it was opened.
Both are needed here: an attempt is cancelled by closing just its own
connection, and a silent connection condemns only those opened before it.
"""

import socket
import struct
import threading
import typing

from urllib3 import connection as urllib3_connection
from urllib3 import response as urllib3_response

from godwitglade.common import clock as clocks

#: Longest wait for a connection; room for one lost first packet.
CONNECT_TIMEOUT_MS = 1_500
#: Idle connections kept for one target.
MAX_IDLE_CONNECTIONS = 16
#: Idle connections older than this are closed instead of used.
MAX_IDLE_MS = 15_000
#: A connection heard from within this time is proven alive.
PROVEN_ALIVE_MS = 300
#: How much later than asked for a wait may end.
WAIT_SLACK_MS = 20

_DISCARD_ON_CLOSE = struct.pack('ii', 1, 0)


class Connection:
    """One HTTP connection to ``address``, used by one call at a time."""

    def __init__(self, address: str, clock: clocks.Clock) -> None:
        host, _, port = address.rpartition(':')
        self._http = urllib3_connection.HTTPConnection(
            host.strip('[]'), int(port)
        )
        self._clock = clock
        self._socket: socket.socket | None = None
        self._wait_ms = 0
        self.opened_ms = 0
        self.heard_ms = 0

    def open(self, timeout_ms: int) -> None:
        """Connect; raises urllib3's HTTPError or OSError."""
        self._http.timeout = timeout_ms / clocks.SECOND_MS
        self._http.connect()
        self._socket = self._http.sock
        self.opened_ms = self._clock.monotonic_ms()
        self.mark_heard()

    def send(
        self,
        method: str,
        path: str,
        body: bytes | None,
        timeout_ms: int,
        headers: typing.Mapping[str, str] | None = None,
    ) -> None:
        """Send a request whole; raises OSError.

        Without ``headers`` a body is sent as JSON.
        """
        self.limit_wait(timeout_ms)
        if headers is None:
            headers = {'Content-Type': 'application/json'} if body else {}
        self._http.request(
            method,
            path,
            body=body,
            headers=headers,
            preload_content=False,
            decode_content=False,
        )

    def receive(self, timeout_ms: int) -> urllib3_response.HTTPResponse:
        """Await status and headers of the reply.

        Raises TimeoutError when no byte came within ``timeout_ms``.
        """
        self._wait_ms = timeout_ms
        self._http.timeout = timeout_ms / clocks.SECOND_MS
        response = self._http.getresponse()
        self.mark_heard()
        return response

    def limit_wait(self, timeout_ms: int) -> None:
        """Bound the wait for the next bytes, WAIT_SLACK_MS too late at most.

        Each change of a socket's timeout is a system call that hands the
        interpreter lock to another thread.
        """
        slack_ms = self._wait_ms - timeout_ms
        if 0 <= slack_ms <= WAIT_SLACK_MS:
            return
        self._wait_ms = timeout_ms
        # The socket outlives http.client's own reference to it when the
        # reply says that the connection will close.
        self._socket.settimeout(max(timeout_ms, 1) / clocks.SECOND_MS)

    def mark_heard(self) -> None:
        """Note that the target has just sent something."""
        self.heard_ms = self._clock.monotonic_ms()

    def is_usable(self) -> bool:
        """Tell whether the peer has not closed the idle connection."""
        return self._http.is_connected

    def interrupt(self) -> None:
        """Wake the thread that waits on the connection, from another."""
        if self._socket is None:
            return
        try:
            self._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The peer closed it first.
            pass

    def close(self) -> None:
        """Close the connection."""
        self._http.close()

    def discard(self) -> None:
        """Close the connection and drop bytes that have not left yet.

        After a plain close the kernel goes on trying to deliver them.
        """
        if self._socket is not None and self._socket.fileno() >= 0:
            self._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _DISCARD_ON_CLOSE
            )
        self.close()


class Connections:
    """The idle connections to one target; safe to share."""

    def __init__(self, address: str, clock: clocks.Clock) -> None:
        self.address = address
        self._clock = clock
        self._idle: list[Connection] = []
        self._lock = threading.Lock()
        self._dropped_ms = -1

    def take(self, needs_proof: bool, timeout_ms: int) -> Connection:
        """Return an idle connection or open one.

        With ``needs_proof`` an idle connection has to be proven alive.
        Raises urllib3's HTTPError or OSError when none can be opened.
        """
        limit_ms = PROVEN_ALIVE_MS if needs_proof else MAX_IDLE_MS
        return self._take_idle(limit_ms) or self.open(timeout_ms)

    def open(self, timeout_ms: int) -> Connection:
        """Return a new connection; raises urllib3's HTTPError, OSError."""
        connection = Connection(self.address, self._clock)
        connection.open(min(timeout_ms, CONNECT_TIMEOUT_MS))
        return connection

    def give_back(self, connection: Connection) -> None:
        """Keep a connection whose reply was read to its end."""
        with self._lock:
            is_full = len(self._idle) >= MAX_IDLE_CONNECTIONS
            is_dropped = connection.opened_ms <= self._dropped_ms
            if not is_full and not is_dropped:
                self._idle.append(connection)
                return
        connection.close()

    def drop_opened_until_now(self) -> None:
        """Close idle connections and, when given back, those in use."""
        with self._lock:
            self._dropped_ms = self._clock.monotonic_ms()
            dropped, self._idle = self._idle, []
        for connection in dropped:
            connection.close()

    def _take_idle(self, limit_ms: int) -> Connection | None:
        while True:
            with self._lock:
                if not self._idle:
                    return None
                connection = self._idle.pop()
            quiet_ms = self._clock.monotonic_ms() - connection.heard_ms
            if quiet_ms <= limit_ms and connection.is_usable():
                return connection
            connection.close()
