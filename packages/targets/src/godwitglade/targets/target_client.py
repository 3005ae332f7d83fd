"""The blocking client that carries out all effects on targets."""

import typing

from urllib3 import response as urllib3_response

from godwitglade.common import clock as clocks
from godwitglade.common import errors
from godwitglade.decisions import effects
from godwitglade.decisions import messages
from godwitglade.decisions import targets
from godwitglade.targets import attempts
from godwitglade.targets import connections
from godwitglade.targets import control
from godwitglade.targets import faults
from godwitglade.targets import http_exchange
from godwitglade.targets import replies
from godwitglade.targets import request_bodies

EVENT_STREAM = 'text/event-stream'
FaultKind = messages.FaultKind
Post = typing.Callable[[typing.Any], None]


class TargetClient:
    """Calls targets over pooled connections; thread-safe."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._attempts = attempts.Attempts()
        self._control = control.ControlClient(clock)
        self._pools: dict[str, connections.ConnectionPool] = {}

    def call(self, effect: effects.CallTarget, post: Post) -> None:
        """Run an attempt; ``post`` receives its messages as they arrive.

        The last one is a StageReplied, a StreamEnded or a StageFault. A
        cancelled attempt posts no further messages.
        """
        with self._attempts.track(effect.attempt_id) as attempt:
            try:
                self._run(effect, attempt, post)
            except faults.CallFaultError as error:
                if not attempt.is_cancelled:
                    post(self._fault_message(effect, error))

    def cancel(self, effect: effects.CancelCall) -> None:
        """Interrupt an attempt and notify the target."""
        self._attempts.cancel(effect.attempt_id)
        self._control.cancel(effect)

    def probe(self, effect: effects.ProbeTarget, post: Post) -> None:
        """Request a target's load over a new connection."""
        name = effect.target.name
        try:
            load = self._control.read_load(effect.target, effect.timeout_ms)
        except faults.CallFaultError:
            post(messages.ProbeEnded(name, is_alive=False))
            return
        post(messages.ProbeEnded(name, is_alive=True))
        if load is not None:
            post(messages.LoadReported(name, load))

    def drop_connections(self, effect: effects.DropConnections) -> None:
        """Close all connections to a target that are open now."""
        self._pool(effect.target).drop_opened_until_now()

    def order(self, effect: effects.OrderEngine) -> messages.OrderEnded:
        """Send an order to an engine or read its state."""
        return self._control.order(effect)

    def close_unlisted(self, addresses: typing.Collection[str]) -> None:
        """Close the connections to targets that are no longer listed."""
        unlisted = [a for a in list(self._pools) if a not in addresses]
        for address in unlisted:
            self._pools.pop(address).drop_opened_until_now()

    def _pool(self, target: targets.Target) -> connections.ConnectionPool:
        pool = self._pools.get(target.address)
        if pool is None:
            new_pool = connections.ConnectionPool(target.address, self._clock)
            pool = self._pools.setdefault(target.address, new_pool)
        return pool

    def _run(
        self,
        effect: effects.CallTarget,
        attempt: attempts.Attempt,
        post: Post,
    ) -> None:
        if attempt.is_cancelled:
            return
        budget = http_exchange.Budget(
            self._clock, effect.timeout_ms, effect.first_byte_ms
        )
        pool = self._pool(effect.target)
        connection = http_exchange.connect(
            pool, effect.needs_fresh_connection, effect.timeout_ms
        )
        with self._attempts.use_connection(attempt, pool, connection) as use:
            if not use.is_cancelled:
                use.is_reusable = _call_target(
                    effect, connection, budget, post
                )

    def _fault_message(
        self, effect: effects.CallTarget, error: faults.CallFaultError
    ) -> messages.StageFault:
        may_be_crash = error.kind is FaultKind.LOST and error.is_peer_closed
        is_crash = may_be_crash and self._control.is_process_gone(
            effect.target
        )
        return _to_message(effect, error, is_crash)


def _call_target(
    effect: effects.CallTarget,
    connection: connections.Connection,
    budget: http_exchange.Budget,
    post: Post,
) -> bool:
    """Make a call; return whether the connection can be reused."""
    body = request_bodies.encode_call(effect)
    http_exchange.send(connection, 'POST', effect.path, body, budget)
    response = http_exchange.receive(connection, budget)
    is_stream = EVENT_STREAM in response.headers.get('Content-Type', '')
    if response.status == 200 and is_stream:
        _relay_stream(effect, connection, response, budget, post)
    else:
        _relay_reply(effect, connection, response, budget, post)
    return _is_reusable(response)


def _relay_reply(
    effect: effects.CallTarget,
    connection: connections.Connection,
    response: urllib3_response.HTTPResponse,
    budget: http_exchange.Budget,
    post: Post,
) -> None:
    reply = http_exchange.read_reply(connection, response, budget)
    if reply.status != 200:
        raise control.not_run_fault(reply) or _status_fault(reply)
    message = _parse(replies.parse_reply, reply.content)
    # Posted first: the loop logs and drops a reply whose ids do not match.
    post(message)
    _check_ids(effect, message)


def _relay_stream(
    effect: effects.CallTarget,
    connection: connections.Connection,
    response: urllib3_response.HTTPResponse,
    budget: http_exchange.Budget,
    post: Post,
) -> None:
    chunks = http_exchange.read_chunks(
        connection, response, budget, http_exchange.MAX_STREAM_BYTES
    )
    events = replies.split_events(chunks)
    while (event := _parse(next, events, None)) is not None:
        message = _parse(replies.parse_frame, event)
        post(message)
        _check_ids(effect, message)
        if isinstance(message, messages.StreamEnded):
            # Read the end of the chunked body, so that the connection can
            # be reused.
            _parse(next, events, None)
            return
    raise faults.CallFaultError(
        FaultKind.LOST,
        'the stream ended without its final frame',
        is_peer_closed=True,
    )


def _parse(
    function: typing.Callable[..., typing.Any], *args: typing.Any
) -> typing.Any:
    try:
        return function(*args)
    except errors.MalformedError as error:
        raise faults.CallFaultError(FaultKind.ERROR, str(error)) from error


def _check_ids(
    effect: effects.CallTarget,
    message: messages.StageReplied | replies.StreamMessage,
) -> None:
    expected_ids = (effect.request_id, effect.stage, effect.attempt_id)
    if expected_ids != (message.request_id, message.stage, message.attempt_id):
        raise faults.CallFaultError(
            FaultKind.ERROR, 'the reply belongs to another attempt'
        )


def _status_fault(reply: http_exchange.Reply) -> faults.CallFaultError:
    is_rejected = 400 <= reply.status < 500
    kind = FaultKind.REJECTED if is_rejected else FaultKind.ERROR
    return faults.CallFaultError(kind, f'status {reply.status}')


def _is_reusable(response: urllib3_response.HTTPResponse) -> bool:
    is_closing = response.headers.get('Connection', '').lower() == 'close'
    return not is_closing and response.closed


def _to_message(
    effect: effects.CallTarget, error: faults.CallFaultError, is_crash: bool
) -> messages.StageFault:
    """Return the message that reports ``error`` for the call."""
    return messages.StageFault(
        request_id=effect.request_id,
        stage=effect.stage,
        attempt_id=effect.attempt_id,
        kind=error.kind,
        was_sent=error.was_sent,
        is_crash=is_crash,
        detail=error.detail,
        load=error.load,
    )
