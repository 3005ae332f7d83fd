"""Exchanges with targets beside stage calls, each on a new connection."""

import typing

from godwitglade.common import clock as clocks
from godwitglade.common import errors
from godwitglade.decisions import effects
from godwitglade.decisions import messages
from godwitglade.decisions import targets
from godwitglade.targets import connections
from godwitglade.targets import exchange
from godwitglade.targets import faults
from godwitglade.targets import replies
from godwitglade.targets import requests

CANCEL_TIMEOUT_MS = 500
CRASH_CHECK_TIMEOUT_MS = 250
#: Bounds how long an order can linger on its way to an engine.
ORDER_TIMEOUT_MS = 5_000
NOT_RUN_STATUS = 503
REFUSED_STATUS = 409


class Control:
    """Probes, cancels, crash checks and orders; blocks."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock

    def read_load(
        self, target: targets.Target, timeout_ms: int
    ) -> targets.Load | None:
        """Return a target's load, None when it gives none.

        Raises CallFaultError when it does not answer at all.
        """
        reply = self._ask(target, 'GET', '/v1/load', None, timeout_ms)
        return replies.parse_load(_plain(reply.content))

    def is_process_gone(self, target: targets.Target) -> bool:
        """Tell whether nothing answers for the target's process.

        Only a refused, reset or ended connection counts: silence may as
        well come from the network.
        """
        try:
            self.read_load(target, CRASH_CHECK_TIMEOUT_MS)
        except faults.CallFaultError as error:
            return error.is_peer_closed
        return False

    def cancel(self, effect: effects.CancelCall) -> None:
        """Tell a target that nobody awaits an attempt; best effort."""
        body = requests.encode_cancel(effect.attempt_id)
        try:
            self._ask(
                effect.target, 'POST', '/v1/cancel', body, CANCEL_TIMEOUT_MS
            )
        except faults.CallFaultError:
            # The target ends the attempt at its deadline at the latest.
            return

    def order(self, effect: effects.OrderEngine) -> messages.OrderAnswered:
        """Send an order while it may be sent, or read the state."""
        try:
            reply = self._send_order(effect)
        except faults.CallFaultError:
            return messages.OrderAnswered(effect.token, is_refused=False)
        is_whole = reply.status in (200, REFUSED_STATUS)
        return messages.OrderAnswered(
            effect.token,
            is_refused=reply.status == REFUSED_STATUS,
            state=_plain(reply.content) if is_whole else None,
        )

    def _send_order(self, effect: effects.OrderEngine) -> exchange.Reply:
        if effect.order is None:
            return self._ask(
                effect.target, 'GET', '/v1/state', None, ORDER_TIMEOUT_MS
            )
        return self._ask(
            effect.target,
            'POST',
            '/v1/orders',
            requests.encode_order(effect),
            ORDER_TIMEOUT_MS,
            effect.send_until_ms,
        )

    def _ask(
        self,
        target: targets.Target,
        method: str,
        path: str,
        body: bytes | None,
        timeout_ms: int,
        send_until_ms: int | None = None,
    ) -> exchange.Reply:
        budget = exchange.Budget(self._clock, timeout_ms, timeout_ms)
        pool = connections.Connections(target.address, self._clock)
        connection = exchange.connect(pool, True, timeout_ms)
        try:
            self._check_sendable(send_until_ms)
            exchange.send(connection, method, path, body, budget)
            response = exchange.receive(connection, budget)
            return exchange.read_reply(connection, response, budget)
        finally:
            connection.discard()

    def _check_sendable(self, send_until_ms: int | None) -> None:
        if send_until_ms is None:
            return
        if self._clock.monotonic_ms() > send_until_ms:
            raise faults.CallFaultError(
                messages.FaultKind.TIMEOUT,
                'the order may not be sent any more',
                was_sent=False,
            )


def not_run_fault(reply: exchange.Reply) -> faults.CallFaultError | None:
    """Return the fault of a reply that says that nothing was run."""
    plain = _plain(reply.content)
    if reply.status != NOT_RUN_STATUS or plain.get('not_run') is not True:
        return None
    is_leaving = plain.get('reason') == 'leaving'
    kinds = messages.FaultKind
    return faults.CallFaultError(
        kinds.LEAVING if is_leaving else kinds.BUSY,
        'the target did not run the call',
        was_sent=False,
        load=replies.parse_load(plain.get('load')),
    )


def _plain(content: bytes) -> dict[str, typing.Any]:
    try:
        return replies.parse_object(content)
    except errors.MalformedError:
        return {}
