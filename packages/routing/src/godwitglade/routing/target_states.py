"""State of each target as seen by the owner of its pool.

Each target has its own slowness, pauses after failures, the memory used by
its results, and the last time that another host seemed to call it.
"""

import statistics
import typing

import attrs

from godwitglade.routing import documents
from godwitglade.routing import targets

#: First pause of a target that failed or refused a call; it doubles for
#: each further one in a row.
FIRST_PAUSE_MS = 150
MAX_PAUSE_MS = 2_000
#: Weight of a new sample in a target's slowness.
SLOWNESS_GAIN = 0.4
#: Time in which a target's deviation from normal speed halves without new
#: samples.
SLOWNESS_HALF_LIFE_MS = 3_000
#: A target that another host called within this time may be busy when a
#: call of this host arrives, so that the call fetches its inputs later.
CONTENDED_MS = 1_500
#: A call that took this many times as long as expected was probably queued
#: behind a call of another host.
CONTENDED_FACTOR = 1.4
#: Weight of a new sample in the time for which results occupy memory.
RETENTION_GAIN = 0.1
#: Share of the memory for results that is planned with, since the sizes of
#: results are approximate.
USABLE_MEMORY_SHARE = 0.95
#: Bounds of a target's slowness relative to the pool's nominal times.
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 12.0


@attrs.frozen
class Result:
    """A result at its target; it occupies memory from ``since_ms``."""

    size_bytes: int
    since_ms: int
    end_ms: int


@attrs.define(eq=False)
class TargetState:
    """State of one target as seen by the owner of its pool."""

    calls: int = 0
    free_ms: float = 0.0
    slowness: float = 1.0
    sampled_ms: int = 0
    paused_until_ms: int = 0
    pause_ms: int = FIRST_PAUSE_MS
    reserved_bytes: int = 0
    contended_ms: int | None = None
    results: dict[str, Result] = attrs.Factory(dict)

    def used_bytes(self, now_ms: int) -> int:
        """Return the memory used by results and reserved by open calls."""
        expired = [h for h, r in self.results.items() if r.end_ms <= now_ms]
        for handle in expired:
            del self.results[handle]
        held = sum(result.size_bytes for result in self.results.values())
        return held + self.reserved_bytes

    def current_slowness(self, now_ms: int) -> float:
        """Return the slowness, decaying towards 1 without new samples."""
        age_ms = max(0, now_ms - self.sampled_ms)
        decay = 0.5 ** (age_ms / SLOWNESS_HALF_LIFE_MS)
        return 1.0 + (self.slowness - 1.0) * decay

    def add_sample(self, ratio: float, now_ms: int) -> None:
        """Update the slowness with a call's time divided by its estimate."""
        current = self.current_slowness(now_ms)
        mixed = current + SLOWNESS_GAIN * (ratio - current)
        self.slowness = min(MAX_SLOWNESS, max(MIN_SLOWNESS, mixed))
        self.sampled_ms = now_ms

    def pause(self, now_ms: int) -> None:
        """Pause calls to the target, for twice as long each time in a row."""
        self.paused_until_ms = now_ms + self.pause_ms
        self.pause_ms = min(MAX_PAUSE_MS, 2 * self.pause_ms)

    def is_exclusive(self, now_ms: int) -> bool:
        """Return whether the only open call, sent now, starts at once."""
        if self.contended_ms is None:
            # The previous owner of the pool may still have calls here.
            self.contended_ms = now_ms
        quiet_ms = now_ms - self.contended_ms
        return self.calls == 1 and quiet_ms >= CONTENDED_MS

    def record_call(
        self, sent_ms: int, estimate_ms: float, now_ms: int
    ) -> None:
        """Update the state with the duration of an answered call."""
        took_ms = now_ms - sent_ms
        expected_ms = estimate_ms * self.current_slowness(now_ms)
        if took_ms > CONTENDED_FACTOR * expected_ms:
            self.contended_ms = now_ms
        self.pause_ms = FIRST_PAUSE_MS
        self.add_sample(took_ms / estimate_ms, now_ms)


