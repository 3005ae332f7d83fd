"""HTTP connections on which a response counts only with a complete head.

``http.client`` takes the end of a connection for the end of the head, and
skips what it cannot parse. What came before would count as a response whose
body ends with the connection: empty, and complete. The same holds for the
last chunk of a body. Neither limits the length of all lines: urllib3 reads the
sizes of chunks and the trailers without a limit.
"""

import email.errors
import http
import http.client
import io
import socket
import time
import typing

import urllib3
from urllib3 import connection as urllib3_connection
from urllib3 import connectionpool

from godwitglade.common import chunk_sizes

#: Defects of a head for which the parser leaves out lines.
SKIPPED = (
    email.errors.FirstHeaderLineIsContinuationDefect,
    email.errors.MissingHeaderBodySeparatorDefect,
)


#: Limits on the lines of a response. http.client limits the lines of one head
#: to 100 of 64 KiB, not the number of interim responses before it.
MAX_LINE_BYTES = 64 * 1024
MAX_HEAD_LINES = 400
MAX_HEAD_BYTES = 256 * 1024
#: Sizes and extensions of chunks: in all, and for each byte of content.
FRAMING_BYTES = 64 * 1024
FRAMING_BYTES_PER_BYTE = 16


class IncompleteHeadError(http.client.HTTPException):
    """The head of a response, or a chunk of its body, is not whole."""


class _WholeLines(io.BufferedReader):
    """The bytes of one response; a line that is cut off is an error.

    Lines are those of the head, of the sizes of chunks, and of trailers. So
    is a line, a head or a framing of chunks of more than the bounds above.
    """

    _has_read = False
    #: Whether the next line is the size of a chunk.
    is_size_next = False
    _lines = 0
    _line_bytes = 0
    _framing_bytes = 0
    _chunk_bytes = 0

    def readline(self, size: int | None = -1) -> bytes:
        """Return the next line, empty if the peer has sent nothing at all.

        Raises IncompleteHeadError if the connection ends before the line, if
        it should be the size of a chunk and is not, or if there are too many.
        """
        is_limited = size is not None and 0 <= size <= MAX_LINE_BYTES
        line = super().readline(size if is_limited else MAX_LINE_BYTES + 1)
        if len(line) > MAX_LINE_BYTES:
            raise IncompleteHeadError('a line is too long')
        is_whole = line.endswith(b'\n') or (is_limited and len(line) >= size)
        if not is_whole and (line or self._has_read):
            raise IncompleteHeadError('the response ends within a line')
        self._has_read = True
        if self.is_size_next:
            self._check_size(line)
        else:
            self._count_line(line)
        return line

    def _count_line(self, line: bytes) -> None:
        """Count a line of a head, also of an interim one, or a trailer."""
        self._lines += 1
        self._line_bytes += len(line)
        if self._lines > MAX_HEAD_LINES or self._line_bytes > MAX_HEAD_BYTES:
            raise IncompleteHeadError('the head or the trailers do not end')

    def _check_size(self, line: bytes) -> None:
        try:
            size_bytes = chunk_sizes.parse(line)
        except ValueError as error:
            raise IncompleteHeadError(str(error)) from error
        self.is_size_next = size_bytes > 0
        self._framing_bytes += len(line)
        allowed = FRAMING_BYTES + self._chunk_bytes * FRAMING_BYTES_PER_BYTE
        if self._framing_bytes > allowed:
            raise IncompleteHeadError('chunks have more framing than content')
        self._chunk_bytes += size_bytes


