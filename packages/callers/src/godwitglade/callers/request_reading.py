"""Reads the bodies of callers' requests."""

import typing

from godwitglade.common import chunk_sizes


class Rejection(Exception):
    """A request is rejected before it is posted to the loop."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class _ChunkLines:
    """A chunked body; raises ValueError for a malformed size of a chunk."""

    def __init__(self, rfile: typing.Any) -> None:
        self._rfile = rfile
        self._is_trailer = False
        self.read = rfile.read

    def readline(self) -> bytes:
        """Return the next line, of a size or of the trailers."""
        line = self._rfile.readline()
        if not self._is_trailer:
            self._is_trailer = chunk_sizes.parse(line) == 0
        return line


def read_body(request: typing.Any, limit_bytes: int) -> bytes:
    """Return the body of a cheroot request; raises Rejection."""
    length = int(request.inheaders.get(b'Content-Length', 0))
    if length > limit_bytes:
        raise Rejection(413, 'the body is too large')
    if request.chunked_read:
        request.rfile.rfile = _ChunkLines(request.rfile.rfile)
    try:
        body = request.rfile.read(limit_bytes + 1)
        if request.chunked_read and len(body) <= limit_bytes:
            # Unread trailers would be parsed as the next request.
            _consume(request.rfile.read_trailer_lines())
    except TimeoutError as error:
        raise Rejection(408, 'the body did not arrive in time') from error
    except ValueError as error:
        raise Rejection(400, str(error)) from error
    if len(body) > limit_bytes:
        raise Rejection(413, 'the body is too large')
    if len(body) < length:
        raise Rejection(400, 'the body is cut short')
    return body


def _consume(lines: typing.Iterable[bytes]) -> None:
    """Read and discard all lines."""
    for _line in lines:
        pass
