"""All routing decisions of one host: dispatches messages to components.

>>> components = host.make_components(
...     self_id, address, random.Random(1), settings
... )
>>> decider = host.Host(components)
>>> effects = decider.handle(message, now_ms)
"""

import collections
import functools
import random as randoms
import typing

import attrs

from godwitglade.common import events
from godwitglade.coordination import bodies as shared_bodies
from godwitglade.coordination import effects as shared_effects
from godwitglade.coordination import facts
from godwitglade.coordination import failure_detection
from godwitglade.coordination import hosts
from godwitglade.coordination import membership
from godwitglade.coordination import messages as shared_messages
from godwitglade.routing import bodies
from godwitglade.routing import budget
from godwitglade.routing import cold_targets
from godwitglade.routing import crash_reports
from godwitglade.routing import document_state
from godwitglade.routing import effects
from godwitglade.routing import evacuations
from godwitglade.routing import freshness
from godwitglade.routing import hand_over
from godwitglade.routing import home_regions
from godwitglade.routing import messages
from godwitglade.routing import pool_versions
from godwitglade.routing import process_confirmations
from godwitglade.routing import quarantine
from godwitglade.routing import rate_limits
from godwitglade.routing import reachability
from godwitglade.routing import request_lifecycle
from godwitglade.routing import resumption
from godwitglade.routing import stage_work
from godwitglade.routing import stopping
from godwitglade.routing import stream_rows
from godwitglade.routing import stream_versions
from godwitglade.routing import table_sharing
from godwitglade.routing import target_changes
from godwitglade.routing import targets

Effects = list[typing.Any]

MAINTENANCE_TOKEN = 'host:upkeep'
#: Interval at which expired entries and a stop in progress are checked.
MAINTENANCE_INTERVAL_MS = 200
#: A host that handled nothing for this time, not even a timer, did not run.
STANDSTILL_MS = 1_000
EVACUATED_GAUGE = 'evacuated_zones'

PERMIT_BODIES = (bodies.PermitRequest, bodies.PermitGranted)
TABLE_BODIES = (bodies.TablesQuery, bodies.TablesKnown)
STREAM_BODIES = (
    bodies.StreamsBegun,
    bodies.StreamQuery,
    bodies.StreamAnswer,
)
WORK_BODIES = tuple(
    body
    for body in bodies.KINDS.values()
    if body not in PERMIT_BODIES + STREAM_BODIES + TABLE_BODIES
)


@attrs.frozen
class Settings:
    """Settings of the deployment.

    ``retries`` bounds retries. ``revoke_ms`` is the longest time that a
    withdrawn key may still be accepted, None for no bound;
    ``stop_limit_ms`` is the longest time of a stop, ``change_bound_ms`` the
    longest time until a change in the store is in force.
    ``evacuate_ms`` is the longest time until nothing more is sent to an
    evacuated zone, None if zones are not evacuated. ``cold`` bounds what
    cold targets get, None for no bound. ``regions`` has the region of each
    zone. A prompt part is kept by targets for ``reuse_window_ms`` after its
    last use, None if that is not known. With ``weighs_prompts`` engines are
    then chosen by what they have to read.
    """

    retries: budget.Bounds = budget.Bounds()
    revoke_ms: int | None = None
    stop_limit_ms: int = 7_000
    change_bound_ms: int = 2_000
    evacuate_ms: int | None = None
    cold: cold_targets.Bounds | None = None
    regions: typing.Mapping[str, str] = attrs.Factory(dict)
    reuse_window_ms: int | None = None
    gossip: failure_detection.Settings = failure_detection.Settings()
    weighs_prompts: bool = True

    @property
    def prompt_window_ms(self) -> int | None:
        """Return the time that parts are kept, None to choose without it."""
        is_known = (self.reuse_window_ms or 0) > 0
        return (
            self.reuse_window_ms if self.weighs_prompts and is_known else None
        )


