"""Follows a table of a store by its feed and by full reads.

Feeds wake this host within a round trip; a full read now and then corrects
what a feed missed, whether the store says so or not.
"""

import threading
import typing

import attrs

from godwitglade.common import clock as clocks
from godwitglade.common import errors
from godwitglade.common import events

#: Pause after a feed or read that failed, or whose history is gone again.
RETRY_MS = 250

Log = typing.Callable[..., None]


@attrs.define(auto_exc=True, str=False)
class HistoryGoneError(errors.CodedError):
    """The store no longer holds the history asked for."""

    code = 'history_gone'
    template = 'the history of {table} is gone'

    table: str


@attrs.frozen
class Rows:
    """Rows of a table, and the version as of which they are.

    ``outage_ms`` is how long the store did not answer before.
    """

    rows: list[dict[str, typing.Any]]
    version: int
    outage_ms: int = 0


class Client(typing.Protocol):
    """Reads rows; raises CodedError."""

    def read(self, table: str) -> Rows:
        """Return every row of a table."""

    def feed(self, table: str, after: int, wait_ms: int) -> Rows:
        """Return the rows that changed after a version.

        Waits for a change; none within ``wait_ms`` gives no rows.
        """


@attrs.frozen
class Pace:
    """How often a table is asked for.

    A feed waits ``wait_ms`` for news; between two feeds that bring some
    lie ``pause_ms``. What feeds miss, a full read corrects.
    """

    wait_ms: int
    full_read_ms: int
    pause_ms: int = 0


@attrs.define(eq=False)
class Contact:
    """Whether the store answers, logged when that changes."""

    log: Log
    table: str
    is_lost: bool = False

    def lost(self, reason: str) -> None:
        """Note a call that failed."""
        if not self.is_lost:
            self.is_lost = True
            fields = {'table': self.table, 'reason': reason}
            self.log(events.Event.STORE_LOST, fields)

    def regained(self) -> None:
        """Note a call that was answered."""
        if self.is_lost:
            self.is_lost = False
            self.log(events.Event.STORE_REGAINED, {'table': self.table})


class Follower:
    """Follows one table by its feed, and reads it whole now and then.

    ``take`` gets rows, the version, whether they are the whole table, and
    the time at which the read began.
    """

    def __init__(
        self,
        client: Client,
        table: str,
        take: typing.Callable[[Rows, bool, int], None],
        clock: clocks.Clock,
        log: Log,
        pace: Pace,
    ) -> None:
        self._client = client
        self._table = table
        self._take = take
        self._clock = clock
        self._contact = Contact(log, table)
        self._pace = pace
        self._version: int | None = None
        self._read_ms: int | None = None
        self._answered_ms = clock.monotonic_ms()
        self._woken = threading.Event()

    def read_now(self) -> None:
        """Have the next round read the whole table."""
        self._version = None
        self._woken.set()

    def run(self) -> None:
        """Follow for good, on a thread of its own."""
        while True:
            pause_ms = self.run_once()
            if self._woken.wait(pause_ms / clocks.SECOND_MS):
                self._woken.clear()

    def run_once(self) -> int:
        """Read once; return the pause before the next read."""
        started_ms = self._clock.monotonic_ms()
        is_whole = self._version is None or self._is_read_due(started_ms)
        try:
            if is_whole:
                found = self._client.read(self._table)
                self._read_ms = started_ms
            else:
                found = self._client.feed(
                    self._table, self._version, self._pace.wait_ms
                )
        except HistoryGoneError:
            # A store may lag behind the history that it dropped.
            self._version = None
            is_again = started_ms - self._read_ms < RETRY_MS
            return RETRY_MS if is_again else 0
        except (errors.CodedError, KeyError, TypeError) as error:
            self._contact.lost(str(error))
            self._version = None
            return RETRY_MS
        answered_ms = self._clock.monotonic_ms()
        if self._contact.is_lost:
            outage_ms = answered_ms - self._answered_ms
            found = attrs.evolve(found, outage_ms=outage_ms)
        self._answered_ms = answered_ms
        self._contact.regained()
        self._version = found.version
        self._take(found, is_whole, started_ms)
        return 0 if is_whole else self._pace.pause_ms

    def _is_read_due(self, now_ms: int) -> bool:
        return now_ms - self._read_ms >= self._pace.full_read_ms
