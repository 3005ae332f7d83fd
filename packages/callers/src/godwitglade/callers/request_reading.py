"""Reads the bodies of callers' requests."""

import typing

from godwitglade.common import body_reading
from godwitglade.common import input_limits


class Rejection(Exception):
    """A request is rejected before it is posted to the loop."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


def read_body(
    request: typing.Any, limit_bytes: int, reader: body_reading.BodyReader
) -> bytes:
    """Return the body of a cheroot request; raises Rejection."""
    length = int(request.inheaders.get(b'Content-Length', 0))
    if length > limit_bytes:
        raise Rejection(413, 'the body is too large')
    try:
        body = reader.read(request.rfile, limit_bytes + 1)
    except TimeoutError as error:
        raise Rejection(408, 'the body did not arrive in time') from error
    except input_limits.LimitExceededError as error:
        raise Rejection(error.status, str(error)) from error
    except ValueError as error:
        raise Rejection(400, str(error)) from error
    if len(body) > limit_bytes:
        raise Rejection(413, 'the body is too large')
    if len(body) < length:
        raise Rejection(400, 'the body is cut short')
    return body
