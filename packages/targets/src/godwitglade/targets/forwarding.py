"""Sends a caller's request to a target and passes the answer back.

The wire's own headers are read and written by a `Wire`.
"""

import typing

import attrs
from urllib3 import response as urllib3_response

from godwitglade.common import clock as clocks
from godwitglade.routing import effects
from godwitglade.routing import messages
from godwitglade.routing import targets
from godwitglade.targets import attempts
from godwitglade.targets import connections
from godwitglade.targets import events
from godwitglade.targets import exchange
from godwitglade.targets import faults

#: Statuses that promise that nothing was run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class Caller(typing.Protocol):
    """The caller's side of an exchange."""

    has_begun: bool

    def begin(
        self, status: str, headers_: list[tuple[str, str]], size: int | None
    ) -> None:
        """Send status and headers; ``size`` None for a stream."""

    def write(self, chunk: bytes) -> None:
        """Send a part of the body; raises OSError."""


@attrs.frozen
class Incoming:
    """A caller's request, as it is sent on."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    attempt_id: str


@attrs.frozen
class Held:
    """A target's failure, kept until it is relayed or dropped."""

    status: str
    headers: list[tuple[str, str]]
    body: bytes


@attrs.define(eq=False)
class Sending:
    """What one request's calls have in common."""

    incoming: Incoming
    caller: Caller
    reader: events.EventReader = attrs.Factory(events.EventReader)
    held: Held | None = None


@attrs.frozen
class Verdict:
    """What the head of an answer says.

    ``is_foreign`` tells that it belongs to another request, ``is_not_run``
    that the target did not run the request, ``is_own`` that a success is
    the whole and proper answer to this request.
    """

    is_foreign: bool = False
    is_not_run: bool = False
    is_misdirected: bool = False
    is_input_gone: bool = False
    is_own: bool = True
    load: targets.Load | None = None


class Wire(typing.Protocol):
    """The headers that callers and targets use."""

    def target_headers(
        self, sending: Sending, order: effects.Forward, left_ms: int
    ) -> dict[str, str]:
        """Return the headers to send to a target."""

    def judge(
        self, attempt_id: str, status: int, found: typing.Mapping[str, str]
    ) -> Verdict:
        """Return what the head of an answer says."""

    def passed_back(
        self, found: typing.Iterable[tuple[str, str]]
    ) -> list[tuple[str, str]]:
        """Return the headers of an answer that the caller gets."""


class CallerGoneError(Exception):
    """The caller's connection failed while it was written to."""


@attrs.define(eq=False)
class _Call:
    sending: Sending
    order: effects.Forward
    connection: connections.Connection
    budget: exchange.Budget


