"""Pending replies to peers, shared by server threads and the loop."""

import itertools
import queue
import threading
import typing


class PendingReplies:
    """Delivers each `effects.ReplyPeer` to the thread that waits for it."""

    def __init__(self) -> None:
        self._numbers = itertools.count(1)
        self._queues: dict[str, queue.SimpleQueue] = {}
        self._lock = threading.Lock()

    def open(self) -> str:
        """Return a new reply token."""
        token = f'peer-reply:{next(self._numbers)}'
        with self._lock:
            self._queues[token] = queue.SimpleQueue()
        return token

    def deliver(self, token: str, body: typing.Any) -> bool:
        """Deliver the reply; return False if no thread waits for it."""
        reply_queue = self._queues.get(token)
        if reply_queue is None:
            return False
        reply_queue.put(body)
        return True

    def wait(self, token: str, timeout_ms: int) -> typing.Any:
        """Return the reply, or None after ``timeout_ms``."""
        try:
            return self._queues[token].get(timeout=timeout_ms / 1_000)
        except queue.Empty:
            return None
        finally:
            with self._lock:
                del self._queues[token]
