"""Actions of the scenario language, applied to a simulation."""

import re
import typing

from godwitglade.coordination import change_results
from godwitglade.coordination import change_rows
from godwitglade.decisions import messages
from godwitglade.decisions import placements
from proof import fake_targets
from proof import language
from proof import processes
from proof import simulation as simulation_module

OUTCOMES = {
    'answered': 'answered',
    'refused_not_run': 'refused',
    'failed': 'failed',
    'unknown': 'unknown',
}
RESULTS = {
    change_results.ChangeAccepted: 'accepted',
    change_results.ChangeConflict: 'conflict',
    change_results.ChangeUnknown: 'unknown',
    change_results.ChangeUnavailable: 'unavailable',
}


class StepRunner:
    """Runs the steps of one scenario and collects failed expectations."""

    def __init__(self, simulation: simulation_module.Simulation) -> None:
        self.simulation = simulation
        self.failures: list[str] = []
        self.last_disturbance_ms = 0

    def run_step(self, step: language.Step) -> None:
        """Run ``step`` now; raises ScenarioError for unknown names."""
        try:
            method = getattr(self, step.action)
            method(*step.arguments)
        except KeyError as error:
            reason = f'unknown name {error.args[0]!r}'
            raise step.location.error(reason) from error
        except AssertionError as error:
            self.failures.append(str(step.location.error(str(error))))
        if not step.action.startswith(('expect', 'request', 'resend')):
            self.last_disturbance_ms = self.simulation.now_ms

    def request(self, name: str, pipeline: str, *options: tuple) -> None:
        """Send a request, or several at an interval."""
        parameters = dict(options)
        every_ms, times = parameters.pop('repeat', (0, 0))
        if not times:
            self._send_request(name, pipeline, **parameters)
            return
        for index in range(times):
            self.simulation.schedule_after(
                index * every_ms,
                lambda at=index: self._send_request(
                    f'{name}-{at + 1}', pipeline, **parameters
                ),
            )

    def resend(self, name: str, new_name: str, host: str | None) -> None:
        """Send a request again with the same key and content."""
        first = self.simulation.requests[name]
        self._retry_request(first, new_name, host or first.host)

    def host_crashes(self, name: str) -> None:
        """End a host's process at once."""
        self.simulation.kill_host(self.simulation.hosts[name].name)

    def host_starts(self, name: str) -> None:
        """Start a new process on a host that is down."""
        if self.simulation.hosts[name].decider is None:
            self.simulation.start_host(name)

    def host_stops(self, name: str) -> None:
        """Start a planned stop."""
        host = self.simulation.hosts[name]
        stop = messages.StopRequested()
        self.simulation.deliver(host, host.incarnation, stop)

    def host_pauses(self, name: str, for_ms: int) -> None:
        """Pause a host's process."""
        self.simulation.pause_host(self.simulation.hosts[name].name)
        self.simulation.schedule_after(
            for_ms, lambda: self.simulation.resume_host(name)
        )

    def store_down(self) -> None:
        """Refuse connections to the platform's stores."""
        self.simulation.platform.is_down = True

    def store_silent(self) -> None:
        """Withhold the stores' replies; writes still apply."""
        self.simulation.platform.is_silent = True

    def store_slow(self, by_ms: int) -> None:
        """Delay every operation of the stores."""
        self.simulation.platform.slow_ms = by_ms

    def store_loses(self, count: int) -> None:
        """Lose the replies to the next writes, which still apply."""
        self.simulation.platform.answers_to_lose = count

    def store_up(self) -> None:
        """Clear every fault of the stores."""
        platform = self.simulation.platform
        platform.is_down = platform.is_silent = False
        platform.slow_ms = platform.answers_to_lose = 0

    def target_crashes(self, name: str) -> None:
        """End a target's process at once."""
        self.simulation.targets[name].crash()

    def target_starts(self, name: str) -> None:
        """Start a new process on a target."""
        self.simulation.targets[name].restart()

    def target_leaves(self, name: str) -> None:
        """Make a target refuse new work and announce it in the host list."""
        self.simulation.targets[name].leave()

    def target_silent(self, name: str) -> None:
        """Make a target accept work and never reply."""
        self.simulation.targets[name].is_silent = True

    def target_slow(self, name: str, factor: int) -> None:
        """Multiply the work time of a target by ``factor``."""
        self.simulation.targets[name].slow_factor = factor

    def target_loses(self, name: str, count: int) -> None:
        """Lose a target's next replies after its work."""
        self.simulation.targets[name].answers_to_lose = count

    def target_repeats(self, name: str, count: int) -> None:
        """Make a target send its next replies again, some time later."""
        self.simulation.targets[name].answers_to_repeat = count

    def connections_silent(self, name: str) -> None:
        """Stop all replies on the open connections to a target."""
        self.simulation.targets[name].silent_to = set(self.simulation.hosts)

    def zone_cut(self, name: str) -> None:
        """Partition a data centre from the others and the platform."""
        self._check_zone(name)
        self.simulation.partitioned_zones.add(name)

    def zone_joined(self, name: str) -> None:
        """End the partition of a data centre."""
        self._check_zone(name)
        self.simulation.partitioned_zones.discard(name)

    def change(
        self, name: str, pipeline: str, deadline_ms: int, host: str
    ) -> None:
        """Change a document's deadline, based on the stored version."""
        self._submit_change(name, pipeline, host, 'deadline_ms: ', deadline_ms)

    def change_model(
        self, name: str, pipeline: str, version: int, host: str
    ) -> None:
        """Change the version of a document's model."""
        self._submit_change(name, pipeline, host, 'version: ', f"'{version}'")

    def _submit_change(
        self, name: str, pipeline: str, host: str, field: str, value: object
    ) -> None:
        simulation = self.simulation
        text = re.sub(
            field + r"['\d.]+", f'{field}{value}', simulation.texts[pipeline]
        )
        simulation.texts[pipeline] = text
        request = change_rows.ChangeRequest(
            pipeline,
            simulation.platform.version_of(pipeline),
            name,
            text,
            'operator',
            simulation.documents[pipeline].team,
            simulation.now_ms,
        )
        receiver = simulation.hosts[host]
        simulation.changes.setdefault(name, [])
        message = messages.ChangeRequested(name, request)
        simulation.deliver(receiver, receiver.incarnation, message)

    def expect_request(self, name: str, allowed: tuple[str, ...]) -> None:
        """Fail unless the request has one of the outcomes."""
        found = outcome_of(self.simulation.requests[name])
        assert found in allowed, f'{name} is {found}'

    def expect_all(self, allowed: tuple[str, ...]) -> None:
        """Fail unless all requests have one of the outcomes."""
        for name in self.simulation.requests:
            self.expect_request(name, allowed)

    def expect_change(self, name: str, allowed: tuple[str, ...]) -> None:
        """Fail unless the change has one of the results."""
        answers = self.simulation.changes[name]
        found = RESULTS[type(answers[0])] if answers else 'unanswered'
        assert found in allowed, f'change {name} is {found}'

    def expect_runs(self, key: str, count: int) -> None:
        """Fail unless the key's non-repeatable stage ran ``count`` times."""
        runs = [
            run
            for (_, _, used, _), group in self.simulation.runs_by_key().items()
            for run in group
            if used == key
        ]
        assert len(runs) == count, f'key {key} ran {len(runs)} times'

    def expect_host(self, name: str, state: str) -> None:
        """Fail unless the host is ``ready``, ``unready`` or ``down``."""
        decider = self.simulation.hosts[name].decider
        found = 'down'
        if decider is not None:
            found = 'ready' if decider.is_ready else 'unready'
        assert found == state, f'{name} is {found}'

    def expect_version(self, name: str, pipeline: str, version: int) -> None:
        """Fail unless the host holds that version of the document."""
        held = self.simulation.hosts[
            name
        ].decider.components.documents.stored_documents()
        found = {document.pipeline: document.version for document in held}
        assert (
            found[pipeline] == version
        ), f'{name} holds version {found[pipeline]}'

    def expect_loaded(self, name: str) -> None:
        """Fail unless the engine has a model that its documents select."""
        target = self.simulation.targets[name]
        host = self.simulation.reachable_hosts()[0]
        documents = host.decider.components.requests.context.documents.values()
        models = placements.wanted_models(documents)[target.target.pool]
        state = placements.parse_state(target.state)
        assert state.model in models, f'{name} has {state.model}'

    def expect_crashes(self, limit: int) -> None:
        """Fail if more than ``limit`` targets crashed."""
        count = sum(
            target.crashes for target in self.simulation.targets.values()
        )
        assert count <= limit, f'{count} targets crashed'

    def _check_zone(self, name: str) -> None:
        if name not in self.simulation.zones:
            raise KeyError(name)

    def _send_request(
        self,
        name: str,
        pipeline: str,
        workspace: str | None = None,
        host: str = 'host-1',
        key: str | None = None,
        is_streamed: bool = False,
        is_poison: bool = False,
    ) -> None:
        document = self.simulation.documents[pipeline]
        if key is None and document.has_non_repeatable:
            key = name
        payload = (
            fake_targets.POISON if is_poison else {'content': key or name}
        )
        message = messages.RequestArrived(
            request_id=name,
            workspace=workspace or document.workspaces[0].name,
            pipeline=pipeline,
            payload=payload,
            deadline_ms=self.simulation.now_ms + document.deadline_ms,
            fingerprint=f'{pipeline}/{payload}',
            idempotency_key=key,
            is_stream=is_streamed,
        )
        self.simulation.send(name, message, host)

    def _retry_request(
        self, first: processes.SentRequest, name: str, host: str
    ) -> None:
        document = self.simulation.documents[first.message.pipeline]
        message = processes.copy_for_retry(
            first.message, name, self.simulation.now_ms + document.deadline_ms
        )
        self.simulation.send(name, message, host)


def outcome_of(request: processes.SentRequest) -> str:
    """Return the scenario language's name of a request's outcome."""
    if request.outcomes:
        return OUTCOMES[request.outcomes[0].code]
    return 'lost' if request.is_lost else 'unanswered'


def undisturbed_ms(step_runner: StepRunner) -> typing.Any:
    """Return the time since the last step that changed a fault."""
    return step_runner.simulation.now_ms - step_runner.last_disturbance_ms