@attrs.frozen
class Components:
    """The components of a host, each free of I/O."""

    members: membership.Membership
    facts: facts.Facts
    quarantine: quarantine.Quarantine
    rate_limits: rate_limits.RateLimits
    versions: pool_versions.PoolVersions
    streams: stream_versions.StreamVersions
    document_state: document_state.DocumentState
    directory: targets.Directory
    requests: request_lifecycle.Requests
    work: stage_work.StageWork
    stopping: stopping.Stopping
    reachability: reachability.Reachability
    cut_off: hand_over.CutOffHosts
    hand_over: hand_over.HandOver
    crash_reports: crash_reports.CrashReports
    tables: table_sharing.TableSharing
    evacuations: evacuations.Evacuations
    home: home_regions.HomeRegions


def make_components(
    self_id: hosts.HostId,
    address: str,
    random: randoms.Random,
    settings: Settings,
) -> Components:
    """Return the components; peers reach this host at ``address``."""

    def derive_random() -> randoms.Random:
        return randoms.Random(random.getrandbits(64))

    document_state_ = document_state.DocumentState(settings.revoke_ms)
    facts_ = facts.Facts(self_id, derive_random())
    evacuations_ = evacuations.Evacuations(settings.evacuate_ms is not None)
    attachments = (freshness.Freshness(document_state_, evacuations_), facts_)
    members = membership.Membership(
        self_id, address, derive_random(), attachments, settings.gossip
    )
    home = home_regions.HomeRegions(settings.regions)
    directory = targets.Directory(home)

    def live_names() -> list[str]:
        return [member.host.name for member in members.serving()]

    quarantine_ = quarantine.Quarantine(self_id.name, live_names)
    cut_off = hand_over.CutOffHosts(self_id.name)
    reachability_ = reachability.Reachability(directory, derive_random())
    hand_over_ = hand_over.HandOver(
        self_id.name, members, cut_off, derive_random(), home
    )
    cold = cold_targets.ColdTargets(
        document_state_, settings.cold, settings.regions
    )
    rate_limits_ = rate_limits.RateLimits(self_id.name, members, cut_off, cold)
    versions = pool_versions.PoolVersions()
    streams = stream_versions.StreamVersions(self_id, members, versions)
    stopping_ = stopping.Stopping(settings.stop_limit_ms)
    requests_ = request_lifecycle.Requests(
        self_id,
        document_state_,
        directory,
        derive_random(),
        settings.retries,
        lambda: len(members.live()),
        quarantine_,
        rate_limits_,
        resumption.Resumptions(versions, streams, directory),
        reachability_,
        hand_over_,
        stopping_,
        process_confirmations.ProcessConfirmations(versions, directory),
        settings.prompt_window_ms,
    )
    stage_work_ = stage_work.StageWork(
        self_id, address, members, document_state_, directory, cut_off, home
    )
    stage_work_.on_job_ended = requests_.job_ended
    stage_work_.on_job_started = requests_.job_started
    stage_work_.resubmit = requests_.resubmit
    return Components(
        members,
        facts_,
        quarantine_,
        rate_limits_,
        versions,
        streams,
        document_state_,
        directory,
        requests_,
        stage_work_,
        stopping_,
        reachability_,
        cut_off,
        hand_over_,
        crash_reports.CrashReports(
            reachability_, cut_off, directory, live_names
        ),
        table_sharing.TableSharing(
            self_id,
            members,
            document_state_,
            settings.change_bound_ms,
            evacuations_,
        ),
        evacuations_,
        home,
    )


