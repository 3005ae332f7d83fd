"""Registry of running attempts, so that each can be cancelled on its own."""

import collections
import contextlib
import threading
import typing

import attrs

from godwitglade.targets import connections

#: Limit for the recorded cancellations of calls that are not running; those
#: of calls that have ended stay until newer ones replace them.
MAX_EARLY_CANCELS = 4_096


@attrs.define
class Attempt:
    """A call; ``connection`` is set while another thread may interrupt it.

    ``may_go_on`` is set when the process that responds is confirmed, or the
    call cancelled.
    """

    connection: connections.Connection | None = None
    is_cancelled: bool = False
    may_go_on: threading.Event = attrs.Factory(threading.Event)


@attrs.define
class ConnectionUse:
    """The use of a connection by a call.

    A cancelled call must not send anything. The call sets ``is_reusable``
    when other calls can use the connection after it.
    """

    is_cancelled: bool
    is_reusable: bool = False


class Attempts:
    """Maps attempt ids to running calls; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._running: dict[str, Attempt] = {}
        self._early_cancels: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._running)

    @contextlib.contextmanager
    def track(self, attempt_id: str) -> typing.Iterator[Attempt]:
        """Register a call for the duration of the ``with`` block."""
        attempt = Attempt()
        with self._lock:
            attempt.is_cancelled = attempt_id in self._early_cancels
            self._early_cancels.pop(attempt_id, None)
            self._running[attempt_id] = attempt
        try:
            yield attempt
        finally:
            with self._lock:
                self._running.pop(attempt_id, None)

    @contextlib.contextmanager
    def use_connection(
        self,
        attempt: Attempt,
        pool: connections.ConnectionPool,
        connection: connections.Connection,
    ) -> typing.Iterator[ConnectionUse]:
        """Assign a connection to a call for the ``with`` block.

        Afterwards the connection returns to ``pool`` if the call marked it
        as reusable and was not cancelled; otherwise it is closed.
        """
        use = ConnectionUse(is_cancelled=not self._attach(attempt, connection))
        try:
            yield use
        finally:
            self._detach(attempt)
            if use.is_reusable and not attempt.is_cancelled:
                pool.release(connection)
            else:
                connection.close()

    def _attach(
        self, attempt: Attempt, connection: connections.Connection
    ) -> bool:
        """Set the call's connection; return False if it was cancelled."""
        with self._lock:
            if attempt.is_cancelled:
                return False
            attempt.connection = connection
            return True

    def _detach(self, attempt: Attempt) -> None:
        """Clear the connection, so that a late cancel cannot interrupt it."""
        with self._lock:
            attempt.connection = None

    def cancel(self, attempt_id: str) -> bool:
        """Interrupt a call; return False if it is not running.

        A call that has not started yet ends as soon as it starts.
        """
        with self._lock:
            attempt = self._running.get(attempt_id)
            if attempt is None:
                self._record_early_cancel(attempt_id)
                return False
            attempt.is_cancelled = True
            attempt.may_go_on.set()
            if attempt.connection is not None:
                attempt.connection.interrupt()
            return True

    def confirm(self, attempt_id: str) -> None:
        """Let a call go on that waits for its process to be confirmed."""
        with self._lock:
            attempt = self._running.get(attempt_id)
        if attempt is not None:
            attempt.may_go_on.set()

    def _record_early_cancel(self, attempt_id: str) -> None:
        self._early_cancels[attempt_id] = None
        if len(self._early_cancels) > MAX_EARLY_CANCELS:
            self._early_cancels.popitem(last=False)
