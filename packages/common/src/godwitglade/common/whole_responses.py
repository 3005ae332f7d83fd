"""HTTP connections on which a response counts only with a complete head.

``http.client`` takes the end of a connection for the end of the head, and
skips what it cannot parse. What came before would count as a response whose
body ends with the connection: empty, and complete. The same holds for the
last chunk of a body.
"""

import email.errors
import http
import http.client
import io
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


class IncompleteHeadError(http.client.HTTPException):
    """The head of a response, or a chunk of its body, is not whole."""


class _WholeLines(io.BufferedReader):
    """The bytes of one response; a line that is cut off is an error.

    Lines are those of the head, of the sizes of chunks, and of trailers.
    """

    _has_read = False
    #: Whether the next line is the size of a chunk.
    is_size_next = False

    def readline(self, size: int | None = -1) -> bytes:
        """Return the next line, empty if the peer has sent nothing at all.

        Raises IncompleteHeadError if the connection ends before the line, or
        if it should be the size of a chunk and is not.
        """
        line = super().readline(size)
        is_limited = size is not None and 0 <= size <= len(line)
        is_whole = line.endswith(b'\n') or is_limited
        if not is_whole and (line or self._has_read):
            raise IncompleteHeadError('the response ends within a line')
        self._has_read = True
        if self.is_size_next:
            self._check_size(line)
        return line

    def _check_size(self, line: bytes) -> None:
        try:
            self.is_size_next = chunk_sizes.parse(line) > 0
        except ValueError as error:
            raise IncompleteHeadError(str(error)) from error


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


class HTTPConnection(urllib3_connection.HTTPConnection):
    """A connection that accepts only whole heads."""

    response_class = Response


class HTTPSConnection(urllib3_connection.HTTPSConnection):
    """The same with TLS."""

    response_class = Response


class _HTTPConnectionPool(connectionpool.HTTPConnectionPool):
    ConnectionCls = HTTPConnection


class _HTTPSConnectionPool(connectionpool.HTTPSConnectionPool):
    ConnectionCls = HTTPSConnection


class PoolManager(urllib3.PoolManager):
    """Connection pools whose connections accept only whole heads."""

    def __init__(self, *args: typing.Any, **options: typing.Any) -> None:
        super().__init__(*args, **options)
        self.pool_classes_by_scheme = {
            'http': _HTTPConnectionPool,
            'https': _HTTPSConnectionPool,
        }
