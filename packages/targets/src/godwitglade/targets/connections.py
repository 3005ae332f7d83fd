"""Connections to one target, with the open and last contact time of each.

urllib3's pools hide which connection serves a call and when it was opened.
Both are needed here: cancelling an attempt closes only its own connection,
and when a connection stops responding, only connections opened before that
moment are dropped.
"""

import http.client
import socket
import struct
import threading
import typing

from urllib3 import exceptions as urllib3_errors
from urllib3 import response as urllib3_response

from godwitglade.common import clock as clocks
from godwitglade.common import whole_responses

#: Long enough for the retransmission of one lost SYN packet.
CONNECT_TIMEOUT_MS = 1_500
#: Limit for the idle connections of one target.
MAX_IDLE_CONNECTIONS = 16
#: Connections without contact for longer than this are closed, not reused.
MAX_IDLE_MS = 15_000
#: A connection that received data within this time counts as alive.
RECENT_CONTACT_MS = 300
#: A wait may exceed the requested timeout by this much.
TIMEOUT_TOLERANCE_MS = 20
#: Raised for an address that is no host and port.
ADDRESS_ERRORS = (ValueError, OverflowError, http.client.InvalidURL)

_DISCARD_ON_CLOSE = struct.pack('ii', 1, 0)


class _DeadlineSocket(socket.socket):
    """A socket whose reads fail once the deadline of a call has passed.

    A timeout limits each read only, so that a peer which sends a byte now
    and then could hold a call for ever.
    """

    before_read: typing.Callable[[], None] | None = None

    def recv_into(self, *args: typing.Any) -> int:
        """Receive bytes; raises TimeoutError after the deadline."""
        if self.before_read is not None:
            self.before_read()
        return super().recv_into(*args)


class Connection:
    """An HTTP connection to ``address``, used by one call at a time.

    The process that it leads to started at ``started_ms`` (Unix time), None
    if it was not asked, 0 if it did not say so.
    """

    def __init__(self, address: str, clock: clocks.Clock) -> None:
        self._address = address
        self._http: whole_responses.HTTPConnection | None = None
        self._clock = clock
        self._socket: socket.socket | None = None
        self._timeout_ms = 0
        self._deadline_ms: int | None = None
        self._last_content: bytes | None = None
        self.opened_ms = 0
        self.last_contact_ms = 0
        self.started_ms: int | None = None

    def open(self, timeout_ms: int) -> None:
        """Open the connection; raises urllib3's HTTPError or OSError."""
        host, _, port = self._address.rpartition(':')
        try:
            self._http = whole_responses.HTTPConnection(
                host.strip('[]'), int(port)
            )
            self._http.timeout = timeout_ms / clocks.SECOND_MS
            self._http.connect()
        except ADDRESS_ERRORS as error:
            raise urllib3_errors.LocationParseError(self._address) from error
        plain = self._http.sock
        timeout_s = plain.gettimeout()
        self._socket = _DeadlineSocket(fileno=plain.detach())
        self._socket.settimeout(timeout_s)
        self._socket.before_read = self._limit_read
        self._http.sock = self._socket
        self.opened_ms = self._clock.monotonic_ms()
        self.record_contact()

    def send(
        self,
        method: str,
        path: str,
        body: bytes | None,
        timeout_ms: int,
        headers: typing.Mapping[str, str] | None = None,
    ) -> None:
        """Send a complete request; raises OSError.

        Without ``headers`` the content type of a body is JSON.
        """
        self.set_timeout(timeout_ms)
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

    def limit_reads(self, deadline_ms: int) -> None:
        """Make reads fail once the clock shows ``deadline_ms``."""
        self._deadline_ms = deadline_ms

    def _limit_read(self) -> None:
        if self._deadline_ms is None:
            return
        left_ms = self._deadline_ms - self._clock.monotonic_ms()
        if left_ms <= 0:
            raise TimeoutError('the deadline of the call has passed')
        if left_ms < self._timeout_ms:
            self.set_timeout(left_ms)

    def receive(self, timeout_ms: int) -> urllib3_response.HTTPResponse:
        """Wait for the status and headers of the reply.

        Raises TimeoutError if no data arrives within ``timeout_ms``.
        """
        self._timeout_ms = timeout_ms
        self._http.timeout = timeout_ms / clocks.SECOND_MS
        response = self._http.getresponse()
        self.record_contact()
        return response

    def set_timeout(self, timeout_ms: int) -> None:
        """Set the timeout of the next wait for data.

        The current timeout stays if it is at most TIMEOUT_TOLERANCE_MS longer:
        changing a socket's timeout is a system call that releases the
        interpreter lock to another thread.
        """
        excess_ms = self._timeout_ms - timeout_ms
        if 0 <= excess_ms <= TIMEOUT_TOLERANCE_MS:
            return
        self._timeout_ms = timeout_ms
        # http.client drops its own reference to the socket when the reply
        # announces that the connection will close.
        self._socket.settimeout(max(timeout_ms, 1) / clocks.SECOND_MS)

    def record_contact(self) -> None:
        """Record that data has just arrived from the target."""
        self.last_contact_ms = self._clock.monotonic_ms()

    def is_repeated(self, content: bytes) -> bool:
        """Return whether the response before this one had the same content.

        Only for responses of which each has a content of its own.
        """
        last, self._last_content = self._last_content, content
        return last == content

    def is_usable(self) -> bool:
        """Return whether the peer has left the idle connection open."""
        return self._http.is_connected

    def interrupt(self) -> None:
        """Wake the thread that waits on the connection.

        Other threads may call it.
        """
        if self._socket is None:
            return
        try:
            self._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The peer has already closed the connection.
            pass

    def close(self) -> None:
        """Close the connection."""
        if self._http is not None:
            self._http.close()

    def discard(self) -> None:
        """Close the connection and drop unsent data.

        After a plain close the kernel keeps trying to deliver the data.
        """
        if self._socket is not None and self._socket.fileno() >= 0:
            self._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _DISCARD_ON_CLOSE
            )
        self.close()


