"""Threads of a listener, started only as requests need them.

A host is one of many and mostly serves few requests at once; a thread for
each that it might ever serve would cost memory on every host.
"""

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
        self._counting = threading.Lock()
        #: Connections that wait for a thread or have one.
        self._load = 0
        self._own = threading.local()
        self.get = self._take

    def put(self, obj: typing.Any) -> None:
        """Hand over a connection, starting a thread if all are taken."""
        with self._counting:
            self._load += 1
            if len(self._threads) < min(self._load, self.max):
                self._threads.append(self._spawn_worker())
        super().put(obj)

    def _take(self) -> typing.Any:
        """Return the next connection; the thread is done with its last."""
        if getattr(self._own, 'is_serving', False):
            with self._counting:
                self._load -= 1
        self._own.is_serving = True
        return self._queue.get()
