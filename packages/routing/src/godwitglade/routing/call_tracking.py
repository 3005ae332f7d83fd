"""Choice of a target for each request, and the state of its call."""

import random as randoms
import typing

from godwitglade.common import events
from godwitglade.coordination import effects as shared_effects
from godwitglade.routing import document_state
from godwitglade.routing import documents
from godwitglade.routing import engine_choice
from godwitglade.routing import held_prompts
from godwitglade.routing import holder_orders
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
        document_state_: document_state.DocumentState,
        chooser: engine_choice.EngineChooser,
    ) -> None:
        self._document_state = document_state_
        self._chooser = chooser
        self._orders = holder_orders.HolderOrders(directory)
        self._choices: dict[str, engine_choice.Choice] = {}
        self._paced_pools: set[str] = set()
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
        pool = self._engine_pool(request)
        if pool is not None:
            choice = self._choose_engine(request, pool, now_ms)
            if choice is not None:
                self._choices[request.request_id] = choice
                return choice.target
        usable = self._without_cold(
            request, self._open(request, now_ms), now_ms
        )
        affinity = ''
        if request.route.has_prompt:
            affinity = target_selection.shared_part(request.arrived.prompt)
            affinity = affinity or request.arrived.attempt_id
        preferences = target_selection.Preferences(
            _preferred_zone(request),
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

    def _engine_pool(
        self, request: request_.Request
    ) -> engine_choice.Pool | None:
        """Return the pool of its engines if prompts are weighed.

        Engines that do not tell their pace are alike, and the choice by hash
        and fullness then reads fewer parts again.
        """
        document = self._document_state.document
        if not request.route.has_prompt or not self._chooser.window_ms:
            return None
        if request.pool not in self._paced_pools:
            return None
        pool = document and document.pools.get(request.pool)
        if not pool or pool.engine is None:
            return None
        size = self._orders.size(pool.name, _preferred_zone(request))
        return engine_choice.Pool(pool.name, pool.engine, size)

    def _choose_engine(
        self, request: request_.Request, pool: engine_choice.Pool, now_ms: int
    ) -> engine_choice.Choice | None:
        """Return the engine to send a prompt to, None to choose as others.

        If no holder of its shared part has room, a few others are asked for.
        """
        zone = _preferred_zone(request)
        part = target_selection.shared_part(request.arrived.prompt)
        choice = None
        if part:
            names = self._orders.first(request.pool, zone, part)
            choice = self._choose_among(request, pool, names, True, now_ms)
        if choice is None or not choice.has_room:
            names = self._orders.sample(request.pool, zone, self._random)
            other = self._choose_among(request, pool, names, False, now_ms)
            if choice is None or (other is not None and other.has_room):
                choice = other
        return choice

    def _choose_among(
        self,
        request: request_.Request,
        pool: engine_choice.Pool,
        names: tuple[str, ...],
        is_agreed: bool,
        now_ms: int,
    ) -> engine_choice.Choice | None:
        by_name = {
            target.name: target
            for target in self._usable(request, now_ms, names)
            if target.name not in request.tried
            and target.is_usable(now_ms)
            and not self._limits.needs_permit(target, now_ms)
        }
        holders = [by_name[name] for name in names if name in by_name]
        if not holders:
            return None
        return self._chooser.choose(
            _prompt(request), pool, holders, is_agreed, now_ms
        )

    def _usable(
        self,
        request: request_.Request,
        now_ms: int,
        names: tuple[str, ...] | None = None,
    ) -> list[targets.Target]:
        """Return the usable targets, of ``names`` only if given."""
        directory = self._directory
        if names is not None and request.version != '':
            # Whether targets without a version may be used depends on all.
            directory = directory.subset(names)
        return directory.usable(
            request.pool, now_ms, request.version, request.regions
        )

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

    def check_load(
        self, target: targets.Target, load: targets.Load | None
    ) -> Effects:
        """Return a log event for the first malformed load of a process."""
        if load is not None and load.has_pace:
            self._paced_pools.add(target.listed.pool)
        if load is None or not load.malformed or target.has_malformed_load:
            return []
        target.has_malformed_load = True
        fields = {'target': target.name, 'load': load.malformed}
        event = events.Event.TARGET_LOAD_MALFORMED
        return [shared_effects.LogEvent(event, fields)]

    def start_call(
        self, request: request_.Request, target: targets.Target, now_ms: int
    ) -> None:
        """Record that a request is sent to a target."""
        request.tried.add(target.name)
        request.target = target
        request.sent_ms = now_ms
        target.in_flight += 1
        self._limits.record_send(target, now_ms)
        choice = self._choices.pop(request.request_id, None)
        pool = self._engine_pool(request)
        if pool is None or choice is None or choice.target is not target:
            return
        self._chooser.start(
            request.request_id, _prompt(request), pool, choice, now_ms
        )

    def record_start(
        self,
        request: request_.Request,
        load: targets.Load | None,
        now_ms: int,
    ) -> None:
        """Record the first event of a response."""
        self._chooser.record_start(request.request_id, load, now_ms)

    def send_fields(self, request: request_.Request) -> dict[str, typing.Any]:
        """Return the log fields of the choice of an engine."""
        choice = self._chooser.sent(request.request_id)
        if choice is None:
            return {}
        return {
            'holder': choice.holder,
            'read_tokens': choice.read_tokens,
            'expected_ms': round(choice.expected_ms),
        }

    def send_counts(self, request: request_.Request) -> Effects:
        """Return counters of the choice of an engine."""
        choice = self._chooser.sent(request.request_id)
        if choice is None:
            return []
        is_moved = choice.holder is not None and choice.holder > 0
        return [
            shared_effects.Count('prompts.sent'),
            shared_effects.Count('prompts.moved', int(is_moved)),
            shared_effects.Count('prompts.read_tokens', choice.read_tokens),
        ]

    def end_call(
        self, request: request_.Request, now_ms: int | None = None
    ) -> None:
        """Record that a request's call to its target has ended."""
        self._choices.pop(request.request_id, None)
        self._chooser.end(request.request_id, now_ms)
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
            self._chooser.held.forget(target)
        self.end_call(request)
        return effects_


def _preferred_zone(request: request_.Request) -> str:
    """Return the data centre of large results, '' without any."""
    progress = request.progress
    is_large = progress.result_bytes() >= LARGE_RESULT_BYTES
    return progress.zone_of_results() if is_large else ''


def _prompt(request: request_.Request) -> engine_choice.Prompt:
    """Return a request's prompt with the memory that it needs."""
    arrived = request.arrived
    parts = held_prompts.condense(arrived.prompt)
    tokens = max(arrived.prompt_tokens, sum(n for _key, n in parts))
    return engine_choice.Prompt(
        parts,
        min(tokens + arrived.output_tokens, held_prompts.MAX_TOKENS),
        arrived.attempt_id,
        request.route.kind is documents.RequestKind.STREAM,
    )
