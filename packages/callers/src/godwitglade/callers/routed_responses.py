"""Writes the response of a routed request to its caller."""

import errno
import typing

import attrs

from godwitglade.common import codec

REASON_PHRASES = {
    400: 'Bad Request',
    401: 'Unauthorized',
    404: 'Not Found',
    408: 'Request Timeout',
    413: 'Payload Too Large',
    502: 'Bad Gateway',
    503: 'Service Unavailable',
    504: 'Gateway Timeout',
}


@attrs.define(eq=False)
class CallerResponse:
    """The response to a request that CherryPy's server has read."""

    request: typing.Any
    is_stopping: typing.Callable[[], bool]
    has_started: bool = False

    def start_response(
        self, status: str, headers_: list[tuple[str, str]], size: int | None
    ) -> None:
        """Send status and headers; ``size`` None for a stream."""
        self.has_started = True
        request = self.request
        request.status = status.encode('latin-1')
        request.outheaders = [
            (k.encode('latin-1'), v.encode('latin-1')) for k, v in headers_
        ]
        if size is not None:
            length = str(size).encode()
            request.outheaders.append((b'Content-Length', length))
        if self.is_stopping():
            request.outheaders.append((b'Connection', b'close'))
        request.ensure_headers_sent()

    def write(self, chunk: bytes) -> None:
        """Send a part of the body; raises OSError."""
        if chunk:
            self.request.write(chunk)

    def send_error(
        self, status: int, reason: str, retry_after_ms: int | None = None
    ) -> None:
        """Send a complete response with an error code.

        The connection is closed instead if another response has begun.
        """
        if self.has_started:
            self.abort()
        fields = [('Content-Type', 'application/json')]
        if retry_after_ms is not None:
            fields.append(('Retry-After', f'{retry_after_ms / 1_000:.2f}'))
        body = codec.to_json({'error': {'code': reason}})
        status_line = f'{status} {REASON_PHRASES.get(status, "Error")}'
        self.start_response(status_line, fields, len(body))
        self.write(body)

    def abort(self) -> typing.NoReturn:
        """Close the connection; a partial response must not look complete."""
        # Keeps cheroot from sending an error response of its own.
        self.request.sent_headers = True
        raise ConnectionAbortedError(errno.ECONNABORTED, 'aborted')
