"""Virtual time: events in order of their due time."""

import heapq
import itertools
import typing


class Schedule:
    """Runs functions at their due time, in milliseconds."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._heap: list = []
        self._numbers = itertools.count()

    def at(self, due_ms: float, run: typing.Callable, *args) -> None:
        """Run ``run(*args)`` at ``due_ms``."""
        entry = (due_ms, next(self._numbers), run, args)
        heapq.heappush(self._heap, entry)

    def after(self, delay_ms: float, run: typing.Callable, *args) -> None:
        """Run ``run(*args)`` after ``delay_ms``."""
        self.at(self.now_ms + delay_ms, run, *args)

    def run_until(self, end_ms: float) -> None:
        """Run every event due until ``end_ms``."""
        while self._heap and self._heap[0][0] <= end_ms:
            due_ms, _, run, args = heapq.heappop(self._heap)
            self.now_ms = max(self.now_ms, due_ms)
            run(*args)
        self.now_ms = end_ms