class Forwarder:
    """Carries out Forward; serves many threads."""

    def __init__(
        self,
        clock: clocks.Clock,
        wire: Wire,
        post: typing.Callable[[typing.Any], None],
    ) -> None:
        self._clock = clock
        self._wire = wire
        self._post = post
        self._attempts = attempts.Attempts()
        self._pools: dict[str, connections.Connections] = {}

    def pool(self, address: str) -> connections.Connections:
        """Return the connections to a target."""
        pool = self._pools.get(address)
        if pool is None:
            made = connections.Connections(address, self._clock)
            pool = self._pools.setdefault(address, made)
        return pool

    def forget_except(self, addresses: typing.Collection[str]) -> None:
        """Close idle connections to targets that are gone."""
        for address in [a for a in list(self._pools) if a not in addresses]:
            self._pools.pop(address).drop_opened_until_now()

    def cancel(self, effect: effects.CancelCall) -> None:
        """Interrupt the call of a request from another thread."""
        self._attempts.cancel(_name(effect.request_id, effect.call))

    def forward(
        self, sending: Sending, order: effects.Forward
    ) -> typing.Any | None:
        """Make one call; return what to tell the loop of it.

        Raises CallerGoneError when the caller cannot be written to.
        """
        with self._attempts.track(
            _name(order.request_id, order.call)
        ) as attempt:
            try:
                return self._call(sending, order, attempt)
            except faults.CallFaultError as error:
                return _fault_message(sending, order, error)

    def _call(
        self,
        sending: Sending,
        order: effects.Forward,
        attempt: attempts.Attempt,
    ) -> typing.Any:
        budget = exchange.Budget(
            self._clock, order.timeout_ms, order.timeout_ms
        )
        pool = self.pool(order.target.address)
        connection = self._connect(pool, order, budget)
        with self._attempts.lend(attempt, pool, connection) as loan:
            if loan.is_cancelled:
                raise _not_sent('cancelled')
            call = _Call(sending, order, connection, budget)
            message, loan.is_reusable = self._exchange(call)
            return message

    def _connect(
        self,
        pool: connections.Connections,
        order: effects.Forward,
        budget: exchange.Budget,
    ) -> connections.Connection:
        if not order.needs_new_connection:
            return exchange.connect(pool, True, budget.wait_ms())
        try:
            return pool.open(budget.wait_ms())
        except exchange.WIRE_ERRORS as error:
            raise _not_sent(type(error).__name__) from error

    def _exchange(self, call: _Call) -> tuple[typing.Any, bool]:
        incoming = call.sending.incoming
        exchange.send(
            call.connection,
            incoming.method,
            incoming.path,
            incoming.body,
            call.budget,
            self._wire.target_headers(
                call.sending, call.order, call.budget.wait_ms()
            ),
        )
        response = exchange.receive(call.connection, call.budget)
        message, is_whole = self._judge(call, response)
        keeps = response.headers.get('Connection', '').lower() != 'close'
        is_framed = (
            'Content-Length' in response.headers
            or 'Transfer-Encoding' in response.headers
        )
        return message, is_whole and keeps and is_framed

    def _judge(
        self, call: _Call, response: urllib3_response.HTTPResponse
    ) -> tuple[typing.Any, bool]:
        """Return the message for an answer, and whether it was read whole."""
        ids = (call.order.request_id, call.order.call)
        status = response.status
        verdict = self._wire.judge(
            call.sending.incoming.attempt_id, status, response.headers
        )
        if verdict.is_foreign:
            return messages.Lost(*ids, 'answer to another request'), False
        if verdict.is_not_run:
            self._read(call, response)
            message = messages.NotRun(
                *ids,
                status,
                is_input_gone=verdict.is_input_gone,
                is_misdirected=verdict.is_misdirected,
                load=verdict.load,
            )
            return message, True
        is_success = 200 <= status < 300
        if is_success and not verdict.is_own:
            return messages.Lost(*ids, 'answer that is not whole'), False
        if is_success and call.order.is_stream:
            return self._relay_stream(call, response, verdict.load)
        held = self._held(response, self._read(call, response))
        if is_success:
            relay(call.sending.caller, held)
            return messages.Answered(*ids, status, verdict.load), True
        call.sending.held = held
        return messages.Failed(*ids, status, verdict.load), True

    def _read(
        self, call: _Call, response: urllib3_response.HTTPResponse
    ) -> bytes:
        reply = exchange.read_reply(call.connection, response, call.budget)
        return reply.content

    def _held(
        self, response: urllib3_response.HTTPResponse, body: bytes
    ) -> Held:
        """Return an answer to pass on.

        A status that promises that nothing was run must not be passed on
        without the target's word for it.
        """
        if response.status in NOT_RUN_STATUSES:
            return Held('502 Bad Gateway', [], b'')
        found = self._wire.passed_back(response.headers.iteritems())
        return Held(_status_line(response), found, body)

    def _begin(
        self, caller: Caller, response: urllib3_response.HTTPResponse
    ) -> None:
        found = self._wire.passed_back(response.headers.iteritems())
        try:
            caller.begin(_status_line(response), found, None)
        except OSError as error:
            raise CallerGoneError() from error

    def _relay_stream(
        self,
        call: _Call,
        response: urllib3_response.HTTPResponse,
        load: typing.Any,
    ) -> tuple[typing.Any, bool]:
        caller, reader = call.sending.caller, call.sending.reader
        ids = (call.order.request_id, call.order.call)
        reader.restart()
        has_told = False
        for chunk in exchange.read_chunks(
            call.connection,
            response,
            call.budget,
            exchange.MAX_STREAM_BYTES,
        ):
            whole = reader.feed(chunk)
            if not whole:
                continue
            if not caller.has_begun:
                self._begin(caller, response)
            _write(caller, whole)
            if not has_told:
                has_told = True
                self._post(messages.StreamBegun(*ids, load))
        if not reader.is_clean:
            raise _lost('the stream ended within an event')
        if not caller.has_begun:
            self._begin(caller, response)
        return messages.Answered(*ids, response.status, load), True


def relay(caller: Caller, held: Held) -> None:
    """Pass on an answer that was read whole."""
    if caller.has_begun:
        raise CallerGoneError()
    try:
        caller.begin(held.status, held.headers, len(held.body))
        caller.write(held.body)
    except OSError as error:
        raise CallerGoneError() from error


def _write(caller: Caller, chunk: bytes) -> None:
    try:
        caller.write(chunk)
    except OSError as error:
        raise CallerGoneError() from error


def _status_line(response: urllib3_response.HTTPResponse) -> str:
    return f'{response.status} {response.reason or "Unknown"}'


def _fault_message(
    sending: Sending, order: effects.Forward, error: faults.CallFaultError
) -> typing.Any:
    ids = (order.request_id, order.call)
    if not error.was_sent:
        return messages.NotSent(*ids, str(error))
    if order.is_stream:
        return messages.Broken(*ids, sending.caller.has_begun, str(error))
    return messages.Lost(*ids, str(error))


def _not_sent(detail: str) -> faults.CallFaultError:
    return faults.CallFaultError(
        exchange.FaultKind.CONNECT, detail, was_sent=False
    )


def _lost(detail: str) -> faults.CallFaultError:
    return faults.CallFaultError(exchange.FaultKind.LOST, detail)


def _name(request_id: str, call: int) -> str:
    return f'{request_id}:{call}'
