"""HTTP requests and replies with limits on time and size."""

import functools
import http.client
import typing

import attrs
from urllib3 import exceptions as urllib3_errors
from urllib3 import response as urllib3_response

from godwitglade.common import clock as clocks
from godwitglade.common import fault_kinds
from godwitglade.common import whole_responses
from godwitglade.targets import connections
from godwitglade.targets import faults

MAX_REPLY_BYTES = 16 * 1024 * 1024
MAX_STREAM_BYTES = 64 * 1024 * 1024
READ_BYTES = 64 * 1024

#: All errors that sending and receiving can raise.
TRANSPORT_ERRORS = (
    OSError,
    urllib3_errors.HTTPError,
    http.client.HTTPException,
)

FaultKind = fault_kinds.FaultKind


@attrs.frozen
class Reply:
    """A complete reply."""

    status: int
    content: bytes


class Budget:
    """The remaining time of a call.

    ``timeout_ms`` limits the whole call, ``read_timeout_ms`` each wait for
    data.
    """

    def __init__(
        self, clock: clocks.Clock, timeout_ms: int, read_timeout_ms: int
    ) -> None:
        self._clock = clock
        self.deadline_ms = clock.monotonic_ms() + timeout_ms
        self._read_timeout_ms = read_timeout_ms

    def wait_ms(self) -> int:
        """Return the timeout of the next wait; raises CallFaultError."""
        remaining_ms = self.deadline_ms - self._clock.monotonic_ms()
        if remaining_ms <= 0:
            raise self.timeout_fault()
        return min(remaining_ms, self._read_timeout_ms)

    def timeout_fault(self) -> faults.CallFaultError:
        """Return the fault of a wait in which no data arrived."""
        remaining_ms = self.deadline_ms - self._clock.monotonic_ms()
        if remaining_ms <= 0:
            return faults.CallFaultError(
                FaultKind.TIMEOUT, 'the call exceeded its timeout'
            )
        return faults.CallFaultError(
            FaultKind.SILENT,
            f'no data received within {self._read_timeout_ms} ms',
        )


def connect(
    pool: connections.ConnectionPool,
    needs_recent_contact: bool,
    timeout_ms: int,
) -> connections.Connection:
    """Return an open connection.

    Raises CallFaultError, which states that nothing was sent.
    """
    try:
        return pool.acquire(needs_recent_contact, timeout_ms)
    except (urllib3_errors.HTTPError, OSError, ValueError) as error:
        raise faults.CallFaultError(
            FaultKind.CONNECT,
            type(error).__name__,
            was_sent=False,
            is_peer_closed=is_refused(error),
        ) from error


def send(
    connection: connections.Connection,
    method: str,
    path: str,
    body: bytes | None,
    budget: Budget,
    headers: typing.Mapping[str, str] | None = None,
) -> None:
    """Send a request; raises CallFaultError.

    After an error it is unknown how much of the request was sent.
    """
    connection.limit_reads(budget.deadline_ms)
    try:
        connection.send(method, path, body, budget.wait_ms(), headers)
    except TRANSPORT_ERRORS as error:
        raise _to_fault(error, budget) from error
    except ValueError as error:
        # Headers are checked before anything is sent.
        raise faults.CallFaultError(
            FaultKind.ERROR, type(error).__name__, was_sent=False
        ) from error


def receive(
    connection: connections.Connection, budget: Budget
) -> urllib3_response.HTTPResponse:
    """Wait for the status and headers of the reply; raises CallFaultError."""
    try:
        return connection.receive(budget.wait_ms())
    except TRANSPORT_ERRORS as error:
        raise _to_fault(error, budget) from error


def read_chunks(
    connection: connections.Connection,
    response: urllib3_response.HTTPResponse,
    budget: Budget,
    limit_bytes: int,
) -> typing.Iterator[bytes]:
    """Yield the chunks of the body as they arrive; raises CallFaultError."""
    size_bytes = 0
    while chunk := _read_chunk(connection, response, budget):
        connection.record_contact()
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
    """Read the complete body; raises CallFaultError."""
    chunks = read_chunks(connection, response, budget, MAX_REPLY_BYTES)
    return Reply(response.status, b''.join(chunks))


def _read_chunk(
    connection: connections.Connection,
    response: urllib3_response.HTTPResponse,
    budget: Budget,
) -> bytes:
    try:
        connection.set_timeout(budget.wait_ms())
        return response.read1(READ_BYTES)
    except TRANSPORT_ERRORS as error:
        raise _to_fault(error, budget) from error


@functools.singledispatch
def _to_fault(error: Exception, budget: Budget) -> faults.CallFaultError:
    return faults.CallFaultError(FaultKind.ERROR, type(error).__name__)


@_to_fault.register(TimeoutError)
@_to_fault.register(urllib3_errors.ReadTimeoutError)
def _(error: Exception, budget: Budget) -> faults.CallFaultError:
    return budget.timeout_fault()


@_to_fault.register(OSError)
@_to_fault.register(whole_responses.IncompleteHeadError)
@_to_fault.register(urllib3_errors.ProtocolError)
def _(error: Exception, budget: Budget) -> faults.CallFaultError:
    return faults.CallFaultError(
        FaultKind.LOST, type(error).__name__, is_peer_closed=True
    )


def is_refused(error: BaseException) -> bool:
    """Return whether a connection failed because the peer refused it."""
    refused = (ConnectionRefusedError, ConnectionResetError)
    return isinstance(error, refused) or isinstance(error.__cause__, refused)


def is_reset(error: BaseException) -> bool:
    """Return whether the peer reset a connection while it was opened."""
    causes = (error, error.__cause__)
    return any(isinstance(cause, ConnectionResetError) for cause in causes)
