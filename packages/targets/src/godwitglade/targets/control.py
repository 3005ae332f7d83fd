"""Requests to targets other than stage calls, each on a new connection."""

import typing

from godwitglade.common import clock as clocks
from godwitglade.common import errors
from godwitglade.decisions import effects
from godwitglade.decisions import messages
from godwitglade.decisions import targets
from godwitglade.targets import connections
from godwitglade.targets import faults
from godwitglade.targets import http_exchange
from godwitglade.targets import replies
from godwitglade.targets import request_bodies

CANCEL_TIMEOUT_MS = 500
CRASH_CHECK_TIMEOUT_MS = 250
#: Limits how long after its sending an order can still reach an engine.
ORDER_TIMEOUT_MS = 5_000
NOT_RUN_STATUS = 503
REFUSED_STATUS = 409


class ControlClient:
    """Blocking client for probes, cancellations, crash checks and orders."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock

    def read_load(
        self, target: targets.Target, timeout_ms: int
    ) -> targets.Load | None:
        """Return a target's load, or None if the reply has no valid load.

        Raises CallFaultError if the target does not reply.
        """
        reply = self._request(target, 'GET', '/v1/load', None, timeout_ms)
        return replies.parse_load(_object_or_empty(reply.content))

    def is_process_gone(self, target: targets.Target) -> bool:
        """Return whether the target's process has evidently exited.

        Only a refused, reset or closed connection counts: the network can
        also be the cause of a timeout.
        """
        try:
            self.read_load(target, CRASH_CHECK_TIMEOUT_MS)
        except faults.CallFaultError as error:
            return error.is_peer_closed
        return False

    def cancel(self, effect: effects.CancelCall) -> None:
        """Notify a target that an attempt is cancelled; best effort."""
        body = request_bodies.encode_cancel(effect.attempt_id)
        try:
            self._request(
                effect.target, 'POST', '/v1/cancel', body, CANCEL_TIMEOUT_MS
            )
        except faults.CallFaultError:
            # The target ends the attempt at its deadline anyway.
            return

    def order(self, effect: effects.OrderEngine) -> messages.OrderEnded:
        """Send an order before its send limit, or read the engine's state."""
        try:
            reply = self._send_order(effect)
        except faults.CallFaultError:
            return messages.OrderEnded(effect.token, is_refused=False)
        has_state = reply.status in (200, REFUSED_STATUS)
        return messages.OrderEnded(
            effect.token,
            is_refused=reply.status == REFUSED_STATUS,
            state=_object_or_empty(reply.content) if has_state else None,
        )

    def _send_order(self, effect: effects.OrderEngine) -> http_exchange.Reply:
        if effect.order is None:
            return self._request(
                effect.target, 'GET', '/v1/state', None, ORDER_TIMEOUT_MS
            )
        return self._request(
            effect.target,
            'POST',
            '/v1/orders',
            request_bodies.encode_order(effect),
            ORDER_TIMEOUT_MS,
            effect.send_until_ms,
        )

    def _request(
        self,
        target: targets.Target,
        method: str,
        path: str,
        body: bytes | None,
        timeout_ms: int,
        send_until_ms: int | None = None,
    ) -> http_exchange.Reply:
        budget = http_exchange.Budget(self._clock, timeout_ms, timeout_ms)
        pool = connections.ConnectionPool(target.address, self._clock)
        connection = http_exchange.connect(pool, True, timeout_ms)
        try:
            self._check_sendable(send_until_ms)
            http_exchange.send(connection, method, path, body, budget)
            response = http_exchange.receive(connection, budget)
            return http_exchange.read_reply(connection, response, budget)
        finally:
            connection.discard()

    def _check_sendable(self, send_until_ms: int | None) -> None:
        if send_until_ms is None:
            return
        if self._clock.monotonic_ms() > send_until_ms:
            raise faults.CallFaultError(
                messages.FaultKind.TIMEOUT,
                'the time to send the order has passed',
                was_sent=False,
            )


def not_run_fault(reply: http_exchange.Reply) -> faults.CallFaultError | None:
    """Return the fault if the reply states that the call was not run."""
    plain = _object_or_empty(reply.content)
    if reply.status != NOT_RUN_STATUS or plain.get('not_run') is not True:
        return None
    is_leaving = plain.get('reason') == 'leaving'
    fault_kinds = messages.FaultKind
    return faults.CallFaultError(
        fault_kinds.LEAVING if is_leaving else fault_kinds.BUSY,
        'the target did not run the call',
        was_sent=False,
        load=replies.parse_load(plain.get('load')),
    )


def _object_or_empty(content: bytes) -> dict[str, typing.Any]:
    try:
        return replies.parse_object(content)
    except errors.MalformedError:
        return {}
