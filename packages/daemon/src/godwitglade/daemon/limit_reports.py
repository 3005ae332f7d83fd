"""Counts and logs clients that exceed a bound."""

import threading
import typing

import attrs

from godwitglade.common import clock as clocks
from godwitglade.common import events

#: A crowd of clients must not fill the log.
LOG_INTERVAL_MS = 10 * clocks.SECOND_MS

Log = typing.Callable[[events.Event, dict[str, typing.Any]], None]
Count = typing.Callable[[str, int], None]


@attrs.define(eq=False)
class LimitReports:
    """Counts every excess, and logs one of each bound in an interval."""

    clock: clocks.Clock
    log: Log
    count: Count
    _logged_ms: dict[str, int] = attrs.Factory(dict)
    _unlogged: dict[str, int] = attrs.Factory(dict)
    _lock: threading.Lock = attrs.Factory(threading.Lock)

    def report(self, bound: str, amount: int) -> None:
        """Report that a client exceeds ``bound`` with ``amount``."""
        name = f'limits.{bound}'
        self.count(name, 1)
        now_ms = self.clock.monotonic_ms()
        with self._lock:
            logged_ms = self._logged_ms.get(bound)
            if logged_ms is not None and now_ms - logged_ms < LOG_INTERVAL_MS:
                self._unlogged[bound] = self._unlogged.get(bound, 0) + 1
                return
            self._logged_ms[bound] = now_ms
            since = self._unlogged.pop(bound, 0)
        fields = {'bound': bound, 'amount': amount, 'not_logged': since}
        self.log(events.Event.LIMIT_EXCEEDED, fields)
