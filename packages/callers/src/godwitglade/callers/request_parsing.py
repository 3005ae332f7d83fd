"""Parses headers and body of a caller's request into a typed message."""

import re
import typing

import attrs
import xxhash

from godwitglade.callers import errors
from godwitglade.common import clock
from godwitglade.common import codec
from godwitglade.decisions import messages

#: Longest deadline that a caller may set, and the default.
MAX_DEADLINE_MS = 10 * clock.MINUTE_MS
#: Longest workspace name, priority name or idempotency key.
MAX_TOKEN_LENGTH = 200
EVENT_STREAM = 'text/event-stream'

_TOKEN = re.compile(r'[A-Za-z0-9._:~@/+=-]+')


@attrs.frozen
class Headers:
    """The validated headers of a request that godwitglade uses.

    ``deadline_ms`` is the time left from the arrival of the request.
    """

    workspace: str
    deadline_ms: int
    priority: str | None
    idempotency_key: str | None
    is_stream: bool


def parse_headers(headers: typing.Mapping[str, str]) -> Headers:
    """Return the validated headers; raises HeaderError."""
    return Headers(
        workspace=_token(headers, 'X-Workspace', is_required=True),
        deadline_ms=_deadline_ms(headers.get('X-Deadline-Ms')),
        priority=_token(headers, 'X-Priority'),
        idempotency_key=_token(headers, 'Idempotency-Key'),
        is_stream=EVENT_STREAM in headers.get('Accept', ''),
    )


def make_request_message(
    request_id: str,
    pipeline: str,
    headers: Headers,
    body: bytes,
    now_ms: int,
) -> messages.RequestArrived:
    """Return the request as a message; raises MalformedError."""
    return messages.RequestArrived(
        request_id=request_id,
        workspace=headers.workspace,
        pipeline=pipeline,
        payload=codec.parse_json(body),
        deadline_ms=now_ms + headers.deadline_ms,
        fingerprint=fingerprint(headers.workspace, pipeline, body),
        idempotency_key=headers.idempotency_key,
        priority=headers.priority,
        is_stream=headers.is_stream,
    )


def fingerprint(workspace: str, pipeline: str, body: bytes) -> str:
    """Return a hash of a request's content that is equal on all hosts."""
    digest = xxhash.xxh3_128(f'{workspace}\n{pipeline}\n'.encode())
    digest.update(body)
    return digest.hexdigest()


def _token(
    headers: typing.Mapping[str, str], name: str, is_required: bool = False
) -> str | None:
    value = headers.get(name)
    if value is None and not is_required:
        return None
    if value is None:
        raise errors.HeaderError(name, 'is required')
    if len(value) > MAX_TOKEN_LENGTH:
        raise errors.HeaderError(name, f'exceeds {MAX_TOKEN_LENGTH} bytes')
    if not _TOKEN.fullmatch(value):
        raise errors.HeaderError(
            name, 'contains characters that are not allowed'
        )
    return value


def _deadline_ms(value: str | None) -> int:
    if value is None:
        return MAX_DEADLINE_MS
    if not re.fullmatch(r'[0-9]{1,9}', value):
        raise errors.HeaderError('X-Deadline-Ms', 'is not a whole number')
    deadline_ms = int(value)
    if not 1 <= deadline_ms <= MAX_DEADLINE_MS:
        raise errors.HeaderError(
            'X-Deadline-Ms', f'is not within 1..{MAX_DEADLINE_MS} ms'
        )
    return deadline_ms
