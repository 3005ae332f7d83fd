"""The loop that owns all state of a host and makes every decision.

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

#: Longest wait for a message before the timers are checked again.
MAX_WAIT_MS = 1_000


@attrs.frozen
class LoopCall:
    """A request to run ``function(host, now_ms)`` on the loop's thread."""

    function: typing.Callable[[typing.Any, int], typing.Any]
    future: concurrent.futures.Future


class Timers:
    """Timers ordered by due time, then by the order of starting."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, str]] = []
        self._sequence = itertools.count()

    def __len__(self) -> int:
        return len(self._heap)

    def start(self, token: str, due_ms: int) -> None:
        """Start a timer that fires ``token`` at ``due_ms``."""
        heapq.heappush(self._heap, (due_ms, next(self._sequence), token))

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
    """Passes messages and due timers to a host, one at a time.

    ``carry_out`` is called with each effect. ``report_fault`` is called with
    a message whose handling raised, or an effect whose carrying out raised,
    and the exception; only that message or effect is dropped.
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
        """Enqueue a message; safe to call from any thread."""
        self._inbox.put(message)

    def call(
        self,
        function: typing.Callable[[typing.Any, int], typing.Any],
        timeout_ms: int,
    ) -> typing.Any:
        """Run ``function`` on the loop's thread and return its result.

        Raises TimeoutError when the loop does not return it in time.
        """
        future: concurrent.futures.Future = concurrent.futures.Future()
        self._inbox.put(LoopCall(function, future))
        return future.result(timeout_ms / clocks.SECOND_MS)

    def stop(self) -> None:
        """Make `run` return after the current message."""
        self._is_running = False
        self._inbox.put(None)

    def run(self) -> None:
        """Start the host and handle messages until `stop`."""
        self._carry_out_all(self.host.start(self._clock.monotonic_ms()))
        while self._is_running:
            self.run_once()

    def run_once(self) -> None:
        """Wait for a message or timer; handle the message and due timers."""
        wait_ms = self.timers.wait_ms(self._clock.monotonic_ms())
        try:
            message = self._inbox.get(timeout=wait_ms / clocks.SECOND_MS)
        except queue.Empty:
            message = None
        if message is not None:
            self._handle(message)
        for token in self.timers.pop_due(self._clock.monotonic_ms()):
            self._handle(messages.TimerFired(token))

    def _handle(self, message: typing.Any) -> None:
        now_ms = self._clock.monotonic_ms()
        if isinstance(message, LoopCall):
            self._run_call(message, now_ms)
            return
        try:
            effects = self.host.handle(message, now_ms)
        except Exception as error:
            self._report_fault(message, error)
            return
        self._carry_out_all(effects)

    def _run_call(self, call: LoopCall, now_ms: int) -> None:
        try:
            call.future.set_result(call.function(self.host, now_ms))
        except Exception as error:
            call.future.set_exception(error)

    def _carry_out_all(self, effects: typing.Iterable[typing.Any]) -> None:
        for effect in effects:
            try:
                self._carry_out(effect)
            except Exception as error:
                self._report_fault(effect, error)


class Inbox:
    """Forwards messages to a loop that is created after its clients."""

    def __init__(self) -> None:
        self.loop: Loop | None = None

    def post(self, message: typing.Any) -> None:
        """Post a message to the loop."""
        self.loop.post(message)
