"""Dynamic batching of stage items at the host that owns a pool.

A stage call has a large fixed cost, and targets have little memory for
results. Items of all hosts therefore wait in one queue; each free target
gets the most urgent items that can still meet their objective, then others
to fill the call. Jobs that cannot end in time are refused at once.
"""

import collections
import itertools
import math
import statistics
import typing

import attrs

from godwitglade.routing import bodies
from godwitglade.routing import documents
from godwitglade.routing import effects
from godwitglade.routing import home_regions
from godwitglade.routing import item_selection
from godwitglade.routing import messages
from godwitglade.routing import target_states
from godwitglade.routing import targets

#: Interval at which overdue calls and freed memory are checked.
TICK_MS = 50
#: Items of a call that exceeds its estimate this many times are repeated at
#: another target.
OVERDUE_FACTOR = 2.0
#: Slack before a call is overdue, for the network and the target's queue.
OVERDUE_SLACK_MS = 150
#: A call times out after this many times its estimate, and this slack. A
#: short call would otherwise be lost when its target stands still briefly,
#: and the target be paused for many times as long as the call takes.
TIMEOUT_FACTOR = 8.0
TIMEOUT_SLACK_MS = 400
#: Times an item is tried before its job fails.
MAX_TRIES = 3
#: Items of a job; a host would run out of memory over a larger number.
MAX_ITEMS = 10_000
#: A job that would miss its objective is queued only if at most this many
#: full calls, of all its stages together, are ahead of it.
MAX_LATE_QUEUE_CALLS = 1.0
#: The same for the items that do not fit the next call of each target. A
#: longer backlog means overload: later jobs would be late, too.
MAX_LATE_BACKLOG_CALLS = 0.25


@attrs.define(eq=False)
class _Call:
    target: targets.Target
    entries: list[tuple[item_selection.QueuedJob, int]]
    sent_ms: int
    estimate_ms: float
    reserved_bytes: int
    is_overdue: bool = False