class ConnectionPool:
    """A pool of idle connections to one target; thread-safe."""

    def __init__(self, address: str, clock: clocks.Clock) -> None:
        self.address = address
        self._clock = clock
        self._idle: list[Connection] = []
        self._lock = threading.Lock()
        self._dropped_ms = -1

    def acquire(
        self, needs_recent_contact: bool, timeout_ms: int
    ) -> Connection:
        """Return an idle connection or open one.

        With ``needs_recent_contact``, an idle connection is reused only if
        it received data within RECENT_CONTACT_MS. Raises urllib3's
        HTTPError or OSError if no connection can be opened.
        """
        limit_ms = RECENT_CONTACT_MS if needs_recent_contact else MAX_IDLE_MS
        return self._acquire_idle(limit_ms) or self.open(timeout_ms)

    def open(self, timeout_ms: int) -> Connection:
        """Return a new connection; raises urllib3's HTTPError or OSError."""
        connection = Connection(self.address, self._clock)
        connection.open(min(timeout_ms, CONNECT_TIMEOUT_MS))
        return connection

    def release(self, connection: Connection) -> None:
        """Return a connection whose reply was read completely to the pool."""
        with self._lock:
            is_full = len(self._idle) >= MAX_IDLE_CONNECTIONS
            is_dropped = connection.opened_ms <= self._dropped_ms
            if not is_full and not is_dropped:
                self._idle.append(connection)
                return
        connection.close()

    def drop_opened_until_now(self) -> None:
        """Close all connections; those in use when they are released."""
        with self._lock:
            self._dropped_ms = self._clock.monotonic_ms()
            dropped, self._idle = self._idle, []
        for connection in dropped:
            connection.close()

    def _acquire_idle(self, limit_ms: int) -> Connection | None:
        while True:
            with self._lock:
                if not self._idle:
                    return None
                connection = self._idle.pop()
            idle_ms = self._clock.monotonic_ms() - connection.last_contact_ms
            if idle_ms <= limit_ms and connection.is_usable():
                return connection
            connection.close()
