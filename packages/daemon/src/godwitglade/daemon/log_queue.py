"""A stream for logs that never blocks its writers.

Lines wait in a bounded queue for a thread that writes them. When whoever
reads the output is slow, lines are dropped and counted, and the count is
written once there is room again.
"""

import queue
import threading
import typing

#: Lines that may wait, about 1 MB.
MAX_LINES = 4_000
#: How long a flush waits for the lines that are queued.
FLUSH_TIMEOUT_S = 1.0

Report = typing.Callable[[int], str]


class LogQueue:
    """Takes the place of a text stream; safe to share between threads.

    ``render_dropped`` renders the line that tells of dropped ones.
    """

    def __init__(
        self,
        stream: typing.TextIO,
        render_dropped: Report,
        max_lines: int = MAX_LINES,
    ) -> None:
        self._stream = stream
        self._render_dropped = render_dropped
        self._lines: queue.Queue[str] = queue.Queue(max_lines)
        self._lock = threading.Lock()
        self._dropped = 0
        thread = threading.Thread(target=self._run, daemon=True)
        thread.start()

    def write(self, text: str) -> None:
        """Queue ``text``, or drop it when the queue is full."""
        try:
            self._lines.put_nowait(text)
        except queue.Full:
            with self._lock:
                self._dropped += 1

    def flush(self) -> None:
        """Do nothing: the writing thread flushes."""

    def close(self) -> None:
        """Wait a little for what is queued to be written."""
        with self._lines.all_tasks_done:
            self._lines.all_tasks_done.wait_for(
                lambda: not self._lines.unfinished_tasks, FLUSH_TIMEOUT_S
            )

    def _run(self) -> None:
        while True:
            text = self._lines.get()
            try:
                self._stream.write(text + self._take_dropped())
                if self._lines.empty():
                    self._stream.flush()
            except (OSError, ValueError):
                # Nobody reads any more; there is nowhere to say so.
                with self._lock:
                    self._dropped += 1
            finally:
                self._lines.task_done()

    def _take_dropped(self) -> str:
        with self._lock:
            dropped, self._dropped = self._dropped, 0
        return self._render_dropped(dropped) if dropped else ''
