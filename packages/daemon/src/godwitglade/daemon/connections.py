"""Connections of the server with bounds on what a client sends and reads.

The server's own timeout limits only each wait for bytes, so a client that
sends single bytes slowly could occupy a thread indefinitely. These
connections limit the total time to read the headers and body of a request,
the length and number of lines, and the time without progress of a response.
"""

import contextlib
import io
import socket
import struct
import typing

from cheroot import errors as cheroot_errors
from cheroot import makefile
from cheroot import server

from godwitglade.common import chunked_bodies
from godwitglade.common import clock as clocks
from godwitglade.common import input_limits
from godwitglade.daemon import client_waits

#: Bounds of servers that have none of their own.
DEFAULTS = input_limits.InputLimits()

_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_END_ON_CLOSE = struct.pack('ii', 0, 0)


class BoundedIO(socket.SocketIO):
    """Raw bytes of a socket, readable until ``deadline_ms``.

    Raises TimeoutError once the deadline has passed, or if the thread is
    needed for other clients. ``bound`` names the limit on the time.
    """

    def __init__(
        self,
        sock: socket.socket,
        clock: clocks.Clock,
        waits: client_waits.ClientWaits | None,
        report: input_limits.Report,
    ) -> None:
        super().__init__(sock, 'rb')
        self._clock = clock
        self._waits = waits
        self._report = report
        self._is_interrupted = False
        self.started_ms = 0
        self.deadline_ms = 0
        self.bound = ''

    def readinto(self, buffer: typing.Any) -> int | None:
        """Read available bytes, waiting until the deadline at most."""
        remaining_ms = self.deadline_ms - self._clock.monotonic_ms()
        try:
            if remaining_ms <= 0:
                raise TimeoutError('timed out')
            return self._read(buffer, remaining_ms)
        except TimeoutError:
            if not self._is_interrupted:
                waited_ms = self._clock.monotonic_ms() - self.started_ms
                self._report(self.bound, waited_ms)
            raise

    def _read(self, buffer: typing.Any, timeout_ms: int) -> int | None:
        previous_timeout_s = self._sock.gettimeout()
        self._sock.settimeout(timeout_ms / clocks.SECOND_MS)
        if self._waits is not None:
            self._waits.begin(self, self.started_ms)
        try:
            count = super().readinto(buffer)
        finally:
            if self._waits is not None:
                self._waits.end(self)
            self._sock.settimeout(previous_timeout_s)
        if self._is_interrupted:
            # The server answers 408 for this argument.
            raise TimeoutError('timed out')
        return count

    def interrupt(self) -> None:
        """End a wait for bytes; a response can still be sent."""
        self._is_interrupted = True
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RD)


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
    writer only adds cost. The timeout of the socket limits each wait for the
    client to read on.
    """

    def __init__(
        self,
        sock: socket.socket,
        clock: clocks.Clock,
        waits: client_waits.ClientWaits | None,
        stalled: typing.Callable[[int], None],
    ) -> None:
        self._sock = sock
        self._clock = clock
        self._waits = waits
        self._stalled = stalled
        self.bytes_written = 0
        self.closed = False

    def write(self, content: bytes) -> int:
        """Send all of ``content``; raises OSError."""
        sent = self._send(content)
        if sent < len(content):
            self._send_rest(memoryview(content)[sent:])
        self.bytes_written += len(content)
        return len(content)

    def _send(self, content: bytes | memoryview) -> int:
        """Send what fits into the buffers of the socket."""
        try:
            return self._sock.send(content)
        except TimeoutError:
            self._stalled(int(self._sock.gettimeout() * clocks.SECOND_MS))
            raise

    def _send_rest(self, content: memoryview) -> None:
        """Send what the client has to make room for."""
        while content:
            if self._waits is not None:
                self._waits.begin(self, self._clock.monotonic_ms())
            try:
                sent = self._send(content)
            finally:
                if self._waits is not None:
                    self._waits.end(self)
            content = content[sent:]

    def interrupt(self) -> None:
        """End a wait for the client to read on."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)

    def flush(self) -> None:
        """Do nothing: writes are not buffered."""

    def close(self) -> None:
        """Mark the writer as closed; the connection closes the socket."""
        self.closed = True


class BoundedHead(server.SizeCheckWrapper):
    """The lines of a head; raises MaxSizeExceeded for too many."""

    def __init__(self, rfile: typing.Any, max_bytes: int, max_lines: int):
        super().__init__(rfile, max_bytes)
        self.lines_left = max_lines

    def readline(self, size: int | None = None) -> bytes:
        """Return the next line."""
        self.lines_left -= 1
        if self.lines_left < 0:
            raise cheroot_errors.MaxSizeExceeded()
        return super().readline(size)


