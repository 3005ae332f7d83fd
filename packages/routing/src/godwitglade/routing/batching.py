"""Dynamic batching of stage items at the host that owns a pool.

Answers the heaviest days: the stages bind, a call has a large fixed cost, and
targets have little room for results. Items of all hosts wait in one queue;
each target that gets free takes the most urgent ones that still earn their
objective, then fills up with others. Work that cannot end in time is turned
away at once.
"""

import itertools
import math
import typing

import attrs

from godwitglade.routing import bodies
from godwitglade.routing import documents
from godwitglade.routing import effects
from godwitglade.routing import messages
from godwitglade.routing import targets

#: How often overdue calls and freed room are looked for, in milliseconds.
TICK_MS = 50
#: A call this many times over its estimate is repeated elsewhere.
OVERDUE_FACTOR = 2.0
#: Slack before a call counts as overdue: the network and the target's turn.
OVERDUE_SLACK_MS = 150
#: A call is given up after this many times its estimate.
TIMEOUT_FACTOR = 8.0
#: Times an item is tried before its job fails.
MAX_TRIES = 3
#: First pause of a target that failed or refused a call; doubles each time.
FIRST_PAUSE_MS = 150
LONGEST_PAUSE_MS = 2_000
#: Gain of a new sample in a target's slowness.
SLOWNESS_GAIN = 0.4
#: Bounds of a target's slowness against the pool's figures.
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 12.0
#: A target's slowness without new samples falls by half in this time.
SLOWNESS_HALF_LIFE_MS = 3_000
#: A lane is left idle when another ends the work this much earlier.
WORTH_WAITING_MS = 100
#: Inputs of a job as large as this are not moved to another data centre
#: while the job can still be in time at a target near them.
HEAVY_INPUT_BYTES = 200_000
#: Share of the room planned with; sizes of results are approximate.
ROOM_SHARE = 0.95
#: Gain of a new sample in the time for which results take up room.
HOLD_GAIN = 0.1
#: A target that another host called within this time may be busy when a
#: call of ours arrives, so that its inputs are fetched later.
CONTENDED_MS = 1_500
#: A call that took this many times as long as expected waited its turn.
CONTENDED_FACTOR = 1.4
#: Full calls of all stages together that may be ahead of a job which would
#: end late and still waits.
LATE_DEPTH = 1.0


@attrs.frozen
class Job:
    """A job with its times on this host's clock."""

    asked: bodies.JobAsked
    origin: str
    due_ms: int
    deadline_ms: int


@attrs.define(eq=False)
class _Waiting:
    """A job whose items are not all made."""

    job: Job
    number: int
    pending: set[int]
    queued_ms: int
    has_begun: bool = False
    made: dict[int, str] = attrs.Factory(dict)
    tries: int = 0
    zone: str = ''


@attrs.define(eq=False)
class _Call:
    target: targets.Target
    entries: list[tuple[_Waiting, int]]
    sent_ms: int
    estimate_ms: float
    reserved_bytes: int
    is_overdue: bool = False


@attrs.frozen
class _Result:
    """A result at its target; its room was taken at ``since_ms``."""

    size_bytes: int
    since_ms: int
    end_ms: int


@attrs.define(eq=False)
class _Lane:
    """What the owner knows of one target."""

    calls: int = 0
    free_ms: float = 0.0
    slowness: float = 1.0
    sampled_ms: int = 0
    paused_until_ms: int = 0
    pause_ms: int = FIRST_PAUSE_MS
    reserved_bytes: int = 0
    contended_ms: int | None = None
    results: dict[str, _Result] = attrs.Factory(dict)

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


