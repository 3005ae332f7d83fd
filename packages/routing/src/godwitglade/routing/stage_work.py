"""Stage work shared between hosts: job requests, reports and lost owners.

The owner of a pool batches the items of all hosts (see `batching`). Jobs of
an owner that does not answer are requested again from the next host in
rank; items may run more than once.
"""

import collections
import functools
import itertools
import typing

import attrs

from godwitglade.common import events
from godwitglade.coordination import effects as shared_effects
from godwitglade.coordination import hosts
from godwitglade.coordination import membership as memberships
from godwitglade.coordination import messages as shared_messages
from godwitglade.routing import batching
from godwitglade.routing import bodies
from godwitglade.routing import document_state
from godwitglade.routing import effects
from godwitglade.routing import hand_over
from godwitglade.routing import home_regions
from godwitglade.routing import messages
from godwitglade.routing import owners
from godwitglade.routing import pool_waits
from godwitglade.routing import reports
from godwitglade.routing import target_changes
from godwitglade.routing import targets

Effects = list[typing.Any]

FAILED = bodies.Ending.FAILED

TICK_TOKEN = 'work:tick'
REQUEST_TOKEN = 'work:ask:'
WAITS_TOKEN = 'work:waits:'

#: An owner with jobs of this host is probed after this time of silence.
OWNER_SILENCE_MS = 250
#: Interval at which the state of a pool with work is logged.
POOL_STATE_INTERVAL_MS = 1_000


@attrs.define(eq=False)
class _Owner:
    """Jobs and messages of this host that are pending at an owner."""

    name: str
    address: str
    incarnation: int | None = None
    jobs: dict[str, bodies.JobRequest] = attrs.Factory(dict)
    last_contact_ms: int = 0
    pending_count: int = 0


