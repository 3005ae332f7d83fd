"""Connections of the WSGI server with a time limit for reading a request.

The server's own timeout limits only each wait for bytes, so a client that
sends single bytes slowly could occupy a thread indefinitely. These
connections limit the total time to read the headers and body of a request.
"""

import io
import socket
import struct
import typing

from cheroot import makefile
from cheroot import server

from godwitglade.common import clock as clocks

READ_TIMEOUT_MS = 10 * clocks.SECOND_MS

_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_END_ON_CLOSE = struct.pack('ii', 0, 0)


class BoundedIO(socket.SocketIO):
    """Raw bytes of a socket, readable until ``deadline_ms``.

    Raises TimeoutError once the deadline has passed.
    """

    def __init__(self, sock: socket.socket, clock: clocks.Clock) -> None:
        super().__init__(sock, 'rb')
        self._clock = clock
        self.deadline_ms = 0

    def readinto(self, buffer: typing.Any) -> int | None:
        """Read available bytes, waiting until the deadline at most."""
        remaining_ms = self.deadline_ms - self._clock.monotonic_ms()
        if remaining_ms <= 0:
            raise TimeoutError('timed out')
        previous_timeout_s = self._sock.gettimeout()
        self._sock.settimeout(remaining_ms / clocks.SECOND_MS)
        try:
            return super().readinto(buffer)
        finally:
            self._sock.settimeout(previous_timeout_s)


class BoundedReader(makefile.StreamReader):
    """The server's buffered reader, reading from a BoundedIO."""

    def __init__(self, raw: BoundedIO, size_bytes: int) -> None:
        # The base class would open a reader without a deadline.
        io_base = makefile.StreamReader.__mro__[1]
        io_base.__init__(self, raw, size_bytes)
        self.bytes_read = 0


class DirectWriter:
    """Writes to a socket without a buffer.

    The server writes whole chunks, so the pure-Python buffer of its own
    writer only adds cost.
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
        """Do nothing: writes are not buffered."""

    def close(self) -> None:
        """Mark the writer as closed; the connection closes the socket."""
        self.closed = True


class ClosingRequest(server.HTTPRequest):
    """A request that closes its connection when its body is not fully read.

    The server would otherwise read the rest of the body into memory,
    whatever its declared length. The application can also request the close
    with a ``Connection: close`` header.
    """

    def send_headers(self) -> None:
        """Send the status and headers, and decide whether to close."""
        is_close_requested = (b'Connection', b'close') in self.outheaders
        if is_close_requested or self._is_body_unread():
            self.close_connection = True
        super().send_headers()
        names = {name.lower() for name, _ in self.outheaders}
        if not self.chunked_write and b'content-length' not in names:
            # An HTTP/1.0 client takes the end of the connection for the end
            # of the body, also when this process is killed.
            self.conn.set_reset_on_close(True)

    def respond(self) -> None:
        """Answer the request; the body is whole once this returns."""
        super().respond()
        self.conn.set_reset_on_close(False)

    def _is_body_unread(self) -> bool:
        if self.chunked_read:
            return not self.rfile.closed
        return getattr(self.rfile, 'remaining', 0) > 0


class BoundedConnection(server.HTTPConnection):
    """A connection with a time limit for reading each request."""

    RequestHandlerClass = ClosingRequest
    clock: typing.ClassVar[clocks.Clock] = clocks.Clock()
    read_timeout_ms: typing.ClassVar[int] = READ_TIMEOUT_MS
    is_new = True
    is_reset_on_close = False

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
        """Serve one request; return whether the connection stays open."""
        self.limit_read_time(self.read_timeout_ms)
        return bool(super().communicate())

    def limit_read_time(self, timeout_ms: int) -> None:
        """Make reads fail once ``timeout_ms`` have passed."""
        self._raw.deadline_ms = self.clock.monotonic_ms() + timeout_ms

    def set_reset_on_close(self, is_reset: bool) -> None:
        """Choose whether the end of the connection is a reset."""
        if is_reset == self.is_reset_on_close:
            return
        self.is_reset_on_close = is_reset
        option = _RESET_ON_CLOSE if is_reset else _END_ON_CLOSE
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)

    def _close_kernel_socket(self) -> None:
        if not self.is_reset_on_close:
            super()._close_kernel_socket()
