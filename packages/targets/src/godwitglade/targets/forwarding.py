"""Forwards a caller's request to a target and relays the response.

A `HeaderCodec` reads and writes the protocol-specific headers.
"""

import threading
import typing

import attrs
from urllib3 import response as urllib3_response

from godwitglade.common import clock as clocks
from godwitglade.routing import effects
from godwitglade.routing import messages
from godwitglade.routing import targets
from godwitglade.targets import attempts
from godwitglade.targets import connections
from godwitglade.targets import event_reader
from godwitglade.targets import faults
from godwitglade.targets import http_exchange
from godwitglade.targets import processes
from godwitglade.targets import response_bodies

#: Statuses from which a caller infers that the request was not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
#: Time in which a connection for a caller's request has to be established.
CONNECT_TIMEOUT_MS = 500
#: Time limit of the connection that shows whether a target still runs.
GONE_CHECK_TIMEOUT_MS = 100
#: Connections that are tried, should one be reset.
GONE_CHECKS = 2
#: Time in which a target has to respond after a body, once connected.
END_CHECK_TIMEOUT_MS = 500


class Caller(typing.Protocol):
    """Writes the response to a caller."""

    has_started: bool

    def start_response(
        self, status: str, headers_: list[tuple[str, str]], size: int | None
    ) -> None:
        """Send status and headers; ``size`` is None for a stream."""

    def write(self, chunk: bytes) -> None:
        """Send a chunk of the body; raises OSError."""


