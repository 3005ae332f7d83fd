"""What a caller is told when its request ends without a target's answer.

Answers every load: "not run" is said here only, and only of requests that
no target can have run.
"""

import math
import typing

from godwitglade.routing import effects
from godwitglade.routing import request as request_

Effects = list[typing.Any]

#: Told to come back after this time when nothing better is known.
RETRY_AFTER_MS = 500
#: A shorter or longer pause helps no caller.
MIN_RETRY_AFTER_MS = 100
MAX_RETRY_AFTER_MS = 4_000


def refused(request: request_.Request, reason: str, wait_ms: int) -> Effects:
    """Return the ending of a request that was given up."""
    if request.has_begun:
        return [effects.Abort(request.request_id)]
    if request.has_run:
        return [effects.Answer(request.request_id, 502, reason)]
    after_ms = _retry_after_ms(wait_ms or RETRY_AFTER_MS)
    return [effects.Answer(request.request_id, 503, reason, after_ms)]


def expired(request: request_.Request) -> Effects:
    """Return the ending of a request whose time is over."""
    if request.has_begun:
        return [effects.Abort(request.request_id)]
    if request.has_run or request.target is not None:
        return [effects.Answer(request.request_id, 504, 'deadline')]
    return [
        effects.Answer(request.request_id, 503, 'deadline', RETRY_AFTER_MS)
    ]


def _retry_after_ms(wait_ms: float) -> int:
    return math.ceil(min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, wait_ms)))
