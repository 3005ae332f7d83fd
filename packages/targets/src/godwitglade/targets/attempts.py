"""The attempts in flight, so that each can be cancelled by itself."""

import collections
import contextlib
import threading
import typing

import attrs

from godwitglade.targets import connections

#: Cancelled attempts remembered until their call starts, if it ever does.
MAX_EARLY_CANCELS = 4_096


@attrs.define
class Attempt:
    """One call; ``connection`` is set while it may be closed from outside."""

    connection: connections.Connection | None = None
    is_cancelled: bool = False


@attrs.define
class Loan:
    """What becomes of a connection; a cancelled call must not use it."""

    is_cancelled: bool
    is_reusable: bool = False


class Attempts:
    """Maps attempt ids to their calls; safe to share between threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._running: dict[str, Attempt] = {}
        self._early: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._running)

    @contextlib.contextmanager
    def track(self, attempt_id: str) -> typing.Iterator[Attempt]:
        """Register a call for the time of the ``with`` block."""
        attempt = Attempt()
        with self._lock:
            attempt.is_cancelled = attempt_id in self._early
            self._early.pop(attempt_id, None)
            self._running[attempt_id] = attempt
        try:
            yield attempt
        finally:
            with self._lock:
                self._running.pop(attempt_id, None)

    @contextlib.contextmanager
    def lend(
        self,
        attempt: Attempt,
        pool: connections.Connections,
        connection: connections.Connection,
    ) -> typing.Iterator[Loan]:
        """Let a call have a connection for the time of the ``with`` block.

        The connection goes back to ``pool`` if the call says that it can be
        used again, and is closed otherwise.
        """
        loan = Loan(is_cancelled=not self._attach(attempt, connection))
        try:
            yield loan
        finally:
            self._detach(attempt)
            if loan.is_reusable and not attempt.is_cancelled:
                pool.give_back(connection)
            else:
                connection.close()

    def _attach(
        self, attempt: Attempt, connection: connections.Connection
    ) -> bool:
        """Name the call's connection; False when it was cancelled."""
        with self._lock:
            if attempt.is_cancelled:
                return False
            attempt.connection = connection
            return True

    def _detach(self, attempt: Attempt) -> None:
        """Keep the connection safe from a cancel that comes too late."""
        with self._lock:
            attempt.connection = None

    def cancel(self, attempt_id: str) -> bool:
        """Interrupt a call; False when it is not running.

        A call that has not started yet will end as soon as it does.
        """
        with self._lock:
            attempt = self._running.get(attempt_id)
            if attempt is None:
                self._remember(attempt_id)
                return False
            attempt.is_cancelled = True
            if attempt.connection is not None:
                attempt.connection.interrupt()
            return True

    def _remember(self, attempt_id: str) -> None:
        self._early[attempt_id] = None
        if len(self._early) > MAX_EARLY_CANCELS:
            self._early.popitem(last=False)