@attrs.frozen
class CallerRequest:
    """A caller's request in the form that is forwarded.

    ``caller_headers`` are those for a host that takes the request over.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    attempt_id: str
    caller_headers: dict[str, str] = attrs.field(factory=dict, repr=False)


@attrs.frozen
class BufferedResponse:
    """A response that was read completely and can be relayed later."""

    status: str
    headers: list[tuple[str, str]]
    body: bytes


@attrs.define(eq=False)
class ForwardingContext:
    """The state that all calls of one request share.

    ``failed_response`` is the last failed response, until it is relayed or
    dropped. ``stream_content_type`` is that of the stream that has begun,
    whose first event may wait for ``may_start``.
    """

    request: CallerRequest
    caller: Caller
    reader: event_reader.EventReader = attrs.Factory(event_reader.EventReader)
    failed_response: BufferedResponse | None = None
    stream_content_type: str | None = None
    may_start: threading.Event = attrs.Factory(threading.Event)


@attrs.frozen
class ResponseClassification:
    """The classification of a response by its status and headers.

    ``is_for_other_request`` means that the response belongs to another
    request, ``is_not_run`` that the target did not run the request,
    ``is_valid_reply`` that a success is the complete and valid response to
    this request.
    """

    is_for_other_request: bool = False
    is_not_run: bool = False
    is_misdirected: bool = False
    is_input_gone: bool = False
    is_valid_reply: bool = True
    load: targets.Load | None = None
    limit: targets.NamedLimit | None = None
    notice: targets.Notice = targets.Notice()


class HeaderCodec(typing.Protocol):
    """Reads and writes the headers that callers and targets use.

    ``probe_path`` is a path at which every target responds with what it says
    of itself; ``start_field`` of that is the Unix time of its start in ms.
    """

    probe_path: str
    start_field: str

    def target_headers(
        self, context: ForwardingContext, effect: effects.Forward, left_ms: int
    ) -> dict[str, str]:
        """Return the request headers for a target."""

    def classify_response(
        self, attempt_id: str, status: int, headers: typing.Mapping[str, str]
    ) -> ResponseClassification:
        """Classify a response by its status and headers."""

    def response_headers(
        self, headers: typing.Iterable[tuple[str, str]]
    ) -> list[tuple[str, str]]:
        """Return the response headers that are relayed to the caller."""


class CallerDisconnectedError(Exception):
    """The response cannot be written to the caller.

    Its connection failed, or another response has already begun.
    """


@attrs.define(eq=False)
class _Call:
    context: ForwardingContext
    effect: effects.Forward
    attempt: attempts.Attempt
    connection: connections.Connection
    budget: http_exchange.Budget
    started_ms: int


class Forwarder:
    """Carries out Forward effects; thread-safe."""

    def __init__(
        self,
        clock: clocks.Clock,
        wire: HeaderCodec,
        post: typing.Callable[[typing.Any], None],
    ) -> None:
        self._clock = clock
        self._wire = wire
        self._post = post
        self._attempts = attempts.Attempts()
        self._pools: dict[str, connections.ConnectionPool] = {}

    def pool(self, address: str) -> connections.ConnectionPool:
        """Return the connection pool of a target."""
        pool = self._pools.get(address)
        if pool is None:
            new_pool = connections.ConnectionPool(address, self._clock)
            pool = self._pools.setdefault(address, new_pool)
        return pool

    def close_unlisted(self, addresses: typing.Collection[str]) -> None:
        """Close the connections to all targets but ``addresses``."""
        for address in [a for a in list(self._pools) if a not in addresses]:
            self._pools.pop(address).drop_opened_until_now()

    def cancel(self, effect: effects.CancelCall) -> None:
        """Interrupt a call that runs on another thread."""
        self._attempts.cancel(_attempt_key(effect.request_id, effect.call))

    def confirm(self, effect: effects.ConfirmProcess) -> None:
        """Let the events of a call that runs on another thread go on."""
        self._attempts.confirm(_attempt_key(effect.request_id, effect.call))

    def forward(
        self, context: ForwardingContext, effect: effects.Forward
    ) -> typing.Any | None:
        """Make a call; return the message that reports it to the loop.

        Raises CallerDisconnectedError if the response cannot be written.
        """
        with self._attempts.track(
            _attempt_key(effect.request_id, effect.call)
        ) as attempt:
            try:
                return self._call(context, effect, attempt)
            except faults.CallFaultError as error:
                is_target_gone = (
                    error.was_sent
                    and not effect.target.is_host
                    and error.is_peer_closed
                    and not attempt.is_cancelled
                    and self._is_gone(effect.target.address)
                )
                return _fault_message(context, effect, error, is_target_gone)

    def probe(self, effect: effects.ProbeTarget) -> messages.TargetProbed:
        """Return whether a target responds over a new connection."""
        budget = http_exchange.Budget(
            self._clock, effect.timeout_ms, effect.timeout_ms
        )
        connection = connections.Connection(effect.address, self._clock)
        path = self._wire.probe_path
        try:
            connection.open(effect.timeout_ms)
            http_exchange.send(connection, 'GET', path, None, budget)
            http_exchange.receive(connection, budget)
        except (faults.CallFaultError, *http_exchange.TRANSPORT_ERRORS):
            return messages.TargetProbed(effect.name, False)
        finally:
            connection.close()
        return messages.TargetProbed(effect.name, True)

    def _call(
        self,
        context: ForwardingContext,
        effect: effects.Forward,
        attempt: attempts.Attempt,
    ) -> typing.Any:
        budget = http_exchange.Budget(
            self._clock, effect.timeout_ms, effect.timeout_ms
        )
        pool = self.pool(effect.target.address)
        wire = (self._wire.probe_path, self._wire.start_field)
        report: processes.Report | None = None
        for is_first in (True, False):
            connection = self._connect(pool, effect, budget, is_first)
            with self._attempts.use_connection(
                attempt, pool, connection
            ) as use:
                if use.is_cancelled:
                    raise _not_sent_fault('cancelled')
                report = processes.ask(
                    connection, effect, report, wire, self._clock
                )
                if processes.may_send(effect, report):
                    call = _Call(
                        context,
                        effect,
                        attempt,
                        connection,
                        budget,
                        report.started_ms,
                    )
                    message, use.is_reusable = self._exchange(call)
                    return message
        raise _not_sent_fault(
            'another process has the address',
            processes.is_replaced(effect, report),
        )

    def _connect(
        self,
        pool: connections.ConnectionPool,
        effect: effects.Forward,
        budget: http_exchange.Budget,
        may_reuse: bool,
    ) -> connections.Connection:
        timeout_ms = min(CONNECT_TIMEOUT_MS, budget.wait_ms())
        if may_reuse and not effect.needs_new_connection:
            return http_exchange.connect(pool, True, timeout_ms)
        try:
            return pool.open(timeout_ms)
        except http_exchange.TRANSPORT_ERRORS as error:
            raise _not_sent_fault(type(error).__name__) from error

    def _is_gone(self, address: str) -> bool:
        """Return whether a target's process has evidently ended.

        Only a refused connection shows that: the network can be the cause
        of one that breaks or times out. A target at its limit resets
        connections, and so does the kernel when it closes a listener, but
        then it refuses the next one.
        """
        pool = self.pool(address)
        for _ in range(GONE_CHECKS):
            try:
                pool.release(pool.open(GONE_CHECK_TIMEOUT_MS))
            except http_exchange.TRANSPORT_ERRORS as error:
                if http_exchange.is_reset(error):
                    continue
                return http_exchange.is_refused(error)
            return False
        return False

    def _confirms_end(self, call: _Call) -> bool:
        """Return whether a target responds after the end of a body.

        The kernel accepts connections until it closes the listener, so only
        a response shows that the process still runs. One that started later
        than the target's entry says has taken the place of another.
        """
        target = call.effect.target
        pool = self.pool(target.address)
        try:
            connection = pool.open(call.budget.wait_ms())
        except (
            *http_exchange.TRANSPORT_ERRORS,
            faults.CallFaultError,
        ) as error:
            return self._is_at_its_limit(target.address, error)
        try:
            timeout_ms = min(END_CHECK_TIMEOUT_MS, call.budget.wait_ms())
            budget = http_exchange.Budget(self._clock, timeout_ms, timeout_ms)
            path = self._wire.probe_path
            http_exchange.send(connection, 'GET', path, None, budget)
            response = http_exchange.receive(connection, budget)
            report = http_exchange.read_reply(connection, response, budget)
        except faults.CallFaultError as error:
            return self._is_at_its_limit(target.address, error.__cause__)
        finally:
            # A second response to this request would have no id to tell it
            # from the next one.
            connection.close()
        started_ms = processes.parse_start(
            report.content, self._wire.start_field
        )
        return not 0 < target.started_ms < started_ms

    def _is_at_its_limit(
        self, address: str, error: BaseException | None
    ) -> bool:
        """Return whether a target resets connections, but listens."""
        is_reset = error is not None and http_exchange.is_reset(error)
        return is_reset and not self._is_gone(address)

    def _exchange(self, call: _Call) -> tuple[typing.Any, bool]:
        request = call.context.request
        http_exchange.send(
            call.connection,
            request.method,
            request.path,
            request.body,
            call.budget,
            self._wire.target_headers(
                call.context, call.effect, call.budget.wait_ms()
            ),
        )
        response = http_exchange.receive(call.connection, call.budget)
        message, is_read = self._handle_response(call, response)
        return message, is_read and response_bodies.may_be_reused(
            response, request.method
        )

    def _handle_response(
        self, call: _Call, response: urllib3_response.HTTPResponse
    ) -> tuple[typing.Any, bool]:
        """Return the message for a response, and whether it was fully read."""
        ids = (call.effect.request_id, call.effect.call)
        status = response.status
        classification = self._wire.classify_response(
            call.context.request.attempt_id, status, response.headers
        )
        if classification.is_for_other_request:
            return (
                messages.CallLost(*ids, 'response to another request'),
                False,
            )
        if call.effect.target.is_host:
            return self._handle_host_response(call, response, classification)
        is_success = 200 <= status < 300
        is_valid = not is_success or classification.is_valid_reply
        if is_valid and not classification.is_misdirected:
            self._post_notice(call, classification)
        if classification.is_not_run:
            self._read_body(call, response)
            message = messages.CallNotRun(
                *ids,
                status,
                is_input_gone=classification.is_input_gone,
                is_misdirected=classification.is_misdirected,
                load=classification.load,
                limit=classification.limit,
                notice=classification.notice,
            )
            # The target may send a refusal once more where the next
            # response is due.
            return message, False
        if is_success and not classification.is_valid_reply:
            return (
                messages.CallLost(*ids, 'incomplete or invalid response'),
                False,
            )
        if is_success and call.effect.is_stream:
            return self._relay_stream(call, response, classification)
        buffered = self._to_buffered(response, self._read_body(call, response))
        if is_success:
            relay(call.context.caller, buffered)
            return (
                messages.ResponseCompleted(
                    *ids,
                    status,
                    classification.load,
                    classification.limit,
                    classification.notice,
                ),
                True,
            )
        call.context.failed_response = buffered
        message = messages.CallFailed(
            *ids,
            status,
            classification.load,
            classification.limit,
            classification.notice,
        )
        return message, True

    def _post_notice(
        self, call: _Call, classification: ResponseClassification
    ) -> None:
        """Report what a target says of itself before the caller leaves."""
        notice, limit = classification.notice, classification.limit
        if notice != targets.Notice() or limit is not None:
            target = call.effect.target
            self._post(messages.NoticeReceived(target, notice, limit))

    def _handle_host_response(
        self,
        call: _Call,
        response: urllib3_response.HTTPResponse,
        classification: ResponseClassification,
    ) -> tuple[typing.Any, bool]:
        """Relay the response of a host that took the request over."""
        ids = (call.effect.request_id, call.effect.call)
        status = response.status
        if classification.is_misdirected:
            self._read_body(call, response)
            return messages.CallNotRun(*ids, status), False
        is_success = 200 <= status < 300
        if is_success and not classification.is_valid_reply:
            detail = 'incomplete or invalid response'
            return messages.CallLost(*ids, detail), False
        if is_success and call.effect.is_stream:
            return self._relay_stream(call, response, ResponseClassification())
        body = self._read_body(call, response)
        headers = self._wire.response_headers(response.headers.iteritems())
        relay(
            call.context.caller,
            BufferedResponse(_status_line(response), headers, body),
        )
        return messages.ResponseCompleted(*ids, status), True

    def _read_body(
        self, call: _Call, response: urllib3_response.HTTPResponse
    ) -> bytes:
        limit_bytes = http_exchange.MAX_REPLY_BYTES
        return b''.join(self._read_chunks(call, response, limit_bytes))

    def _read_chunks(
        self,
        call: _Call,
        response: urllib3_response.HTTPResponse,
        limit_bytes: int,
    ) -> typing.Iterator[bytes]:
        """Yield a body as it arrives; raises CallFaultError if it is cut."""
        method = call.context.request.method
        framing = response_bodies.framing_of_response(response, method)
        is_framed = framing is not response_bodies.Framing.CONNECTION
        received_bytes = 0
        try:
            for chunk in http_exchange.read_chunks(
                call.connection, response, call.budget, limit_bytes
            ):
                received_bytes += len(chunk)
                yield chunk
        except faults.CallFaultError as error:
            is_cancelled = call.attempt.is_cancelled
            self._report_end(
                call, framing, received_bytes, str(error), is_cancelled
            )
            raise
        if not is_framed:
            self._check_end(call, received_bytes)

    def _check_end(self, call: _Call, received_bytes: int) -> None:
        """Raise CallFaultError unless the peer itself ended a body.

        A cancelled call is marked before its connection is interrupted. The
        kernel closes the connections of a process that ends, and resets them
        only if bytes were left unread.
        """
        is_cancelled = call.attempt.is_cancelled
        is_host = call.effect.target.is_host
        may_be_whole = not is_cancelled and not is_host
        is_confirmed = may_be_whole and self._confirms_end(call)
        self._report_end(
            call,
            response_bodies.Framing.CONNECTION,
            received_bytes,
            'closed',
            is_cancelled,
            is_confirmed,
        )
        if is_cancelled:
            raise _lost_fault('the call was cancelled during the body')
        if is_host:
            raise _lost_fault('the body from a host has no length or chunks')
        if not is_confirmed:
            raise _lost_fault('the target does not respond after the body')

    def _report_end(
        self,
        call: _Call,
        framing: response_bodies.Framing,
        received_bytes: int,
        end: str,
        is_cancelled: bool,
        is_confirmed: bool = False,
    ) -> None:
        self._post(
            messages.BodyEnded(
                call.context.request.attempt_id,
                call.effect.target.name,
                call.effect.call,
                framing.value,
                received_bytes,
                end,
                is_cancelled,
                is_confirmed,
            )
        )

    def _to_buffered(
        self, response: urllib3_response.HTTPResponse, body: bytes
    ) -> BufferedResponse:
        """Return a response that can be relayed.

        A status that tells the caller that the request was not run is
        replaced, because the target's headers did not confirm it.
        """
        if response.status in NOT_RUN_STATUSES:
            return BufferedResponse('502 Bad Gateway', [], b'')
        headers = self._wire.response_headers(response.headers.iteritems())
        return BufferedResponse(_status_line(response), headers, body)

    def _start_stream(
        self, caller: Caller, response: urllib3_response.HTTPResponse
    ) -> None:
        headers = self._wire.response_headers(response.headers.iteritems())
        try:
            caller.start_response(_status_line(response), headers, None)
        except OSError as error:
            raise CallerDisconnectedError() from error

    def _hold_start(self, call: _Call) -> None:
        hold_ms = call.effect.hold_ms
        call.context.may_start.wait(hold_ms / clocks.SECOND_MS)
        if call.attempt.is_cancelled:
            raise _lost_fault('the call was cancelled before its first event')

    def _await_confirmation(self, call: _Call) -> None:
        """Wait until the loop knows which process responds."""
        ids = (call.effect.request_id, call.effect.call)
        self._post(messages.ProcessUnknown(*ids))
        is_set = call.attempt.may_go_on.wait(
            processes.CONFIRM_TIMEOUT_MS / clocks.SECOND_MS
        )
        if call.attempt.is_cancelled or not is_set:
            raise _lost_fault('the process of the target is not confirmed')

    def _check_content_type(
        self,
        context: ForwardingContext,
        response: urllib3_response.HTTPResponse,
    ) -> None:
        """Raise CallFaultError if a response cannot continue a stream."""
        content_type = response.headers.get('Content-Type')
        if not context.caller.has_started:
            context.stream_content_type = content_type
        elif content_type != context.stream_content_type:
            raise faults.CallFaultError(
                http_exchange.FaultKind.ERROR,
                f'a stream does not go on as {content_type}',
            )

    def _relay_stream(
        self,
        call: _Call,
        response: urllib3_response.HTTPResponse,
        classification: ResponseClassification,
    ) -> tuple[typing.Any, bool]:
        caller, reader = call.context.caller, call.context.reader
        ids = (call.effect.request_id, call.effect.call)
        reported = (
            classification.load,
            classification.limit,
            classification.notice,
            call.started_ms,
            call.connection.opened_ms,
        )
        self._check_content_type(call.context, response)
        if not caller.has_started:
            reader.last_id = call.effect.last_event_id
        reader.restart()
        has_reported = False
        is_known = not processes.must_confirm(call.effect, call.started_ms)
        for chunk in self._read_chunks(
            call, response, http_exchange.MAX_STREAM_BYTES
        ):
            try:
                complete_events = reader.feed(chunk)
            except event_reader.EventError as error:
                raise faults.CallFaultError(
                    http_exchange.FaultKind.ERROR, str(error)
                ) from error
            if not complete_events:
                continue
            if not is_known:
                self._await_confirmation(call)
                is_known = True
            if not caller.has_started:
                if call.effect.hold_ms:
                    has_reported = True
                    self._post(messages.StreamStarted(*ids, *reported))
                    self._hold_start(call)
                self._start_stream(caller, response)
            _write(caller, complete_events)
            if not has_reported:
                has_reported = True
                self._post(messages.StreamStarted(*ids, *reported))
        if not reader.is_at_event_boundary:
            raise _lost_fault('the stream ended in the middle of an event')
        if not caller.has_started:
            self._start_stream(caller, response)
        message = messages.ResponseCompleted(
            *ids, response.status, *reported[:3]
        )
        return message, True


def relay(caller: Caller, response: BufferedResponse) -> None:
    """Relay a response that was read completely."""
    if caller.has_started:
        raise CallerDisconnectedError()
    try:
        caller.start_response(
            response.status, response.headers, len(response.body)
        )
        caller.write(response.body)
    except OSError as error:
        raise CallerDisconnectedError() from error


def _write(caller: Caller, chunk: bytes) -> None:
    try:
        caller.write(chunk)
    except OSError as error:
        raise CallerDisconnectedError() from error


def _status_line(response: urllib3_response.HTTPResponse) -> str:
    return f'{response.status} {response.reason or "Unknown"}'


def _fault_message(
    context: ForwardingContext,
    effect: effects.Forward,
    error: faults.CallFaultError,
    is_target_gone: bool,
) -> typing.Any:
    ids = (effect.request_id, effect.call)
    if not error.was_sent:
        return messages.CallNotSent(*ids, str(error), error.is_replaced)
    if effect.is_stream:
        return messages.StreamBroken(
            *ids,
            context.caller.has_started,
            str(error),
            is_target_gone,
            context.reader.can_go_on,
        )
    return messages.CallLost(*ids, str(error), is_target_gone)


def _not_sent_fault(
    detail: str, is_replaced: bool = False
) -> faults.CallFaultError:
    return faults.CallFaultError(
        http_exchange.FaultKind.CONNECT,
        detail,
        was_sent=False,
        is_replaced=is_replaced,
    )


def _lost_fault(detail: str) -> faults.CallFaultError:
    return faults.CallFaultError(
        http_exchange.FaultKind.LOST, detail, is_peer_closed=True
    )


def _attempt_key(request_id: str, call: int) -> str:
    return f'{request_id}:{call}'