class ClosingRequest(server.HTTPRequest):
    """A request that closes its connection when its body is not fully read.

    The server would otherwise read the rest of the body into memory,
    whatever its declared length. The application can also request the close
    with a ``Connection: close`` header.
    """

    def parse_request(self) -> None:
        """Read the head; refuse one that is over a bound."""
        max_bytes = self.server.max_request_header_size
        lines = self.conn.limits.head_lines
        self.rfile = BoundedHead(self.conn.rfile, max_bytes, lines)
        status = '414 Request-URI Too Long'
        try:
            if not self.read_request_line():
                return
            status = '413 Request Entity Too Large'
            self.ready = bool(self.read_request_headers())
        except cheroot_errors.MaxSizeExceeded:
            if self.rfile.lines_left < 0:
                self.conn.report('head_lines', lines + 1)
            else:
                self.conn.report('head_bytes', self.rfile.bytes_read)
            self.simple_response(status)
        except ValueError:
            # The parser of URIs raises it for half an IPv6 address.
            self.simple_response('400 Bad Request', 'Malformed Request-URI')

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
        self.rfile = self._body()
        self.server.gateway(self).respond()
        if self.ready:
            self.ensure_headers_sent()
        if self.chunked_write:
            self.conn.wfile.write(b'0\r\n\r\n')
        self.conn.set_reset_on_close(False)

    def _body(self) -> typing.Any:
        if self.chunked_read:
            return chunked_bodies.ChunkedBody(
                self.conn.rfile, self.conn.limits, self.conn.report
            )
        length = int(self.inheaders.get(b'Content-Length', 0))
        return server.KnownLengthRFile(self.conn.rfile, length)

    def _is_body_unread(self) -> bool:
        if self.chunked_read:
            return not self.rfile.closed
        return getattr(self.rfile, 'remaining', 0) > 0


class BoundedConnection(server.HTTPConnection):
    """A connection with a time limit for reading each request.

    Servers other than `servers.GatewayServer` have the default bounds. A
    subclass may set ``read_timeout_ms`` in place of that of the bounds.
    """

    RequestHandlerClass = ClosingRequest
    clock: typing.ClassVar[clocks.Clock] = clocks.Clock()
    read_timeout_ms: typing.ClassVar[int | None] = None
    is_new = True
    is_reset_on_close = False
    has_served = False
    address = ''
    counts: typing.Any = None

    def __init__(
        self,
        http_server: server.HTTPServer,
        sock: socket.socket,
        make_file: typing.Callable = makefile.MakeFile,
    ) -> None:
        super().__init__(http_server, sock, make_file)
        self.limits = getattr(http_server, 'limits', DEFAULTS)
        self.report = getattr(http_server, 'report', input_limits.ignore)
        waits = getattr(http_server, 'waits', None)
        self._raw = BoundedIO(sock, self.clock, waits, self.report)
        self.rfile = BoundedReader(self._raw, io.DEFAULT_BUFFER_SIZE)
        self.wfile = DirectWriter(sock, self.clock, waits, self._end_stalled)
        sock.settimeout(self.limits.write_timeout_ms / clocks.SECOND_MS)

    def communicate(self) -> bool:
        """Serve one request; return whether the connection stays open."""
        timeout_ms = self.read_timeout_ms or self.limits.body_timeout_ms
        self.limit_read_time('body_timeout_ms', timeout_ms)
        self.has_served = True
        return bool(super().communicate())

    def limit_read_time(self, bound: str, timeout_ms: int) -> None:
        """Make reads fail once ``timeout_ms`` have passed."""
        self._raw.bound = bound
        self._raw.started_ms = self.clock.monotonic_ms()
        self._raw.deadline_ms = self._raw.started_ms + timeout_ms

    def set_reset_on_close(self, is_reset: bool) -> None:
        """Choose whether the end of the connection is a reset."""
        if is_reset == self.is_reset_on_close:
            return
        self.is_reset_on_close = is_reset
        option = _RESET_ON_CLOSE if is_reset else _END_ON_CLOSE
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)

    def close(self) -> None:
        """Close the connection, and make room for another one."""
        counts, self.counts = self.counts, None
        try:
            super().close()
        finally:
            if counts is not None:
                counts.remove(self.address)

    def _end_stalled(self, waited_ms: int) -> None:
        """Drop what the client has not read: the kernel would keep it."""
        self.report('write_timeout_ms', waited_ms)
        self.set_reset_on_close(True)

    def _close_kernel_socket(self) -> None:
        if not self.is_reset_on_close:
            super()._close_kernel_socket()