class Host:
    """Handles one message at a time and returns the resulting effects."""

    def __init__(self, components: Components) -> None:
        self.components = components
        self._handled_ms: int | None = None

    @property
    def is_ready(self) -> bool:
        """Return whether new callers are accepted."""
        has_document = self.components.document_state.document is not None
        return has_document and not self.components.stopping.is_requested

    def start(self, now_ms: int) -> Effects:
        """Start the timers; return the first effects."""
        timer = shared_effects.StartTimer(
            MAINTENANCE_TOKEN, now_ms + MAINTENANCE_INTERVAL_MS
        )
        zones = self.components.directory.evacuated
        return [
            timer,
            effects.SetGauge(EVACUATED_GAUGE, len(zones)),
            *self.components.facts.start(now_ms),
            *self.components.members.start(now_ms),
            *self.components.tables.start(now_ms),
        ]

    def handle(self, message: typing.Any, now_ms: int) -> Effects:
        """Handle one message at monotonic time ``now_ms``."""
        if self._handled_ms is not None:
            if now_ms - self._handled_ms >= STANDSTILL_MS:
                self.components.versions.awake_since_ms = now_ms
        self._handled_ms = now_ms
        return self._resolve(self._dispatch(message, now_ms), now_ms)

    def _resolve(self, effects_: Effects, now_ms: int) -> Effects:
        """Apply effects between components; return the external effects.

        Jobs submitted or released by one message share a message to each
        owner.
        """
        external: Effects = []
        pending = collections.deque(effects_)
        while pending:
            jobs, released = [], []
            while pending:
                effect = pending.popleft()
                if isinstance(effect, effects.SubmitJob):
                    jobs.append(effect.job)
                elif isinstance(effect, effects.ReleaseJobs):
                    released += effect.job_ids
                elif isinstance(effect, shared_effects.PublishFact):
                    pending += self.components.facts.publish(effect, now_ms)
                elif isinstance(effect, shared_effects.Deliver):
                    pending += self._dispatch(effect.message, now_ms)
                else:
                    external.append(effect)
            if released:
                pending += self.components.work.release(released, now_ms)
            if jobs:
                pending += self.components.work.submit(jobs, now_ms)
        return external

    @functools.singledispatchmethod
    def _dispatch(self, message: typing.Any, now_ms: int) -> Effects:
        return self.components.requests.handle(message, now_ms)

    @_dispatch.register(messages.BatchEnded)
    @_dispatch.register(messages.BatchNotRun)
    def _(self, message: typing.Any, now_ms: int) -> Effects:
        self.components.reachability.record_contact(now_ms)
        return self.components.work.handle(message, now_ms)

    @_dispatch.register
    def _(self, message: messages.BatchLost, now_ms: int) -> Effects:
        doubt = self.components.reachability.record_unreachable(now_ms)
        return doubt + self.components.work.handle(message, now_ms)

    @_dispatch.register
    def _(self, message: messages.TargetProbed, now_ms: int) -> Effects:
        return self.components.reachability.handle(message, now_ms)

    @_dispatch.register
    def _(self, message: messages.ReachabilityKnown, now_ms: int) -> Effects:
        effects_ = self.components.cut_off.tell(message.is_cut_off, now_ms)
        if message.is_cut_off and message.has_changed:
            effects_ += self.components.requests.leave_targets(now_ms)
            effects_ += self.components.work.transfer_jobs(now_ms)
        return effects_ + self.components.requests.send_waiting(now_ms)

    @_dispatch.register
    def _(self, message: shared_messages.PeerMessage, now_ms: int) -> Effects:
        if isinstance(message.body, WORK_BODIES):
            return self.components.work.handle(message, now_ms)
        if isinstance(message.body, STREAM_BODIES):
            return self.components.streams.handle(message, now_ms)
        if isinstance(message.body, bodies.PermitRequest):
            return self.components.rate_limits.handle(message, now_ms)
        if isinstance(message.body, bodies.TablesQuery):
            return self.components.tables.handle(message, now_ms)
        if isinstance(message.body, shared_bodies.FactsRequest):
            return self.components.facts.handle(message, now_ms)
        return self.components.members.handle(message, now_ms)

    @_dispatch.register
    def _(self, message: shared_messages.PeerReply, now_ms: int) -> Effects:
        if message.token.startswith('work:'):
            return self.components.work.handle(message, now_ms)
        if message.token.startswith('facts:'):
            return self.components.facts.handle(message, now_ms)
        if message.token.startswith(table_sharing.TOKEN):
            effects_ = self.components.tables.handle(message, now_ms)
            return effects_
        if message.token.startswith(stream_versions.TOLD_TOKEN):
            return self.components.streams.handle(message, now_ms)
        if message.token.startswith(
            (rate_limits.TOKEN, stream_versions.ASKED_TOKEN)
        ):
            return self.components.requests.handle(message, now_ms)
        return self.components.members.handle(message, now_ms)

    @_dispatch.register
    def _(self, message: shared_messages.TimerFired, now_ms: int) -> Effects:
        if message.token == MAINTENANCE_TOKEN:
            return self._maintain(now_ms)
        if message.token.startswith('work:'):
            return self.components.work.handle(message, now_ms)
        if message.token.startswith('members:'):
            return self.components.members.handle(message, now_ms)
        if message.token.startswith('facts:'):
            return self.components.facts.handle(message, now_ms)
        if message.token.startswith(table_sharing.TOKEN):
            return self.components.tables.handle(message, now_ms)
        if message.token.startswith(quarantine.TOKEN):
            return self._report_crash(message, now_ms)
        if message.token in (
            stream_versions.FLUSH_TOKEN,
            stream_rows.TIMER_TOKEN,
        ):
            return self.components.streams.handle(message, now_ms)
        return self.components.requests.handle(message, now_ms)

    @_dispatch.register
    def _(self, message: shared_messages.FactChanged, now_ms: int) -> Effects:
        if message.kind == hand_over.FACT_KIND:
            if not self.components.cut_off.record(message, now_ms):
                return self.components.cut_off.refute(message)
            # What cut that host off may have cut off this one too.
            return self.components.reachability.record_unreachable(now_ms)
        if message.kind == cold_targets.FACT_KIND:
            self.components.rate_limits.record_cold(
                message, self.components.directory, now_ms
            )
            return []
        if message.kind == rate_limits.FACT_KIND:
            return self.components.rate_limits.handle(message, now_ms)
        if message.kind not in quarantine.FACT_KINDS:
            return []
        return self._update_quarantine(message, now_ms)

    @_dispatch.register
    def _(self, message: messages.QuarantineRead, now_ms: int) -> Effects:
        return self._update_quarantine(message, now_ms)

    @_dispatch.register(messages.StreamsRead)
    @_dispatch.register(messages.StreamsRowWritten)
    def _(self, message: typing.Any, now_ms: int) -> Effects:
        return self.components.streams.handle(message, now_ms)

    @_dispatch.register
    def _(self, message: messages.DocumentRead, now_ms: int) -> Effects:
        document_state_ = self.components.document_state
        is_first = document_state_.document is None
        is_newer = document_state_.apply(
            message.document, message.read_from_ms
        )
        if message.document.version == document_state_.document.version:
            self.components.tables.record_document(message.read_from_ms)
        # The rows of evacuations in the same table came before it.
        self.components.evacuations.confirm(message.read_from_ms)
        if not is_newer:
            return []
        fields = {
            'version': message.document.version,
            'routes': len(message.document.routes),
            'age_ms': now_ms - message.read_from_ms,
        }
        event = events.Event.ROUTES_IN_FORCE
        ready = [shared_effects.LogEvent(events.Event.READY)]
        log = shared_effects.LogEvent(event, fields)
        limits = effects.SetCallerLimits(message.document.limits)
        self.components.home.set_document(message.document)
        unknown = self._check_zones()
        return [log, limits, *unknown, *(ready if is_first else [])]

    def _check_zones(self) -> Effects:
        home = self.components.home
        if not home.is_used:
            return []
        return home.check(self.components.directory.zones())

    @_dispatch.register
    def _(self, message: messages.EvacuationsRead, now_ms: int) -> Effects:
        evacuations_ = self.components.evacuations
        directory = self.components.directory
        logs = evacuations_.record(message, now_ms)
        if evacuations_.zones == directory.evacuated:
            return logs
        directory.evacuated = evacuations_.zones
        return [
            *logs,
            effects.SetGauge(EVACUATED_GAUGE, len(evacuations_.zones)),
            *self._apply_closed(now_ms),
        ]

    def _apply_closed(self, now_ms: int) -> Effects:
        """Go on with work that waits for targets that may have closed."""
        return [
            *self.components.requests.leave_closed(now_ms),
            *self.components.work.dispatch_all(now_ms),
        ]

    @_dispatch.register
    def _(self, message: messages.TargetsRead, now_ms: int) -> Effects:
        self.components.tables.record_targets(message, now_ms)
        changes = self.components.directory.replace(
            message.listed,
            message.version,
            now_ms,
            message.outage_ms,
            message.era,
        )
        return self._apply_changes(changes, message, now_ms)

    @_dispatch.register
    def _(self, message: messages.TargetsChanged, now_ms: int) -> Effects:
        self.components.tables.record_targets(message, now_ms)
        changes = self.components.directory.update(
            message.present,
            message.removed,
            message.version,
            now_ms,
            message.era,
        )
        return self._apply_changes(changes, message, now_ms)

    @_dispatch.register
    def _(self, message: messages.HostsRead, now_ms: int) -> Effects:
        self.components.tables.record_hosts(message.entries, now_ms)
        self.components.work.owners.set_registered(message.entries)
        self.components.hand_over.set_registered(message.entries)
        self.components.rate_limits.permit_hosts.set_registered(
            message.entries
        )
        return self.components.members.add_entries(message.entries, now_ms)

    @_dispatch.register
    def _(self, message: messages.SettingsReloaded, now_ms: int) -> Effects:
        self.components.document_state.revoke_ms = message.bounds.revoke_ms
        self.components.stopping.limit_ms = message.bounds.stop_limit_ms
        self.components.tables.bound_ms = message.bounds.change_bound_ms
        self.components.requests.budgets.set_bounds(message.bounds.retries)
        window_ms = message.bounds.prompt_window_ms
        self.components.requests.chooser.window_ms = window_ms
        self.components.rate_limits.cold.set_bounds(
            message.bounds.cold, message.bounds.regions
        )
        self.components.evacuations.is_required = (
            message.bounds.evacuate_ms is not None
        )
        log = shared_effects.LogEvent(events.Event.SETTINGS_RELOADED)
        if self.components.home.by_zone == message.bounds.regions:
            return [log]
        self.components.home.by_zone = message.bounds.regions
        return [log, *self._check_zones(), *self._apply_closed(now_ms)]

    @_dispatch.register
    def _(self, message: messages.StopRequested, now_ms: int) -> Effects:
        if self.components.stopping.is_requested:
            return []
        self.components.stopping.requested_ms = now_ms
        log = shared_effects.LogEvent(
            events.Event.STOPPING, {'in_flight': len(self.components.requests)}
        )
        leave_effects = self.components.members.leave(now_ms)
        self.components.work.owners.is_stopping = True
        return [
            log,
            *leave_effects,
            *self.components.work.transfer_jobs(now_ms),
        ]

    @_dispatch.register
    def _(self, message: messages.ListenerClosed, now_ms: int) -> Effects:
        self.components.stopping.is_closed = True
        return self._stop_if_done(now_ms)

    def _maintain(self, now_ms: int) -> Effects:
        timer = shared_effects.StartTimer(
            MAINTENANCE_TOKEN, now_ms + MAINTENANCE_INTERVAL_MS
        )
        directory = self.components.directory
        changes = directory.remove_expired(now_ms)
        effects_ = self._report_changes(changes, directory.version, now_ms)
        effects_ += self.components.streams.maintain(now_ms)
        effects_ += self._check_reachability(now_ms)
        effects_ += self.components.requests.clear_running(now_ms)
        effects_ += self.components.quarantine.maintain(now_ms)
        effects_ += self.components.rate_limits.maintain(
            directory.all(), now_ms, self.components.versions.confirmed_ms
        )
        if self.components.stopping.should_close(now_ms):
            effects_.append(effects.StopListening())
        if self.components.stopping.should_answer(now_ms):
            effects_ += self.components.requests.answer_all(now_ms)
        return [timer, *effects_, *self._stop_if_done(now_ms)]

    def _check_reachability(self, now_ms: int) -> Effects:
        reachability_ = self.components.reachability
        since = (
            self.components.requests.waiting_since_ms(),
            self.components.work.waiting_since_ms(),
        )
        waiting = [ms for ms in since if ms is not None]
        return [
            *reachability_.check(min(waiting, default=None), now_ms),
            *self.components.cut_off.tell(reachability_.is_cut_off, now_ms),
        ]

    def _report_crash(
        self, message: shared_messages.TimerFired, now_ms: int
    ) -> Effects:
        """Report that a target crashed, unless this host was cut off."""
        quarantine_ = self.components.quarantine
        crash = message.token.removeprefix(quarantine.TOKEN)
        lost = quarantine_.unreported(crash)
        if lost is None:
            return []
        decision = self.components.crash_reports.decide(
            lost.target, lost.seen_ms, now_ms
        )
        if decision is crash_reports.Decision.HOLD:
            due_ms = now_ms + crash_reports.DOUBT_MS
            return [shared_effects.StartTimer(message.token, due_ms)]
        if decision is crash_reports.Decision.DROP:
            quarantine_.drop_report(crash)
            return []
        return quarantine_.handle(message, now_ms)

    def _update_quarantine(self, message: typing.Any, now_ms: int) -> Effects:
        before = self.components.quarantine.blocked
        effects_ = self.components.quarantine.handle(message, now_ms)
        effects_ += self.components.requests.clear_running(now_ms)
        if self.components.quarantine.blocked - before:
            effects_ += self.components.requests.refuse_quarantined(now_ms)
        return effects_

    def _stop_if_done(self, now_ms: int) -> Effects:
        is_idle = (
            not len(self.components.requests) and self.components.work.is_idle
        )
        may_end = self.components.stopping.may_end(is_idle, now_ms)
        return [effects.Stop()] if may_end else []

    def _apply_changes(
        self,
        changes: list[targets.Change],
        message: messages.TargetsRead | messages.TargetsChanged,
        now_ms: int,
    ) -> Effects:
        reports = self._report_changes(changes, message.version, now_ms)
        if message.version >= self.components.directory.version:
            self.components.versions.confirm(message.read_from_ms)
        return reports + self.components.requests.resume_confirmed(now_ms)

    def _report_changes(
        self, changes: list[targets.Change], version: int, now_ms: int
    ) -> Effects:
        if not changes:
            return []
        directory, streams = self.components.directory, self.components.streams
        for pool in {change.listed.pool for change in changes}:
            self.components.versions.set_listed(
                pool, directory.versions(pool), now_ms
            )
        told = [
            effect
            for change in changes
            if change.transition == targets.RESTARTED
            for effect in streams.record_replaced(change.listed, now_ms)
        ]
        told += streams.update_pools(now_ms)
        cold = self.components.rate_limits.maintain(
            directory.all(), now_ms, self.components.versions.confirmed_ms
        )
        logs = target_changes.logs(changes, version)
        addresses = frozenset(directory.addresses())
        logs += self._check_zones()
        return [*logs, *cold, *told, effects.CloseOtherConnections(addresses)]


def kinds() -> dict[str, type]:
    """Return the classes of all messages between hosts by wire name."""
    return {**shared_bodies.KINDS, **bodies.KINDS}
