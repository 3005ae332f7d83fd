"""Stage work between hosts: who owns a pool, and what is asked of whom.

Answers the heaviest days together with `batching`: items of all hosts meet
at the owner of their pool. An owner that does not answer loses its jobs to
the next one in rank; a job is repeated then, which items allow.
"""

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
from godwitglade.routing import effects
from godwitglade.routing import filling
from godwitglade.routing import knowledge
from godwitglade.routing import messages
from godwitglade.routing import owners
from godwitglade.routing import reports
from godwitglade.routing import targets

Effects = list[typing.Any]

FAILED = bodies.Ending.FAILED

TICK_TOKEN = 'work:tick'
ASK_TOKEN = 'work:ask:'

#: An owner with jobs of ours that was silent this long is asked again.
SILENCE_MS = 250


@attrs.define(eq=False)
class _Owner:
    """What this host has outstanding at an owner."""

    name: str
    address: str
    life: int | None = None
    jobs: dict[str, bodies.JobAsked] = attrs.Factory(dict)
    heard_ms: int = 0
    asked: int = 0


class Work:
    """Jobs this host asks for, and the pools that it owns.

    ``report`` takes in the end of a job that this host asked for, ``begun``
    the id of one whose items are in calls, and ``resubmit`` that of one
    whose owner is lost.
    """

    def __init__(
        self,
        self_id: hosts.HostId,
        address: str,
        members_: memberships.Membership,
        knowledge_: knowledge.Knowledge,
        directory: targets.Directory,
    ) -> None:
        self._self_id = self_id
        self._address = address
        self._knowledge = knowledge_
        self._directory = directory
        self._numbers = itertools.count(1)
        self._batchers: dict[str, batching.Batcher] = {}
        self._owners: dict[str, _Owner] = {}
        self._owner_of_job: dict[str, str] = {}
        self.owners = owners.Owners(self_id, members_)
        self._asked: dict[str, tuple[str, tuple[str, ...]]] = {}
        self._reports = reports.Reports()
        self._is_ticking = False
        self.report: typing.Callable[..., Effects] = _ignore
        self.begun: typing.Callable[..., Effects] = _ignore
        self.resubmit: typing.Callable[..., Effects] = _ignore

    @property
    def is_idle(self) -> bool:
        """Tell whether no pool of ours has work."""
        return all(b.is_idle for b in self._batchers.values())

    @functools.singledispatchmethod
    def handle(self, message: typing.Any, now_ms: int) -> Effects:
        """Take in a message; those of other parts are ignored."""
        return []

    @handle.register
    def _(self, message: shared_messages.PeerMessage, now_ms: int) -> Effects:
        found = self._receive(message.body, message.sender, now_ms)
        received = bodies.Received(self._self_id.incarnation)
        reply = shared_effects.ReplyPeer(message.reply_token, received)
        return [reply, *found]

    @handle.register
    def _(self, message: shared_messages.PeerReply, now_ms: int) -> Effects:
        if message.token.startswith(reports.END_TOKEN):
            return self._reports.settled(message)
        name, job_ids = self._asked.pop(message.token, ('', ()))
        owner = self._owners.get(name)
        if owner is None:
            return []
        owner.asked -= 1
        if not isinstance(message.body, bodies.Received):
            return self._lose(owner, 'no answer', now_ms)
        owner.heard_ms = now_ms
        self.owners.confirmed(owner.name)
        if owner.life not in (None, message.body.life):
            owner.life = message.body.life
            return self._lose(owner, 'restarted', now_ms, set(job_ids))
        owner.life = message.body.life
        return []

    @handle.register
    def _(self, message: shared_messages.TimerFired, now_ms: int) -> Effects:
        if message.token != TICK_TOKEN:
            return []
        self._is_ticking = False
        found: Effects = []
        for owner in list(self._owners.values()):
            found += self._watch(owner, now_ms)
        for batcher in self._batchers.values():
            batcher.tick(now_ms)
            found += self._dispatch(batcher, now_ms)
        return found + self._keep_ticking(now_ms)

    @handle.register
    def _(self, message: messages.BatchEnded, now_ms: int) -> Effects:
        batcher = self._batcher_of_call(message.call_id)
        found = batcher.ended(message, now_ms)
        return self._settle(found, now_ms) + self._dispatch(batcher, now_ms)

    @handle.register
    def _(self, message: messages.BatchNotRun, now_ms: int) -> Effects:
        batcher = self._batcher_of_call(message.call_id)
        batcher.not_run(message, now_ms)
        found: Effects = []
        if message.is_misdirected:
            found.append(effects.RefreshTargets())
        return found + self._dispatch(batcher, now_ms)

    @handle.register
    def _(self, message: messages.BatchLost, now_ms: int) -> Effects:
        batcher = self._batcher_of_call(message.call_id)
        found = self._settle(batcher.lost(message, now_ms), now_ms)
        log = shared_effects.LogEvent(
            events.Event.BATCH_LOST,
            {'call': message.call_id, 'detail': message.detail},
        )
        return [log, *found, *self._dispatch(batcher, now_ms)]

    def submit(
        self, jobs: typing.Sequence[bodies.JobAsked], now_ms: int
    ) -> Effects:
        """Hand jobs to the owners of their pools."""
        found: Effects = []
        by_owner = _grouped(
            (self.owners.owner_of(job.pool, now_ms), job) for job in jobs
        )
        for name, owned in by_owner.items():
            for job in owned:
                self._owner_of_job[job.job_id] = name
            if name == self._self_id.name:
                found += self._accept(owned, name, now_ms)
            else:
                found += self._ask(name, tuple(owned), now_ms)
        return found + self._keep_ticking(now_ms)

    def release(self, job_ids: typing.Iterable[str], now_ms: int) -> Effects:
        """Tell the owners of jobs that nobody needs the results."""
        found: Effects = []
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
            found += self._drop(own, now_ms)
        # At once: room for results is what binds.
        found += [self._send_release(*pair) for pair in released.items()]
        return found + self._keep_ticking(now_ms)

    def end(self, ended: list[effects.EndJob], now_ms: int) -> Effects:
        """Report ends of jobs to the hosts that asked for them."""
        found: Effects = []
        by_origin = _grouped((e.origin, e.job) for e in ended)
        for origin, jobs in by_origin.items():
            if origin == self._self_id.name:
                for job in jobs:
                    found += self.report(job, now_ms)
            else:
                body = bodies.WorkEnded(tuple(jobs))
                found.append(self._reports.send(origin, body))
        return found

    def _tell_begun(
        self, begun: list[effects.BeginJob], now_ms: int
    ) -> Effects:
        found: Effects = []
        by_origin = _grouped((e.origin, e.job_id) for e in begun)
        for origin, job_ids in by_origin.items():
            if origin == self._self_id.name:
                for job_id in job_ids:
                    found += self.begun(job_id, now_ms)
            else:
                body = bodies.WorkEnded(begun=tuple(job_ids))
                found.append(self._reports.send(origin, body))
        return found

    def hand_over(self, now_ms: int) -> Effects:
        """Give waiting jobs back: this host is about to stop."""
        self.owners.is_leaving = True
        moved = [e for b in self._batchers.values() for e in b.give_up()]
        return self.end(moved, now_ms)

    def _receive(
        self, body: typing.Any, sender: hosts.HostId, now_ms: int
    ) -> Effects:
        if isinstance(body, bodies.WorkAsked):
            found = self._accept(body.jobs, body.address, now_ms)
            return found + self._keep_ticking(now_ms)
        if isinstance(body, bodies.WorkReleased):
            return self._drop(body.job_ids, now_ms)
        if not isinstance(body, bodies.WorkEnded):
            return []
        found = []
        for job in body.jobs:
            owner = self._owners.get(sender.name)
            if owner is not None:
                owner.heard_ms = now_ms
                owner.jobs.pop(job.job_id, None)
            if job.ending is bodies.Ending.MOVED:
                self.owners.pass_over(sender.name, now_ms)
            found += self.report(job, now_ms)
        for job_id in body.begun:
            found += self.begun(job_id, now_ms)
        return found

    def _accept(
        self,
        jobs: typing.Sequence[bodies.JobAsked],
        origin: str,
        now_ms: int,
    ) -> Effects:
        found: Effects = []
        touched = []
        for asked in jobs:
            batcher = self._batcher(asked.pool)
            is_others = self.owners.is_leaving and origin != self._self_id.name
            if batcher is None or is_others:
                ending = bodies.Ending.MOVED if is_others else FAILED
                ended = bodies.JobEnded(asked.job_id, ending, asked.pool)
                found += self.end([effects.EndJob(origin, ended)], now_ms)
                continue
            job = filling.Job(
                asked,
                origin,
                now_ms + asked.due_left_ms,
                now_ms + asked.left_ms,
            )
            pool = self._directory.usable(asked.pool, now_ms)
            found += self._settle(batcher.submit(job, pool, now_ms), now_ms)
            touched.append(batcher)
        for batcher in {id(b): b for b in touched}.values():
            found += self._dispatch(batcher, now_ms)
        return found

    def _drop(self, job_ids: typing.Iterable[str], now_ms: int) -> Effects:
        found: Effects = []
        for batcher in self._batchers.values():
            freed = batcher.release(job_ids, now_ms)
            if freed:
                found += [*freed, *self._dispatch(batcher, now_ms)]
        return found

    def _dispatch(self, batcher: batching.Batcher, now_ms: int) -> Effects:
        pool = self._directory.usable(batcher.name, now_ms)
        return self._settle(batcher.dispatch(pool, now_ms), now_ms)

    def _settle(self, found: Effects, now_ms: int) -> Effects:
        """Report the ends of jobs among ``found``; log and return the rest."""
        found += [_log_call(e) for e in found if _is_call(e)]
        ended = [e for e in found if isinstance(e, effects.EndJob)]
        begun = [e for e in found if isinstance(e, effects.BeginJob)]
        told = (effects.EndJob, effects.BeginJob)
        rest = [e for e in found if not isinstance(e, told)]
        rest += self._tell_begun(begun, now_ms)
        if not ended:
            return rest
        waits = {
            name: batcher.wait_ms(self._directory.usable(name, now_ms), now_ms)
            for name, batcher in self._batchers.items()
        }
        told = [attrs.evolve(e, job=_with_wait(e.job, waits)) for e in ended]
        return rest + self.end(told, now_ms)

    def _batcher(self, name: str) -> batching.Batcher | None:
        document = self._knowledge.document
        pool = document.pools.get(name) if document is not None else None
        if pool is None or pool.batching is None:
            return None
        batcher = self._batchers.get(name)
        if batcher is None:
            batcher = batching.Batcher(name, pool.batching, f'{name}|')
            self._batchers[name] = batcher
        batcher.batching = pool.batching
        return batcher

    def _batcher_of_call(self, call_id: str) -> batching.Batcher:
        return self._batchers[call_id.rpartition('|')[0]]

    def _ask(
        self, name: str, jobs: tuple[bodies.JobAsked, ...], now_ms: int
    ) -> Effects:
        owner = self._owners.get(name)
        address = self.owners.candidates()[name]
        if owner is None or owner.address != address:
            owner = _Owner(name, address, heard_ms=now_ms)
            self._owners[name] = owner
        owner.jobs.update((job.job_id, job) for job in jobs)
        owner.asked += 1
        token = f'{ASK_TOKEN}{next(self._numbers)}'
        self._asked[token] = (name, tuple(job.job_id for job in jobs))
        body = bodies.WorkAsked(self._address, jobs)
        send = shared_effects.SendPeer(
            token, owner.address, body, reports.CONFIRM_TIMEOUT_MS
        )
        return [send]

    def _send_release(
        self, address: str, job_ids: list[str]
    ) -> shared_effects.SendPeer:
        token = f'{ASK_TOKEN}{next(self._numbers)}'
        body = bodies.WorkReleased(tuple(job_ids))
        return shared_effects.SendPeer(
            token, address, body, reports.CONFIRM_TIMEOUT_MS
        )

    def _watch(self, owner: _Owner, now_ms: int) -> Effects:
        """Ask an owner that is silent about jobs of ours for a sign."""
        is_silent = now_ms - owner.heard_ms > SILENCE_MS
        if not owner.jobs or owner.asked or not is_silent:
            return []
        if owner.name not in self.owners.candidates():
            return self._lose(owner, 'left', now_ms)
        return self._ask(owner.name, (), now_ms)

    def _lose(
        self,
        owner: _Owner,
        reason: str,
        now_ms: int,
        kept: set[str] = frozenset(),
    ) -> Effects:
        """Ask the next owner for the jobs of one that is lost."""
        if not kept:
            self.owners.distrust(owner.name, now_ms)
        lost = [job_id for job_id in owner.jobs if job_id not in kept]
        found: Effects = [
            shared_effects.LogEvent(
                events.Event.OWNER_LOST,
                {'owner': owner.name, 'reason': reason, 'jobs': len(lost)},
            )
        ]
        for job_id in lost:
            del owner.jobs[job_id]
            self._owner_of_job.pop(job_id, None)
        for job_id in lost:
            found += self.resubmit(job_id, now_ms)
        return found

    def _keep_ticking(self, now_ms: int) -> Effects:
        has_jobs = any(owner.jobs for owner in self._owners.values())
        if self._is_ticking or (self.is_idle and not has_jobs):
            return []
        self._is_ticking = True
        due_ms = now_ms + batching.TICK_MS
        return [shared_effects.StartTimer(TICK_TOKEN, due_ms)]


def _grouped(
    pairs: typing.Iterable[tuple[str, typing.Any]],
) -> dict[str, list[typing.Any]]:
    """Return the values by their names, both in the order they came."""
    found: dict[str, list[typing.Any]] = {}
    for name, value in pairs:
        found.setdefault(name, []).append(value)
    return found


def _with_wait(job: bodies.JobEnded, waits: dict[str, int]) -> bodies.JobEnded:
    if job.wait_ms:
        return job
    return attrs.evolve(job, wait_ms=max(0, waits.get(job.pool, 0)))


def _is_call(effect: typing.Any) -> bool:
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


def _ignore(*_args: typing.Any) -> Effects:
    return []
