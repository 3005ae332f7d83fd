"""Deterministic simulation of a deployment.

The hosts run their real decision code; the services are fake.

Callbacks run in order of due time, then of scheduling, so that a run depends
only on its script and its seed.
"""

import heapq
import itertools
import pathlib
import random
import typing

from godwitglade.coordination import hosts
from godwitglade.coordination import members
from godwitglade.decisions import components as host_components
from godwitglade.decisions import documents
from godwitglade.decisions import host as host_module
from godwitglade.decisions import messages
from godwitglade.decisions import settings as request_settings
from godwitglade.decisions import targets as target_types
from godwitglade.operators import parsing
from proof import fake_platform
from proof import fake_targets
from proof import processes

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
ZONE_COUNTS = {'onboarding': 3, 'touchline': 4}
TARGETS_PER_SERVICE_POOL = {'onboarding': 3, 'touchline': 4}
TARGETS_PER_ENGINE_POOL = 6
HOST_LIST_LAG_MS = 3_000
ZONE_LATENCY_MS = 2
LOCAL_LATENCY_MS = 1


class Simulation:
    """Hosts, targets, platform and simulated clock of one deployment."""

    def __init__(
        self, deployment: str, host_count: int | None = None, seed: int = 1
    ) -> None:
        self.now_ms = 0
        self.random = random.Random(seed)
        self.deployment = deployment
        self.texts = _example_texts(deployment)
        self.documents = {
            name: parsing.parse_document(text)
            for name, text in self.texts.items()
        }
        self.partitioned_zones: set[str] = set()
        self.peer_exchanges: dict[str, list] = {}
        self.requests: dict[str, processes.SentRequest] = {}
        self.changes: dict[str, list] = {}
        self.interrupted_requests: list[str] = []
        self.host_errors: list[str] = []
        self.step_checks: list[typing.Callable[[], None]] = []
        self._messages: dict[str, messages.RequestArrived] = {}
        self._queue: list = []
        self._sequence = itertools.count()
        self.platform = fake_platform.Platform(self)
        self.targets = self._make_targets()
        self.hosts = self._make_hosts(host_count)
        self.host_list_snapshots: list = []
        self.platform.store_documents(self.texts)
        self._record_host_list()
        for name in self.hosts:
            self.start_host(name)

    @property
    def zones(self) -> list[str]:
        """Return the names of the data centres."""
        return [f'zone-{i + 1}' for i in range(ZONE_COUNTS[self.deployment])]

    def schedule_at(
        self, due_ms: int, callback: typing.Callable[[], None]
    ) -> None:
        """Schedule ``callback`` for ``due_ms``."""
        due_ms = max(due_ms, self.now_ms)
        heapq.heappush(self._queue, (due_ms, next(self._sequence), callback))

    def schedule_after(
        self, delay_ms: int, callback: typing.Callable[[], None]
    ) -> None:
        """Schedule ``callback`` in ``delay_ms``."""
        self.schedule_at(self.now_ms + delay_ms, callback)

    def run_until(self, end_ms: int) -> None:
        """Run every callback due by ``end_ms``, with the checks after each."""
        while self._queue and self._queue[0][0] <= end_ms:
            self.now_ms, _, callback = heapq.heappop(self._queue)
            callback()
            for check in self.step_checks:
                check()
        self.now_ms = max(self.now_ms, end_ms)

    def is_partitioned(self, zone: str, other: str | None) -> bool:
        """Tell whether two zones, or zone and platform, are partitioned."""
        return zone != other and bool(self.partitioned_zones & {zone, other})

    def latency_ms(self, zone: str, other: str) -> int:
        """Return the one-way latency between two zones."""
        return LOCAL_LATENCY_MS if zone == other else ZONE_LATENCY_MS

    def start_host(self, name: str) -> None:
        """Start a new process on the host, with the next incarnation."""
        host = self.hosts[name]
        host.incarnation += 1
        host.is_leaving = False
        self_id = hosts.HostId(name, host.zone, host.incarnation)
        components = host_components.make_components(
            self_id,
            host.address,
            random.Random(f'{name}/{host.incarnation}/{self.random.random()}'),
            request_settings.RequestSettings(),
        )
        host.decider = host_module.Host(
            self_id, components, parsing.parse_document
        )
        self._execute_effects(host, host.decider.start(self.now_ms))

    def kill_host(self, name: str) -> None:
        """End the host's process at once; its open requests are lost."""
        host = self.hosts[name]
        host.decider = None
        host.is_paused = False
        host.deferred.clear()
        for request in self.requests.values():
            is_here = request.host_process == (name, host.incarnation)
            if is_here and not request.outcomes:
                request.is_lost = True

    def exit_host(self, name: str) -> None:
        """End a process after a planned stop and record its lost requests.

        Each of them is a violation.
        """
        before = {r.name for r in self.requests.values() if r.is_lost}
        self.kill_host(name)
        self.interrupted_requests += [
            r.name
            for r in self.requests.values()
            if r.is_lost and r.name not in before
        ]

    def pause_host(self, name: str) -> None:
        """Suspend the process until `resume_host`; the clock continues."""
        self.hosts[name].is_paused = True
        for request in self.requests.values():
            if request.host == name:
                request.was_paused = True

    def resume_host(self, name: str) -> None:
        """Resume a paused host and run its deferred callbacks."""
        host = self.hosts[name]
        if not host.is_paused:
            return
        host.is_paused = False
        deferred, host.deferred = host.deferred, []
        for callback in deferred:
            callback()

    def deliver(
        self,
        host: processes.HostProcess,
        incarnation: int,
        message: typing.Any,
    ) -> None:
        """Deliver ``message`` to that incarnation of the host's process."""
        if host.decider is None or host.incarnation != incarnation:
            return
        if host.is_paused:
            host.deferred.append(
                lambda: self.deliver(host, incarnation, message)
            )
            return
        try:
            effects = host.decider.handle(message, self.now_ms)
        except Exception as error:
            # As in the daemon, the loop drops the message and continues.
            name = type(message).__name__
            self.host_errors.append(f'{name} raised {error!r}')
            return
        self._execute_effects(host, effects)

    def reply_sender(
        self, host: processes.HostProcess
    ) -> typing.Callable[[int, typing.Any], None]:
        """Return a function that sends messages to this incarnation."""
        incarnation = host.incarnation

        def reply(delay_ms: int, message: typing.Any) -> None:
            self.schedule_after(
                delay_ms, lambda: self.deliver(host, incarnation, message)
            )

        return reply

    def send(self, name: str, message: messages.RequestArrived, host: str):
        """Deliver a caller's request to a host; it is lost if that is down."""
        receiver = self.hosts[host]
        receiving_process = (host, receiver.incarnation)
        sent = processes.SentRequest(
            name, message, host, receiving_process, self.now_ms
        )
        sent.is_lost = receiver.decider is None
        sent.was_paused = receiver.is_paused
        self.requests[name] = sent
        self._messages[message.request_id] = message
        self.deliver(receiver, receiver.incarnation, message)

    def host_at(self, address: str) -> processes.HostProcess | None:
        """Return the host that listens at ``address``."""
        return next(
            (h for h in self.hosts.values() if h.address == address), None
        )

    def host_list(self) -> tuple[list, list]:
        """Return entry hosts and targets as of the delayed host list."""
        return self.host_list_snapshots[0][1:]

    @property
    def runs(self) -> list[fake_targets.Run]:
        """Return every call that a target accepted."""
        return [run for t in self.targets.values() for run in t.runs]

    @property
    def accepted_sequence(self) -> int:
        """Return the highest sequence number of an accepted change."""
        answers = itertools.chain.from_iterable(self.changes.values())
        numbers = (getattr(answer, 'sequence', 0) for answer in answers)
        return max(numbers, default=0)

    def reachable_hosts(self) -> list[processes.HostProcess]:
        """Return the running hosts in zones that are not partitioned."""
        return [
            host
            for host in self.hosts.values()
            if host.decider is not None
            and not host.is_paused
            and host.zone not in self.partitioned_zones
        ]

    def ids_with_same_key(self, request: processes.SentRequest) -> set[str]:
        """Return the ids of all requests with the same idempotency key."""
        key = processes.key_of(request.message)
        if key is None:
            return {request.message.request_id}
        return {
            other.message.request_id
            for other in self.requests.values()
            if processes.key_of(other.message) == key
        }

    def runs_by_key(self) -> dict[tuple, list[fake_targets.Run]]:
        """Return the runs of non-repeatable stages by key and stage."""
        found: dict[tuple, list[fake_targets.Run]] = {}
        for run in self.runs:
            message = self._messages[run.request_id]
            document = self.documents[message.pipeline]
            stage = next(s for s in document.stages if s.name == run.stage)
            if not stage.is_repeatable:
                key = (*processes.key_of(message), run.stage)
                found.setdefault(key, []).append(run)
        return found

    def _record_host_list(self) -> None:
        entries = tuple(
            members.HostEntry(h.name, h.zone, h.address)
            for h in self.hosts.values()
        )
        listed = tuple(t.host_list_entry() for t in self.targets.values())
        self.host_list_snapshots.append((self.now_ms, entries, listed))
        old_ms = self.now_ms - HOST_LIST_LAG_MS
        for target in self.host_list_snapshots[0][2]:
            if target.state is target_types.TargetState.LEAVING:
                self.targets[target.name].record_leaving_visible()
        while (
            len(self.host_list_snapshots) > 1
            and self.host_list_snapshots[1][0] <= old_ms
        ):
            self.host_list_snapshots.pop(0)
        self.schedule_after(500, self._record_host_list)

    def _execute_effects(
        self, host: processes.HostProcess, effects: list
    ) -> None:
        for effect in effects:
            fake_platform.execute_effect(effect, self, host)

    def _make_targets(self) -> dict[str, fake_targets.FakeTarget]:
        stages = [s for d in self.documents.values() for s in d.stages]
        pools = sorted({stage.pool for stage in stages})
        engines = {
            s.pool for s in stages if s.kind is documents.StageKind.GENERATE
        }
        count = TARGETS_PER_SERVICE_POOL[self.deployment]
        created = (
            fake_targets.FakeTarget(
                self,
                target_types.Target(
                    f'{pool}-{i + 1}',
                    pool,
                    self.zones[i % len(self.zones)],
                    f'{pool}-{i + 1}:80',
                ),
            )
            for pool in pools
            for i in range(
                TARGETS_PER_ENGINE_POOL if pool in engines else count
            )
        )
        return {target.name: target for target in created}

    def _make_hosts(
        self, count: int | None
    ) -> dict[str, processes.HostProcess]:
        zones = self.zones
        created = (
            processes.HostProcess(
                f'host-{i + 1}', zones[i % len(zones)], f'h{i + 1}:1'
            )
            for i in range(count or len(zones))
        )
        return {host.name: host for host in created}


def _example_texts(deployment: str) -> dict[str, str]:
    paths = sorted((EXAMPLES / deployment).glob('*.yaml'))
    return {path.stem: path.read_text() for path in paths}
