"""Which target each request is at, and what its calls tell of targets."""

import random as randoms
import typing

from godwitglade.common import events
from godwitglade.coordination import effects as shared_effects
from godwitglade.routing import placement
from godwitglade.routing import request as request_
from godwitglade.routing import request_logs
from godwitglade.routing import targets

Effects = list[typing.Any]

#: Results as large as this are not moved to another data centre.
HEAVY_RESULT_BYTES = 200_000


class Placing:
    """Places requests on the targets of a directory."""

    def __init__(
        self, directory: targets.Directory, zone: str, random: randoms.Random
    ) -> None:
        self._directory = directory
        self._zone = zone
        self._random = random

    def choose(
        self, request: request_.Request, now_ms: int
    ) -> targets.Target | None:
        """Return the target to send to, None when there is none left."""
        usable = self._directory.usable(request.pool, now_ms)
        affinity = ''
        if request.route.has_prompt:
            affinity = placement.affinity_of(request.arrived.prompt)
            affinity = affinity or request.arrived.attempt_id
        progress = request.progress
        is_heavy = progress.result_bytes() >= HEAVY_RESULT_BYTES
        wish = placement.Wish(
            progress.zone_of_results() if is_heavy else '',
            affinity,
            frozenset(request.tried),
        )
        return placement.choose(usable, wish, self._zone, self._random, now_ms)

    def enter(
        self, request: request_.Request, target: targets.Target, now_ms: int
    ) -> None:
        """Note that a request is sent to a target."""
        request.tried.add(target.name)
        request.target = target
        request.sent_ms = now_ms
        target.in_flight += 1

    def leave(self, request: request_.Request) -> None:
        """Note that a request is at its target no more."""
        if request.target is not None:
            request.target.in_flight -= 1
            request.target = None

    def fail(
        self,
        request: request_.Request,
        detail: str,
        is_unreachable: bool,
        now_ms: int,
    ) -> Effects:
        """Note that a call failed and is over; return log lines."""
        target = request.target
        found = [
            request_logs.about(
                events.Event.CALL_FAILED,
                request,
                target=target.name,
                detail=detail,
                after_ms=now_ms - request.sent_ms,
            )
        ]
        if placement.failed(target, is_unreachable, now_ms):
            found.append(
                shared_effects.LogEvent(
                    events.Event.TARGET_SUSPENDED,
                    {
                        'target': target.name,
                        'failures': target.failures,
                        'for_ms': target.suspended_until_ms - now_ms,
                    },
                )
            )
        self.leave(request)
        return found
