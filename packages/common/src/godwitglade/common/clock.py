"""Clocks in milliseconds: the system's and a manual one for tests."""

import time

SECOND_MS = 1_000
MINUTE_MS = 60 * SECOND_MS
HOUR_MS = 60 * MINUTE_MS
DAY_MS = 24 * HOUR_MS

#: Elsewhere than on Linux the monotonic clock is the next best.
STEADY_CLOCK = getattr(time, 'CLOCK_BOOTTIME', time.CLOCK_MONOTONIC)


class Clock:
    """Reads the system's clocks.

    ``monotonic_ms`` never decreases and is the only time that decisions
    compare; it counts the time for which the machine was suspended.
    ``wall_ms`` is for timestamps in records that people read.
    """

    def monotonic_ms(self) -> int:
        """Return milliseconds since an arbitrary origin."""
        return time.clock_gettime_ns(STEADY_CLOCK) // 1_000_000

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return time.time_ns() // 1_000_000


class ManualClock(Clock):
    """A clock that moves only when advanced.

    >>> clock = ManualClock(start_ms=5)
    >>> clock.advance(10)
    >>> clock.monotonic_ms()
    15
    """

    def __init__(self, start_ms: int = 0) -> None:
        self.now_ms = start_ms

    def advance(self, by_ms: int) -> None:
        """Move the clock forward by ``by_ms`` milliseconds."""
        self.now_ms += by_ms

    def monotonic_ms(self) -> int:
        """Return the time that was set."""
        return self.now_ms

    def wall_ms(self) -> int:
        """Return the time that was set."""
        return self.now_ms
