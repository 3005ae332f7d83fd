"""Simulates hosts, targets and their network in virtual time."""

import functools
import random

from bench.measure import deployments
from bench.measure import fake_claims
from bench.measure import fake_engines
from bench.measure import fake_targets
from bench.measure import tally
from bench.measure import virtual_clock
from godwitglade.coordination import effects as coordination_effects
from godwitglade.coordination import hosts
from godwitglade.coordination import messages as coordination_messages
from godwitglade.decisions import effects
from godwitglade.decisions import messages
from godwitglade.decisions import targets

SAME_ZONE_DELAY_MS = 0.3
CONNECTION_REFUSED_MS = 1.0
CONNECT_TIMEOUT_MS = 300.0
LIST_INTERVAL_MS = 2_000
LIST_LAG_MS = 5_000
LOAD_LAG_MS = 300
URGENT_FACT_DELAY_MS = 60.0
ORDINARY_FACT_DELAY_MS = 1_000.0


class Entry:
    """An entry host: its decision logic and its open calls."""

    def __init__(
        self, simulation: 'Simulation', host_id, make_requests
    ) -> None:
        self.simulation = simulation
        self.host_id = host_id
        self.open_calls: dict[str, effects.CallTarget] = {}
        self.started_replies: set[str] = set()
        self.silent_targets: set[str] = set()
        claims = fake_claims.FakeClaims(
            simulation.table,
            simulation.clock,
            lambda: host_id.zone in simulation.isolated_zones,
            self.deliver,
        )
        seed = simulation.rng.getrandbits(64)
        self.requests = make_requests(host_id, random.Random(seed), claims)
        self.apply_effects(self.requests.start(0))

    def deliver(self, message) -> None:
        """Handle a message and apply the requested effects."""
        now_ms = int(self.simulation.clock.now_ms)
        self.apply_effects(self.requests.handle(message, now_ms))

    def apply_effects(self, requested) -> None:
        """Apply effects in order."""
        for effect in requested:
            _apply(effect, self)

    def fail_call(self, call, kind, **changes) -> None:
        """Fail a call if it is still open."""
        if self.open_calls.pop(call.attempt_id, None) is not None:
            self.deliver(
                messages.StageFault(
                    call.request_id,
                    call.stage,
                    call.attempt_id,
                    kind,
                    **changes,
                )
            )

    def check_first_byte(self, call) -> None:
        """Fail a call that has received no first byte in time."""
        if call.attempt_id not in self.started_replies:
            self.fail_call(call, messages.FaultKind.SILENT)

    def receive(self, call, message) -> None:
        """Receive a reply of a target, unless the call is closed."""
        if call.attempt_id not in self.open_calls:
            return
        if (
            call.target.name in self.silent_targets
            and not _uses_fresh_connection(call)
        ):
            return
        if not self.simulation.is_reachable(
            self.host_id.zone, call.target.zone
        ):
            return
        self.started_replies.add(call.attempt_id)
        if not isinstance(message, messages.StreamPiece):
            del self.open_calls[call.attempt_id]
            self.started_replies.discard(call.attempt_id)
        self.deliver(message)


class Simulation:
    """A simulated run of a deployment under a policy, with a seed."""

    def __init__(
        self, deployment: deployments.Deployment, seed: int, make_requests
    ) -> None:
        self.deployment = deployment
        self.rng = random.Random(seed)
        self.clock = virtual_clock.VirtualClock()
        self.table = fake_claims.Table()
        self.tally = tally.Tally()
        self.isolated_zones: set[str] = set()
        self.listed = deployment.targets()
        self.targets = {t.name: self._make_target(t) for t in self.listed}
        self.work_by_request: dict[str, dict[str, fake_targets.Work]] = {}
        self.entries = [
            Entry(
                self,
                hosts.HostId(
                    f'host-{i}',
                    deployment.zones[i % len(deployment.zones)],
                    1,
                ),
                make_requests,
            )
            for i in range(deployment.host_count)
        ]
        self._publish_documents()
        self._publish_list(tuple(self.listed))
        self.clock.call_after(LIST_INTERVAL_MS, self._refresh_list)

    def is_reachable(self, zone: str, other: str) -> bool:
        """Return whether two zones can exchange messages."""
        is_isolated = (
            zone in self.isolated_zones or other in self.isolated_zones
        )
        return zone == other or not is_isolated

    def delay_ms(self, zone: str, other: str) -> float:
        """Return the one-way network delay between two zones."""
        return (
            SAME_ZONE_DELAY_MS if zone == other else self.deployment.one_way_ms
        )

    def submit(self, entry: Entry, request, work_by_stage) -> None:
        """Deliver a request of a caller to a host."""
        self.work_by_request[request.request_id] = work_by_stage
        entry.deliver(request)

    def _make_target(self, target: targets.Target) -> fake_targets.FakeTarget:
        is_engine = target.pool == self.deployment.engine_pool
        kind = (
            fake_engines.FakeEngine if is_engine else fake_targets.FakeTarget
        )
        profile = self.deployment.profile(target.pool)
        rng = random.Random(self.rng.getrandbits(64))
        return kind(target, profile, self.clock, rng, self.tally.record_cost)

    def _publish_documents(self) -> None:
        documents = {
            mix.document.pipeline: mix.document
            for mix in self.deployment.mixes
        }
        for entry in self.entries:
            entry.deliver(messages.DocumentsInForce(documents))

    def _publish_list(self, listed) -> None:
        for entry in self.entries:
            if entry.host_id.zone not in self.isolated_zones:
                entry.deliver(messages.TargetsListed(listed))

    def _refresh_list(self) -> None:
        listed = tuple(
            targets.Target(
                t.name, t.pool, t.zone, t.address, self._state_of(t)
            )
            for t in self.listed
        )
        self.clock.call_after(LIST_LAG_MS, self._publish_list, listed)
        self.clock.call_after(LIST_INTERVAL_MS, self._refresh_list)

    def _state_of(self, target) -> targets.TargetState:
        is_leaving = self.targets[target.name].is_leaving
        states = targets.TargetState
        return states.LEAVING if is_leaving else states.LIVE


