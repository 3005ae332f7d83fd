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
MAX_DOUBLINGS = 16
#: A larger number could not be told to other hosts.
MAX_VERSION = 2**53 - 1
#: Pause of a follower that leaves the reading to others; a request ends it.
IDLE_MS = 60 * clocks.SECOND_MS

Log = typing.Callable[..., None]


@attrs.define(auto_exc=True, str=False)
class HistoryGoneError(errors.CodedError):
    """The store no longer holds the requested history."""

    code = 'history_gone'
    template = 'the change history of {table} is no longer available'

    table: str


@attrs.define(auto_exc=True, str=False)
class UnavailableError(errors.CodedError):
    """The store did not answer, or refused the call."""

    code = 'store_unavailable'
    http_status = 503
    is_retryable = True
    template = '{path}: {reason}'

    path: str
    reason: str


@attrs.frozen
class Rows:
    """Rows of a table as of ``version``.

    ``outage_ms`` is the length of the outage that preceded this read. In
    each new ``era`` the store has gone back to an older state, and versions
    are given out again.
    """

    rows: list[dict[str, typing.Any]] = attrs.field(
        validator=attrs.validators.instance_of(list)
    )
    version: int = attrs.field(
        validator=[
            attrs.validators.instance_of(int),
            attrs.validators.ge(0),
            attrs.validators.le(MAX_VERSION),
        ]
    )
    outage_ms: int = 0
    era: int = 0

    def usable(self, log: Log) -> 'Rows':
        """Return these without rows that have no key; log the others."""
        rows = []
        for row in self.rows:
            if isinstance(row, dict) and isinstance(row.get('key'), str):
                rows.append(row)
            else:
                fields = {'reason': 'the row has no key'}
                log(events.Event.ROW_SKIPPED, fields)
        return attrs.evolve(self, rows=rows)