class _TimedRaw(io.RawIOBase):
    """Bytes of a socket, readable for the timeout that it has at first."""

    def __init__(self, raw: io.RawIOBase, sock: socket.socket) -> None:
        self._raw = raw
        self._sock = sock
        self._deadline_s = time.monotonic() + sock.gettimeout()

    def readable(self) -> bool:
        """Tell that the socket can be read."""
        return True

    def readinto(self, buffer: typing.Any) -> int | None:
        """Read available bytes; raises TimeoutError after the deadline."""
        left_s = self._deadline_s - time.monotonic()
        if left_s <= 0:
            raise TimeoutError('the response is not complete in time')
        self._sock.settimeout(left_s)
        return self._raw.readinto(buffer)

    def close(self) -> None:
        """Close the reference to the socket."""
        self._raw.close()
        super().close()


class Response(http.client.HTTPResponse):
    """A response with a complete head, a valid length and whole chunks."""

    def __init__(self, *args: typing.Any, **options: typing.Any) -> None:
        super().__init__(*args, **options)
        self.fp = _WholeLines(self.fp.detach())

    def begin(self) -> None:
        """Read the head; raises IncompleteHeadError."""
        super().begin()
        if self.status < http.HTTPStatus.OK:
            # http.client skips no interim response but '100 Continue'.
            raise IncompleteHeadError(f'status {self.status} is no final one')
        skipped = [d for d in self.headers.defects if isinstance(d, SKIPPED)]
        if skipped:
            raise IncompleteHeadError(f'a line of the head: {skipped[0]!r}')
        lengths = set(self.headers.get_all('Content-Length', ()))
        if len(lengths) > 1 or not all(map(_is_length, lengths)):
            raise IncompleteHeadError(f'content lengths {sorted(lengths)}')
        # http.client decodes no other spelling, not even with a space after.
        codings = self.headers.get_all('Transfer-Encoding', ())
        if any(coding.lower() != 'chunked' for coding in codings):
            raise IncompleteHeadError(f'transfer codings {codings}')
        self.fp.is_size_next = self.chunked


def _is_length(value: str) -> bool:
    stripped = value.strip()
    return stripped.isascii() and stripped.isdigit()


class TimedResponse(Response):
    """A response whose timeout limits all of it, not only each wait.

    A peer that sends a byte now and then would hold the call for ever.
    """

    def __init__(self, sock: socket.socket, **options: typing.Any) -> None:
        super().__init__(sock, **options)
        if sock.gettimeout() is not None:
            self.fp = _WholeLines(_TimedRaw(self.fp.detach(), sock))


class HTTPConnection(urllib3_connection.HTTPConnection):
    """A connection that accepts only whole heads."""

    response_class = Response


class HTTPSConnection(urllib3_connection.HTTPSConnection):
    """The same with TLS."""

    response_class = Response


class _TimedHTTPConnection(HTTPConnection):
    response_class = TimedResponse


class _TimedHTTPSConnection(HTTPSConnection):
    response_class = TimedResponse


class _HTTPConnectionPool(connectionpool.HTTPConnectionPool):
    ConnectionCls = HTTPConnection


class _HTTPSConnectionPool(connectionpool.HTTPSConnectionPool):
    ConnectionCls = HTTPSConnection


class _TimedHTTPConnectionPool(connectionpool.HTTPConnectionPool):
    ConnectionCls = _TimedHTTPConnection


class _TimedHTTPSConnectionPool(connectionpool.HTTPSConnectionPool):
    ConnectionCls = _TimedHTTPSConnection


class PoolManager(urllib3.PoolManager):
    """Connection pools whose connections accept only whole heads."""

    _pool_classes: typing.ClassVar[dict[str, type]] = {
        'http': _HTTPConnectionPool,
        'https': _HTTPSConnectionPool,
    }

    def __init__(self, *args: typing.Any, **options: typing.Any) -> None:
        super().__init__(*args, **options)
        self.pool_classes_by_scheme = self._pool_classes


class TimedPoolManager(PoolManager):
    """The same, where the timeout of a call limits its whole response."""

    _pool_classes: typing.ClassVar[dict[str, type]] = {
        'http': _TimedHTTPConnectionPool,
        'https': _TimedHTTPSConnectionPool,
    }
