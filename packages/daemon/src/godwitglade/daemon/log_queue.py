"""A stream for logs that never blocks its writers.

A thread writes the lines from a bounded queue. When the output is read too
slowly, lines are dropped, and their number is written once the queue has
capacity again.
"""

import queue
import threading
import typing

#: Queue capacity, about 1 MB.
MAX_LINES = 4_000
#: Longest wait of `LogQueue.close` for the queued lines.
FLUSH_TIMEOUT_S = 1.0

RenderDropped = typing.Callable[[int], str]


class LogQueue:
    """A replacement for a text stream; safe to share between threads.

    ``render_dropped`` renders the line that reports a number of dropped ones.
    """

    def __init__(
        self,
        stream: typing.TextIO,
        render_dropped: RenderDropped,
        max_lines: int = MAX_LINES,
    ) -> None:
        self._stream = stream
        self._render_dropped = render_dropped
        self._lines: queue.Queue[str] = queue.Queue(max_lines)
        self._lock = threading.Lock()
        self._dropped = 0
        thread = threading.Thread(target=self._write_lines, daemon=True)
        thread.start()

    def write(self, text: str) -> None:
        """Enqueue ``text``, or drop it when the queue is full."""
        try:
            self._lines.put_nowait(text)
        except queue.Full:
            with self._lock:
                self._dropped += 1

    def flush(self) -> None:
        """Do nothing: the writing thread flushes."""

    def close(self) -> None:
        """Wait up to FLUSH_TIMEOUT_S for the queued lines to be written."""
        with self._lines.all_tasks_done:
            self._lines.all_tasks_done.wait_for(
                lambda: not self._lines.unfinished_tasks, FLUSH_TIMEOUT_S
            )

    def _write_lines(self) -> None:
        while True:
            text = self._lines.get()
            try:
                self._stream.write(text + self._render_and_reset_dropped())
                if self._lines.empty():
                    self._stream.flush()
            except (OSError, ValueError):
                # The output is closed, so the error cannot be reported.
                with self._lock:
                    self._dropped += 1
            finally:
                self._lines.task_done()

    def _render_and_reset_dropped(self) -> str:
        with self._lock:
            dropped, self._dropped = self._dropped, 0
        return self._render_dropped(dropped) if dropped else ''