class TargetStates:
    """The states of a pool's targets."""

    def __init__(self, batching: documents.Batching) -> None:
        self.batching = batching
        self._states: dict[str, TargetState] = {}
        self._retention_ms = 2 * self.estimate_ms(batching.max_items)

    def of(self, target: targets.Target) -> TargetState:
        """Return the state of one incarnation of a target."""
        key = f'{target.name}@{target.listed.started_ms}'
        return self._states.setdefault(key, TargetState())

    def estimate_ms(self, items: float, slowness: float = 1.0) -> float:
        """Estimate the duration of a call of ``items`` items."""
        batching = self.batching
        items = min(items, batching.max_items)
        return (batching.call_ms + items * batching.item_ms) * slowness

    def ready_ms(self, target: targets.Target, now_ms: int) -> float:
        """Return when a target can accept its next call."""
        state = self.of(target)
        busy_ms = 0.0
        if state.calls >= self.batching.concurrency:
            busy_ms = state.free_ms
        return max(now_ms, busy_ms, state.paused_until_ms)

    def is_free(self, target: targets.Target, now_ms: int) -> bool:
        """Return whether a target can accept a call now."""
        state = self.of(target)
        has_slot = state.calls < self.batching.concurrency
        return has_slot and now_ms >= state.paused_until_ms

    def free_bytes(self, target: targets.Target, now_ms: int) -> float:
        """Return the free memory for results at a target."""
        limit_bytes = USABLE_MEMORY_SHARE * self.batching.result_memory_bytes
        return limit_bytes - self.of(target).used_bytes(now_ms)

    def summary(
        self, pool: list[targets.Target], now_ms: int
    ) -> dict[str, typing.Any]:
        """Return the number of targets by state, and the memory in use."""
        states = [self.of(target) for target in pool]
        used = sum(state.used_bytes(now_ms) for state in states)
        limit_bytes = USABLE_MEMORY_SHARE * self.batching.result_memory_bytes
        oldest_ms = min(
            (r.since_ms for state in states for r in state.results.values()),
            default=now_ms,
        )
        return {
            'targets': len(states),
            'calling': sum(state.calls > 0 for state in states),
            'paused': sum(now_ms < state.paused_until_ms for state in states),
            'memory_share': round(
                used / max(1.0, limit_bytes * len(states)), 2
            ),
            'oldest_result_ms': now_ms - oldest_ms,
            'retention_ms': round(self._retention_ms),
        }

    def per_item_ms(self, item_bytes: float) -> float:
        """Return the time that a busy target takes for each item.

        The duration of calls or the memory for results is the limit.
        """
        most = self.batching.max_items
        by_time_ms = self.estimate_ms(most) / most
        if not item_bytes:
            return by_time_ms
        held = (
            USABLE_MEMORY_SHARE
            * self.batching.result_memory_bytes
            / item_bytes
        )
        return max(by_time_ms, self._retention_ms / max(1.0, held))

    def excess_ms(
        self, pool: list[targets.Target], items: float, now_ms: int
    ) -> float:
        """Return how much longer than for one item a call takes now.

        The median of the pool's slowness counts: slow targets get few calls.
        """
        slowness = statistics.median(
            self.of(target).current_slowness(now_ms) for target in pool
        )
        call_ms = self.estimate_ms(items, slowness)
        return max(0.0, call_ms - self.estimate_ms(1))

    def record_freed(self, handles: list[str], now_ms: int) -> None:
        """Record freed results; update the mean retention time."""
        for state in self._states.values():
            for handle in handles:
                result = state.results.pop(handle, None)
                if result is not None:
                    held_ms = now_ms - result.since_ms
                    self._retention_ms += RETENTION_GAIN * (
                        held_ms - self._retention_ms
                    )
