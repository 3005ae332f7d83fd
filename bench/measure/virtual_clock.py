"""Virtual clock that runs callbacks in order of their due time."""

import heapq
import itertools
import typing


class VirtualClock:
    """Runs callbacks at their due time, in milliseconds."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._heap: list = []
        self._sequence = itertools.count()

    def call_at(self, due_ms: float, callback: typing.Callable, *args) -> None:
        """Schedule ``callback(*args)`` at ``due_ms``."""
        entry = (due_ms, next(self._sequence), callback, args)
        heapq.heappush(self._heap, entry)

    def call_after(
        self, delay_ms: float, callback: typing.Callable, *args
    ) -> None:
        """Schedule ``callback(*args)`` after ``delay_ms``."""
        self.call_at(self.now_ms + delay_ms, callback, *args)

    def run_until(self, end_ms: float) -> None:
        """Run every callback due until ``end_ms``."""
        while self._heap and self._heap[0][0] <= end_ms:
            due_ms, _, callback, args = heapq.heappop(self._heap)
            self.now_ms = max(self.now_ms, due_ms)
            callback(*args)
        self.now_ms = end_ms
