"""Threads of a listener, started only as requests need them.

A host is one of many and mostly serves few requests at once; a thread for
each that it might ever serve would cost memory on every host.
"""

import queue
import threading
import typing

from cheroot import server
from cheroot.workers import threadpool


class GrowingPool(threadpool.ThreadPool):
    """A thread pool that starts a thread when a request finds none idle.

    The server's own pool grows only when told to, and the telling blocks.
    """

    def __init__(self, made: server.HTTPServer, max_threads: int) -> None:
        super().__init__(made, min=1, max=max_threads)
        # Threads that wait for a connection and have not been promised one.
        self._waiting = threading.Semaphore(0)
        self._growing = threading.Lock()
        self.get = self._take

    def put(self, obj: typing.Any) -> None:
        """Hand over a connection, starting a thread if all are busy."""
        super().put(obj)
        if self._waiting.acquire(blocking=False):
            return
        with self._growing:
            if len(self._threads) < self.max:
                self._threads.append(self._spawn_worker())

    def _take(self) -> typing.Any:
        try:
            return self._queue.get_nowait()
        except queue.Empty:
            self._waiting.release()
            return self._queue.get()
