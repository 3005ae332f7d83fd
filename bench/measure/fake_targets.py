"""Fake targets: plain services with slots and engines that batch.

Both report `targets.Load`, keep a bounded queue and count their busy time by
attempt, so that wasted time can be told from useful time.
"""

import collections
import random

import attrs

from bench.measure import schedule
from godwitglade.decisions import effects
from godwitglade.decisions import messages
from godwitglade.decisions import targets

#: Share of the calls of a plain service that straggle, and how much.
TAIL_SHARE = 0.01
TAIL_FACTOR = 8.0

#: An engine emits new text of its streams this often.
PIECE_INTERVAL_MS = 250


@attrs.frozen
class Work:
    """What a call asks of a target.

    ``service_ms`` is the time a plain service needs. An engine needs
    ``tokens`` decoding steps after a prefill that is short when the prompt
    prefix is cached. ``is_poison`` crashes the target.
    """

    service_ms: float = 0.0
    tokens: int = 0
    prefix: str = ''
    is_poison: bool = False


@attrs.define(eq=False)
class Running:
    """A call at a target; ``left`` is in steps or milliseconds."""

    call: effects.CallTarget
    work: Work
    reply: object
    left: float
    arrived_ms: float
    sent_tokens: int = 0


@attrs.frozen
class Shape:
    """Size and speed of a kind of target."""

    slots: int
    max_queue: int
    step_base_ms: float = 0.0
    step_each_ms: float = 0.0
    prefill_ms: float = 0.0
    cached_prefill_ms: float = 0.0
    cached_prefixes: int = 0


class FakeTarget:
    """Slots that share nothing; a plain service.

    ``slowness`` multiplies its times. ``on_cost`` is called with the
    attempt id and the busy milliseconds spent on it.
    """

    def __init__(
        self,
        target: targets.Target,
        shape: Shape,
        clock: schedule.Schedule,
        rng: random.Random,
        on_cost,
    ) -> None:
        self.target = target
        self.shape = shape
        self.clock = clock
        self.rng = rng
        self.on_cost = on_cost
        self.slowness = 1.0
        self.is_down = False
        self.is_leaving = False
        self.sign_ms: float | None = None
        self.crashes = 0
        self.queue: collections.deque[Running] = collections.deque()
        self.running: dict[str, Running] = {}
        self.life = 0

    def load(self) -> targets.Load:
        """Return the load of this moment."""
        return targets.Load(
            len(self.running),
            len(self.queue),
            self.shape.slots,
            self.is_leaving,
        )

    @property
    def has_place(self) -> bool:
        """Tell whether a new call would be taken in."""
        is_full = len(self.queue) >= self.shape.max_queue
        return not self.is_leaving and not is_full

    def note_sign(self, message) -> None:
        """Note when the target first says that it is leaving."""
        load = getattr(message, 'load', None)
        if self.sign_ms is None and load is not None and load.is_leaving:
            self.sign_ms = self.clock.now_ms

    def take(self, call: effects.CallTarget, work: Work, reply) -> None:
        """Take a call in; ``reply`` gets the messages that answer it."""
        if self.is_leaving:
            reply(self._refusal(call, messages.FaultKind.LEAVING))
        elif not self.has_place:
            reply(self._refusal(call, messages.FaultKind.BUSY))
        else:
            left = self._size_of(call, work)
            self.queue.append(
                Running(call, work, reply, left, self.clock.now_ms)
            )
            self._fill()

    def cancel(self, attempt_id: str) -> None:
        """Stop a call; its work until now is counted."""
        self._advance()
        self.queue = collections.deque(
            waiting
            for waiting in self.queue
            if waiting.call.attempt_id != attempt_id
        )
        if self.running.pop(attempt_id, None) is not None:
            self._fill()

    def crash(self, down_ms: float) -> None:
        """Lose every call and stay away for ``down_ms``."""
        self._advance()
        lost = [*self.running.values(), *self.queue]
        self.running = {}
        self.queue.clear()
        self.is_down = True
        self.life += 1
        self._forget_cache()
        for entry in lost:
            entry.reply(
                messages.StageFault(
                    entry.call.request_id,
                    entry.call.stage,
                    entry.call.attempt_id,
                    messages.FaultKind.LOST,
                    is_crash=True,
                )
            )
        self.clock.after(down_ms, self._come_back, self.life)

    def _come_back(self, life: int) -> None:
        if life == self.life:
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

    def _size_of(self, call, work: Work) -> float:
        is_straggler = self.rng.random() < TAIL_SHARE
        return work.service_ms * (TAIL_FACTOR if is_straggler else 1.0)

    def _forget_cache(self) -> None:
        pass

    def _advance(self) -> None:
        pass

    def _fill(self) -> None:
        while self.queue and len(self.running) < self.shape.slots:
            entry = self.queue.popleft()
            self.running[entry.call.attempt_id] = entry
            spent_ms = entry.left * self.slowness
            self.clock.after(spent_ms, self._done, entry, spent_ms)
            self._poison(entry)

    def _poison(self, entry: Running) -> None:
        if entry.work.is_poison:
            self.clock.after(60, self._crash_by, entry, self.life)

    def _crash_by(self, entry: Running, life: int) -> None:
        if life == self.life and entry.call.attempt_id in self.running:
            self.crashes += 1
            self.crash(10_000)

    def _done(self, entry: Running, spent_ms: float) -> None:
        attempt_id = entry.call.attempt_id
        if self.running.get(attempt_id) is not entry:
            self.on_cost(entry.call, spent_ms / 2)
            return
        del self.running[attempt_id]
        self.on_cost(entry.call, spent_ms)
        entry.reply(
            messages.StageReplied(
                entry.call.request_id,
                entry.call.stage,
                attempt_id,
                f'{entry.call.stage} of {entry.call.request_id}',
                int(spent_ms),
                self.load(),
            )
        )
        self._fill()
