"""Time in milliseconds: a wall clock and a clock set by hand."""

import time

SECOND_MS = 1_000
MINUTE_MS = 60 * SECOND_MS
HOUR_MS = 60 * MINUTE_MS
DAY_MS = 24 * HOUR_MS


class Clock:
    """Reads the time of this process.

    ``monotonic_ms`` never goes back and is the only time that decisions
    compare; ``wall_ms`` is for records that people read.
    """

    def monotonic_ms(self) -> int:
        """Return milliseconds since an arbitrary start."""
        return time.monotonic_ns() // 1_000_000

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return time.time_ns() // 1_000_000


class ManualClock(Clock):
    """A clock that moves only when told to.

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
        """Return the time set by hand."""
        return self.now_ms

    def wall_ms(self) -> int:
        """Return the time set by hand."""
        return self.now_ms