class Batcher:
    """The queue of one pool and the calls made from it."""

    def __init__(
        self, name: str, batching: documents.Batching, prefix: str
    ) -> None:
        self.name = name
        self.batching = batching
        self._prefix = prefix
        self._numbers = itertools.count(1)
        self._waiting: dict[str, _Waiting] = {}
        self._calls: dict[str, _Call] = {}
        self._lanes: dict[str, _Lane] = {}
        self._held: dict[str, tuple[tuple[str, ...], int]] = {}
        full_ms = self._estimate_ms(batching.max_items, 1.0)
        self._hold_ms = 2 * full_ms

    @property
    def is_idle(self) -> bool:
        """Tell whether nothing waits and no call is under way."""
        return not self._waiting and not self._calls

    def wait_ms(self, pool: list[targets.Target], now_ms: int) -> int:
        """Return the time that a new job would wait for its call."""
        lanes = [self._lane(target) for target in pool]
        if not lanes:
            return self.batching.result_ttl_ms
        items = sum(len(entry.pending) for entry in self._waiting.values())
        slots = len(lanes) * self.batching.concurrency
        each_ms = self._per_item_ms(now_ms) / slots
        soonest_ms = min(self._ready_ms(lane, now_ms) for lane in lanes)
        # A call that is not full is about to be made in any case.
        behind = max(0, items - self.batching.max_items * slots + 1)
        return math.ceil(soonest_ms - now_ms + behind * each_ms)

    def _per_item_ms(self, now_ms: int) -> float:
        """Return the time that a busy target takes for each item.

        It is bound by the calls' time or by the room for results.
        """
        batching = self.batching
        full_ms = self._estimate_ms(batching.max_items, 1.0)
        by_time_ms = full_ms / batching.max_items
        pending = [(e, len(e.pending)) for e in self._waiting.values()]
        count = sum(n for _, n in pending)
        size = sum(e.job.asked.result_bytes * n for e, n in pending)
        if not count or not size:
            return by_time_ms
        held = ROOM_SHARE * batching.room_bytes / (size / count)
        return max(by_time_ms, self._hold_ms / max(1.0, held))

    def submit(
        self, job: Job, pool: list[targets.Target], now_ms: int
    ) -> list[typing.Any]:
        """Queue a job, or turn it away when it would end too late."""
        if job.asked.job_id in self._waiting:
            return []
        wait_ms = self.wait_ms(pool, now_ms)
        own_ms = self._estimate_ms(job.asked.count, 1.0)
        end_ms = now_ms + wait_ms + own_ms
        full_ms = self._estimate_ms(self.batching.max_items, 1.0)
        ahead_ms = wait_ms + job.asked.later_wait_ms
        # Work that went into earlier stages is not thrown away for that.
        is_deep = not job.asked.inputs and ahead_ms > LATE_DEPTH * full_ms
        if end_ms > job.deadline_ms or (end_ms > job.due_ms and is_deep):
            return [self._end(job, bodies.Ending.REFUSED, wait_ms)]
        items = set(range(job.asked.count))
        entry = _Waiting(job, next(self._numbers), items, now_ms)
        self._waiting[job.asked.job_id] = entry
        return []

    def release(
        self, job_ids: typing.Iterable[str], now_ms: int
    ) -> list[effects.FreeResults]:
        """Forget jobs and let targets forget their results."""
        handles: list[str] = []
        for job_id in job_ids:
            entry = self._waiting.pop(job_id, None)
            if entry is not None:
                entry.pending.clear()
                handles += entry.made.values()
            handles += self._held.pop(job_id, ((), 0))[0]
        return self._free(handles, now_ms)

    def give_up(self) -> list[effects.EndJob]:
        """Hand waiting jobs back: this host is about to stop."""
        moved = [e for e in self._waiting.values() if not self._is_running(e)]
        for entry in moved:
            del self._waiting[entry.job.asked.job_id]
        return [self._end(e.job, bodies.Ending.MOVED, 0) for e in moved]

    def dispatch(
        self, pool: list[targets.Target], now_ms: int
    ) -> list[typing.Any]:
        """Return calls for the targets that are free, and jobs given up."""
        found: list[typing.Any] = self._expire(pool, now_ms)
        free = [t for t in pool if self._is_free(t, now_ms)]
        free.sort(key=lambda t: self._lane(t).current_slowness(now_ms))
        for target in free:
            if not any(e.pending for e in self._waiting.values()):
                break
            chosen = self._choose(target, pool, now_ms)
            if chosen:
                found.append(self._call(target, chosen, now_ms))
                if self._is_its_turn(target, now_ms):
                    found += self._begin(chosen)
        return found

    def ended(
        self, message: messages.BatchEnded, now_ms: int
    ) -> list[typing.Any]:
        """Take in the results of a call."""
        call = self._calls.pop(message.call_id, None)
        if call is None:
            made = [r.handle for r in message.results if r.handle]
            return self._free(made, now_ms)
        lane = self._close(call, now_ms)
        lane.pause_ms = FIRST_PAUSE_MS
        expected_ms = call.estimate_ms * lane.current_slowness(now_ms)
        if now_ms - call.sent_ms > CONTENDED_FACTOR * expected_ms:
            lane.contended_ms = now_ms
        lane.sample((now_ms - call.sent_ms) / call.estimate_ms, now_ms)
        found: list[typing.Any] = []
        unused: list[str] = []
        for (entry, index), result in itertools.zip_longest(
            call.entries,
            message.results[: len(call.entries)],
            fillvalue=messages.ItemResult(failure='error'),
        ):
            found += self._item_ended(
                call, entry, index, result, unused, now_ms
            )
        return found + self._free(unused, now_ms)

    def not_run(self, message: messages.BatchNotRun, now_ms: int) -> None:
        """Queue the items of a refused call again."""
        call = self._calls.pop(message.call_id, None)
        if call is not None:
            lane = self._close(call, now_ms)
            lane.pause(now_ms)
            lane.contended_ms = now_ms
            self._requeue(call)

    def lost(
        self, message: messages.BatchLost, now_ms: int
    ) -> list[typing.Any]:
        """Queue the items of a lost call again, a few times at most."""
        call = self._calls.pop(message.call_id, None)
        if call is None:
            return []
        self._close(call, now_ms).pause(now_ms)
        entries = {id(entry): entry for entry, _ in call.entries}
        for entry in entries.values():
            entry.tries += 1
        self._requeue(call)
        return [
            effect
            for entry in entries.values()
            if entry.tries >= MAX_TRIES
            for effect in self._fail(entry, bodies.Ending.FAILED, now_ms)
        ]

    def tick(self, now_ms: int) -> None:
        """Queue the items of overdue calls a second time."""
        for call in self._calls.values():
            limit_ms = OVERDUE_FACTOR * call.estimate_ms + OVERDUE_SLACK_MS
            if call.is_overdue or now_ms - call.sent_ms <= limit_ms:
                continue
            call.is_overdue = True
            lane = self._lane(call.target)
            lane.sample((now_ms - call.sent_ms) / call.estimate_ms, now_ms)
            # Inputs of a job that has begun may be gone.
            self._requeue(call, lambda entry: not entry.has_begun)
        expired = [j for j, (_, end) in self._held.items() if end <= now_ms]
        for job_id in expired:
            del self._held[job_id]

    def _lane(self, target: targets.Target) -> _Lane:
        key = f'{target.name}@{target.listed.started_ms}'
        return self._lanes.setdefault(key, _Lane())

    def _estimate_ms(self, items: int, slowness: float) -> float:
        batching = self.batching
        items = min(items, batching.max_items)
        return (batching.call_ms + items * batching.item_ms) * slowness

    def _ready_ms(self, lane: _Lane, now_ms: int) -> float:
        busy_ms = 0.0
        if lane.calls >= self.batching.concurrency:
            busy_ms = lane.free_ms
        return max(now_ms, busy_ms, lane.paused_until_ms)

    def _is_free(self, target: targets.Target, now_ms: int) -> bool:
        lane = self._lane(target)
        has_slot = lane.calls < self.batching.concurrency
        return has_slot and now_ms >= lane.paused_until_ms

    def _expire(
        self, pool: list[targets.Target], now_ms: int
    ) -> list[effects.EndJob]:
        """Give up jobs that cannot end before their deadline."""
        least_ms = self._estimate_ms(1, 1.0)
        hopeless = [
            entry
            for entry in self._waiting.values()
            if entry.pending and now_ms + least_ms > entry.job.deadline_ms
        ]
        return [
            effect
            for entry in hopeless
            for effect in self._fail(entry, bodies.Ending.LATE, now_ms)
        ]

    def _choose(
        self,
        target: targets.Target,
        pool: list[targets.Target],
        now_ms: int,
    ) -> list[tuple[_Waiting, int]]:
        """Return the items of the next call of ``target``."""
        lane = self._lane(target)
        slowness = lane.current_slowness(now_ms)
        limit_bytes = ROOM_SHARE * self.batching.room_bytes
        room_bytes = limit_bytes - lane.used_bytes(now_ms)
        chosen: list[tuple[_Waiting, int]] = []
        soonest_ms = self._soonest_by_zone(pool, now_ms)
        for entry in self._in_order(slowness, now_ms):
            if self._waits_for_zone(entry, target, soonest_ms, now_ms):
                continue
            size = entry.job.asked.result_bytes
            left = self.batching.max_items - len(chosen)
            if size:
                left = min(left, int(room_bytes // size))
            if left < min(len(entry.pending), self.batching.max_items):
                # Items of one job stay together unless they never fit.
                if chosen or left <= 0 or self._fits_empty(entry):
                    continue
            taken = sorted(entry.pending)[:left]
            chosen += [(entry, index) for index in taken]
            room_bytes -= size * len(taken)
            if len(chosen) >= self.batching.max_items:
                break
        if self._is_better_elsewhere(target, len(chosen), pool, now_ms):
            return []
        return chosen

    def _soonest_by_zone(
        self, pool: list[targets.Target], now_ms: int
    ) -> dict[str, float]:
        """Return when the first target of each data centre gets free."""
        found: dict[str, float] = {}
        for target in pool:
            zone = target.listed.zone
            ready_ms = self._ready_ms(self._lane(target), now_ms)
            found[zone] = min(ready_ms, found.get(zone, math.inf))
        return found

    def _waits_for_zone(
        self,
        entry: _Waiting,
        target: targets.Target,
        soonest_ms: dict[str, float],
        now_ms: int,
    ) -> bool:
        """Tell whether a job does better to wait for a target near by."""
        asked = entry.job.asked
        heavy = asked.input_bytes * asked.count >= HEAVY_INPUT_BYTES
        is_near = asked.zone in ('', target.listed.zone)
        if is_near or not heavy or asked.zone not in soonest_ms:
            return False
        need_ms = self._estimate_ms(self.batching.max_items, 1.0)
        end_ms = soonest_ms[asked.zone] + need_ms
        return end_ms <= entry.job.due_ms

    def _fits_empty(self, entry: _Waiting) -> bool:
        """Tell whether the job's items fit a target without results."""
        count = len(entry.pending)
        size = count * entry.job.asked.result_bytes
        limit_bytes = ROOM_SHARE * self.batching.room_bytes
        return count <= self.batching.max_items and size <= limit_bytes

    def _in_order(
        self, slowness: float, now_ms: int
    ) -> typing.Iterator[_Waiting]:
        def key(entry: _Waiting) -> tuple:
            need_ms = self._estimate_ms(len(entry.pending), slowness)
            is_late = now_ms + need_ms > entry.job.due_ms
            return is_late, entry.job.due_ms, entry.number

        pending = [e for e in self._waiting.values() if e.pending]
        return iter(sorted(pending, key=key))

    def _is_better_elsewhere(
        self,
        target: targets.Target,
        count: int,
        pool: list[targets.Target],
        now_ms: int,
    ) -> bool:
        """Tell whether a busy target would end the call much earlier."""
        slowness = self._lane(target).current_slowness(now_ms)
        if not count or slowness <= 1.5:
            return False
        own_ms = now_ms + self._estimate_ms(count, slowness)
        others = [self._lane(t) for t in pool if t is not target]
        ends = [
            self._ready_ms(lane, now_ms)
            + self._estimate_ms(count, lane.current_slowness(now_ms))
            for lane in others
        ]
        return bool(ends) and own_ms > min(ends) + WORTH_WAITING_MS

    def _call(
        self,
        target: targets.Target,
        chosen: list[tuple[_Waiting, int]],
        now_ms: int,
    ) -> effects.RunBatch:
        lane = self._lane(target)
        slowness = lane.current_slowness(now_ms)
        estimate_ms = self._estimate_ms(len(chosen), 1.0)
        reserved = sum(entry.job.asked.result_bytes for entry, _ in chosen)
        call_id = f'{self._prefix}{next(self._numbers)}'
        call = _Call(target, chosen, now_ms, estimate_ms, reserved)
        self._calls[call_id] = call
        lane.calls += 1
        lane.reserved_bytes += reserved
        lane.free_ms = now_ms + estimate_ms * slowness
        for entry, index in chosen:
            entry.pending.discard(index)
        items = tuple(_item(entry, index, now_ms) for entry, index in chosen)
        timeout_ms = int(TIMEOUT_FACTOR * estimate_ms)
        return effects.RunBatch(call_id, target.listed, items, timeout_ms)

    def _is_its_turn(self, target: targets.Target, now_ms: int) -> bool:
        """Tell whether a call sent now begins at once."""
        lane = self._lane(target)
        if lane.contended_ms is None:
            # The host that owned the pool before may still have calls here.
            lane.contended_ms = now_ms
        quiet_ms = now_ms - lane.contended_ms
        return lane.calls == 1 and quiet_ms >= CONTENDED_MS

    def _begin(
        self, chosen: list[tuple[_Waiting, int]]
    ) -> list[effects.BeginJob]:
        """Return word of the jobs whose items are all in calls now."""
        begun = {
            entry.job.asked.job_id: entry.job.origin
            for entry, _ in chosen
            if entry.job.asked.inputs
            and not entry.pending
            and not entry.has_begun
        }
        for entry, _ in chosen:
            entry.has_begun |= entry.job.asked.job_id in begun
        return [effects.BeginJob(o, job_id) for job_id, o in begun.items()]

    def _close(self, call: _Call, now_ms: int) -> _Lane:
        lane = self._lane(call.target)
        lane.calls -= 1
        lane.reserved_bytes -= call.reserved_bytes
        lane.free_ms = now_ms
        return lane

    def _item_ended(
        self,
        call: _Call,
        entry: _Waiting,
        index: int,
        result: messages.ItemResult,
        unused: list[str],
        now_ms: int,
    ) -> list[effects.EndJob]:
        if result.handle:
            return self._item_made(
                call, entry, index, result.handle, unused, now_ms
            )
        if not self._is_wanted(entry):
            return []
        if result.failure == 'gone':
            return self._fail(entry, bodies.Ending.INPUT_GONE, now_ms)
        if result.failure == 'late':
            return self._fail(entry, bodies.Ending.LATE, now_ms)
        entry.tries += result.failure != 'room'
        if result.failure == 'room':
            self._lane(call.target).pause(now_ms)
        if entry.tries >= MAX_TRIES:
            return self._fail(entry, bodies.Ending.FAILED, now_ms)
        if index not in entry.made:
            entry.pending.add(index)
        return []

    def _item_made(
        self,
        call: _Call,
        entry: _Waiting,
        index: int,
        handle: str,
        unused: list[str],
        now_ms: int,
    ) -> list[effects.EndJob]:
        size = entry.job.asked.result_bytes
        end_ms = now_ms + self.batching.result_ttl_ms
        result = _Result(size, call.sent_ms, end_ms)
        self._lane(call.target).results[handle] = result
        if not self._is_wanted(entry) or index in entry.made:
            unused.append(handle)
            return []
        entry.made[index] = handle
        entry.pending.discard(index)
        entry.zone = call.target.listed.zone
        if len(entry.made) < entry.job.asked.count:
            return []
        job = entry.job
        del self._waiting[job.asked.job_id]
        handles = tuple(entry.made[n] for n in range(job.asked.count))
        self._held[job.asked.job_id] = (handles, end_ms)
        ended = bodies.JobEnded(
            job.asked.job_id,
            bodies.Ending.DONE,
            self.name,
            handles,
            entry.zone,
        )
        return [effects.EndJob(job.origin, ended)]

    def _is_wanted(self, entry: _Waiting) -> bool:
        return self._waiting.get(entry.job.asked.job_id) is entry

    def _is_running(self, entry: _Waiting) -> bool:
        return any(
            other is entry
            for call in self._calls.values()
            for other, _ in call.entries
        )

    def _requeue(
        self,
        call: _Call,
        condition: typing.Callable[[_Waiting], bool] = lambda entry: True,
    ) -> None:
        for entry, index in call.entries:
            is_open = self._is_wanted(entry) and index not in entry.made
            if is_open and condition(entry):
                entry.pending.add(index)

    def _fail(
        self, entry: _Waiting, ending: bodies.Ending, now_ms: int
    ) -> list[typing.Any]:
        if not self._is_wanted(entry):
            return []
        del self._waiting[entry.job.asked.job_id]
        entry.pending.clear()
        freed = self._free(list(entry.made.values()), now_ms)
        return [self._end(entry.job, ending, 0), *freed]

    def _end(
        self, job: Job, ending: bodies.Ending, wait_ms: int
    ) -> effects.EndJob:
        ended = bodies.JobEnded(
            job.asked.job_id, ending, self.name, wait_ms=wait_ms
        )
        return effects.EndJob(job.origin, ended)

    def _free(
        self, handles: list[str], now_ms: int
    ) -> list[effects.FreeResults]:
        if not handles:
            return []
        for lane, handle in itertools.product(self._lanes.values(), handles):
            result = lane.results.pop(handle, None)
            if result is not None:
                held_ms = now_ms - result.since_ms
                self._hold_ms += HOLD_GAIN * (held_ms - self._hold_ms)
        return [effects.FreeResults(tuple(handles))]


def _item(entry: _Waiting, index: int, now_ms: int) -> effects.BatchItem:
    asked = entry.job.asked
    return effects.BatchItem(
        attempt_id=asked.attempt_id,
        stage=asked.stage,
        index=index,
        left_ms=max(1, entry.job.deadline_ms - now_ms),
        item_key=asked.item_key,
        inputs=asked.inputs,
    )
