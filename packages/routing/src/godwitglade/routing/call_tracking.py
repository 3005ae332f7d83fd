"""Choice of a target for each request, and the state of its call."""

import random as randoms
import typing

from godwitglade.common import events
from godwitglade.coordination import effects as shared_effects
from godwitglade.routing import rate_limits
from godwitglade.routing import request as request_
from godwitglade.routing import request_logs
from godwitglade.routing import target_selection
from godwitglade.routing import targets

Effects = list[typing.Any]

#: Results of at least this size are not moved to another data centre.
LARGE_RESULT_BYTES = 200_000


class CallTracker:
    """Chooses targets of a directory and tracks the calls made to them."""

    def __init__(
        self,
        directory: targets.Directory,
        zone: str,
        random: randoms.Random,
        limits: rate_limits.RateLimits,
    ) -> None:
        self._directory = directory
        self._limits = limits
        self._zone = zone
        self._random = random

    def choose(
        self, request: request_.Request, now_ms: int
    ) -> targets.Target | None:
        """Return the target to send to, None if no untried one is left.

        Targets whose limit is used up are left out, and cold ones while
        another one has a free slot.
        """
        usable = self._without_cold(
            request, self._open(request, now_ms), now_ms
        )
        affinity = ''
        if request.route.has_prompt:
            affinity = target_selection.shared_part(request.arrived.prompt)
            affinity = affinity or request.arrived.attempt_id
        progress = request.progress
        is_large = progress.result_bytes() >= LARGE_RESULT_BYTES
        preferences = target_selection.Preferences(
            progress.zone_of_results() if is_large else '',
            affinity,
            frozenset(request.tried),
        )
        return target_selection.choose(
            usable, preferences, self._zone, self._random, now_ms
        )

    def _open(
        self, request: request_.Request, now_ms: int
    ) -> list[targets.Target]:
        return [
            target
            for target in self._usable(request, now_ms)
            if not self._limits.wait_ms(target, now_ms)
        ]

    def _without_cold(
        self,
        request: request_.Request,
        usable: list[targets.Target],
        now_ms: int,
    ) -> list[targets.Target]:
        """Leave out the cold targets, or the full ones where all are full."""
        cold = [t for t in usable if self._limits.is_cold(t, now_ms)]
        if not any(t.name not in request.tried for t in cold):
            return usable
        warm = [t for t in usable if not self._limits.is_cold(t, now_ms)]
        has_slot = any(
            target_selection.fullness(target, now_ms) < 1.0
            for target in warm
            if target.name not in request.tried
        )
        return warm if has_slot else cold

    def _usable(
        self, request: request_.Request, now_ms: int
    ) -> list[targets.Target]:
        return self._directory.usable(request.pool, now_ms, request.version)

    def limited(
        self, request: request_.Request, now_ms: int
    ) -> list[targets.Target]:
        """Return the limited targets it may use, the first to open first."""
        limited = [
            target
            for target in self._usable(request, now_ms)
            if target.name not in request.tried
            and self._limits.needs_permit(target, now_ms)
        ]
        if any(self._limits.is_cold(target, now_ms) for target in limited):
            # One message asks for rate_limits.MAX_CANDIDATES of them at most.
            self._random.shuffle(limited)
        return sorted(limited, key=lambda t: self._limits.wait_ms(t, now_ms))

    def permit_candidates(
        self,
        request: request_.Request,
        preferred: targets.Target,
        now_ms: int,
    ) -> tuple[targets.Target, ...]:
        """Return the targets to ask for one of, beside unlimited ones.

        Of the cold ones all are asked for by one message.
        """
        if not self._limits.is_cold(preferred, now_ms):
            return (preferred,)
        others = [
            target
            for target in self._open(request, now_ms)
            if target is not preferred
            and target.name not in request.tried
            and self._limits.is_cold(target, now_ms)
        ]
        self._random.shuffle(others)
        return (preferred, *others)

    def has_unlimited(self, request: request_.Request, now_ms: int) -> bool:
        """Return whether a request can be sent without a permit."""
        return any(
            target.name not in request.tried
            and not self._limits.needs_permit(target, now_ms)
            for target in self._usable(request, now_ms)
        )

    def start_call(
        self, request: request_.Request, target: targets.Target, now_ms: int
    ) -> None:
        """Record that a request is sent to a target."""
        request.tried.add(target.name)
        request.target = target
        request.sent_ms = now_ms
        target.in_flight += 1
        self._limits.record_send(target, now_ms)

    def end_call(self, request: request_.Request) -> None:
        """Record that a request's call to its target has ended."""
        if request.target is not None:
            request.target.in_flight -= 1
            request.target = None

    def fail_call(
        self,
        request: request_.Request,
        detail: str,
        is_unreachable: bool,
        now_ms: int,
        is_target_gone: bool = False,
    ) -> Effects:
        """Record that a call failed and has ended; return log events."""
        target = request.target
        effects_ = [
            request_logs.request_event(
                events.Event.CALL_FAILED,
                request,
                target=target.name,
                detail=detail,
                after_ms=now_ms - request.sent_ms,
                send=request.sends,
                target_gone=is_target_gone,
                parts=[part.name for part in request.arrived.prompt[:-1]],
            )
        ]
        if target_selection.record_failure(target, is_unreachable, now_ms):
            effects_.append(
                shared_effects.LogEvent(
                    events.Event.TARGET_SUSPENDED,
                    {
                        'target': target.name,
                        'failures': target.failures,
                        'for_ms': target.suspended_until_ms - now_ms,
                    },
                )
            )
        if is_unreachable or is_target_gone:
            target.record_unreachable(now_ms)
        self.end_call(request)
        return effects_
