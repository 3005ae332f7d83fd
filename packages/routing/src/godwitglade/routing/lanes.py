"""What the owner of a pool knows of each target: pace, room, rivals.

Answers slow, failing and shared targets: each has its own slowness, pauses
after failures, and a count of the room that its results take up.
"""

import attrs

from godwitglade.routing import documents
from godwitglade.routing import targets

#: First pause of a target that failed or refused a call; doubles each time.
FIRST_PAUSE_MS = 150
LONGEST_PAUSE_MS = 2_000
#: Gain of a new sample in a target's slowness.
SLOWNESS_GAIN = 0.4
#: A target's slowness without new samples falls by half in this time.
SLOWNESS_HALF_LIFE_MS = 3_000
#: A target that another host called within this time may be busy when a
#: call of ours arrives, so that its inputs are fetched later.
CONTENDED_MS = 1_500
#: A call that took this many times as long as expected waited its turn.
CONTENDED_FACTOR = 1.4
#: Gain of a new sample in the time for which results take up room.
HOLD_GAIN = 0.1
#: Share of the room planned with; sizes of results are approximate.
ROOM_SHARE = 0.95
#: Bounds of a target's slowness against the pool's figures.
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 12.0


@attrs.frozen
class Result:
    """A result at its target; its room was taken at ``since_ms``."""

    size_bytes: int
    since_ms: int
    end_ms: int


@attrs.define(eq=False)
class Lane:
    """What the owner knows of one target."""

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
        """Return the room taken by results and by calls under way."""
        expired = [h for h, r in self.results.items() if r.end_ms <= now_ms]
        for handle in expired:
            del self.results[handle]
        held = sum(result.size_bytes for result in self.results.values())
        return held + self.reserved_bytes

    def current_slowness(self, now_ms: int) -> float:
        """Return the slowness, fading towards 1 without new samples."""
        age_ms = max(0, now_ms - self.sampled_ms)
        fading = 0.5 ** (age_ms / SLOWNESS_HALF_LIFE_MS)
        return 1.0 + (self.slowness - 1.0) * fading

    def sample(self, ratio: float, now_ms: int) -> None:
        """Take in the time of a call over its estimate."""
        known = self.current_slowness(now_ms)
        mixed = known + SLOWNESS_GAIN * (ratio - known)
        self.slowness = min(MAX_SLOWNESS, max(MIN_SLOWNESS, mixed))
        self.sampled_ms = now_ms

    def pause(self, now_ms: int) -> None:
        """Send nothing for a while, longer each time in a row."""
        self.paused_until_ms = now_ms + self.pause_ms
        self.pause_ms = min(LONGEST_PAUSE_MS, 2 * self.pause_ms)

    def is_exclusive(self, now_ms: int) -> bool:
        """Tell whether a call sent now, the only one, begins at once."""
        if self.contended_ms is None:
            # The host that owned the pool before may still have calls here.
            self.contended_ms = now_ms
        quiet_ms = now_ms - self.contended_ms
        return self.calls == 1 and quiet_ms >= CONTENDED_MS

    def finish(self, sent_ms: int, estimate_ms: float, now_ms: int) -> None:
        """Learn from a call that was answered."""
        took_ms = now_ms - sent_ms
        expected_ms = estimate_ms * self.current_slowness(now_ms)
        if took_ms > CONTENDED_FACTOR * expected_ms:
            self.contended_ms = now_ms
        self.pause_ms = FIRST_PAUSE_MS
        self.sample(took_ms / estimate_ms, now_ms)


class Lanes:
    """The lanes of a pool's targets."""

    def __init__(self, batching: documents.Batching) -> None:
        self.batching = batching
        self._lanes: dict[str, Lane] = {}
        self._hold_ms = 2 * self.estimate_ms(batching.max_items)

    def of(self, target: targets.Target) -> Lane:
        """Return the lane of one life of a target."""
        key = f'{target.name}@{target.listed.started_ms}'
        return self._lanes.setdefault(key, Lane())

    def estimate_ms(self, items: int, slowness: float = 1.0) -> float:
        """Return the time of a call of ``items``."""
        batching = self.batching
        items = min(items, batching.max_items)
        return (batching.call_ms + items * batching.item_ms) * slowness

    def ready_ms(self, target: targets.Target, now_ms: int) -> float:
        """Return when a target can take its next call."""
        lane = self.of(target)
        busy_ms = 0.0
        if lane.calls >= self.batching.concurrency:
            busy_ms = lane.free_ms
        return max(now_ms, busy_ms, lane.paused_until_ms)

    def is_free(self, target: targets.Target, now_ms: int) -> bool:
        """Tell whether a target can take a call now."""
        lane = self.of(target)
        has_slot = lane.calls < self.batching.concurrency
        return has_slot and now_ms >= lane.paused_until_ms

    def room_bytes(self, target: targets.Target, now_ms: int) -> float:
        """Return the room for results that is left at a target."""
        limit_bytes = ROOM_SHARE * self.batching.room_bytes
        return limit_bytes - self.of(target).used_bytes(now_ms)

    def per_item_ms(self, item_bytes: float) -> float:
        """Return the time that a busy target takes for each item.

        It is bound by the calls' time or by the room for results.
        """
        most = self.batching.max_items
        by_time_ms = self.estimate_ms(most) / most
        if not item_bytes:
            return by_time_ms
        held = ROOM_SHARE * self.batching.room_bytes / item_bytes
        return max(by_time_ms, self._hold_ms / max(1.0, held))

    def freed(self, handles: list[str], now_ms: int) -> None:
        """Note that results are given up; learn how long they stayed."""
        for lane in self._lanes.values():
            for handle in handles:
                result = lane.results.pop(handle, None)
                if result is not None:
                    held_ms = now_ms - result.since_ms
                    self._hold_ms += HOLD_GAIN * (held_ms - self._hold_ms)
