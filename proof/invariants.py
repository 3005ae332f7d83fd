"""What must hold after every step of a scenario, whatever the faults."""

import typing

from godwitglade.decisions import outcomes
from godwitglade.operators import parsing
from proof import fake_targets
from proof import running
from proof import world as world_module

#: An answer may come this long after its deadline.
ANSWER_GRACE_MS = 300
LEAVING_BOUND_MS = 2_000 + 100

#: Undisturbed time after which accepted changes are in force everywhere.
SPREAD_MS = 11_000


class Invariants:
    """Checks of one world; ``violations`` keeps what did not hold."""

    def __init__(self, world: world_module.World) -> None:
        self.world = world
        self.violations: list[str] = []
        self._sequences: dict[tuple, int] = {}
        self._judged: set[str] = set()

    def check_step(self) -> None:
        """Check what must hold at any time."""
        for request in self.world.requests.values():
            if request.outcomes:
                self._check_answered(request)
        self._check_once()
        self._check_versions()

    def check_end(self, is_quiet: bool) -> None:
        """Check what must hold at the end, after quiet time if so."""
        self.check_step()
        for request in self.world.requests.values():
            if not request.outcomes and not request.is_lost:
                self._fail(f'{request.name} got no outcome')
        for name in self.world.cut_off:
            self._fail(f'{name} was cut off by a planned stop')
        for raised in self.world.raised:
            self._fail(raised)
        for target in self.world.targets.values():
            if target.numbers != sorted(target.numbers):
                self._fail(f'{target.name} obeyed an old order')
        self._check_leaving()
        self._check_status()
        if is_quiet:
            self._check_spread()

    def _fail(self, violation: str) -> None:
        if violation not in self.violations:
            self.violations.append(violation)

    def _check_answered(self, request: running.SentRequest) -> None:
        if len(request.outcomes) > 1:
            self._fail(f'{request.name} got two outcomes')
        outcome = request.outcomes[0]
        if isinstance(outcome, outcomes.RefusedNotRun):
            self._check_not_run(request)
        if request.name in self._judged:
            return
        self._judged.add(request.name)
        if isinstance(outcome, outcomes.Answered):
            self._check_whole(request, outcome)
        late_ms = self.world.now_ms - request.message.deadline_ms
        if late_ms > ANSWER_GRACE_MS and not request.was_paused:
            self._fail(f'{request.name} answered {late_ms} ms late')

    def _check_not_run(self, request: running.SentRequest) -> None:
        request_id = request.message.request_id
        if any(run.request_id == request_id for run in self.world.runs):
            self._fail(f'{request.name} refused as not run, yet it ran')

    def _check_whole(
        self, request: running.SentRequest, answer: outcomes.Answered
    ) -> None:
        document = self.world.documents[request.message.pipeline]
        stages = document.stages
        wanted = [s for s in stages if s.in_answer or s is stages[-1]]
        if set(answer.results) != {stage.name for stage in wanted}:
            self._fail(f'{request.name} answered in part')
        family = self.world.family_of(request)
        for stage, output in answer.results.items():
            text = output['text'] if isinstance(output, dict) else output
            own = {fake_targets.output_of(name, stage) for name in family}
            if text not in own:
                self._fail(f'{request.name} got the answer of another')

    def _check_once(self) -> None:
        for key, runs in self.world.runs_by_key().items():
            if len(runs) > 1:
                self._fail(f'{key} ran {len(runs)} times')

    def _check_versions(self) -> None:
        for host in self.world.hosts.values():
            if host.decider is None:
                continue
            life = (host.name, host.incarnation)
            sequence = host.decider.parts.documents.sequence
            if sequence < self._sequences.get(life, 0):
                self._fail(f'{host.name} went back to change {sequence}')
            self._sequences[life] = sequence

    def _check_leaving(self) -> None:
        for target in self.world.targets.values():
            sign_ms = target.first_sign_ms
            if sign_ms is None:
                continue
            late = [
                run
                for run in target.offered
                if run.at_ms > sign_ms + LEAVING_BOUND_MS and not run.is_apart
            ]
            if late:
                after_ms = late[0].at_ms - sign_ms
                self._fail(
                    f'{target.name} got new work {after_ms} ms after the '
                    'first sign that it leaves'
                )

    def _check_status(self) -> None:
        for host in self.world.hosts.values():
            if host.decider is None or host.is_paused:
                continue
            in_force = host.decider.parts.requests.context.documents
            refused = {r.pipeline for r in host.decider.refused_documents}
            for held in host.decider.parts.documents.held():
                if held.pipeline in refused:
                    continue
                shown = held.text and parsing.parse_document(held.text)
                if in_force.get(held.pipeline) != shown:
                    self._fail(f'{host.name} shows another {held.pipeline}')

    def _check_spread(self) -> None:
        accepted = self.world.accepted_sequence
        for host in self.world.reachable_hosts():
            sequence = host.decider.parts.documents.sequence
            if sequence < accepted:
                self._fail(
                    f'{host.name} has change {sequence} in force and not '
                    f'{accepted}'
                )


def watch(world: world_module.World) -> Invariants:
    """Return checks that run after each step of ``world``."""
    checks = Invariants(world)
    world.on_step.append(checks.check_step)
    return checks


def describe(violations: typing.Iterable[str]) -> str:
    """Return violations as lines."""
    return '\n'.join(f'  {violation}' for violation in violations)
