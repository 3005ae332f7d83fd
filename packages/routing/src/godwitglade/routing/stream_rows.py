"""When this host's row about streams is written, and what waits for it.

A stream that no row holds cannot go on after all hosts were restarted. So the
first event of a stream waits until its row is written, as long as the hosts
are few enough for writes at short intervals and the store answers.
"""

import typing

from godwitglade.common import clock as clocks
from godwitglade.coordination import effects as shared_effects
from godwitglade.routing import effects

Effects = list[typing.Any]

TIMER_TOKEN = 'streams:row'

#: Time for which a first event waits at most.
MAX_HOLD_MS = 250
#: Interval between the writes of a row: all hosts together make at most one
#: write in WRITE_SPACING_MS.
MIN_WRITE_INTERVAL_MS = 50
WRITE_SPACING_MS = 8
#: Interval between the writes of hosts that are too many to hold events.
SLOW_WRITE_SPACING_MS = 40
REPEAT_WRITE_MS = 10 * clocks.SECOND_MS


class StreamRow:
    """The row of this host; one write at a time is in progress.

    ``count_hosts`` returns the number of hosts that write rows.
    """

    def __init__(self, count_hosts: typing.Callable[[], int]) -> None:
        self._count_hosts = count_hosts
        self._row: effects.WriteStreams | None = None
        self._sent_ms = -REPEAT_WRITE_MS
        self._is_writing = False
        self._is_store_silent = False
        self._timer_ms: int | None = None
        self._waiting: dict[str, str] = {}

    @property
    def hold_ms(self) -> int:
        """Return how long first events wait for the row, 0 for not at all."""
        hold_ms = self._count_hosts() * WRITE_SPACING_MS
        is_possible = hold_ms <= MAX_HOLD_MS and not self._is_store_silent
        return MAX_HOLD_MS if is_possible else 0

    def hold(self, key: str, request_id: str) -> Effects:
        """Release the first event of a stream once the row holds it."""
        if self._row is not None and not self._is_writing:
            if key in self._row.streams:
                return [effects.ReleaseStream(request_id)]
        self._waiting[key] = request_id
        return []

    def update(self, row: effects.WriteStreams | None, now_ms: int) -> Effects:
        """Write a row that has changed, None to remove it."""
        if self._is_writing:
            return []
        since_ms = now_ms - self._sent_ms
        if row is None:
            released = self._release(tuple(self._waiting))
            if self._row is None:
                return released
            self._row, self._is_writing = None, True
            return [*released, effects.RemoveStreams()]
        if row == self._row and since_ms < REPEAT_WRITE_MS:
            return self._release(tuple(row.streams))
        interval_ms = self._interval_ms()
        if since_ms < interval_ms:
            return self._start_timer(self._sent_ms + interval_ms, now_ms)
        self._row, self._sent_ms = row, now_ms
        self._is_writing = True
        return [row]

    def written(self, is_written: bool) -> Effects:
        """Apply the result of the write in progress."""
        self._is_writing = False
        self._is_store_silent = not is_written
        if is_written:
            held = self._row.streams if self._row is not None else ()
            return self._release(tuple(held))
        self._row = None
        return self._release(tuple(self._waiting))

    def _interval_ms(self) -> int:
        spacing_ms = (
            WRITE_SPACING_MS if self.hold_ms else SLOW_WRITE_SPACING_MS
        )
        return max(MIN_WRITE_INTERVAL_MS, self._count_hosts() * spacing_ms)

    def _start_timer(self, due_ms: int, now_ms: int) -> Effects:
        if self._timer_ms is not None and self._timer_ms > now_ms:
            return []
        self._timer_ms = due_ms
        return [shared_effects.StartTimer(TIMER_TOKEN, due_ms)]

    def _release(self, keys: typing.Iterable[str]) -> Effects:
        return [
            effects.ReleaseStream(self._waiting.pop(key))
            for key in keys
            if key in self._waiting
        ]