class StageWork:
    """Jobs that this host requests, and the pools that it owns.

    ``on_job_ended`` is called with the result of a job that this host
    requested, ``on_job_started`` with the id of a job whose items are all
    in calls, and ``resubmit`` with the id of a job whose owner is lost.
    """

    def __init__(
        self,
        self_id: hosts.HostId,
        address: str,
        members_: memberships.Membership,
        document_state_: document_state.DocumentState,
        directory: targets.Directory,
        cut_off: hand_over.CutOffHosts,
        home: home_regions.HomeRegions | None = None,
    ) -> None:
        self._home = home or home_regions.HomeRegions({})
        self._self_id = self_id
        self._address = address
        self._document_state = document_state_
        self._directory = directory
        self._numbers = itertools.count(1)
        self._batchers: dict[str, batching.Batcher] = {}
        self._owners: dict[str, _Owner] = {}
        self._owner_of_job: dict[str, str] = {}
        self.owners = owners.Owners(self_id, members_, cut_off)
        self._pending: dict[str, tuple[str, tuple[str, ...]]] = {}
        self._reports = reports.Reports()
        self._is_ticking = False
        self._state_logged_ms: dict[str, int] = {}
        self._pool_waits = pool_waits.PoolWaits()
        self._waits_reported_ms: dict[str, int] = {}
        self.on_job_ended: typing.Callable[..., Effects] = _no_effects
        self.on_job_started: typing.Callable[..., Effects] = _no_effects
        self.resubmit: typing.Callable[..., Effects] = _no_effects

    @property
    def is_idle(self) -> bool:
        """Return whether no pool owned by this host has work."""
        return all(b.is_idle for b in self._batchers.values())

    @functools.singledispatchmethod
    def handle(self, message: typing.Any, now_ms: int) -> Effects:
        """Handle a message; messages of other components are ignored."""
        return []

    @handle.register
    def _(self, message: shared_messages.PeerMessage, now_ms: int) -> Effects:
        effects_ = self._receive(message.body, message.sender, now_ms)
        received = bodies.Received(self._self_id.incarnation)
        reply = shared_effects.ReplyPeer(message.reply_token, received)
        return [reply, *effects_]

    @handle.register
    def _(self, message: shared_messages.PeerReply, now_ms: int) -> Effects:
        if message.token.startswith(reports.END_TOKEN):
            return self._reports.handle_reply(message)
        name, job_ids = self._pending.pop(message.token, ('', ()))
        owner = self._owners.get(name)
        if owner is None:
            return []
        owner.pending_count -= 1
        if not isinstance(message.body, bodies.Received):
            return self._replace_owner(owner, 'no answer', now_ms)
        owner.last_contact_ms = now_ms
        self.owners.record_reply(owner.name)
        if owner.incarnation not in (None, message.body.life):
            owner.incarnation = message.body.life
            return self._replace_owner(
                owner, 'restarted', now_ms, set(job_ids)
            )
        owner.incarnation = message.body.life
        return []

    @handle.register
    def _(self, message: shared_messages.TimerFired, now_ms: int) -> Effects:
        if message.token != TICK_TOKEN:
            return []
        self._is_ticking = False
        effects_: Effects = []
        for owner in list(self._owners.values()):
            effects_ += self._probe_silent(owner, now_ms)
        for batcher in self._batchers.values():
            batcher.tick(now_ms)
            effects_ += self._dispatch(batcher, now_ms)
            effects_ += self._log_pool_state(batcher, now_ms)
            effects_ += self._report_waits(batcher, now_ms)
        return effects_ + self._ensure_ticking(now_ms)

    def _apply_notice(
        self,
        message: messages.BatchEnded | messages.BatchNotRun,
        now_ms: int,
    ) -> Effects:
        """Apply what a target says of itself; return log events."""
        batcher = self._batcher_of_call(message.call_id)
        target = batcher.target_of(message.call_id)
        if target is None:
            return []
        changes = self._directory.apply_notice(target, message.notice, now_ms)
        return target_changes.logs(changes, self._directory.version)

    @handle.register
    def _(self, message: messages.BatchEnded, now_ms: int) -> Effects:
        noted = self._apply_notice(message, now_ms)
        batcher = self._batcher_of_call(message.call_id)
        effects_ = batcher.ended(message, now_ms)
        return [
            *noted,
            *_log_incomplete(message),
            *self._report_and_log(effects_, now_ms),
            *self._dispatch(batcher, now_ms),
        ]

    @handle.register
    def _(self, message: messages.BatchNotRun, now_ms: int) -> Effects:
        effects_ = self._apply_notice(message, now_ms)
        batcher = self._batcher_of_call(message.call_id)
        batcher.not_run(message, now_ms)
        if message.is_misdirected:
            effects_.append(effects.RefreshTargets())
        return effects_ + self._dispatch(batcher, now_ms)

    @handle.register
    def _(self, message: messages.BatchLost, now_ms: int) -> Effects:
        batcher = self._batcher_of_call(message.call_id)
        effects_ = self._report_and_log(batcher.lost(message, now_ms), now_ms)
        log = shared_effects.LogEvent(
            events.Event.BATCH_LOST,
            {'call': message.call_id, 'detail': message.detail},
        )
        return [log, *effects_, *self._dispatch(batcher, now_ms)]

    def submit(
        self, jobs: typing.Sequence[bodies.JobRequest], now_ms: int
    ) -> Effects:
        """Submit jobs to the owners of their pools."""
        effects_: Effects = []
        by_owner = _grouped(
            (self.owners.owner_of(job.pool, now_ms), job) for job in jobs
        )
        for name, owned in by_owner.items():
            for job in owned:
                self._owner_of_job[job.job_id] = name
            if name == self._self_id.name:
                effects_ += self._accept(owned, name, now_ms)
            else:
                effects_ += self._send_jobs(name, tuple(owned), now_ms)
        return effects_ + self._ensure_ticking(now_ms)

    def release(self, job_ids: typing.Iterable[str], now_ms: int) -> Effects:
        """Notify the owners of jobs that the results are not needed."""
        effects_: Effects = []
        own: list[str] = []
        released: dict[str, list[str]] = {}
        for job_id in job_ids:
            name = self._owner_of_job.pop(job_id, '')
            owner = self._owners.get(name)
            if name == self._self_id.name:
                own.append(job_id)
            elif owner is not None:
                owner.jobs.pop(job_id, None)
                released.setdefault(owner.address, []).append(job_id)
        if own:
            effects_ += self._release_jobs(own, now_ms)
        # Sent at once, since memory for results is the bottleneck.
        effects_ += [self._send_release(*pair) for pair in released.items()]
        return effects_ + self._ensure_ticking(now_ms)

    def end(self, ended: list[effects.ReportJobEnded], now_ms: int) -> Effects:
        """Report ends of jobs to the hosts that requested them."""
        effects_: Effects = []
        by_origin = _grouped((e.origin, e.job) for e in ended)
        for origin, jobs in by_origin.items():
            if origin == self._self_id.name:
                for job in jobs:
                    effects_ += self.on_job_ended(job, now_ms)
            else:
                body = bodies.WorkEnded(tuple(jobs))
                effects_.append(self._reports.send(origin, body))
        return effects_

    def _report_started(
        self, started: list[effects.ReportJobStarted], now_ms: int
    ) -> Effects:
        effects_: Effects = []
        by_origin = _grouped((e.origin, e.job_id) for e in started)
        for origin, job_ids in by_origin.items():
            if origin == self._self_id.name:
                for job_id in job_ids:
                    effects_ += self.on_job_started(job_id, now_ms)
            else:
                body = bodies.WorkEnded(begun=tuple(job_ids))
                effects_.append(self._reports.send(origin, body))
        return effects_

    def waiting_since_ms(self) -> int | None:
        """Return when the oldest stage call was sent, None for no call."""
        sent = (b.oldest_call_ms() for b in self._batchers.values())
        return min((ms for ms in sent if ms is not None), default=None)

    def transfer_jobs(self, now_ms: int) -> Effects:
        """Return queued jobs to their hosts, since this host is leaving."""
        moved = [e for b in self._batchers.values() for e in b.return_queued()]
        return self.end(moved, now_ms)

    def _receive(
        self, body: typing.Any, sender: hosts.HostId, now_ms: int
    ) -> Effects:
        if isinstance(body, bodies.WorkRequest):
            effects_ = self._accept(body.jobs, body.address, now_ms)
            return effects_ + self._ensure_ticking(now_ms)
        if isinstance(body, bodies.WorkReleased):
            return self._release_jobs(body.job_ids, now_ms)
        if isinstance(body, bodies.PoolWaits):
            self._pool_waits.record(body, now_ms)
        if not isinstance(body, bodies.WorkEnded):
            return []
        effects_ = []
        for job in body.jobs:
            owner = self._owners.get(sender.name)
            if owner is not None:
                owner.last_contact_ms = now_ms
                owner.jobs.pop(job.job_id, None)
            if job.ending is bodies.Ending.MOVED:
                self.owners.skip(sender.name, now_ms)
            effects_ += self.on_job_ended(job, now_ms)
        for job_id in body.begun:
            effects_ += self.on_job_started(job_id, now_ms)
        return effects_

    def _accept(
        self,
        jobs: typing.Sequence[bodies.JobRequest],
        origin: str,
        now_ms: int,
    ) -> Effects:
        effects_: Effects = []
        batchers = []
        for request in jobs:
            batcher = self._batcher(request.pool)
            must_move = self.owners.is_leaving and origin != self._self_id.name
            if batcher is None or must_move:
                ending = bodies.Ending.MOVED if must_move else FAILED
                ended = bodies.JobEnded(request.job_id, ending, request.pool)
                effects_ += self.end(
                    [effects.ReportJobEnded(origin, ended)], now_ms
                )
                continue
            pool = self._directory.usable(
                request.pool,
                now_ms,
                regions=home_regions.allowed(request.regions),
            )
            lead_ms = batcher.lead_ms(request, pool, now_ms)
            job = self._pool_waits.make_job(request, origin, lead_ms, now_ms)
            refused = batcher.submit(job, pool, now_ms)
            if not refused:
                self._pool_waits.record_accepted(request, now_ms)
            effects_ += self._report_and_log(refused, now_ms)
            batchers.append(batcher)
        for batcher in {id(b): b for b in batchers}.values():
            effects_ += self._dispatch(batcher, now_ms)
        return effects_

    def _release_jobs(
        self, job_ids: typing.Iterable[str], now_ms: int
    ) -> Effects:
        effects_: Effects = []
        for batcher in self._batchers.values():
            freed = batcher.release(job_ids, now_ms)
            if freed:
                effects_ += [*freed, *self._dispatch(batcher, now_ms)]
        return effects_

    def dispatch_all(self, now_ms: int) -> Effects:
        """Make the calls, and the refusals, that other targets allow."""
        return [
            effect
            for batcher in self._batchers.values()
            for effect in self._dispatch(batcher, now_ms)
        ]

    def _dispatch(self, batcher: batching.Batcher, now_ms: int) -> Effects:
        def can_serve(regions: tuple[str, ...]) -> bool:
            # A pool without any target waits for one that joins.
            may_wait = not regions and not self._directory.evacuated
            return may_wait or self._directory.can_serve(
                batcher.name, home_regions.allowed(regions)
            )

        effects_ = batcher.fail_unservable(can_serve, now_ms)
        pool = self._directory.usable(batcher.name, now_ms)
        effects_ += batcher.dispatch(pool, now_ms)
        return self._report_and_log(effects_, now_ms)

    def _report_and_log(self, effects_: Effects, now_ms: int) -> Effects:
        """Send the reports in ``effects_``; log calls, return the rest."""
        effects_ += [_log_call(e) for e in effects_ if _is_batch_call(e)]
        ended = [e for e in effects_ if isinstance(e, effects.ReportJobEnded)]
        started = [
            e for e in effects_ if isinstance(e, effects.ReportJobStarted)
        ]
        reported = (effects.ReportJobEnded, effects.ReportJobStarted)
        rest = [e for e in effects_ if not isinstance(e, reported)]
        rest += self._report_started(started, now_ms)
        if not ended:
            return rest
        waits = {
            name: batcher.wait_ms(self._directory.usable(name, now_ms), now_ms)
            for name, batcher in self._batchers.items()
        }
        reported = [
            attrs.evolve(e, job=_with_wait(e.job, waits)) for e in ended
        ]
        return rest + self.end(reported, now_ms)

    def _log_pool_state(
        self, batcher: batching.Batcher, now_ms: int
    ) -> Effects:
        logged_ms = self._state_logged_ms.get(batcher.name, 0)
        if batcher.is_idle or now_ms - logged_ms < POOL_STATE_INTERVAL_MS:
            return []
        self._state_logged_ms[batcher.name] = now_ms
        pool = self._directory.usable(batcher.name, now_ms)
        fields = batcher.summary(pool, now_ms)
        return [shared_effects.LogEvent(events.Event.POOL_STATE, fields)]

    def _report_waits(self, batcher: batching.Batcher, now_ms: int) -> Effects:
        """Report the waits of a pool to the owners of the others."""
        reported_ms = self._waits_reported_ms.get(batcher.name, 0)
        is_due = now_ms - reported_ms >= pool_waits.REPORT_INTERVAL_MS
        if batcher.is_idle or not is_due:
            return []
        self._waits_reported_ms[batcher.name] = now_ms
        pool = self._directory.usable(batcher.name, now_ms)
        report = batcher.report_waits(pool, now_ms)
        self._pool_waits.record(report, now_ms)
        addresses = self.owners.candidates()
        names = {
            self.owners.owner_of(name, now_ms)
            for name, other in self._document_state.document.pools.items()
            if other.batching is not None
        }
        return [
            shared_effects.SendPeer(
                f'{WAITS_TOKEN}{next(self._numbers)}',
                addresses[name],
                report,
                reports.CONFIRM_TIMEOUT_MS,
            )
            for name in sorted(names - {self._self_id.name})
        ]

    def _batcher(self, name: str) -> batching.Batcher | None:
        document = self._document_state.document
        pool = document.pools.get(name) if document is not None else None
        if pool is None or pool.batching is None:
            return None
        batcher = self._batchers.get(name)
        if batcher is None:
            batcher = batching.Batcher(
                name, pool.batching, f'{name}|', self._home
            )
            self._batchers[name] = batcher
        batcher.batching = pool.batching
        return batcher

    def _batcher_of_call(self, call_id: str) -> batching.Batcher:
        return self._batchers[call_id.rpartition('|')[0]]

    def _send_jobs(
        self, name: str, jobs: tuple[bodies.JobRequest, ...], now_ms: int
    ) -> Effects:
        owner = self._owners.get(name)
        address = self.owners.candidates()[name]
        if owner is None or owner.address != address:
            owner = _Owner(name, address, last_contact_ms=now_ms)
            self._owners[name] = owner
        owner.jobs.update((job.job_id, job) for job in jobs)
        owner.pending_count += 1
        token = f'{REQUEST_TOKEN}{next(self._numbers)}'
        self._pending[token] = (name, tuple(job.job_id for job in jobs))
        body = bodies.WorkRequest(self._address, jobs)
        send = shared_effects.SendPeer(
            token, owner.address, body, reports.CONFIRM_TIMEOUT_MS
        )
        return [send]

    def _send_release(
        self, address: str, job_ids: list[str]
    ) -> shared_effects.SendPeer:
        token = f'{REQUEST_TOKEN}{next(self._numbers)}'
        body = bodies.WorkReleased(tuple(job_ids))
        return shared_effects.SendPeer(
            token, address, body, reports.CONFIRM_TIMEOUT_MS
        )

    def _probe_silent(self, owner: _Owner, now_ms: int) -> Effects:
        """Send an empty request to a silent owner that has pending jobs."""
        is_silent = now_ms - owner.last_contact_ms > OWNER_SILENCE_MS
        if not owner.jobs or owner.pending_count or not is_silent:
            return []
        if owner.name not in self.owners.candidates():
            return self._replace_owner(owner, 'left', now_ms)
        return self._send_jobs(owner.name, (), now_ms)

    def _replace_owner(
        self,
        owner: _Owner,
        reason: str,
        now_ms: int,
        accepted_ids: set[str] = frozenset(),
    ) -> Effects:
        """Request the jobs of a lost owner from the next one.

        ``accepted_ids`` are jobs that a restarted owner has just accepted.
        """
        if not accepted_ids:
            self.owners.suspend(owner.name, now_ms)
        lost = [job_id for job_id in owner.jobs if job_id not in accepted_ids]
        effects_: Effects = [
            shared_effects.LogEvent(
                events.Event.OWNER_LOST,
                {'owner': owner.name, 'reason': reason, 'jobs': len(lost)},
            )
        ]
        for job_id in lost:
            del owner.jobs[job_id]
            self._owner_of_job.pop(job_id, None)
        for job_id in lost:
            effects_ += self.resubmit(job_id, now_ms)
        return effects_

    def _ensure_ticking(self, now_ms: int) -> Effects:
        has_jobs = any(owner.jobs for owner in self._owners.values())
        if self._is_ticking or (self.is_idle and not has_jobs):
            return []
        self._is_ticking = True
        due_ms = now_ms + batching.TICK_MS
        return [shared_effects.StartTimer(TICK_TOKEN, due_ms)]


