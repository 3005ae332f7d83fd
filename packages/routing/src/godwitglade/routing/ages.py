"""Ages that other hosts tell: how long ago they have read something.

Hosts share no clock. The age in a reply was true at some time after the
request was sent, so by the clock of the host that asked, what the reply
shows holds up to the age before it asked.
"""

import typing

from godwitglade.common import clock as clocks

#: No process has run for longer.
MAX_AGE_MS = 400 * clocks.DAY_MS


def is_age(value: typing.Any) -> bool:
    """Return whether a value that a host sent can be an age."""
    return type(value) is int and 0 <= value <= MAX_AGE_MS


def holds_up_to_ms(
    age_ms: typing.Any, asked_ms: int | None, now_ms: int
) -> int | None:
    """Return up to when what a reply shows holds, None if it can't be told."""
    if not is_age(age_ms) or asked_ms is None or asked_ms > now_ms:
        return None
    return asked_ms - age_ms
