"""What each action of the scenario language does to a world."""

import re
import typing

from godwitglade.coordination import change_results
from godwitglade.coordination import change_rows
from godwitglade.decisions import messages
from godwitglade.decisions import placements
from proof import fake_targets
from proof import language
from proof import running
from proof import world as world_module

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


class Player:
    """Carries out the steps of one scenario and notes what it expects."""

    def __init__(self, world: world_module.World) -> None:
        self.world = world
        self.failures: list[str] = []
        self.last_fault_ms = 0

    def play(self, step: language.Step) -> None:
        """Carry out ``step`` now; raises ScenarioError for unknown names."""
        try:
            act = getattr(self, step.action)
            act(*step.arguments)
        except KeyError as error:
            reason = f'unknown name {error.args[0]!r}'
            raise step.place.error(reason) from error
        except AssertionError as error:
            self.failures.append(str(step.place.error(str(error))))
        if not step.action.startswith(('expect', 'request', 'resend')):
            self.last_fault_ms = self.world.now_ms

    def request(self, name: str, pipeline: str, *options: tuple) -> None:
        """Send a request, or the same one at intervals."""
        chosen = dict(options)
        every_ms, times = chosen.pop('repeat', (0, 0))
        if not times:
            self._send(name, pipeline, **chosen)
            return
        for index in range(times):
            self.world.after(
                index * every_ms,
                lambda at=index: self._send(
                    f'{name}-{at + 1}', pipeline, **chosen
                ),
            )

    def resend(self, name: str, new_name: str, host: str | None) -> None:
        """Send a request again with the same key and content."""
        first = self.world.requests[name]
        self._resend(first, new_name, host or first.host)

    def host_crashes(self, name: str) -> None:
        """End a host's process at once."""
        self.world.end_host(self.world.hosts[name].name)

    def host_starts(self, name: str) -> None:
        """Start a new process on a host that is down."""
        if self.world.hosts[name].decider is None:
            self.world.start_host(name)

    def host_stops(self, name: str) -> None:
        """Begin a planned stop."""
        host = self.world.hosts[name]
        stop = messages.StopAsked()
        self.world.tell(host, host.incarnation, stop)

    def host_pauses(self, name: str, for_ms: int) -> None:
        """Pause a host's process."""
        self.world.pause_host(self.world.hosts[name].name)
        self.world.after(for_ms, lambda: self.world.resume_host(name))

    def store_down(self) -> None:
        """Refuse connections to the platform's stores."""
        self.world.platform.is_down = True

    def store_silent(self) -> None:
        """Keep the stores' answers back; writes take effect."""
        self.world.platform.is_silent = True

    def store_slow(self, by_ms: int) -> None:
        """Delay the stores' work."""
        self.world.platform.slow_ms = by_ms

    def store_loses(self, count: int) -> None:
        """Lose the answers of the next writes after their effect."""
        self.world.platform.answers_to_lose = count

    def store_up(self) -> None:
        """End every fault of the stores."""
        platform = self.world.platform
        platform.is_down = platform.is_silent = False
        platform.slow_ms = platform.answers_to_lose = 0

    def target_crashes(self, name: str) -> None:
        """End a target's process at once."""
        self.world.targets[name].crash()

    def target_starts(self, name: str) -> None:
        """Start a new process on a target."""
        self.world.targets[name].restart()

    def target_leaves(self, name: str) -> None:
        """Let a target refuse new work and tell the host list."""
        self.world.targets[name].leave()

    def target_silent(self, name: str) -> None:
        """Let a target take work and never answer."""
        self.world.targets[name].is_silent = True

    def target_slow(self, name: str, factor: int) -> None:
        """Make a target slower."""
        self.world.targets[name].slow_factor = factor

    def target_loses(self, name: str, count: int) -> None:
        """Lose a target's next answers after its work."""
        self.world.targets[name].answers_to_lose = count

    def target_repeats(self, name: str, count: int) -> None:
        """Let a target send its next answers again, some time later."""
        self.world.targets[name].answers_to_repeat = count

    def connections_silent(self, name: str) -> None:
        """Let every open connection to a target go silent."""
        self.world.targets[name].silent_to = set(self.world.hosts)

    def zone_cut(self, name: str) -> None:
        """Cut a data centre off from the others and the platform."""
        self._zone(name)
        self.world.cut_zones.add(name)

    def zone_joined(self, name: str) -> None:
        """End the cut of a data centre."""
        self._zone(name)
        self.world.cut_zones.discard(name)

    def change(
        self, name: str, pipeline: str, deadline_ms: int, host: str
    ) -> None:
        """Change a document's deadline, based on the version stored now."""
        self._change(name, pipeline, host, 'deadline_ms: ', deadline_ms)

    def change_model(
        self, name: str, pipeline: str, version: int, host: str
    ) -> None:
        """Change the version of a document's model."""
        self._change(name, pipeline, host, 'version: ', f"'{version}'")

    def _change(
        self, name: str, pipeline: str, host: str, field: str, value: object
    ) -> None:
        world = self.world
        text = re.sub(
            field + r"['\d.]+", f'{field}{value}', world.texts[pipeline]
        )
        world.texts[pipeline] = text
        request = change_rows.ChangeRequest(
            pipeline,
            world.platform.version_of(pipeline),
            name,
            text,
            'operator',
            world.documents[pipeline].team,
            world.now_ms,
        )
        found = world.hosts[host]
        world.changes.setdefault(name, [])
        asked = messages.ChangeAsked(name, request)
        world.tell(found, found.incarnation, asked)

    def expect_request(self, name: str, allowed: tuple[str, ...]) -> None:
        """Fail unless the request has one of the outcomes."""
        found = outcome_of(self.world.requests[name])
        assert found in allowed, f'{name} is {found}'

    def expect_all(self, allowed: tuple[str, ...]) -> None:
        """Fail unless all requests have one of the outcomes."""
        for name in self.world.requests:
            self.expect_request(name, allowed)

    def expect_change(self, name: str, allowed: tuple[str, ...]) -> None:
        """Fail unless the change has one of the results."""
        answers = self.world.changes[name]
        found = RESULTS[type(answers[0])] if answers else 'unanswered'
        assert found in allowed, f'change {name} is {found}'

    def expect_runs(self, key: str, count: int) -> None:
        """Fail unless the key's non-repeatable stage ran ``count`` times."""
        runs = [
            run
            for (_, _, found, _), group in self.world.runs_by_key().items()
            for run in group
            if found == key
        ]
        assert len(runs) == count, f'key {key} ran {len(runs)} times'

    def expect_host(self, name: str, state: str) -> None:
        """Fail unless the host is ``ready``, ``unready`` or ``down``."""
        decider = self.world.hosts[name].decider
        found = 'down'
        if decider is not None:
            found = 'ready' if decider.is_ready else 'unready'
        assert found == state, f'{name} is {found}'

    def expect_version(self, name: str, pipeline: str, version: int) -> None:
        """Fail unless the host holds that version of the document."""
        held = self.world.hosts[name].decider.parts.documents.held()
        found = {document.pipeline: document.version for document in held}
        assert (
            found[pipeline] == version
        ), f'{name} holds version {found[pipeline]}'

    def expect_loaded(self, name: str) -> None:
        """Fail unless the engine has a model that its documents want."""
        target = self.world.targets[name]
        host = self.world.reachable_hosts()[0]
        documents = host.decider.parts.requests.context.documents.values()
        wanted = placements.wanted_models(documents)[target.target.pool]
        state = placements.parse_state(target.state)
        assert state.model in wanted, f'{name} has {state.model}'

    def expect_crashes(self, limit: int) -> None:
        """Fail when more targets than that crashed."""
        count = sum(target.crashes for target in self.world.targets.values())
        assert count <= limit, f'{count} targets crashed'

    def _zone(self, name: str) -> None:
        if name not in self.world.zones:
            raise KeyError(name)

    def _send(
        self,
        name: str,
        pipeline: str,
        workspace: str | None = None,
        host: str = 'host-1',
        key: str | None = None,
        is_streamed: bool = False,
        is_poison: bool = False,
    ) -> None:
        document = self.world.documents[pipeline]
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
            deadline_ms=self.world.now_ms + document.deadline_ms,
            fingerprint=f'{pipeline}/{payload}',
            idempotency_key=key,
            is_stream=is_streamed,
        )
        self.world.send(name, message, host)

    def _resend(
        self, first: running.SentRequest, name: str, host: str
    ) -> None:
        document = self.world.documents[first.message.pipeline]
        message = running.again(
            first.message, name, self.world.now_ms + document.deadline_ms
        )
        self.world.send(name, message, host)


def outcome_of(request: running.SentRequest) -> str:
    """Return the name that the language gives to a request's outcome."""
    if request.outcomes:
        return OUTCOMES[request.outcomes[0].code]
    return 'lost' if request.is_lost else 'unanswered'


def quiet_ms(player: Player) -> typing.Any:
    """Return the time since the last fault or its end."""
    return player.world.now_ms - player.last_fault_ms