class Batcher:
    """The queue of one pool and the calls made from it."""

    def __init__(
        self,
        name: str,
        batching: documents.Batching,
        prefix: str,
        home: home_regions.HomeRegions | None = None,
    ) -> None:
        self.name = name
        self._prefix = prefix
        self._numbers = itertools.count(1)
        self._waiting: dict[str, item_selection.QueuedJob] = {}
        self._calls: dict[str, _Call] = {}
        self._states = target_states.TargetStates(batching)
        self._selector = item_selection.ItemSelector(self._states, home)
        self._retained: dict[str, tuple[tuple[str, ...], int]] = {}

    @property
    def batching(self) -> documents.Batching:
        """Return how the pool's targets process items."""
        return self._states.batching

    @batching.setter
    def batching(self, batching: documents.Batching) -> None:
        self._states.batching = batching

    @property
    def is_idle(self) -> bool:
        """Return whether the queue is empty and no call is in progress."""
        return not self._waiting and not self._calls

    def summary(
        self, pool: list[targets.Target], now_ms: int
    ) -> dict[str, typing.Any]:
        """Return the length of the queue and the state of the targets."""
        queued = [entry for entry in self._waiting.values() if entry.pending]
        return {
            'pool': self.name,
            'queued_jobs': len(queued),
            'queued_items': sum(len(entry.pending) for entry in queued),
            **self._states.summary(pool, now_ms),
        }

    def wait_ms(self, pool: list[targets.Target], now_ms: int) -> int:
        """Estimate the time that a new job would lose, last in the queue."""
        return self._wait(pool, now_ms, None).wait_ms

    def _wait(
        self, pool: list[targets.Target], now_ms: int, rank: int | None
    ) -> bodies.QueueWait:
        """Estimate the wait of a new job of ``rank``, None for the last.

        It waits for the items ahead of it, and its call takes longer than
        one of its own items since others share it.
        """
        if not pool:
            ttl_ms = self.batching.result_ttl_ms
            return bodies.QueueWait(rank or 0, ttl_ms, ttl_ms)
        entries = [
            entry
            for entry in self._waiting.values()
            if entry.pending
            and self._selector.may_run(entry.job.request.regions, pool)
        ]
        all_items = sum(len(e.pending) for e in entries)
        if rank is not None:
            entries = [e for e in entries if self._is_ahead(e, rank, now_ms)]
        items = sum(len(e.pending) for e in entries)
        slots = len(pool) * self.batching.concurrency
        each_ms = self._states.per_item_ms(self._mean_result_bytes()) / slots
        ready_ms = min(self._states.ready_ms(t, now_ms) for t in pool)
        # Items in a call that is not full do not delay the new job.
        items_ahead = items - self.batching.max_items * slots + 1
        shared_ms = self._states.excess_ms(pool, all_items / slots, now_ms)
        backlog_ms = items_ahead * each_ms
        wait_ms = ready_ms - now_ms + max(0.0, backlog_ms) + shared_ms
        return bodies.QueueWait(
            rank or 0, math.ceil(wait_ms), math.ceil(backlog_ms)
        )

    def report_waits(
        self, pool: list[targets.Target], now_ms: int
    ) -> bodies.PoolWaits:
        """Return the waits of new jobs by rank, and what later pools get."""
        entries = self._waiting.values()
        ranks = {entry.job.request.rank for entry in entries}
        coming = collections.Counter(
            (later, entry.job.request.rank)
            for entry in entries
            if not self._selector.is_late(entry, len(entry.pending), now_ms)
            for later in entry.job.request.later_pools
        )
        counts = [entry.job.request.count for entry in entries]
        mean_count = statistics.fmean(counts or [1])
        slots = max(1, len(pool) * self.batching.concurrency)
        each_ms = self._states.per_item_ms(self._mean_result_bytes()) / slots
        return bodies.PoolWaits(
            self.name,
            tuple(self._wait(pool, now_ms, rank) for rank in sorted(ranks)),
            mean_count * each_ms,
            math.ceil(self._states.estimate_ms(mean_count)),
            tuple(
                bodies.ComingJobs(later, rank, count)
                for (later, rank), count in coming.items()
            ),
        )

    def lead_ms(
        self,
        request: bodies.JobRequest,
        pool: list[targets.Target],
        now_ms: int,
    ) -> float:
        """Estimate the time until a new job would end."""
        wait = self._wait(pool, now_ms, request.rank)
        return wait.wait_ms + self._states.estimate_ms(request.count)

    def submit(
        self, job: item_selection.Job, pool: list[targets.Target], now_ms: int
    ) -> list[typing.Any]:
        """Enqueue a job, or refuse it when it would end too late."""
        if job.request.job_id in self._waiting:
            return []
        wait = self._wait(pool, now_ms, job.request.rank)
        job_ms = self._states.estimate_ms(job.request.count)
        end_ms = now_ms + wait.wait_ms + job_ms
        full_call_ms = self._states.estimate_ms(self.batching.max_items)
        ahead_ms = wait.wait_ms + job.request.later_wait_ms
        backlog_ms = max(0, wait.backlog_ms) + job.later_backlog_ms
        # A job with inputs is not refused for that, since earlier stages
        # have already done work for it.
        is_queue_long = not job.request.inputs and (
            ahead_ms > MAX_LATE_QUEUE_CALLS * full_call_ms
            or backlog_ms > MAX_LATE_BACKLOG_CALLS * full_call_ms
        )
        is_sound = 0 <= job.request.count <= MAX_ITEMS
        if (
            not is_sound
            or end_ms > job.deadline_ms
            or (end_ms > job.due_ms and is_queue_long)
        ):
            return [
                self._report_ended(job, bodies.Ending.REFUSED, wait.wait_ms)
            ]
        items = set(range(job.request.count))
        entry = item_selection.QueuedJob(job, next(self._numbers), items)
        self._waiting[job.request.job_id] = entry
        return []

    def release(
        self, job_ids: typing.Iterable[str], now_ms: int
    ) -> list[effects.FreeResults]:
        """Remove jobs and free their results at the targets."""
        handles: list[str] = []
        for job_id in job_ids:
            entry = self._waiting.pop(job_id, None)
            if entry is not None:
                entry.pending.clear()
                handles += entry.handles.values()
            handles += self._retained.pop(job_id, ((), 0))[0]
        return self._free(handles, now_ms)

    def target_of(self, call_id: str) -> targets.Target | None:
        """Return the target of a running call."""
        call = self._calls.get(call_id)
        return None if call is None else call.target

    def oldest_call_ms(self) -> int | None:
        """Return when the oldest running call was sent, None for no call."""
        return min((c.sent_ms for c in self._calls.values()), default=None)

    def return_queued(self) -> list[effects.ReportJobEnded]:
        """Return queued jobs to their hosts, since this host is leaving."""
        moved = [e for e in self._waiting.values() if not self._is_running(e)]
        for entry in moved:
            del self._waiting[entry.job.request.job_id]
        return [
            self._report_ended(e.job, bodies.Ending.MOVED, 0) for e in moved
        ]

    def fail_unservable(
        self,
        can_serve: typing.Callable[[tuple[str, ...]], bool],
        now_ms: int,
    ) -> list[typing.Any]:
        """Fail waiting jobs whose regions have no target left.

        Jobs with items in calls may still complete.
        """
        waiting = [entry for entry in self._waiting.values() if entry.pending]
        named = {entry.job.request.regions for entry in waiting}
        closed = {regions for regions in named if not can_serve(regions)}
        return [
            effect
            for entry in waiting
            if entry.job.request.regions in closed
            and not self._is_running(entry)
            for effect in self._fail_job(entry, bodies.Ending.FAILED, now_ms)
        ]

    def dispatch(
        self, pool: list[targets.Target], now_ms: int
    ) -> list[typing.Any]:
        """Return calls for the free targets, and ends of expired jobs."""
        effects_: list[typing.Any] = self._expire(pool, now_ms)
        free = [t for t in pool if self._states.is_free(t, now_ms)]
        free.sort(key=lambda t: self._states.of(t).current_slowness(now_ms))
        for target in free:
            if not any(e.pending for e in self._waiting.values()):
                break
            chosen = self._selector.choose(
                self._waiting.values(), target, pool, now_ms
            )
            if chosen:
                effects_.append(self._start_call(target, chosen, now_ms))
                if self._states.of(target).is_exclusive(now_ms):
                    effects_ += self._report_started(chosen)
        return effects_

    def ended(
        self, message: messages.BatchEnded, now_ms: int
    ) -> list[typing.Any]:
        """Apply the results of a call."""
        call = self._calls.pop(message.call_id, None)
        if call is None:
            handles = [r.handle for r in message.results if r.handle]
            return self._free(handles, now_ms)
        state = self._end_call(call, now_ms)
        state.record_call(call.sent_ms, call.estimate_ms, now_ms)
        outcomes = list(
            itertools.zip_longest(
                call.entries,
                message.results[: len(call.entries)],
                fillvalue=messages.ItemResult(failure='error'),
            )
        )
        if any(result.failure == 'room' for _, result in outcomes):
            state.pause(now_ms)
        _count_tries(outcomes)
        effects_: list[typing.Any] = []
        unused: list[str] = []
        for (entry, index), result in outcomes:
            effects_ += self._item_ended(
                call, entry, index, result, unused, now_ms
            )
        return effects_ + self._free(unused, now_ms)

    def not_run(self, message: messages.BatchNotRun, now_ms: int) -> None:
        """Enqueue the items of a refused call again."""
        call = self._calls.pop(message.call_id, None)
        if call is not None:
            state = self._end_call(call, now_ms)
            state.pause(now_ms)
            state.contended_ms = now_ms
            self._requeue(call)

    def lost(
        self, message: messages.BatchLost, now_ms: int
    ) -> list[typing.Any]:
        """Enqueue the items of a lost call; fail jobs after MAX_TRIES."""
        call = self._calls.pop(message.call_id, None)
        if call is None:
            return []
        self._end_call(call, now_ms).pause(now_ms)
        entries = {id(entry): entry for entry, _ in call.entries}
        for entry in entries.values():
            entry.tries += 1
        self._requeue(call)
        return [
            effect
            for entry in entries.values()
            if entry.tries >= MAX_TRIES
            for effect in self._fail_job(entry, bodies.Ending.FAILED, now_ms)
        ]

    def tick(self, now_ms: int) -> None:
        """Enqueue the items of overdue calls again."""
        for call in self._calls.values():
            limit_ms = OVERDUE_FACTOR * call.estimate_ms + OVERDUE_SLACK_MS
            if call.is_overdue or now_ms - call.sent_ms <= limit_ms:
                continue
            call.is_overdue = True
            state = self._states.of(call.target)
            state.add_sample(
                (now_ms - call.sent_ms) / call.estimate_ms, now_ms
            )
            # The inputs of a started job may have been freed.
            self._requeue(call, lambda entry: not entry.has_started)
        expired = [
            j for j, (_, end) in self._retained.items() if end <= now_ms
        ]
        for job_id in expired:
            del self._retained[job_id]

    def _expire(
        self, pool: list[targets.Target], now_ms: int
    ) -> list[effects.ReportJobEnded]:
        """Fail jobs that cannot end before their deadline."""
        min_call_ms = self._states.estimate_ms(1)
        late = [
            entry
            for entry in self._waiting.values()
            if entry.pending and now_ms + min_call_ms > entry.job.deadline_ms
        ]
        return [
            effect
            for entry in late
            for effect in self._fail_job(entry, bodies.Ending.LATE, now_ms)
        ]

    def _start_call(
        self,
        target: targets.Target,
        chosen: list[tuple[item_selection.QueuedJob, int]],
        now_ms: int,
    ) -> effects.RunBatch:
        state = self._states.of(target)
        slowness = state.current_slowness(now_ms)
        estimate_ms = self._states.estimate_ms(len(chosen))
        reserved = sum(entry.job.request.result_bytes for entry, _ in chosen)
        call_id = f'{self._prefix}{next(self._numbers)}'
        call = _Call(target, chosen, now_ms, estimate_ms, reserved)
        self._calls[call_id] = call
        state.calls += 1
        state.reserved_bytes += reserved
        state.free_ms = now_ms + estimate_ms * slowness
        for entry, index in chosen:
            entry.pending.discard(index)
        items = tuple(_item(entry, index, now_ms) for entry, index in chosen)
        timeout_ms = int(TIMEOUT_FACTOR * estimate_ms) + TIMEOUT_SLACK_MS
        return effects.RunBatch(call_id, target.listed, items, timeout_ms)

    def _report_started(
        self, chosen: list[tuple[item_selection.QueuedJob, int]]
    ) -> list[effects.ReportJobStarted]:
        """Return reports of the jobs whose items are all in calls now."""
        started = {
            entry.job.request.job_id: entry.job.origin
            for entry, _ in chosen
            if entry.job.request.input_bytes >= bodies.EARLY_FREE_BYTES
            and not entry.pending
            and not entry.has_started
        }
        for entry, _ in chosen:
            entry.has_started |= entry.job.request.job_id in started
        return [
            effects.ReportJobStarted(o, job_id)
            for job_id, o in started.items()
        ]

    def _end_call(self, call: _Call, now_ms: int) -> target_states.TargetState:
        state = self._states.of(call.target)
        state.calls -= 1
        state.reserved_bytes -= call.reserved_bytes
        state.free_ms = now_ms
        return state

    def _item_ended(
        self,
        call: _Call,
        entry: item_selection.QueuedJob,
        index: int,
        result: messages.ItemResult,
        unused: list[str],
        now_ms: int,
    ) -> list[effects.ReportJobEnded]:
        if result.handle:
            return self._item_done(
                call, entry, index, result.handle, unused, now_ms
            )
        if not self._is_queued(entry):
            return []
        if result.failure == 'gone':
            return self._fail_job(entry, bodies.Ending.INPUT_GONE, now_ms)
        if result.failure == 'late':
            return self._fail_job(entry, bodies.Ending.LATE, now_ms)
        if entry.tries >= MAX_TRIES:
            return self._fail_job(entry, bodies.Ending.FAILED, now_ms)
        if index not in entry.handles:
            entry.pending.add(index)
        return []

    def _item_done(
        self,
        call: _Call,
        entry: item_selection.QueuedJob,
        index: int,
        handle: str,
        unused: list[str],
        now_ms: int,
    ) -> list[effects.ReportJobEnded]:
        size = entry.job.request.result_bytes
        end_ms = now_ms + self.batching.result_ttl_ms
        result = target_states.Result(size, call.sent_ms, end_ms)
        self._states.of(call.target).results[handle] = result
        if not self._is_queued(entry) or index in entry.handles:
            unused.append(handle)
            return []
        entry.handles[index] = handle
        entry.pending.discard(index)
        entry.zone = call.target.listed.zone
        if len(entry.handles) < entry.job.request.count:
            return []
        job = entry.job
        del self._waiting[job.request.job_id]
        handles = tuple(entry.handles[n] for n in range(job.request.count))
        self._retained[job.request.job_id] = (handles, end_ms)
        ended = bodies.JobEnded(
            job.request.job_id,
            bodies.Ending.DONE,
            self.name,
            handles,
            entry.zone,
        )
        return [effects.ReportJobEnded(job.origin, ended)]

    def _mean_result_bytes(self) -> float:
        """Return the mean size of the results of queued items."""
        requests = [
            (entry.job.request.result_bytes, len(entry.pending))
            for entry in self._waiting.values()
        ]
        size = sum(result_bytes * count for result_bytes, count in requests)
        return size / max(1, sum(count for _, count in requests))

    def _is_ahead(
        self, entry: item_selection.QueuedJob, rank: int, now_ms: int
    ) -> bool:
        """Return whether a queued job goes before a new one of ``rank``."""
        is_late = self._selector.is_late(entry, len(entry.pending), now_ms)
        return not is_late and entry.job.request.rank <= rank

    def _is_queued(self, entry: item_selection.QueuedJob) -> bool:
        return self._waiting.get(entry.job.request.job_id) is entry

    def _is_running(self, entry: item_selection.QueuedJob) -> bool:
        return any(
            other is entry
            for call in self._calls.values()
            for other, _ in call.entries
        )

    def _requeue(
        self,
        call: _Call,
        condition: typing.Callable[
            [item_selection.QueuedJob], bool
        ] = lambda entry: True,
    ) -> None:
        for entry, index in call.entries:
            is_open = self._is_queued(entry) and index not in entry.handles
            if is_open and condition(entry):
                entry.pending.add(index)

    def _fail_job(
        self,
        entry: item_selection.QueuedJob,
        ending: bodies.Ending,
        now_ms: int,
    ) -> list[typing.Any]:
        if not self._is_queued(entry):
            return []
        del self._waiting[entry.job.request.job_id]
        entry.pending.clear()
        freed = self._free(list(entry.handles.values()), now_ms)
        return [self._report_ended(entry.job, ending, 0), *freed]

    def _report_ended(
        self, job: item_selection.Job, ending: bodies.Ending, wait_ms: int
    ) -> effects.ReportJobEnded:
        ended = bodies.JobEnded(
            job.request.job_id, ending, self.name, wait_ms=wait_ms
        )
        return effects.ReportJobEnded(job.origin, ended)

    def _free(
        self, handles: list[str], now_ms: int
    ) -> list[effects.FreeResults]:
        if not handles:
            return []
        self._states.record_freed(handles, now_ms)
        return [effects.FreeResults(tuple(handles))]


def _count_tries(
    outcomes: typing.Iterable[
        tuple[tuple[item_selection.QueuedJob, int], messages.ItemResult]
    ],
) -> None:
    """Count a failed try of each job with failed items, once for a call."""
    failed = {
        id(entry): entry
        for (entry, _), result in outcomes
        if result.failure not in ('', 'room')
    }
    for entry in failed.values():
        entry.tries += 1


def _item(
    entry: item_selection.QueuedJob, index: int, now_ms: int
) -> effects.BatchItem:
    request = entry.job.request
    return effects.BatchItem(
        attempt_id=request.attempt_id,
        stage=request.stage,
        index=index,
        left_ms=max(1, entry.job.deadline_ms - now_ms),
        item_key=request.item_key,
        inputs=request.inputs,
    )
