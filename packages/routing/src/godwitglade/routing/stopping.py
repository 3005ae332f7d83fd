"""A planned stop: take no new callers, end what is here, then go.

Answers rolling restarts: the process leaves early, so that the fleet is
short of it for as little time as possible.
"""

import attrs

#: Callers may still arrive until the balancer has seen two answers that say
#: not ready, one second apart, and new connections are on their way.
LINGER_MS = 2_300


@attrs.define(eq=False)
class Stopping:
    """When the process may end; ``limit_ms`` bounds the whole stop.

    A listener that was told to close still reads what crosses that, so the
    process stays until the listener is closed.
    """

    limit_ms: int
    asked_ms: int | None = None
    is_closing: bool = False
    is_closed: bool = False

    @property
    def is_asked(self) -> bool:
        """Tell whether the process is about to stop."""
        return self.asked_ms is not None

    def should_close(self, now_ms: int) -> bool:
        """Tell, once, that no more requests are to be read.

        A request read later might not end before the process must.
        """
        if self.asked_ms is None or self.is_closing:
            return False
        self.is_closing = now_ms - self.asked_ms >= LINGER_MS
        return self.is_closing

    def may_end(self, is_idle: bool, now_ms: int) -> bool:
        """Tell whether the process may end now."""
        if self.asked_ms is None:
            return False
        is_over = now_ms - self.asked_ms >= self.limit_ms
        return is_over or (is_idle and self.is_closed)
