"""Invariants checked after every step of a scenario, under any faults."""

import typing

from godwitglade.decisions import outcomes
from godwitglade.operators import parsing
from proof import fake_targets
from proof import processes
from proof import simulation as simulation_module

#: Time by which an outcome may exceed the deadline of its request.
ANSWER_GRACE_MS = 300
LEAVING_GRACE_MS = 2_000 + 100

#: Time without faults after which accepted changes are in force everywhere.
PROPAGATION_MS = 11_000


class Invariants:
    """Checks of one simulation; ``violations`` collects the failed ones."""

    def __init__(self, simulation: simulation_module.Simulation) -> None:
        self.simulation = simulation
        self.violations: list[str] = []
        self._sequences: dict[tuple, int] = {}
        self._checked: set[str] = set()

    def check_step(self) -> None:
        """Check the invariants that hold at any time."""
        for request in self.simulation.requests.values():
            if request.outcomes:
                self._check_answered(request)
        self._check_runs_once()
        self._check_versions()

    def check_end(self, is_undisturbed: bool) -> None:
        """Check the invariants of the end.

        ``is_undisturbed`` says that changes had time to propagate.
        """
        self.check_step()
        for request in self.simulation.requests.values():
            if not request.outcomes and not request.is_lost:
                self._fail(f'{request.name} got no outcome')
        for name in self.simulation.interrupted_requests:
            self._fail(f'{name} was interrupted by a planned stop')
        for host_error in self.simulation.host_errors:
            self._fail(host_error)
        for target in self.simulation.targets.values():
            if target.fencing_numbers != sorted(target.fencing_numbers):
                self._fail(
                    f'{target.name} applied an order with an older '
                    'fencing number'
                )
        self._check_leaving()
        self._check_status()
        if is_undisturbed:
            self._check_propagation()

    def _fail(self, violation: str) -> None:
        if violation not in self.violations:
            self.violations.append(violation)

    def _check_answered(self, request: processes.SentRequest) -> None:
        if len(request.outcomes) > 1:
            self._fail(f'{request.name} got more than one outcome')
        outcome = request.outcomes[0]
        if isinstance(outcome, outcomes.RefusedNotRun):
            self._check_not_run(request)
        if request.name in self._checked:
            return
        self._checked.add(request.name)
        if isinstance(outcome, outcomes.Answered):
            self._check_results(request, outcome)
        late_ms = self.simulation.now_ms - request.message.deadline_ms
        if late_ms > ANSWER_GRACE_MS and not request.was_paused:
            self._fail(f'{request.name} was answered {late_ms} ms late')

    def _check_not_run(self, request: processes.SentRequest) -> None:
        request_id = request.message.request_id
        if any(run.request_id == request_id for run in self.simulation.runs):
            self._fail(f'{request.name} was refused as not run, but it ran')

    def _check_results(
        self, request: processes.SentRequest, answer: outcomes.Answered
    ) -> None:
        document = self.simulation.documents[request.message.pipeline]
        stages = document.stages
        returned_stages = [s for s in stages if s.in_answer or s is stages[-1]]
        if set(answer.results) != {stage.name for stage in returned_stages}:
            self._fail(
                f'{request.name} was answered with the wrong set of results'
            )
        retry_ids = self.simulation.ids_with_same_key(request)
        for stage, output in answer.results.items():
            text = output['text'] if isinstance(output, dict) else output
            outputs = {
                fake_targets.output_of(name, stage) for name in retry_ids
            }
            if text not in outputs:
                self._fail(f'{request.name} got another request\'s output')

    def _check_runs_once(self) -> None:
        for key, runs in self.simulation.runs_by_key().items():
            if len(runs) > 1:
                self._fail(f'{key} ran {len(runs)} times')

    def _check_versions(self) -> None:
        for host in self.simulation.hosts.values():
            if host.decider is None:
                continue
            process = (host.name, host.incarnation)
            sequence = host.decider.components.documents.sequence
            if sequence < self._sequences.get(process, 0):
                self._fail(f'{host.name} reverted to change {sequence}')
            self._sequences[process] = sequence

    def _check_leaving(self) -> None:
        for target in self.simulation.targets.values():
            visible_ms = target.leaving_visible_ms
            if visible_ms is None:
                continue
            late = [
                run
                for run in target.received
                if run.at_ms > visible_ms + LEAVING_GRACE_MS
                and not run.is_during_partition
            ]
            if late:
                after_ms = late[0].at_ms - visible_ms
                self._fail(
                    f'{target.name} was sent a call {after_ms} ms after '
                    'hosts could know that it is leaving'
                )

    def _check_status(self) -> None:
        for host in self.simulation.hosts.values():
            if host.decider is None or host.is_paused:
                continue
            in_force = host.decider.components.requests.context.documents
            refused = {r.pipeline for r in host.decider.in_force.refused}
            for held in host.decider.components.documents.stored_documents():
                if held.pipeline in refused:
                    continue
                reported = held.text and parsing.parse_document(held.text)
                if in_force.get(held.pipeline) != reported:
                    self._fail(
                        f'{host.name} reports a version of {held.pipeline} '
                        'that is not in force'
                    )

    def _check_propagation(self) -> None:
        accepted = self.simulation.accepted_sequence
        for host in self.simulation.reachable_hosts():
            sequence = host.decider.components.documents.sequence
            if sequence < accepted:
                self._fail(
                    f'{host.name} has change {sequence} in force, not '
                    f'{accepted}'
                )


def attach(simulation: simulation_module.Simulation) -> Invariants:
    """Return checks that run after each step of ``simulation``."""
    checks = Invariants(simulation)
    simulation.step_checks.append(checks.check_step)
    return checks


def describe(violations: typing.Iterable[str]) -> str:
    """Return violations as lines."""
    return '\n'.join(f'  {violation}' for violation in violations)
