"""Follows a table of a store through its change feed and full reads.

A feed delivers changes within a round trip and the pause of its `Pace`.
Periodic full reads correct what a feed missed, whether or not the store
reports a gap.
"""

import threading
import typing

import attrs

from godwitglade.common import clock as clocks
from godwitglade.common import errors
from godwitglade.common import events

#: Pause after a failed read, and after a HistoryGoneError that comes within
#: this time of the start of the last full read.
RETRY_MS = 250
#: Pause of a follower that leaves the reading to others; a request ends it.
IDLE_MS = 60 * clocks.SECOND_MS

Log = typing.Callable[..., None]


@attrs.define(auto_exc=True, str=False)
class HistoryGoneError(errors.CodedError):
    """The store no longer holds the requested history."""

    code = 'history_gone'
    template = 'the change history of {table} is no longer available'

    table: str


@attrs.frozen
class Rows:
    """Rows of a table as of ``version``.

    ``outage_ms`` is the length of the outage that preceded this read. In
    each new ``era`` the store has gone back to an older state, and versions
    are given out again.
    """

    rows: list[dict[str, typing.Any]]
    version: int
    outage_ms: int = 0
    era: int = 0


class Client(typing.Protocol):
    """Reads rows from a store; raises CodedError."""

    def read(self, table: str) -> Rows:
        """Return all rows of a table."""

    def feed(self, table: str, after: int, wait_ms: int) -> Rows:
        """Return the rows that changed after version ``after``.

        Waits up to ``wait_ms`` for a change; returns no rows without one.
        """


@attrs.frozen
class Pace:
    """How often a table is read.

    A feed waits up to ``wait_ms`` for changes, and the next one follows
    after ``pause_ms``. Every ``full_read_ms`` the whole table is read, to
    correct what feeds missed.
    """

    wait_ms: int
    full_read_ms: int
    pause_ms: int = 0


@attrs.define(eq=False)
class Availability:
    """Whether the store responds; logs every change of that."""

    log: Log
    table: str
    is_lost: bool = False

    def record_failure(self, reason: str) -> None:
        """Record a failed call."""
        if not self.is_lost:
            self.is_lost = True
            fields = {'table': self.table, 'reason': reason}
            self.log(events.Event.STORE_LOST, fields)

    def record_success(self) -> None:
        """Record a successful call."""
        if self.is_lost:
            self.is_lost = False
            self.log(events.Event.STORE_REGAINED, {'table': self.table})


class Follower:
    """Polls the feed of one table and periodically reads it in full.

    ``apply`` receives the rows with their version, whether they are the
    whole table, and the time at which the read started.
    """

    def __init__(
        self,
        client: Client,
        table: str,
        apply: typing.Callable[[Rows, bool, int], None],
        clock: clocks.Clock,
        log: Log,
        pace: Pace,
    ) -> None:
        self._client = client
        self._table = table
        self._apply = apply
        self._clock = clock
        self._availability = Availability(log, table)
        self._pace = pace
        self._version: int | None = None
        self._era = 0
        self._full_read_started_ms: int | None = None
        self._last_response_ms = clock.monotonic_ms()
        self._wake_event = threading.Event()
        self._apply_lock = threading.Lock()
        self._is_following = True
        self._is_read_requested = True

    def set_following(self, is_following: bool) -> None:
        """Follow the table, or read it only on request.

        The first read after a time without following is a full one.
        """
        if is_following and not self._is_following:
            self._version = None
        self._is_following = is_following
        self._wake_event.set()

    def request_full_read(self) -> None:
        """Make the next read a full one, without waiting for its pause."""
        self._version = None
        self._is_read_requested = True
        self._wake_event.set()

    def confirm(self) -> None:
        """Read at once what has changed, beside the feed that waits.

        May run on any thread. Nothing is applied if the store does not
        answer or has gone back.
        """
        started_ms = self._clock.monotonic_ms()
        with self._apply_lock:
            version, era = self._version, self._era
        if version is None:
            self.request_full_read()
            return
        try:
            result = self._client.feed(self._table, version, 0)
        except HistoryGoneError:
            self.request_full_read()
            return
        except (errors.CodedError, KeyError, TypeError):
            return
        if result.era != era:
            self.request_full_read()
            return
        try:
            with self._apply_lock:
                self._apply(result, False, started_ms)
        except Exception as error:
            self._availability.record_failure(repr(error))

    def run(self) -> None:
        """Poll forever; meant to run on a dedicated thread."""
        while True:
            pause_ms = self.run_once()
            if self._wake_event.wait(pause_ms / clocks.SECOND_MS):
                self._wake_event.clear()

    def run_once(self) -> int:
        """Read once and return the pause before the next read, in ms."""
        if not self._is_following and not self._is_read_requested:
            return IDLE_MS
        started_ms = self._clock.monotonic_ms()
        is_full_read = self._version is None or self._is_full_read_due(
            started_ms
        )
        try:
            if is_full_read:
                result = self._client.read(self._table)
                self._full_read_started_ms = started_ms
            else:
                result = self._client.feed(
                    self._table, self._version, self._pace.wait_ms
                )
        except HistoryGoneError:
            # A lagging store may return a version whose history it has
            # already dropped.
            self._version = None
            last_ms = self._full_read_started_ms
            is_repeated = last_ms is None or started_ms - last_ms < RETRY_MS
            return RETRY_MS if is_repeated else 0
        except (errors.CodedError, KeyError, TypeError) as error:
            self._availability.record_failure(str(error))
            self._version = None
            return RETRY_MS
        is_new_era, self._era = result.era != self._era, result.era
        if is_new_era and not is_full_read:
            # The feed may have left out changes between two equal versions.
            self._version = None
            return 0
        response_ms = self._clock.monotonic_ms()
        if self._availability.is_lost:
            outage_ms = response_ms - self._last_response_ms
            result = attrs.evolve(result, outage_ms=outage_ms)
        self._last_response_ms = response_ms
        self._availability.record_success()
        try:
            # A read beside this one starts from a version that is applied.
            with self._apply_lock:
                self._version = result.version
                self._apply(result, is_full_read, started_ms)
        except Exception as error:
            # Otherwise one odd row would end the thread, and all news.
            self._availability.record_failure(repr(error))
            self._version = None
            return RETRY_MS
        if is_full_read:
            self._is_read_requested = False
            return 0
        return self._pace.pause_ms

    def _is_full_read_due(self, now_ms: int) -> bool:
        return now_ms - self._full_read_started_ms >= self._pace.full_read_ms
