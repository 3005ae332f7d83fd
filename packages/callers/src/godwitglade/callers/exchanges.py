"""Requests whose callers wait, between the server's threads and the loop."""

import itertools
import queue
import threading
import typing

import attrs

from godwitglade.decisions import effects

CallerEvent = effects.SendPiece | effects.AnswerCaller | effects.AnswerQuery


@attrs.define
class Exchange:
    """One waiting caller: the events that the loop sent for it."""

    identifier: str
    events: queue.SimpleQueue = attrs.Factory(queue.SimpleQueue)


class Exchanges:
    """Hands the loop's effects to the thread that waits for them.

    ``prefix`` makes identifiers unique over hosts and restarts.
    """

    def __init__(self, prefix: str) -> None:
        self._prefix = prefix
        self._numbers = itertools.count(1)
        self._waiting: dict[str, Exchange] = {}
        self._lock = threading.Lock()

    def __len__(self) -> int:
        return len(self._waiting)

    def open(self) -> Exchange:
        """Return a new exchange with an identifier of its own."""
        exchange = Exchange(f'{self._prefix}-{next(self._numbers)}')
        with self._lock:
            self._waiting[exchange.identifier] = exchange
        return exchange

    def close(self, exchange: Exchange) -> None:
        """Forget the exchange; later effects for it are dropped."""
        with self._lock:
            self._waiting.pop(exchange.identifier, None)

    def deliver(self, identifier: str, event: CallerEvent) -> bool:
        """Pass ``event`` on; False when nobody waits for it."""
        exchange = self._waiting.get(identifier)
        if exchange is None:
            return False
        exchange.events.put(event)
        return True

    def wait(
        self, exchange: Exchange, timeout_ms: int
    ) -> typing.Optional[CallerEvent]:
        """Return the next event, None when ``timeout_ms`` passed."""
        try:
            return exchange.events.get(timeout=timeout_ms / 1_000)
        except queue.Empty:
            return None

    def wait_all(
        self, exchange: Exchange, timeout_ms: int
    ) -> list[typing.Optional[CallerEvent]]:
        """Return the next event and those that are there behind it.

        The list holds just None when ``timeout_ms`` passed.
        """
        found = [self.wait(exchange, timeout_ms)]
        while not exchange.events.empty():
            found.append(exchange.events.get_nowait())
        return found
