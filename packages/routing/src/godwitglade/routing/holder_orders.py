"""The agreed order of the targets that hold a shared prompt part.

All hosts rank the targets by rendezvous hashing of the part, so they agree
without messages on its first, second and third holder. The first targets of
the order are kept, so that only the first request of a part, or the first one
after a target has joined or gone, takes time that grows with the pool.
"""

import collections
import heapq
import random

from godwitglade.routing import rendezvous
from godwitglade.routing import targets

#: Targets kept of each order. Some may be excluded when a request comes.
KEPT_TARGETS = 16
#: Orders kept, of those used last.
MAX_ORDERS = 2_048


class HolderOrders:
    """The first targets of each order, for a directory."""

    def __init__(self, directory: targets.Directory) -> None:
        self._directory = directory
        self._version = -1
        self._names: dict[tuple[str, str], list[str]] = {}
        self._orders: collections.OrderedDict[tuple, tuple[str, ...]] = (
            collections.OrderedDict()
        )

    def first(self, pool: str, zone: str, part: str) -> tuple[str, ...]:
        """Return the first targets of a part's order, in ``zone`` if any."""
        names = self._pool_names(pool, zone)
        key = (pool, zone, part)
        order = self._orders.get(key)
        if order is None:
            order = tuple(
                heapq.nlargest(KEPT_TARGETS, names, rendezvous.scorer(part))
            )
            self._orders[key] = order
        self._orders.move_to_end(key)
        if len(self._orders) > MAX_ORDERS:
            self._orders.popitem(last=False)
        return order

    def sample(
        self, pool: str, zone: str, rng: random.Random
    ) -> tuple[str, ...]:
        """Return some targets for a prompt that shares no part."""
        names = self._pool_names(pool, zone)
        return tuple(rng.sample(names, min(KEPT_TARGETS, len(names))))

    def size(self, pool: str, zone: str) -> int:
        """Return the number of targets among which orders are made."""
        return max(1, len(self._pool_names(pool, zone)))

    def _pool_names(self, pool: str, zone: str) -> list[str]:
        if self._version != self._directory.names_version:
            self._version = self._directory.names_version
            self._names.clear()
            self._orders.clear()
        key = (pool, zone)
        if key not in self._names:
            listed = self._directory.pool(pool)
            near = [t.name for t in listed if t.listed.zone == zone]
            self._names[key] = near or [t.name for t in listed]
        return self._names[key]
