"""All routing decisions of one host: hands messages to the parts.

>>> parts = host.make_parts(self_id, address, random.Random(1), settings)
>>> decider = host.Host(parts)
>>> effects = decider.handle(message, now_ms)
"""

import collections
import functools
import random as randoms
import typing

import attrs

from godwitglade.common import events
from godwitglade.coordination import bodies as shared_bodies
from godwitglade.coordination import detection
from godwitglade.coordination import effects as shared_effects
from godwitglade.coordination import hosts
from godwitglade.coordination import membership
from godwitglade.coordination import messages as shared_messages
from godwitglade.routing import bodies
from godwitglade.routing import budget
from godwitglade.routing import effects
from godwitglade.routing import freshness
from godwitglade.routing import knowledge
from godwitglade.routing import messages
from godwitglade.routing import requests
from godwitglade.routing import stopping
from godwitglade.routing import targets
from godwitglade.routing import work

Effects = list[typing.Any]

UPKEEP_TOKEN = 'host:upkeep'
#: How often lapsed entries and a stop under way are looked at.
UPKEEP_MS = 200

WORK_BODIES = tuple(bodies.KINDS.values())


@attrs.frozen
class Settings:
    """The bounds that the deployment sets."""

    repeats: budget.Bounds = budget.Bounds()
    revoke_ms: int | None = None
    stop_limit_ms: int = 7_000
    gossip: detection.Settings = detection.Settings()


@attrs.frozen
class Parts:
    """The deciding parts of a host, each free of I/O."""

    members: membership.Membership
    knowledge: knowledge.Knowledge
    directory: targets.Directory
    requests: requests.Requests
    work: work.Work
    stopping: stopping.Stopping


def make_parts(
    self_id: hosts.HostId,
    address: str,
    random: randoms.Random,
    settings: Settings,
) -> Parts:
    """Return the parts; ``address`` is that of the listener for peers."""

    def fork() -> randoms.Random:
        return randoms.Random(random.getrandbits(64))

    known = knowledge.Knowledge(settings.revoke_ms)
    attachments = (freshness.Freshness(known),)
    members = membership.Membership(
        self_id, address, fork(), attachments, settings.gossip
    )
    directory = targets.Directory()
    requests_ = requests.Requests(
        self_id,
        known,
        directory,
        fork(),
        settings.repeats,
        lambda: len(members.live()),
    )
    work_ = work.Work(self_id, address, members, known, directory)
    work_.report = requests_.job_ended
    work_.begun = requests_.job_begun
    work_.resubmit = requests_.resubmit
    stops = stopping.Stopping(settings.stop_limit_ms)
    return Parts(members, known, directory, requests_, work_, stops)


