"""Connections of the WSGI server that bound the time to read a request.

The server's own time-out bounds each wait for bytes. A client that sends one
byte now and then would hold a thread for as long as it likes; here reading
head and body of one request has a bound as a whole.
"""

import io
import socket
import typing

from cheroot import makefile
from cheroot import server

from godwitglade.common import clock as clocks

READ_TIMEOUT_MS = 10 * clocks.SECOND_MS


class BoundedIO(socket.SocketIO):
    """Raw bytes of a socket, readable until ``deadline_ms``.

    Raises TimeoutError once the deadline has passed.
    """

    def __init__(self, sock: socket.socket, clock: clocks.Clock) -> None:
        super().__init__(sock, 'rb')
        self._clock = clock
        self.deadline_ms = 0

    def readinto(self, buffer: typing.Any) -> int | None:
        """Read what is there, waiting no longer than the deadline."""
        left_ms = self.deadline_ms - self._clock.monotonic_ms()
        if left_ms <= 0:
            raise TimeoutError('timed out')
        usual_s = self._sock.gettimeout()
        self._sock.settimeout(left_ms / clocks.SECOND_MS)
        try:
            return super().readinto(buffer)
        finally:
            self._sock.settimeout(usual_s)


class BoundedReader(makefile.StreamReader):
    """The server's buffered reader over a BoundedIO."""

    def __init__(self, raw: BoundedIO, size_bytes: int) -> None:
        # The base class would open a reader without a bound.
        io_base = makefile.StreamReader.__mro__[1]
        io_base.__init__(self, raw, size_bytes)
        self.bytes_read = 0


class DirectWriter:
    """Writes to a socket without a buffer of its own.

    The server writes whole chunks; its writer buffers each in pure Python.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self.bytes_written = 0
        self.closed = False

    def write(self, content: bytes) -> int:
        """Send all of ``content``; raises OSError."""
        self._sock.sendall(content)
        self.bytes_written += len(content)
        return len(content)

    def flush(self) -> None:
        """Do nothing: nothing is held back."""

    def close(self) -> None:
        """Note the end; the connection closes the socket."""
        self.closed = True


class ClosingRequest(server.HTTPRequest):
    """A request whose connection closes after an unread body.

    The server itself would first read the rest of the body into memory,
    whatever length the client declared. The application may ask to close
    the connection, too.
    """

    def send_headers(self) -> None:
        """Send status and headers."""
        is_asked = (b'Connection', b'close') in self.outheaders
        if is_asked or self._is_body_unread():
            self.close_connection = True
        super().send_headers()

    def _is_body_unread(self) -> bool:
        if self.chunked_read:
            return not self.rfile.closed
        return getattr(self.rfile, 'remaining', 0) > 0


class BoundedConnection(server.HTTPConnection):
    """A connection each of whose requests is read within a bound."""

    RequestHandlerClass = ClosingRequest
    clock: typing.ClassVar[clocks.Clock] = clocks.Clock()
    read_timeout_ms: typing.ClassVar[int] = READ_TIMEOUT_MS
    is_new = True

    def __init__(
        self,
        http_server: server.HTTPServer,
        sock: socket.socket,
        make_file: typing.Callable = makefile.MakeFile,
    ) -> None:
        super().__init__(http_server, sock, make_file)
        self._raw = BoundedIO(sock, self.clock)
        self.rfile = BoundedReader(self._raw, io.DEFAULT_BUFFER_SIZE)
        self.wfile = DirectWriter(sock)

    def communicate(self) -> bool:
        """Serve one request; tell whether the connection stays open."""
        self.bound_reading(self.read_timeout_ms)
        return bool(super().communicate())

    def bound_reading(self, timeout_ms: int) -> None:
        """Have reads fail once ``timeout_ms`` from now have passed."""
        self._raw.deadline_ms = self.clock.monotonic_ms() + timeout_ms
