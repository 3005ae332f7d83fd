"""HTTP exchanges with a platform service, classified by possible effect.

Retries are off: repeating a write whose response was lost would hide that
the first one may have taken effect.
"""

import random as random_module
import typing

import attrs
import urllib3

from godwitglade.common import clock as clock_module
from godwitglade.common import whole_responses
from godwitglade.platform import breaker as breaker_module

MAX_CONNECTIONS = 8
MAX_RESPONSE_BYTES = 32 * 1024 * 1024
READ_BYTES = 64 * 1024

#: Raised before any byte of the request was sent.
NOT_SENT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.EmptyPoolError,
    urllib3.exceptions.LocationValueError,
)


@attrs.frozen
class Answer:
    """A complete response; ``etag`` identifies the resource's state."""

    status: int
    content: bytes
    etag: str = ''
    headers: typing.Mapping[str, str] = attrs.Factory(dict)


@attrs.frozen
class NotSent:
    """No byte was sent, so the request had no effect."""

    retry_after_ms: int


@attrs.frozen
class NoAnswer:
    """Bytes may have been sent, but no complete response arrived."""


Exchange = Answer | NotSent | NoAnswer


def make_pools(max_connections: int = MAX_CONNECTIONS) -> urllib3.PoolManager:
    """Return the connection pools that the platform clients share."""
    return whole_responses.TimedPoolManager(
        maxsize=max_connections,
        block=True,
        retries=False,
    )


class Service:
    """A platform service at ``base_url``, behind a circuit breaker."""

    def __init__(
        self,
        base_url: str,
        pools: urllib3.PoolManager,
        clock: clock_module.Clock,
        random: random_module.Random,
        settings: breaker_module.BreakerSettings = (
            breaker_module.BreakerSettings()
        ),
    ) -> None:
        self._base_url = base_url.rstrip('/')
        self._pools = pools
        self._clock = clock
        self.breaker = breaker_module.Breaker(clock, random, settings)

    def exchange(
        self,
        method: str,
        path: str,
        timeout_ms: int,
        body: bytes | None = None,
        etag: str = '',
    ) -> Exchange:
        """Send one request and wait for its complete response; never raises.

        ``timeout_ms`` limits the wait for a connection, for each read of
        the response and for the complete response. With ``etag`` the
        service may respond 304 when that state is still current.
        """
        try:
            self.breaker.admit()
        except breaker_module.BreakerOpenError as error:
            return NotSent(error.retry_after_ms)
        result = NoAnswer()
        try:
            result = self._send(method, path, timeout_ms, body, etag)
        except NOT_SENT_ERRORS:
            result = NotSent(self.breaker.retry_after_ms())
        except (urllib3.exceptions.HTTPError, OSError):
            result = NoAnswer()
        finally:
            self._record(result)
        return result

    def _send(
        self,
        method: str,
        path: str,
        timeout_ms: int,
        body: bytes | None,
        etag: str,
    ) -> Exchange:
        timeout_s = timeout_ms / clock_module.SECOND_MS
        deadline_ms = self._clock.monotonic_ms() + timeout_ms
        response = self._pools.urlopen(
            method,
            self._base_url + path,
            body=body,
            headers=_headers_of(body, etag),
            timeout=urllib3.Timeout(total=timeout_s),
            pool_timeout=timeout_s,
            retries=False,
            redirect=False,
            preload_content=False,
        )
        content = self._read(response, deadline_ms)
        if content is None:
            return NoAnswer()
        etag = response.headers.get('ETag', '')
        return Answer(response.status, content, etag, response.headers)

    def _read(
        self, response: urllib3.BaseHTTPResponse, deadline_ms: int
    ) -> bytes | None:
        chunks = []
        size_bytes = 0
        try:
            for chunk in response.stream(READ_BYTES):
                chunks.append(chunk)
                size_bytes += len(chunk)
                is_late = self._clock.monotonic_ms() > deadline_ms
                if is_late or size_bytes > MAX_RESPONSE_BYTES:
                    response.close()
                    return None
        except (urllib3.exceptions.HTTPError, OSError):
            response.close()
            raise
        response.release_conn()
        return b''.join(chunks)

    def _record(self, result: Exchange) -> None:
        if isinstance(result, Answer) and result.status < 500:
            self.breaker.record_success()
        else:
            self.breaker.record_failure()


def _headers_of(body: bytes | None, etag: str) -> dict[str, str]:
    headers = {} if body is None else {'Content-Type': 'application/json'}
    return headers | ({'If-None-Match': etag} if etag else {})
