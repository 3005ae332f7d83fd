"""The threads of a listener that wait for bytes of clients."""

import threading
import typing

import attrs

from godwitglade.common import input_limits


class Waiter(typing.Protocol):
    """A connection whose thread waits."""

    def interrupt(self) -> None:
        """End the wait; another thread calls it."""


@attrs.define(eq=False)
class ClientWaits:
    """Keeps threads free for clients that send whole requests.

    When more than ``max_waits`` threads wait, the wait that began first ends.
    """

    max_waits: int
    report: input_limits.Report = input_limits.ignore
    _since_ms: dict[Waiter, int] = attrs.Factory(dict)
    _lock: threading.Lock = attrs.Factory(threading.Lock)

    def begin(self, waiter: Waiter, since_ms: int) -> None:
        """Note a wait, and end one if there are too many."""
        with self._lock:
            self._since_ms[waiter] = since_ms
            if len(self._since_ms) <= self.max_waits:
                return
            first = min(self._since_ms, key=self._since_ms.__getitem__)
            del self._since_ms[first]
            # The lock keeps the connection from being used for something else.
            first.interrupt()
        self.report('waiting_share', self.max_waits + 1)

    def end(self, waiter: Waiter) -> None:
        """Forget a wait."""
        with self._lock:
            self._since_ms.pop(waiter, None)
