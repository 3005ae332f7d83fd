"""The one loop that owns all state of a host and takes every decision.

Other threads only post messages and carry out effects, so that no state
needs a lock.
"""

import concurrent.futures
import heapq
import itertools
import queue
import typing

import attrs

from godwitglade.common import clock as clocks
from godwitglade.coordination import messages

#: Longest wait for a message before timers are looked at again.
MAX_WAIT_MS = 1_000


@attrs.frozen
class Ask:
    """Run ``function(host, now_ms)`` on the loop and give its result."""

    function: typing.Callable[[typing.Any, int], typing.Any]
    answer: concurrent.futures.Future


class Timers:
    """Timers by due time; equal times keep the order of starting."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, str]] = []
        self._order = itertools.count()

    def __len__(self) -> int:
        return len(self._heap)

    def start(self, token: str, due_ms: int) -> None:
        """Start a timer that fires ``token`` at ``due_ms``."""
        heapq.heappush(self._heap, (due_ms, next(self._order), token))

    def wait_ms(self, now_ms: int) -> int:
        """Return the time until the next timer, at most MAX_WAIT_MS."""
        if not self._heap:
            return MAX_WAIT_MS
        return min(MAX_WAIT_MS, max(0, self._heap[0][0] - now_ms))

    def pop_due(self, now_ms: int) -> list[str]:
        """Remove and return the tokens that are due."""
        due = []
        while self._heap and self._heap[0][0] <= now_ms:
            due.append(heapq.heappop(self._heap)[2])
        return due


class Loop:
    """Feeds messages and due timers to a host, one at a time.

    ``carry_out`` gets each effect; ``report_fault`` gets the exception of a
    decision that raised, whose message is then dropped.
    """

    def __init__(
        self,
        host: typing.Any,
        clock: clocks.Clock,
        carry_out: typing.Callable[[typing.Any], None],
        report_fault: typing.Callable[[typing.Any, Exception], None],
    ) -> None:
        self.host = host
        self._clock = clock
        self._carry_out = carry_out
        self._report_fault = report_fault
        self._inbox: queue.SimpleQueue = queue.SimpleQueue()
        self._is_running = True
        self.timers = Timers()

    def post(self, message: typing.Any) -> None:
        """Add a message; safe from any thread."""
        self._inbox.put(message)

    def ask(
        self,
        function: typing.Callable[[typing.Any, int], typing.Any],
        timeout_ms: int,
    ) -> typing.Any:
        """Run ``function`` on the loop's thread and return its result.

        Raises TimeoutError when the loop does not answer in time.
        """
        answer: concurrent.futures.Future = concurrent.futures.Future()
        self._inbox.put(Ask(function, answer))
        return answer.result(timeout_ms / clocks.SECOND_MS)

    def stop(self) -> None:
        """Make `run` return after the message at hand."""
        self._is_running = False
        self._inbox.put(None)

    def run(self) -> None:
        """Start the host and decide until `stop`."""
        self._perform(self.host.start(self._clock.monotonic_ms()))
        while self._is_running:
            self.run_once()

    def run_once(self) -> None:
        """Wait for one message or timer and handle what is there."""
        wait_ms = self.timers.wait_ms(self._clock.monotonic_ms())
        try:
            message = self._inbox.get(timeout=wait_ms / clocks.SECOND_MS)
        except queue.Empty:
            message = None
        if message is not None:
            self._take(message)
        for token in self.timers.pop_due(self._clock.monotonic_ms()):
            self._take(messages.TimerFired(token))

    def _take(self, message: typing.Any) -> None:
        now_ms = self._clock.monotonic_ms()
        if isinstance(message, Ask):
            self._answer(message, now_ms)
            return
        try:
            effects = self.host.handle(message, now_ms)
        except Exception as error:
            self._report_fault(message, error)
            return
        self._perform(effects)

    def _answer(self, ask: Ask, now_ms: int) -> None:
        try:
            ask.answer.set_result(ask.function(self.host, now_ms))
        except Exception as error:
            ask.answer.set_exception(error)

    def _perform(self, effects: typing.Iterable[typing.Any]) -> None:
        for effect in effects:
            self._carry_out(effect)
