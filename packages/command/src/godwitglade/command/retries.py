"""Retry policy of calls that are safe to repeat."""

import typing

import tenacity

from godwitglade.command import environment
from godwitglade.common import clock as clocks
from godwitglade.common import errors

MAX_ATTEMPTS = 5
BACKOFF_S = 0.2
MAX_BACKOFF_S = 3


def is_retryable(error: BaseException) -> bool:
    """Return whether the same call may succeed later."""
    return isinstance(error, errors.CodedError) and error.is_retryable


def make_retrying(
    env: environment.Environment,
    should_retry: typing.Callable[[BaseException], bool] = is_retryable,
) -> tenacity.Retrying:
    """Return the retry policy of a call; it re-raises the last error."""
    return tenacity.Retrying(
        stop=tenacity.stop_after_attempt(MAX_ATTEMPTS),
        wait=tenacity.wait_random_exponential(BACKOFF_S, MAX_BACKOFF_S),
        retry=tenacity.retry_if_exception(should_retry),
        sleep=lambda delay_s: env.sleep_ms(int(delay_s * clocks.SECOND_MS)),
        reraise=True,
    )
