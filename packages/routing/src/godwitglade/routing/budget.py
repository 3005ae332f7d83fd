"""The fleet's budget for repeats, divided among its hosts.

Answers the days on which targets fail or refuse in numbers: each host keeps
to its own share, so that the fleet keeps to the whole without talking.
"""

import collections
import typing

import attrs

#: Part of a host's share that is spent; the rest covers views that differ.
SAFETY = 0.8


@attrs.define(eq=False)
class RepeatBudget:
    """Repeats allowed in a sliding window, for one pool of targets.

    In any ``window_ms`` a host may repeat ``ratio`` times its own requests
    plus its part of ``allowance``.
    """

    ratio: float
    allowance: float
    window_ms: int
    _requests_ms: collections.deque = attrs.Factory(collections.deque)
    _repeats_ms: collections.deque = attrs.Factory(collections.deque)

    def note_request(self, now_ms: int) -> None:
        """Count a caller's request for the pool."""
        self._requests_ms.append(now_ms)
        self._forget(now_ms)

    def spend(self, host_count: int, now_ms: int) -> bool:
        """Take one repeat; False when this host's share is used up."""
        self._forget(now_ms)
        earned = self.ratio * len(self._requests_ms)
        share = earned + self.allowance / max(1, host_count)
        if len(self._repeats_ms) + 1 > SAFETY * share:
            return False
        self._repeats_ms.append(now_ms)
        return True

    def _forget(self, now_ms: int) -> None:
        for times_ms in (self._requests_ms, self._repeats_ms):
            while times_ms and times_ms[0] <= now_ms - self.window_ms:
                times_ms.popleft()


@attrs.frozen
class Bounds:
    """The fleet-wide bounds on repeats."""

    ratio: float = 0.2
    allowance: float = 50.0
    window_ms: int = 10_000


class Budgets:
    """A budget for each pool of targets; ``count_hosts`` share them."""

    def __init__(
        self, bounds: Bounds, count_hosts: typing.Callable[[], int]
    ) -> None:
        self._bounds = bounds
        self._count_hosts = count_hosts
        self._budgets: dict[str, RepeatBudget] = {}

    def note_request(self, pool: str, now_ms: int) -> None:
        """Count a caller's request for a pool."""
        self._of(pool).note_request(now_ms)

    def spend(self, pool: str, now_ms: int) -> bool:
        """Take one repeat; False when this host's share is used up."""
        return self._of(pool).spend(self._count_hosts(), now_ms)

    def rebound(self, bounds: Bounds) -> None:
        """Keep to other bounds from now on."""
        self._bounds = bounds
        for found in self._budgets.values():
            found.ratio = bounds.ratio
            found.allowance = bounds.allowance
            found.window_ms = bounds.window_ms

    def _of(self, pool: str) -> RepeatBudget:
        if pool not in self._budgets:
            bounds = self._bounds
            self._budgets[pool] = RepeatBudget(
                bounds.ratio, bounds.allowance, bounds.window_ms
            )
        return self._budgets[pool]
