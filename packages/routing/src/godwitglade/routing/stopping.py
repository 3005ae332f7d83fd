"""Planned stop: accept no new callers, finish open requests, then end.

The process ends as soon as it has nothing left to do, so that a rolling
restart leaves the fleet without it for as short a time as possible.
"""

import attrs

#: The listener stays open for this time, since callers may still arrive:
#: the load balancer needs two not-ready replies, one second apart, and new
#: connections may be on their way.
LISTENER_GRACE_MS = 2_300
#: Longest time that the listener takes to close.
CLOSE_MS = 500
#: Share of the longest stop after which open requests are answered; the rest
#: is for writing these answers.
ANSWER_SHARE = 0.94


@attrs.define(eq=False)
class Stopping:
    """State of a planned stop; ``limit_ms`` bounds its duration.

    A listener that is closing may still read requests that are already on
    their way, so the process does not end before the listener is closed.
    """

    limit_ms: int
    requested_ms: int | None = None
    is_closing: bool = False
    is_closed: bool = False

    @property
    def is_requested(self) -> bool:
        """Return whether a stop was requested."""
        return self.requested_ms is not None

    def should_close(self, now_ms: int) -> bool:
        """Return True, once, when the listener has to be closed.

        A request read later might not end before the process has to.
        """
        if self.requested_ms is None or self.is_closing:
            return False
        self.is_closing = now_ms - self.requested_ms >= LISTENER_GRACE_MS
        return self.is_closing

    def may_take(
        self, deadline_ms: int, expected_ms: float, now_ms: int
    ) -> bool:
        """Return whether a request that arrives now may be taken.

        ``expected_ms`` is the time that most such requests take at most. It
        does not count for requests that are read after the listener has
        closed: little time is left, and other hosts can serve them.
        """
        if self.requested_ms is None or deadline_ms <= self._answers_ms:
            return True
        is_late = now_ms - self.requested_ms > LISTENER_GRACE_MS + CLOSE_MS
        return not is_late and now_ms + expected_ms < self._answers_ms

    def should_answer(self, now_ms: int) -> bool:
        """Return whether all open requests have to be answered now."""
        return self.requested_ms is not None and now_ms >= self._answers_ms

    @property
    def _answers_ms(self) -> float:
        return self.requested_ms + ANSWER_SHARE * self.limit_ms

    def may_end(self, is_idle: bool, now_ms: int) -> bool:
        """Return whether the process may end now."""
        if self.requested_ms is None:
            return False
        is_over = now_ms - self.requested_ms >= self.limit_ms
        return is_over or (is_idle and self.is_closed)
