"""Decides which connections a listener accepts and which idle ones it ends."""

import collections
import threading
import typing

import attrs


class Idle(typing.Protocol):
    """An open connection without a request in progress."""

    address: str
    has_served: bool
    last_used: float


@attrs.define(eq=False)
class ConnectionCounts:
    """Counts the open connections of a listener; thread-safe."""

    max_connections: int
    max_by_address: int
    total: int = 0
    _by_address: collections.Counter[str] = attrs.Factory(collections.Counter)
    _lock: threading.Lock = attrs.Factory(threading.Lock)

    @property
    def is_full(self) -> bool:
        """Return whether another connection is over the bound."""
        return self.total >= self.max_connections

    def add(self, address: str) -> str | None:
        """Count a new connection; return the bound that it exceeds."""
        with self._lock:
            self.total += 1
            self._by_address[address] += 1
            count = self._by_address[address]
            # A balancer may be the only address, and needs no reserve.
            if self.max_by_address < count < self.total:
                return 'address_share'
            if self.total > self.max_connections:
                return 'max_connections'
            return None

    def remove(self, address: str) -> None:
        """Forget a connection that was closed."""
        with self._lock:
            self.total -= 1
            self._by_address[address] -= 1
            if not self._by_address[address]:
                del self._by_address[address]


def choose_ended(
    bound: str, address: str, idle: typing.Iterable[Idle]
) -> Idle | None:
    """Return the idle connection that makes room for one of ``address``.

    One that has never sent a request comes first, then the one that has been
    idle longest. For the bound of an address it is one of the same address.
    """
    candidates = (
        connection
        for connection in idle
        if bound != 'address_share' or connection.address == address
    )
    return min(
        candidates,
        key=lambda connection: (connection.has_served, connection.last_used),
        default=None,
    )
