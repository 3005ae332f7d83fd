"""Fake plain services, and the base class of fake engines.

Both report `targets.Load`, have a bounded queue and report their busy time
by attempt, which separates wasted time from useful time.
"""

import collections
import random

import attrs

from bench.measure import virtual_clock
from godwitglade.decisions import effects
from godwitglade.decisions import messages
from godwitglade.decisions import targets

#: Share of stragglers in the calls of a plain service, and their slowdown.
STRAGGLER_SHARE = 0.01
STRAGGLER_FACTOR = 8.0

#: Interval at which an engine sends new text of its streams.
PIECE_INTERVAL_MS = 250


@attrs.frozen
class Work:
    """Work of a call at a target.

    ``service_ms`` is the time a plain service needs. An engine needs
    ``tokens`` decoding steps after a prefill that is short when the prompt
    prefix is cached. ``is_poison`` crashes the target.
    """

    service_ms: float = 0.0
    tokens: int = 0
    prefix: str = ''
    is_poison: bool = False


@attrs.define(eq=False)
class AcceptedCall:
    """A queued or running call; ``remaining`` is in steps or ms."""

    call: effects.CallTarget
    work: Work
    reply: object
    remaining: float
    arrived_ms: float
    sent_tokens: int = 0


@attrs.frozen
class TargetProfile:
    """Capacity and speed of a target."""

    slots: int
    max_queue: int
    step_base_ms: float = 0.0
    step_per_call_ms: float = 0.0
    prefill_ms: float = 0.0
    cached_prefill_ms: float = 0.0
    cached_prefixes: int = 0


class FakeTarget:
    """A plain service whose slots run independently.

    ``slowdown_factor`` multiplies its service times. ``on_cost`` is called
    with a call and the busy milliseconds spent on it.
    """

    def __init__(
        self,
        target: targets.Target,
        profile: TargetProfile,
        clock: virtual_clock.VirtualClock,
        rng: random.Random,
        on_cost,
    ) -> None:
        self.target = target
        self.profile = profile
        self.clock = clock
        self.rng = rng
        self.on_cost = on_cost
        self.slowdown_factor = 1.0
        self.is_down = False
        self.is_leaving = False
        self.leaving_reported_ms: float | None = None
        self.crashes = 0
        self.queue: collections.deque[AcceptedCall] = collections.deque()
        self.running: dict[str, AcceptedCall] = {}
        self.incarnation = 0

    def load(self) -> targets.Load:
        """Return the current load."""
        return targets.Load(
            len(self.running),
            len(self.queue),
            self.profile.slots,
            self.is_leaving,
        )

    @property
    def has_capacity(self) -> bool:
        """Return whether the target would accept a new call."""
        is_full = len(self.queue) >= self.profile.max_queue
        return not self.is_leaving and not is_full

    def record_leaving(self, message) -> None:
        """Record when the target first reports that it is leaving."""
        load = getattr(message, 'load', None)
        if (
            self.leaving_reported_ms is None
            and load is not None
            and load.is_leaving
        ):
            self.leaving_reported_ms = self.clock.now_ms

    def accept(self, call: effects.CallTarget, work: Work, reply) -> None:
        """Accept or refuse a call; ``reply`` receives the replies."""
        if self.is_leaving:
            reply(self._refusal(call, messages.FaultKind.LEAVING))
        elif not self.has_capacity:
            reply(self._refusal(call, messages.FaultKind.BUSY))
        else:
            remaining = self._total_work(call, work)
            self.queue.append(
                AcceptedCall(call, work, reply, remaining, self.clock.now_ms)
            )
            self._start_queued()

    def cancel(self, attempt_id: str) -> None:
        """Stop a call; the work done so far is counted."""
        self._advance()
        self.queue = collections.deque(
            waiting
            for waiting in self.queue
            if waiting.call.attempt_id != attempt_id
        )
        if self.running.pop(attempt_id, None) is not None:
            self._start_queued()

    def crash(self, down_ms: float) -> None:
        """Lose every call and stay down for ``down_ms``."""
        self._advance()
        lost_calls = [*self.running.values(), *self.queue]
        self.running = {}
        self.queue.clear()
        self.is_down = True
        self.incarnation += 1
        self._clear_cache()
        for accepted in lost_calls:
            accepted.reply(
                messages.StageFault(
                    accepted.call.request_id,
                    accepted.call.stage,
                    accepted.call.attempt_id,
                    messages.FaultKind.LOST,
                    is_crash=True,
                )
            )
        self.clock.call_after(down_ms, self._restart, self.incarnation)

    def _restart(self, incarnation: int) -> None:
        if incarnation == self.incarnation:
            self.is_down = False

    def _refusal(self, call, kind) -> messages.StageFault:
        return messages.StageFault(
            call.request_id,
            call.stage,
            call.attempt_id,
            kind,
            was_sent=False,
            load=self.load(),
        )

    def _total_work(self, call, work: Work) -> float:
        is_straggler = self.rng.random() < STRAGGLER_SHARE
        return work.service_ms * (STRAGGLER_FACTOR if is_straggler else 1.0)

    def _clear_cache(self) -> None:
        pass

    def _advance(self) -> None:
        pass

    def _start_queued(self) -> None:
        while self.queue and len(self.running) < self.profile.slots:
            accepted = self.queue.popleft()
            self.running[accepted.call.attempt_id] = accepted
            spent_ms = accepted.remaining * self.slowdown_factor
            self.clock.call_after(
                spent_ms, self._complete_call, accepted, spent_ms
            )
            self._schedule_crash(accepted)

    def _schedule_crash(self, accepted: AcceptedCall) -> None:
        if accepted.work.is_poison:
            self.clock.call_after(
                60, self._crash_if_running, accepted, self.incarnation
            )

    def _crash_if_running(
        self, accepted: AcceptedCall, incarnation: int
    ) -> None:
        if (
            incarnation == self.incarnation
            and accepted.call.attempt_id in self.running
        ):
            self.crashes += 1
            self.crash(10_000)

    def _complete_call(self, accepted: AcceptedCall, spent_ms: float) -> None:
        attempt_id = accepted.call.attempt_id
        if self.running.get(attempt_id) is not accepted:
            self.on_cost(accepted.call, spent_ms / 2)
            return
        del self.running[attempt_id]
        self.on_cost(accepted.call, spent_ms)
        accepted.reply(
            messages.StageReplied(
                accepted.call.request_id,
                accepted.call.stage,
                attempt_id,
                f'{accepted.call.stage} of {accepted.call.request_id}',
                int(spent_ms),
                self.load(),
            )
        )
        self._start_queued()
