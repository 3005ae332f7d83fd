"""Circuit breaker for calls to a platform service."""

import enum
import random as random_module
import threading

import attrs

from godwitglade.common import clock as clock_module
from godwitglade.common import errors


class BreakerState(enum.Enum):
    """Whether calls are allowed."""

    CLOSED = 'closed'
    OPEN = 'open'
    HALF_OPEN = 'half_open'


@attrs.frozen
class BreakerSettings:
    """When a breaker opens and how long it stays open.

    It opens after ``failures_to_open`` consecutive failures. The first open
    period lasts about ``open_ms``; each failed trial doubles it, up to
    ``max_open_ms`` before jitter. Jitter then changes each period by up to
    50 %, so one may last 1.5 times ``max_open_ms``.
    """

    failures_to_open: int = 5
    open_ms: int = 500
    max_open_ms: int = 10_000


@attrs.define(auto_exc=True, str=False)
class BreakerOpenError(errors.CodedError):
    """The circuit breaker is open; no request was sent."""

    code = 'breaker_open'
    http_status = 503
    is_retryable = True
    template = (
        'request not sent: the circuit breaker is open; retry after '
        '{retry_after_ms} ms'
    )

    retry_after_ms: int


class Breaker:
    """Counts consecutive failures; thread-safe."""

    def __init__(
        self,
        clock: clock_module.Clock,
        random: random_module.Random,
        settings: BreakerSettings = BreakerSettings(),
    ) -> None:
        self._clock = clock
        self._random = random
        self._settings = settings
        self._lock = threading.Lock()
        self._state = BreakerState.CLOSED
        self._failures = 0
        self._period_ms = settings.open_ms
        self._open_until_ms = 0

    @property
    def state(self) -> BreakerState:
        """Return the state after the latest call."""
        return self._state

    def admit(self) -> None:
        """Allow a call or raise BreakerOpenError.

        Each admitted call must end in one `record_success` or
        `record_failure`. After an open period one trial call is allowed;
        others are refused until it has ended.
        """
        with self._lock:
            if self._state is BreakerState.CLOSED:
                return
            remaining_ms = self._open_until_ms - self._clock.monotonic_ms()
            is_trial_running = self._state is BreakerState.HALF_OPEN
            if is_trial_running or remaining_ms > 0:
                raise BreakerOpenError(self._retry_after_ms(remaining_ms))
            self._state = BreakerState.HALF_OPEN

    def record_success(self) -> None:
        """Record a call with a usable response: a status below 500."""
        with self._lock:
            # The call started before the breaker opened, so its success
            # does not show that the service has recovered.
            if self._state is BreakerState.OPEN:
                return
            self._state = BreakerState.CLOSED
            self._failures = 0
            self._period_ms = self._settings.open_ms

    def record_failure(self) -> None:
        """Record a call without a usable response."""
        with self._lock:
            self._failures += 1
            if self._state is BreakerState.HALF_OPEN:
                self._period_ms = min(
                    2 * self._period_ms, self._settings.max_open_ms
                )
                self._open()
            elif self._should_open():
                self._open()

    def retry_after_ms(self) -> int:
        """Return a jittered retry delay for a call that was not sent."""
        with self._lock:
            return self._retry_after_ms(0)

    def _should_open(self) -> bool:
        is_closed = self._state is BreakerState.CLOSED
        return is_closed and self._failures >= self._settings.failures_to_open

    def _open(self) -> None:
        self._state = BreakerState.OPEN
        period_ms = self._jitter(self._period_ms)
        self._open_until_ms = self._clock.monotonic_ms() + period_ms

    def _retry_after_ms(self, remaining_ms: int) -> int:
        return max(remaining_ms, 0) + self._jitter(self._settings.open_ms)

    def _jitter(self, period_ms: int) -> int:
        return round(period_ms * self._random.uniform(0.5, 1.5))