def _uses_fresh_connection(call) -> bool:
    return call.needs_fresh_connection


@functools.singledispatch
def _apply(effect, entry: Entry) -> None:
    """Apply an effect of a host; log effects are ignored."""


@_apply.register
def _(effect: coordination_effects.StartTimer, entry: Entry) -> None:
    fired = coordination_messages.TimerFired(effect.token)
    entry.simulation.clock.call_at(effect.due_ms, entry.deliver, fired)


@_apply.register
def _(effect: coordination_effects.Deliver, entry: Entry) -> None:
    entry.deliver(effect.message)


@_apply.register
def _(effect: coordination_effects.PublishFact, entry: Entry) -> None:
    simulation = entry.simulation
    delay_ms = (
        URGENT_FACT_DELAY_MS if effect.is_urgent else ORDINARY_FACT_DELAY_MS
    )
    fact = coordination_messages.FactChanged(
        effect.kind, effect.key, effect.value, entry.host_id.name
    )
    for other in simulation.entries:
        zones = entry.host_id.zone, other.host_id.zone
        if simulation.is_reachable(*zones):
            simulation.clock.call_after(delay_ms, other.deliver, fact)


@_apply.register
def _(effect: effects.CallTarget, entry: Entry) -> None:
    simulation = entry.simulation
    simulation.tally.record_attempt(effect)
    entry.open_calls[effect.attempt_id] = effect
    target = simulation.targets[effect.target.name]
    zones = entry.host_id.zone, effect.target.zone
    kinds = messages.FaultKind
    if not simulation.is_reachable(*zones) or target.is_down:
        is_isolated = not simulation.is_reachable(*zones)
        delay_ms = CONNECT_TIMEOUT_MS if is_isolated else CONNECTION_REFUSED_MS
        fail = functools.partial(entry.fail_call, was_sent=False)
        simulation.clock.call_after(delay_ms, fail, effect, kinds.CONNECT)
        return
    if effect.first_byte_ms < effect.timeout_ms:
        simulation.clock.call_after(
            effect.first_byte_ms, entry.check_first_byte, effect
        )
    simulation.clock.call_after(
        effect.timeout_ms, entry.fail_call, effect, kinds.TIMEOUT
    )
    if (
        effect.target.name in entry.silent_targets
        and not _uses_fresh_connection(effect)
    ):
        return
    delay_ms = simulation.delay_ms(*zones)

    def reply(message) -> None:
        target.record_leaving(message)
        simulation.clock.call_after(delay_ms, entry.receive, effect, message)

    work = simulation.work_by_request[effect.request_id][effect.stage]
    simulation.clock.call_after(
        delay_ms, _reach_target, target, effect, work, reply, entry
    )


def _reach_target(target, call, work, reply, entry) -> None:
    if target.is_down:
        kind = messages.FaultKind.CONNECT
        entry.fail_call(call, kind, was_sent=False)
        return
    simulation = entry.simulation
    simulation.tally.record_delivery(
        call, target.leaving_reported_ms, simulation.clock.now_ms
    )
    if target.has_capacity:
        simulation.tally.record_accepted(call)
    target.accept(call, work, reply)


@_apply.register
def _(effect: effects.CancelCall, entry: Entry) -> None:
    entry.open_calls.pop(effect.attempt_id, None)
    entry.started_replies.discard(effect.attempt_id)
    simulation = entry.simulation
    zones = entry.host_id.zone, effect.target.zone
    if simulation.is_reachable(*zones):
        target = simulation.targets[effect.target.name]
        delay_ms = simulation.delay_ms(*zones)
        simulation.clock.call_after(delay_ms, target.cancel, effect.attempt_id)


@_apply.register
def _(effect: effects.AnswerCaller, entry: Entry) -> None:
    now_ms = entry.simulation.clock.now_ms
    entry.simulation.tally.record_outcome(effect, now_ms)


@_apply.register
def _(effect: effects.SendPiece, entry: Entry) -> None:
    entry.simulation.tally.record_piece(effect)


@_apply.register
def _(effect: effects.DropConnections, entry: Entry) -> None:
    entry.silent_targets.discard(effect.target.name)


@_apply.register
def _(effect: effects.ProbeTarget, entry: Entry) -> None:
    simulation = entry.simulation
    target = simulation.targets[effect.target.name]
    zones = entry.host_id.zone, effect.target.zone
    is_alive = simulation.is_reachable(*zones) and not target.is_down
    delay_ms = (
        4 * simulation.delay_ms(*zones) if is_alive else effect.timeout_ms
    )
    simulation.clock.call_after(
        delay_ms, _report_probe, entry, effect.target, is_alive
    )


def _report_probe(entry: Entry, target, is_alive: bool) -> None:
    if is_alive:
        load = entry.simulation.targets[target.name].load()
        entry.deliver(messages.LoadReported(target.name, load))
    entry.deliver(messages.ProbeEnded(target.name, is_alive))
