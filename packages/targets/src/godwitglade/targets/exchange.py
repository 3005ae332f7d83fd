"""One HTTP exchange over a connection, with bounded time and size."""

import functools
import http.client
import typing

import attrs
from urllib3 import exceptions as urllib3_errors
from urllib3 import response as urllib3_response

from godwitglade.common import clock as clocks
from godwitglade.decisions import messages
from godwitglade.targets import connections
from godwitglade.targets import faults

MAX_REPLY_BYTES = 16 * 1024 * 1024
MAX_STREAM_BYTES = 64 * 1024 * 1024
READ_BYTES = 64 * 1024

#: Everything that sending and receiving raises.
WIRE_ERRORS = (
    OSError,
    urllib3_errors.HTTPError,
    http.client.HTTPException,
)

FaultKind = messages.FaultKind


@attrs.frozen
class Reply:
    """A whole reply."""

    status: int
    content: bytes


class Budget:
    """Time left for a call; ``silence_ms`` bounds each single wait."""

    def __init__(
        self, clock: clocks.Clock, timeout_ms: int, silence_ms: int
    ) -> None:
        self._clock = clock
        self._until_ms = clock.monotonic_ms() + timeout_ms
        self._silence_ms = silence_ms

    def wait_ms(self) -> int:
        """Return the bound of the next wait; raises CallFaultError."""
        left_ms = self._until_ms - self._clock.monotonic_ms()
        if left_ms <= 0:
            raise self.expired()
        return min(left_ms, self._silence_ms)

    def expired(self) -> faults.CallFaultError:
        """Return the fault of a wait that ended without a byte."""
        left_ms = self._until_ms - self._clock.monotonic_ms()
        if left_ms <= 0:
            return faults.CallFaultError(
                FaultKind.TIMEOUT, 'the whole time is over'
            )
        return faults.CallFaultError(
            FaultKind.SILENT, f'no byte for {self._silence_ms} ms'
        )


def connect(
    pool: connections.Connections, needs_proof: bool, timeout_ms: int
) -> connections.Connection:
    """Return an open connection; raises CallFaultError, nothing sent."""
    try:
        return pool.take(needs_proof, timeout_ms)
    except (urllib3_errors.HTTPError, OSError, ValueError) as error:
        raise faults.CallFaultError(
            FaultKind.CONNECT,
            type(error).__name__,
            was_sent=False,
            is_peer_closed=_is_refused(error),
        ) from error


def send(
    connection: connections.Connection,
    method: str,
    path: str,
    body: bytes | None,
    budget: Budget,
    headers: typing.Mapping[str, str] | None = None,
) -> None:
    """Send a request; a fault leaves open how much of it has left."""
    try:
        connection.send(method, path, body, budget.wait_ms(), headers)
    except WIRE_ERRORS as error:
        raise _translate(error, budget) from error


def receive(
    connection: connections.Connection, budget: Budget
) -> urllib3_response.HTTPResponse:
    """Await the start of the reply; raises CallFaultError."""
    try:
        return connection.receive(budget.wait_ms())
    except WIRE_ERRORS as error:
        raise _translate(error, budget) from error


def read_chunks(
    connection: connections.Connection,
    response: urllib3_response.HTTPResponse,
    budget: Budget,
    limit_bytes: int,
) -> typing.Iterator[bytes]:
    """Yield the body as it arrives; raises CallFaultError."""
    size_bytes = 0
    while chunk := _read_chunk(connection, response, budget):
        connection.mark_heard()
        size_bytes += len(chunk)
        if size_bytes > limit_bytes:
            raise faults.CallFaultError(
                FaultKind.ERROR, f'the reply exceeds {limit_bytes} bytes'
            )
        yield chunk


def read_reply(
    connection: connections.Connection,
    response: urllib3_response.HTTPResponse,
    budget: Budget,
) -> Reply:
    """Read the whole body; raises CallFaultError."""
    chunks = read_chunks(connection, response, budget, MAX_REPLY_BYTES)
    return Reply(response.status, b''.join(chunks))


def _read_chunk(
    connection: connections.Connection,
    response: urllib3_response.HTTPResponse,
    budget: Budget,
) -> bytes:
    try:
        connection.limit_wait(budget.wait_ms())
        return response.read1(READ_BYTES)
    except WIRE_ERRORS as error:
        raise _translate(error, budget) from error


@functools.singledispatch
def _translate(error: Exception, budget: Budget) -> faults.CallFaultError:
    return faults.CallFaultError(FaultKind.ERROR, type(error).__name__)


@_translate.register(TimeoutError)
@_translate.register(urllib3_errors.ReadTimeoutError)
def _(error: Exception, budget: Budget) -> faults.CallFaultError:
    return budget.expired()


@_translate.register(OSError)
@_translate.register(urllib3_errors.ProtocolError)
def _(error: Exception, budget: Budget) -> faults.CallFaultError:
    return faults.CallFaultError(
        FaultKind.LOST, type(error).__name__, is_peer_closed=True
    )


def _is_refused(error: BaseException) -> bool:
    refused = (ConnectionRefusedError, ConnectionResetError)
    return isinstance(error, refused) or isinstance(error.__cause__, refused)
