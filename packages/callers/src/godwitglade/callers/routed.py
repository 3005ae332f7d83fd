"""Routed requests, whose threads wait for the loop's orders."""

import itertools
import queue
import select
import threading
import typing

import attrs

from godwitglade.routing import effects
from godwitglade.routing import messages

Order = effects.Forward | effects.RelayHeld | effects.Answer | effects.Abort

#: How long the watcher waits before it looks whether it should end.
WATCH_WAIT_S = 5.0


@attrs.frozen
class Exchange:
    """One request of a caller, from its last byte to its answer."""

    request_id: str
    orders: queue.SimpleQueue = attrs.Factory(queue.SimpleQueue)


class Exchanges:
    """The exchanges under way; safe to share between threads."""

    def __init__(self) -> None:
        self._numbers = itertools.count(1)
        self._running: dict[str, Exchange] = {}

    def open(self) -> Exchange:
        """Return a new exchange."""
        exchange = Exchange(f'r{next(self._numbers)}')
        self._running[exchange.request_id] = exchange
        return exchange

    def close(self, exchange: Exchange) -> None:
        """Forget an exchange; orders that come late are dropped."""
        self._running.pop(exchange.request_id, None)

    def deliver(self, request_id: str, order: Order) -> None:
        """Hand an order to the thread that waits for it."""
        exchange = self._running.get(request_id)
        if exchange is not None:
            exchange.orders.put(order)


class CallerWatch:
    """Tells the loop about callers that close their connections."""

    def __init__(self, post: typing.Callable[[typing.Any], None]) -> None:
        self._post = post
        self._epoll = select.epoll()
        self._lock = threading.Lock()
        self._watched: dict[int, str] = {}

    def add(self, descriptor: int, request_id: str) -> None:
        """Watch the connection of a request."""
        events = select.EPOLLRDHUP | select.EPOLLONESHOT
        with self._lock:
            self._watched[descriptor] = request_id
            self._epoll.register(descriptor, events)

    def remove(self, descriptor: int) -> None:
        """Stop watching, before the connection is used again or closed."""
        with self._lock:
            if self._watched.pop(descriptor, None) is not None:
                self._epoll.unregister(descriptor)

    def run(self) -> None:
        """Watch for good, on a thread of its own."""
        while True:
            for descriptor, _ in self._epoll.poll(WATCH_WAIT_S):
                with self._lock:
                    request_id = self._watched.get(descriptor)
                if request_id is not None:
                    self._post(messages.CallerLeft(request_id))
