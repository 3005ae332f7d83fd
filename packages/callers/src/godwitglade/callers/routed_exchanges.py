"""Open routed requests, whose threads wait for effects of the loop."""

import itertools
import queue
import select
import threading
import typing

import attrs

from godwitglade.routing import effects
from godwitglade.routing import messages

RequestEffect = (
    effects.Forward
    | effects.ForwardHeldResponse
    | effects.Answer
    | effects.AbortResponse
)

#: Timeout of one wait for closed connections.
POLL_TIMEOUT_S = 5.0


@attrs.frozen
class Exchange:
    """A caller's request, from its last byte to its response.

    ``may_start`` is set once the first event of a stream need not wait.
    """

    request_id: str
    effect_queue: queue.SimpleQueue = attrs.Factory(queue.SimpleQueue)
    may_start: threading.Event = attrs.Factory(threading.Event)


class Exchanges:
    """The open exchanges; thread-safe."""

    def __init__(self) -> None:
        self._numbers = itertools.count(1)
        self._open_exchanges: dict[str, Exchange] = {}

    def open(self) -> Exchange:
        """Return a new exchange."""
        exchange = Exchange(f'r{next(self._numbers)}')
        self._open_exchanges[exchange.request_id] = exchange
        return exchange

    def close(self, exchange: Exchange) -> None:
        """Remove an exchange; later effects for it are dropped."""
        self._open_exchanges.pop(exchange.request_id, None)

    def deliver(self, request_id: str, effect: RequestEffect) -> None:
        """Deliver an effect to the thread that waits for it."""
        exchange = self._open_exchanges.get(request_id)
        if exchange is not None:
            exchange.effect_queue.put(effect)

    def release(self, request_id: str) -> None:
        """Let the first event of a stream that waits go to the caller."""
        exchange = self._open_exchanges.get(request_id)
        if exchange is not None:
            exchange.may_start.set()


class CallerDisconnectWatcher:
    """Notifies the loop of callers that close their connections."""

    def __init__(self, post: typing.Callable[[typing.Any], None]) -> None:
        self._post = post
        self._epoll = select.epoll()
        self._lock = threading.Lock()
        self._watched: dict[int, str] = {}

    def add(self, descriptor: int, request_id: str) -> None:
        """Watch the connection of a request."""
        with self._lock:
            self._watched[descriptor] = request_id
            self._epoll.register(descriptor, select.EPOLLRDHUP)

    def remove(self, descriptor: int) -> None:
        """Stop watching, before the connection is reused or closed."""
        with self._lock:
            if self._watched.pop(descriptor, None) is not None:
                self._epoll.unregister(descriptor)

    def run(self) -> None:
        """Watch connections forever; needs a thread of its own."""
        while True:
            self._epoll.poll(POLL_TIMEOUT_S)
            for request_id in self._pop_closed():
                self._post(messages.CallerDisconnected(request_id))

    def _pop_closed(self) -> list[str]:
        """Stop watching closed connections; return their requests.

        Polls again with the lock held: an event may be of a connection that
        has ended meanwhile and whose descriptor is that of another one now.
        """
        with self._lock:
            closed = [descriptor for descriptor, _ in self._epoll.poll(0)]
            for descriptor in closed:
                self._epoll.unregister(descriptor)
            return [self._watched.pop(descriptor) for descriptor in closed]
