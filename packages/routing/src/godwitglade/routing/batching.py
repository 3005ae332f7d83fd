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
from godwitglade.routing import filling
from godwitglade.routing import lanes
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
#: Full calls of all stages together that may be ahead of a job which would
#: end late and still waits.
LATE_DEPTH = 1.0


@attrs.define(eq=False)
class _Call:
    target: targets.Target
    entries: list[tuple[filling.Waiting, int]]
    sent_ms: int
    estimate_ms: float
    reserved_bytes: int
    is_overdue: bool = False


class Batcher:
    """The queue of one pool and the calls made from it."""

    def __init__(
        self, name: str, batching: documents.Batching, prefix: str
    ) -> None:
        self.name = name
        self._prefix = prefix
        self._numbers = itertools.count(1)
        self._waiting: dict[str, filling.Waiting] = {}
        self._calls: dict[str, _Call] = {}
        self._lanes = lanes.Lanes(batching)
        self._filler = filling.Filler(self._lanes)
        self._held: dict[str, tuple[tuple[str, ...], int]] = {}

    @property
    def batching(self) -> documents.Batching:
        """Return how the pool's targets take items."""
        return self._lanes.batching

    @batching.setter
    def batching(self, batching: documents.Batching) -> None:
        self._lanes.batching = batching

    @property
    def is_idle(self) -> bool:
        """Tell whether nothing waits and no call is under way."""
        return not self._waiting and not self._calls

    def wait_ms(self, pool: list[targets.Target], now_ms: int) -> int:
        """Return the time that a new job would wait for its call."""
        if not pool:
            return self.batching.result_ttl_ms
        pending = [(e, len(e.pending)) for e in self._waiting.values()]
        items = sum(count for _, count in pending)
        size = sum(e.job.asked.result_bytes * n for e, n in pending)
        slots = len(pool) * self.batching.concurrency
        each_ms = self._lanes.per_item_ms(size / max(1, items)) / slots
        soonest_ms = min(self._lanes.ready_ms(t, now_ms) for t in pool)
        # A call that is not full is about to be made in any case.
        behind = max(0, items - self.batching.max_items * slots + 1)
        return math.ceil(soonest_ms - now_ms + behind * each_ms)

    def submit(
        self, job: filling.Job, pool: list[targets.Target], now_ms: int
    ) -> list[typing.Any]:
        """Queue a job, or turn it away when it would end too late."""
        if job.asked.job_id in self._waiting:
            return []
        wait_ms = self.wait_ms(pool, now_ms)
        own_ms = self._lanes.estimate_ms(job.asked.count)
        end_ms = now_ms + wait_ms + own_ms
        full_ms = self._lanes.estimate_ms(self.batching.max_items)
        ahead_ms = wait_ms + job.asked.later_wait_ms
        # Work that went into earlier stages is not thrown away for that.
        is_deep = not job.asked.inputs and ahead_ms > LATE_DEPTH * full_ms
        if end_ms > job.deadline_ms or (end_ms > job.due_ms and is_deep):
            return [self._end(job, bodies.Ending.REFUSED, wait_ms)]
        items = set(range(job.asked.count))
        entry = filling.Waiting(job, next(self._numbers), items)
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
        free = [t for t in pool if self._lanes.is_free(t, now_ms)]
        free.sort(key=lambda t: self._lanes.of(t).current_slowness(now_ms))
        for target in free:
            if not any(e.pending for e in self._waiting.values()):
                break
            chosen = self._filler.choose(
                self._waiting.values(), target, pool, now_ms
            )
            if chosen:
                found.append(self._call(target, chosen, now_ms))
                if self._lanes.of(target).is_exclusive(now_ms):
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
        lane.finish(call.sent_ms, call.estimate_ms, now_ms)
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
            lane = self._lanes.of(call.target)
            lane.sample((now_ms - call.sent_ms) / call.estimate_ms, now_ms)
            # Inputs of a job that has begun may be gone.
            self._requeue(call, lambda entry: not entry.has_begun)
        expired = [j for j, (_, end) in self._held.items() if end <= now_ms]
        for job_id in expired:
            del self._held[job_id]

    def _expire(
        self, pool: list[targets.Target], now_ms: int
    ) -> list[effects.EndJob]:
        """Give up jobs that cannot end before their deadline."""
        least_ms = self._lanes.estimate_ms(1)
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

    def _call(
        self,
        target: targets.Target,
        chosen: list[tuple[filling.Waiting, int]],
        now_ms: int,
    ) -> effects.RunBatch:
        lane = self._lanes.of(target)
        slowness = lane.current_slowness(now_ms)
        estimate_ms = self._lanes.estimate_ms(len(chosen))
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

    def _begin(
        self, chosen: list[tuple[filling.Waiting, int]]
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

    def _close(self, call: _Call, now_ms: int) -> lanes.Lane:
        lane = self._lanes.of(call.target)
        lane.calls -= 1
        lane.reserved_bytes -= call.reserved_bytes
        lane.free_ms = now_ms
        return lane

    def _item_ended(
        self,
        call: _Call,
        entry: filling.Waiting,
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
            self._lanes.of(call.target).pause(now_ms)
        if entry.tries >= MAX_TRIES:
            return self._fail(entry, bodies.Ending.FAILED, now_ms)
        if index not in entry.made:
            entry.pending.add(index)
        return []

    def _item_made(
        self,
        call: _Call,
        entry: filling.Waiting,
        index: int,
        handle: str,
        unused: list[str],
        now_ms: int,
    ) -> list[effects.EndJob]:
        size = entry.job.asked.result_bytes
        end_ms = now_ms + self.batching.result_ttl_ms
        result = lanes.Result(size, call.sent_ms, end_ms)
        self._lanes.of(call.target).results[handle] = result
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

    def _is_wanted(self, entry: filling.Waiting) -> bool:
        return self._waiting.get(entry.job.asked.job_id) is entry

    def _is_running(self, entry: filling.Waiting) -> bool:
        return any(
            other is entry
            for call in self._calls.values()
            for other, _ in call.entries
        )

    def _requeue(
        self,
        call: _Call,
        condition: typing.Callable[
            [filling.Waiting], bool
        ] = lambda entry: True,
    ) -> None:
        for entry, index in call.entries:
            is_open = self._is_wanted(entry) and index not in entry.made
            if is_open and condition(entry):
                entry.pending.add(index)

    def _fail(
        self, entry: filling.Waiting, ending: bodies.Ending, now_ms: int
    ) -> list[typing.Any]:
        if not self._is_wanted(entry):
            return []
        del self._waiting[entry.job.asked.job_id]
        entry.pending.clear()
        freed = self._free(list(entry.made.values()), now_ms)
        return [self._end(entry.job, ending, 0), *freed]

    def _end(
        self, job: filling.Job, ending: bodies.Ending, wait_ms: int
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
        self._lanes.freed(handles, now_ms)
        return [effects.FreeResults(tuple(handles))]


def _item(
    entry: filling.Waiting, index: int, now_ms: int
) -> effects.BatchItem:
    asked = entry.job.asked
    return effects.BatchItem(
        attempt_id=asked.attempt_id,
        stage=asked.stage,
        index=index,
        left_ms=max(1, entry.job.deadline_ms - now_ms),
        item_key=asked.item_key,
        inputs=asked.inputs,
    )
