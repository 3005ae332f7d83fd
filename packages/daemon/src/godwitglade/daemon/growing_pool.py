"""A thread pool of a listener that starts threads on demand.

Most hosts serve few requests at a time; starting the maximum number of
threads at once would cost memory on every host.
"""

import threading
import typing

from cheroot import server
from cheroot.workers import threadpool


class GrowingPool(threadpool.ThreadPool):
    """A thread pool that starts a thread when no idle one is available.

    The pool of cheroot grows only by an explicit call, and that call blocks.
    """

    def __init__(
        self, http_server: server.HTTPServer, max_threads: int
    ) -> None:
        super().__init__(http_server, min=1, max=max_threads)
        self._load_lock = threading.Lock()
        #: Connections that are queued or being served.
        self._load = 0
        self._thread_state = threading.local()
        self.get = self._next_connection

    def put(self, obj: typing.Any) -> None:
        """Enqueue a connection; start a thread if all threads are busy."""
        with self._load_lock:
            self._load += 1
            if len(self._threads) < min(self._load, self.max):
                self._threads.append(self._spawn_worker())
        super().put(obj)

    def _next_connection(self) -> typing.Any:
        """Return the next connection; the thread has finished its last one."""
        if getattr(self._thread_state, 'is_serving', False):
            with self._load_lock:
                self._load -= 1
        self._thread_state.is_serving = True
        return self._queue.get()
