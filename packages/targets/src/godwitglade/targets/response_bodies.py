"""What ends the body of a response (RFC 9112, section 6.3)."""

import enum
import http
import typing

from urllib3 import response as urllib3_response

BODILESS_STATUSES = frozenset(
    {http.HTTPStatus.NO_CONTENT, http.HTTPStatus.NOT_MODIFIED}
)


class Framing(enum.Enum):
    """What tells the end of a body."""

    LENGTH = 'length'
    CHUNKS = 'chunks'
    CONNECTION = 'connection'


def framing_of(
    status: int, headers: typing.Mapping[str, str], method: str = ''
) -> Framing:
    """Return what ends the body of a response."""
    if 'Transfer-Encoding' in headers:
        return Framing.CHUNKS
    has_no_body = status in BODILESS_STATUSES or method == 'HEAD'
    if has_no_body or 'Content-Length' in headers:
        return Framing.LENGTH
    return Framing.CONNECTION


def may_be_reused(
    response: urllib3_response.HTTPResponse, method: str
) -> bool:
    """Return whether another call can follow on the connection."""
    framing = framing_of_response(response, method)
    is_closing = response.headers.get('Connection', '').lower() == 'close'
    return framing is not Framing.CONNECTION and not is_closing


def framing_of_response(
    response: urllib3_response.HTTPResponse, method: str
) -> Framing:
    """Return what ends the body of a response that was received."""
    return framing_of(response.status, response.headers, method)
