"""Retry budget of the fleet, divided among its hosts.

When many targets fail or refuse, each host stays within its own share, so
that the fleet stays within the whole budget without any messages.
"""

import collections
import typing

import attrs

#: Part of its share that a host uses. The rest is a margin for hosts that
#: count a different number of members; it is also taken from the retries
#: that the host's own requests allow.
SAFETY_FACTOR = 0.8


@attrs.define(eq=False)
class RetryBudget:
    """Retries allowed in a sliding window, for one pool of targets.

    In any ``window_ms`` a host may make SAFETY_FACTOR times its share:
    ``ratio`` retries for each of its requests plus its part of
    ``allowance``.
    """

    ratio: float
    allowance: float
    window_ms: int
    _requests_ms: collections.deque = attrs.Factory(collections.deque)
    _retries_ms: collections.deque = attrs.Factory(collections.deque)

    def record_request(self, now_ms: int) -> None:
        """Count a caller's request for the pool."""
        self._requests_ms.append(now_ms)
        self._drop_expired(now_ms)

    def spend(self, host_count: int, now_ms: int) -> bool:
        """Use one retry; return False if this host's share is used up."""
        self._drop_expired(now_ms)
        earned = self.ratio * len(self._requests_ms)
        share = earned + self.allowance / max(1, host_count)
        if len(self._retries_ms) + 1 > SAFETY_FACTOR * share:
            return False
        self._retries_ms.append(now_ms)
        return True

    def _drop_expired(self, now_ms: int) -> None:
        for times_ms in (self._requests_ms, self._retries_ms):
            while times_ms and times_ms[0] <= now_ms - self.window_ms:
                times_ms.popleft()


@attrs.frozen
class Bounds:
    """Fleet-wide bounds on retries."""

    ratio: float = 0.2
    allowance: float = 50.0
    window_ms: int = 10_000


class Budgets:
    """Budgets by pool of targets, shared by ``count_hosts()`` hosts."""

    def __init__(
        self, bounds: Bounds, count_hosts: typing.Callable[[], int]
    ) -> None:
        self._bounds = bounds
        self._count_hosts = count_hosts
        self._budgets: dict[str, RetryBudget] = {}

    def record_request(self, pool: str, now_ms: int) -> None:
        """Count a caller's request for a pool."""
        self._of(pool).record_request(now_ms)

    def spend(self, pool: str, now_ms: int) -> bool:
        """Use one retry; return False if this host's share is used up."""
        return self._of(pool).spend(self._count_hosts(), now_ms)

    def set_bounds(self, bounds: Bounds) -> None:
        """Apply new bounds to all budgets."""
        self._bounds = bounds
        for budget in self._budgets.values():
            budget.ratio = bounds.ratio
            budget.allowance = bounds.allowance
            budget.window_ms = bounds.window_ms

    def _of(self, pool: str) -> RetryBudget:
        if pool not in self._budgets:
            bounds = self._bounds
            self._budgets[pool] = RetryBudget(
                bounds.ratio, bounds.allowance, bounds.window_ms
            )
        return self._budgets[pool]
