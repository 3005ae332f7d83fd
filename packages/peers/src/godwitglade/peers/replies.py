"""Peer messages whose senders wait, between threads and the loop."""

import itertools
import queue
import threading
import typing


class Replies:
    """Hands each `effects.ReplyPeer` to the thread that waits for it."""

    def __init__(self) -> None:
        self._numbers = itertools.count(1)
        self._waiting: dict[str, queue.SimpleQueue] = {}
        self._lock = threading.Lock()

    def open(self) -> str:
        """Return a new reply token."""
        token = f'peer-reply:{next(self._numbers)}'
        with self._lock:
            self._waiting[token] = queue.SimpleQueue()
        return token

    def deliver(self, token: str, body: typing.Any) -> bool:
        """Pass the reply on; False when nobody waits for it any more."""
        waiting = self._waiting.get(token)
        if waiting is None:
            return False
        waiting.put(body)
        return True

    def wait(self, token: str, timeout_ms: int) -> typing.Any:
        """Return the reply, None when ``timeout_ms`` passed."""
        try:
            return self._waiting[token].get(timeout=timeout_ms / 1_000)
        except queue.Empty:
            return None
        finally:
            with self._lock:
                del self._waiting[token]