class Host:
    """Takes one message at a time and returns the effects that follow."""

    def __init__(self, parts: Parts) -> None:
        self.parts = parts

    @property
    def is_ready(self) -> bool:
        """Tell whether new callers are welcome."""
        has_document = self.parts.knowledge.document is not None
        return has_document and not self.parts.stopping.is_asked

    def start(self, now_ms: int) -> Effects:
        """Begin; return the first effects."""
        timer = shared_effects.StartTimer(UPKEEP_TOKEN, now_ms + UPKEEP_MS)
        return [timer, *self.parts.members.start(now_ms)]

    def handle(self, message: typing.Any, now_ms: int) -> Effects:
        """Decide on one message at monotonic time ``now_ms``."""
        return self._settle(self._decide(message, now_ms), now_ms)

    def _settle(self, found: Effects, now_ms: int) -> Effects:
        """Carry out effects between parts until only outside ones remain.

        Jobs submitted and released together travel together.
        """
        outside: Effects = []
        pending = collections.deque(found)
        while pending:
            jobs, released = [], []
            while pending:
                effect = pending.popleft()
                if isinstance(effect, effects.SubmitJob):
                    jobs.append(effect.job)
                elif isinstance(effect, effects.ReleaseJobs):
                    released += effect.job_ids
                else:
                    outside.append(effect)
            if released:
                pending += self.parts.work.release(released, now_ms)
            if jobs:
                pending += self.parts.work.submit(jobs, now_ms)
        return outside

    @functools.singledispatchmethod
    def _decide(self, message: typing.Any, now_ms: int) -> Effects:
        return self.parts.requests.handle(message, now_ms)

    @_decide.register(messages.BatchEnded)
    @_decide.register(messages.BatchNotRun)
    @_decide.register(messages.BatchLost)
    def _(self, message: typing.Any, now_ms: int) -> Effects:
        return self.parts.work.handle(message, now_ms)

    @_decide.register
    def _(self, message: shared_messages.PeerMessage, now_ms: int) -> Effects:
        if isinstance(message.body, WORK_BODIES):
            return self.parts.work.handle(message, now_ms)
        return self.parts.members.handle(message, now_ms)

    @_decide.register
    def _(self, message: shared_messages.PeerReply, now_ms: int) -> Effects:
        if message.token.startswith('work:'):
            return self.parts.work.handle(message, now_ms)
        return self.parts.members.handle(message, now_ms)

    @_decide.register
    def _(self, message: shared_messages.TimerFired, now_ms: int) -> Effects:
        if message.token == UPKEEP_TOKEN:
            return self._upkeep(now_ms)
        if message.token.startswith('work:'):
            return self.parts.work.handle(message, now_ms)
        if message.token.startswith('members:'):
            return self.parts.members.handle(message, now_ms)
        return self.parts.requests.handle(message, now_ms)

    @_decide.register
    def _(self, message: messages.DocumentRead, now_ms: int) -> Effects:
        known = self.parts.knowledge
        is_first = known.document is None
        if not known.take(message.document, message.read_from_ms):
            return []
        fields = {
            'version': message.document.version,
            'routes': len(message.document.routes),
            'age_ms': now_ms - message.read_from_ms,
        }
        event = events.Event.ROUTES_IN_FORCE
        ready = [shared_effects.LogEvent(events.Event.READY)]
        log = shared_effects.LogEvent(event, fields)
        limits = effects.LimitCallers(message.document.limits)
        return [log, limits, *(ready if is_first else [])]

    @_decide.register
    def _(self, message: messages.TargetsRead, now_ms: int) -> Effects:
        changes = self.parts.directory.replace(
            message.listed, message.version, now_ms, message.outage_ms
        )
        return self._note_changes(changes, message.version)

    @_decide.register
    def _(self, message: messages.TargetsChanged, now_ms: int) -> Effects:
        changes = self.parts.directory.update(
            message.present, message.removed, message.version, now_ms
        )
        return self._note_changes(changes, message.version)

    @_decide.register
    def _(self, message: messages.HostsRead, now_ms: int) -> Effects:
        self.parts.work.owners.listed(message.entries)
        return self.parts.members.listed(message.entries, now_ms)

    @_decide.register
    def _(self, message: messages.BoundsChanged, now_ms: int) -> Effects:
        self.parts.knowledge.revoke_ms = message.bounds.revoke_ms
        self.parts.stopping.limit_ms = message.bounds.stop_limit_ms
        self.parts.requests.budgets.rebound(message.bounds.repeats)
        return [shared_effects.LogEvent(events.Event.SETTINGS_RELOADED)]

    @_decide.register
    def _(self, message: messages.StopAsked, now_ms: int) -> Effects:
        if self.parts.stopping.is_asked:
            return []
        self.parts.stopping.asked_ms = now_ms
        log = shared_effects.LogEvent(
            events.Event.STOPPING, {'in_flight': len(self.parts.requests)}
        )
        left = self.parts.members.leave(now_ms)
        return [log, *left, *self.parts.work.hand_over(now_ms)]

    @_decide.register
    def _(self, message: messages.ListenerClosed, now_ms: int) -> Effects:
        self.parts.stopping.is_closed = True
        return self._end_if_done(now_ms)

    def _upkeep(self, now_ms: int) -> Effects:
        timer = shared_effects.StartTimer(UPKEEP_TOKEN, now_ms + UPKEEP_MS)
        directory = self.parts.directory
        changes = directory.end_grace(now_ms)
        found = self._note_changes(changes, directory.version)
        if self.parts.stopping.should_close(now_ms):
            found.append(effects.StopListening())
        return [timer, *found, *self._end_if_done(now_ms)]

    def _end_if_done(self, now_ms: int) -> Effects:
        is_idle = not len(self.parts.requests) and self.parts.work.is_idle
        may_end = self.parts.stopping.may_end(is_idle, now_ms)
        return [effects.Stop()] if may_end else []

    def _note_changes(
        self, changes: list[targets.Change], version: int
    ) -> Effects:
        if not changes:
            return []
        logs = [
            shared_effects.LogEvent(
                events.Event.TARGET_CHANGED,
                {
                    'target': change.listed.name,
                    'pool': change.listed.pool,
                    'change': change.what,
                    'list_version': version,
                },
            )
            for change in changes
        ]
        addresses = frozenset(self.parts.directory.addresses())
        return [*logs, effects.ForgetTargets(addresses)]


def kinds() -> dict[str, type]:
    """Return every kind of message between routing hosts."""
    return {**shared_bodies.KINDS, **bodies.KINDS}
