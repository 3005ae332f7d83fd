"""Reads the bodies of callers' requests."""

import typing


class Rejection(Exception):
    """A request is rejected before it is posted to the loop."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


def read_body(request: typing.Any, limit_bytes: int) -> bytes:
    """Return the body of a cheroot request; raises Rejection."""
    length = int(request.inheaders.get(b'Content-Length', 0))
    if length > limit_bytes:
        raise Rejection(413, 'the body is too large')
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
