"""Replies to callers whose request ends without a response of a target.

Only this module tells a caller that a request did not run (503), and only
for requests that no target can have run.
"""

import math
import typing

from godwitglade.routing import effects
from godwitglade.routing import request as request_

Effects = list[typing.Any]

#: Retry time for callers when no wait is estimated.
RETRY_AFTER_MS = 500
#: Bounds of the retry time given to callers.
MIN_RETRY_AFTER_MS = 100
MAX_RETRY_AFTER_MS = 4_000
#: Retry time for callers of requests that crash targets.
QUARANTINE_RETRY_AFTER_MS = 30_000
#: Reason of the replies to requests that a stopping host cannot finish.
STOPPING = 'stopping'


def refused(request: request_.Request, reason: str, wait_ms: int) -> Effects:
    """Return the effects that end a request which is refused."""
    if request.has_response_started:
        return [effects.AbortResponse(request.request_id)]
    if request.has_run:
        return [effects.Answer(request.request_id, 502, reason)]
    after_ms = _retry_after_ms(wait_ms or RETRY_AFTER_MS)
    return [effects.Answer(request.request_id, 503, reason, after_ms)]


def cannot_resume(request: request_.Request, reason: str) -> Effects:
    """Return the effects that end a request whose stream cannot go on.

    It gets no retry time, since no later attempt could go on either.
    """
    if request.has_response_started:
        return [effects.AbortResponse(request.request_id)]
    if request.has_run:
        return [effects.Answer(request.request_id, 502, reason)]
    return [effects.Answer(request.request_id, 503, reason)]


def misdirected(request: request_.Request) -> Effects:
    """Return the effects that return a request to the host it came from."""
    if request.has_response_started or request.has_run:
        return refused(request, 'cut_off', 0)
    return [effects.Answer(request.request_id, 421, 'cut_off')]


def quarantined(request: request_.Request) -> Effects:
    """Return the effects that end a request which crashes targets."""
    if request.has_response_started or request.has_run:
        return refused(request, 'quarantined', 0)
    answer = effects.Answer(
        request.request_id, 503, 'quarantined', QUARANTINE_RETRY_AFTER_MS
    )
    return [answer]


def stopped(request: request_.Request) -> Effects:
    """Return the effects that end a request because this host stops."""
    if request.has_response_started:
        return [effects.AbortResponse(request.request_id)]
    if request.has_run or request.target is not None:
        return [effects.Answer(request.request_id, 502, STOPPING)]
    if request.arrived.is_taken_over:
        return [effects.Answer(request.request_id, 421, STOPPING)]
    return [
        effects.Answer(request.request_id, 503, STOPPING, MIN_RETRY_AFTER_MS)
    ]


def expired(request: request_.Request) -> Effects:
    """Return the effects that end a request whose deadline has passed."""
    if request.has_response_started:
        return [effects.AbortResponse(request.request_id)]
    if request.has_run or request.target is not None:
        return [effects.Answer(request.request_id, 504, 'deadline')]
    return [
        effects.Answer(request.request_id, 503, 'deadline', RETRY_AFTER_MS)
    ]


def _retry_after_ms(wait_ms: float) -> int:
    return math.ceil(min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, wait_ms)))
