"""Open requests of callers, shared by server threads and the loop."""

import itertools
import queue
import threading
import typing

import attrs

from godwitglade.decisions import effects

CallerEvent = effects.SendPiece | effects.AnswerCaller | effects.AnswerQuery


@attrs.define
class Exchange:
    """The events that the loop has sent for one waiting caller."""

    identifier: str
    events: queue.SimpleQueue = attrs.Factory(queue.SimpleQueue)


class Exchanges:
    """Delivers the loop's effects to the threads that wait for them.

    ``prefix`` makes identifiers unique across hosts and restarts.
    """

    def __init__(self, prefix: str) -> None:
        self._prefix = prefix
        self._numbers = itertools.count(1)
        self._open_exchanges: dict[str, Exchange] = {}
        self._lock = threading.Lock()

    def __len__(self) -> int:
        return len(self._open_exchanges)

    def open(self) -> Exchange:
        """Return a new exchange with a unique identifier."""
        exchange = Exchange(f'{self._prefix}-{next(self._numbers)}')
        with self._lock:
            self._open_exchanges[exchange.identifier] = exchange
        return exchange

    def close(self, exchange: Exchange) -> None:
        """Remove the exchange; later effects for it are dropped."""
        with self._lock:
            self._open_exchanges.pop(exchange.identifier, None)

    def deliver(self, identifier: str, event: CallerEvent) -> bool:
        """Deliver ``event``; return False if the exchange is closed."""
        exchange = self._open_exchanges.get(identifier)
        if exchange is None:
            return False
        exchange.events.put(event)
        return True

    def wait(
        self, exchange: Exchange, timeout_ms: int
    ) -> typing.Optional[CallerEvent]:
        """Return the next event, or None after ``timeout_ms``."""
        try:
            return exchange.events.get(timeout=timeout_ms / 1_000)
        except queue.Empty:
            return None

    def wait_all(
        self, exchange: Exchange, timeout_ms: int
    ) -> list[typing.Optional[CallerEvent]]:
        """Wait for the next event; return it and all others in the queue.

        Returns ``[None]`` after ``timeout_ms``.
        """
        events = [self.wait(exchange, timeout_ms)]
        while not exchange.events.empty():
            events.append(exchange.events.get_nowait())
        return events