class Client(typing.Protocol):
    """Reads rows from a store; raises UnavailableError, CodedError."""

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
    correct what feeds missed. With ``confirm_ms`` a feed ends that long
    after the last confirmation of the table. After a time without following
    the first read comes after ``resume_ms``. Reads that the store refuses or
    does not answer are repeated at growing intervals, after ``max_retry_ms``
    at most.
    """

    wait_ms: int
    full_read_ms: int
    pause_ms: int = 0
    confirm_ms: int | None = None
    resume_ms: int = 0
    max_retry_ms: int = RETRY_MS

    def retry_ms(self, failures: int) -> int:
        """Return the pause after a number of failures in a row."""
        doublings = min(max(0, failures - 1), MAX_DOUBLINGS)
        return min(self.max_retry_ms, RETRY_MS << doublings)

    def feed_wait_ms(self, confirmed_ms: int, now_ms: int) -> int:
        """Return how long a feed that starts now waits for changes."""
        return self._shorten_ms(self.wait_ms, confirmed_ms, now_ms)

    def feed_pause_ms(self, confirmed_ms: int, now_ms: int) -> int:
        """Return the pause after a feed that ends now."""
        return self._shorten_ms(self.pause_ms, confirmed_ms, now_ms)

    def _shorten_ms(self, time_ms: int, confirmed_ms: int, now_ms: int) -> int:
        if self.confirm_ms is None:
            return time_ms
        left_ms = confirmed_ms + self.confirm_ms - now_ms
        return max(0, min(left_ms, time_ms))


def feed_confirms_ms(
    has_rows: bool, wait_ms: int, started_ms: int, response_ms: int
) -> int:
    """Return the time up to which a feed shows all changes of its table.

    The store returns no rows only at the end of the wait. When it returned
    rows is not known.
    """
    if has_rows or response_ms - started_ms < wait_ms:
        return started_ms
    return started_ms + wait_ms


def describe(error: Exception) -> str:
    """Return what is logged about a failed read."""
    is_expected = isinstance(error, errors.CodedError)
    return str(error) if is_expected else repr(error)


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
    whole table, and the time up to which they show all changes.
    ``reader_pace`` applies until `set_following` is called, and while other
    hosts rely on this one.
    """

    def __init__(
        self,
        client: Client,
        table: str,
        apply: typing.Callable[[Rows, bool, int], None],
        clock: clocks.Clock,
        log: Log,
        pace: Pace,
        reader_pace: Pace | None = None,
    ) -> None:
        self._client = client
        self._table = table
        self._apply = apply
        self._clock = clock
        self._log = log
        self._availability = Availability(log, table)
        self._paces = {False: pace, True: reader_pace or pace}
        self._pace = self._paces[True]
        self._confirmed_ms = 0
        self._resumes_at_ms = 0
        self._version: int | None = None
        self._era = 0
        self._full_read_started_ms: int | None = None
        self._last_response_ms = clock.monotonic_ms()
        self._wake_event = threading.Event()
        self._apply_lock = threading.Lock()
        self._is_following = True
        self._is_read_requested = True
        self._is_resumed = False
        self._failures = 0
        #: The follower that tries whether the store responds again.
        self.prober: Follower | None = None
        self.on_regained: typing.Callable[[], None] = lambda: None
        self.on_new_era: typing.Callable[[int], None] = lambda _era: None

    def set_following(
        self, is_following: bool, is_reader: bool = False
    ) -> None:
        """Follow the table, or read it only on request.

        The first read after a time without following is a full one.
        """
        if is_following and not self._is_following:
            self._is_resumed = True
            now_ms = self._clock.monotonic_ms()
            self._resumes_at_ms = now_ms + self._pace.resume_ms
        self._is_following = is_following
        self._pace = self._paces[is_reader]
        self._wake_event.set()

    def request_full_read(self) -> None:
        """Make the next read a full one, without waiting for its pause.

        It follows the call that is under way, if there is one.
        """
        self._is_read_requested = True
        self._wake_event.set()

    def expect_era(self, era: int) -> None:
        """Read the table again if it was read in another era."""
        if self._is_following and self._era not in (0, era):
            self.request_full_read()

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
        except Exception as error:
            self._availability.record_failure(describe(error))
            return
        if result.era != era:
            self.request_full_read()
            return
        try:
            with self._apply_lock:
                self._apply(result.usable(self._log), False, started_ms)
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
        if self._must_wait_for_prober():
            return self._pace.retry_ms(self._failures)
        left_ms = self._resumes_at_ms - self._clock.monotonic_ms()
        if left_ms > 0 and not self._is_read_requested:
            return left_ms
        is_requested = self._is_read_requested or self._is_resumed
        # Other threads may set them again from here on.
        self._is_read_requested = self._is_resumed = False
        pause_ms, is_applied = self._read(is_requested)
        if is_requested and not is_applied:
            self._is_read_requested = True
        return pause_ms

    @property
    def is_probing(self) -> bool:
        """Return whether this follower reads a store that does not respond."""
        return self._is_following and self._availability.is_lost

    def _must_wait_for_prober(self) -> bool:
        """Return whether another follower tries the store for this one."""
        return (
            self._availability.is_lost
            and self.prober is not None
            and self.prober.is_probing
        )

    def wake(self) -> None:
        """End the pause before the next read."""
        self._wake_event.set()

    def _read(self, is_requested: bool) -> tuple[int, bool]:
        """Read once; return the pause, and whether rows were applied."""
        started_ms = self._clock.monotonic_ms()
        pace = self._pace
        wait_ms = pace.feed_wait_ms(self._confirmed_ms, started_ms)
        is_full_read = (
            is_requested
            or self._version is None
            or self._is_full_read_due(started_ms)
        )
        try:
            if is_full_read:
                result = self._client.read(self._table)
                self._full_read_started_ms = started_ms
            else:
                result = self._client.feed(self._table, self._version, wait_ms)
        except HistoryGoneError:
            # A lagging store may return a version whose history it has
            # already dropped.
            self._version = None
            last_ms = self._full_read_started_ms
            is_repeated = last_ms is None or started_ms - last_ms < RETRY_MS
            return (RETRY_MS if is_repeated else 0), False
        except Exception as error:
            # An odd response, like a fault of the client, must not end the
            # thread.
            self._availability.record_failure(describe(error))
            self._version = None
            is_unavailable = isinstance(error, UnavailableError)
            self._failures = self._failures + 1 if is_unavailable else 0
            return pace.retry_ms(self._failures), False
        last_era, self._era = self._era, result.era
        is_new_era = last_era != self._era
        if is_new_era and last_era:
            self.on_new_era(self._era)
        if is_new_era and not is_full_read:
            # The feed may have left out changes between two equal versions.
            self._version = None
            return 0, False
        response_ms = self._clock.monotonic_ms()
        if self._availability.is_lost:
            outage_ms = response_ms - self._last_response_ms
            result = attrs.evolve(result, outage_ms=outage_ms)
        self._last_response_ms = response_ms
        was_lost = self._availability.is_lost
        self._availability.record_success()
        self._failures = 0
        if was_lost:
            self.on_regained()
        self._confirmed_ms = started_ms
        if not is_full_read:
            self._confirmed_ms = feed_confirms_ms(
                bool(result.rows), wait_ms, started_ms, response_ms
            )
        try:
            # A read beside this one starts from a version that is applied.
            with self._apply_lock:
                self._version = result.version
                usable = result.usable(self._log)
                self._apply(usable, is_full_read, self._confirmed_ms)
        except Exception as error:
            # Otherwise one odd row would end the thread, and all news.
            self._availability.record_failure(repr(error))
            self._version = None
            return RETRY_MS, False
        if is_full_read:
            return 0, True
        return pace.feed_pause_ms(self._confirmed_ms, response_ms), True

    def _is_full_read_due(self, now_ms: int) -> bool:
        return now_ms - self._full_read_started_ms >= self._pace.full_read_ms


def share_probes(
    prober: Follower, others: typing.Collection[Follower]
) -> None:
    """Let one follower try a store that has stopped to respond.

    Otherwise each table costs failing calls all through an outage.
    """

    def wake_others() -> None:
        for other in others:
            other.wake()

    prober.on_regained = wake_others
    for other in others:
        other.prober = prober


def share_eras(followers: typing.Collection[Follower]) -> None:
    """Make each follower tell the others when the store has gone back.

    A feed from a version that the store gives out again shows a new era only
    when its wait ends.
    """

    def tell(era: int) -> None:
        for other in followers:
            other.expect_era(era)

    for each in followers:
        each.on_new_era = tell
