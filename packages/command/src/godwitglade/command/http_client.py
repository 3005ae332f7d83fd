"""HTTP client of the command, based on urllib3."""

import ssl
import typing

import attrs
import urllib3

from godwitglade.command import errors
from godwitglade.common import whole_responses

CONNECT_TIMEOUT_S = 5
READ_TIMEOUT_S = 60
CHUNK_BYTES = 65_536

_NOT_SENT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.LocationValueError,
)


@attrs.frozen
class Request:
    """An HTTP request; ``headers`` excludes those that the client adds."""

    method: str
    url: str
    headers: dict[str, str] = attrs.Factory(dict)
    body: bytes = b''


@attrs.frozen
class Reply:
    """An HTTP response; ``chunks`` yields the body as it arrives."""

    status: int
    headers: typing.Mapping[str, str]
    chunks: typing.Iterator[bytes]

    def read(self) -> bytes:
        """Return the complete body; raises AnswerLostError."""
        return b''.join(self.chunks)


class HttpClient(typing.Protocol):
    """Sends requests without retries."""

    def send(self, request: Request) -> Reply:
        """Return the response; raises NotSentError or AnswerLostError."""


class Urllib3Client:
    """Sends requests over the network.

    ``ca_file`` is a PEM file of trusted certificate authorities; None
    selects the system's authorities.
    """

    def __init__(self, ca_file: str | None = None) -> None:
        self._pool = whole_responses.PoolManager(
            retries=False,
            timeout=urllib3.Timeout(CONNECT_TIMEOUT_S, READ_TIMEOUT_S),
            ca_certs=ca_file,
        )

    def send(self, request: Request) -> Reply:
        """Return the response; raises NotSentError or AnswerLostError."""
        try:
            response = self._pool.request(
                request.method,
                request.url,
                headers=request.headers,
                body=request.body or None,
                preload_content=False,
                redirect=False,
            )
        except _NOT_SENT_ERRORS as error:
            raise errors.NotSentError(request.url, str(error)) from error
        except urllib3.exceptions.HTTPError as error:
            if _is_untrusted(error):
                raise errors.NotSentError(request.url, str(error)) from error
            raise errors.AnswerLostError(request.url, str(error)) from error
        chunks = _read_chunks(request.url, response)
        return Reply(response.status, response.headers, chunks)


def _is_untrusted(error: urllib3.exceptions.HTTPError) -> bool:
    """Return whether the server's certificate could not be verified."""
    return any(
        isinstance(part, ssl.SSLCertVerificationError) for part in error.args
    )


def _read_chunks(
    url: str, response: urllib3.BaseHTTPResponse
) -> typing.Iterator[bytes]:
    try:
        # read1 returns the bytes that have arrived; read waits for a full
        # chunk.
        while chunk := response.read1(CHUNK_BYTES):
            yield chunk
    except urllib3.exceptions.HTTPError as error:
        raise errors.AnswerLostError(url, str(error)) from error
    finally:
        response.release_conn()