def _grouped(
    pairs: typing.Iterable[tuple[str, typing.Any]],
) -> dict[str, list[typing.Any]]:
    """Group values by name; names and values keep their order."""
    groups: dict[str, list[typing.Any]] = {}
    for name, value in pairs:
        groups.setdefault(name, []).append(value)
    return groups


def _with_wait(job: bodies.JobEnded, waits: dict[str, int]) -> bodies.JobEnded:
    if job.wait_ms:
        return job
    return attrs.evolve(job, wait_ms=max(0, waits.get(job.pool, 0)))


def _is_batch_call(effect: typing.Any) -> bool:
    return isinstance(effect, effects.RunBatch)


def _log_call(effect: effects.RunBatch) -> shared_effects.LogEvent:
    requests = dict.fromkeys(item.attempt_id for item in effect.items)
    fields = {
        'call': effect.call_id,
        'target': effect.target.name,
        'items': len(effect.items),
        'requests': list(requests),
    }
    return shared_effects.LogEvent(events.Event.BATCH_SENT, fields)


def _log_incomplete(
    message: messages.BatchEnded,
) -> list[shared_effects.LogEvent]:
    failures = collections.Counter(
        result.failure for result in message.results if not result.handle
    )
    if not failures:
        return []
    fields = {
        'call': message.call_id,
        'items': len(message.results),
        'failures': dict(failures),
    }
    return [shared_effects.LogEvent(events.Event.BATCH_INCOMPLETE, fields)]


def _no_effects(*_args: typing.Any) -> Effects:
    return []
