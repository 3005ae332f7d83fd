"""A deployment in memory: real hosts, fakes at their interfaces, one clock.

Everything happens in order of time and then of scheduling, so that a run
depends only on its script and its seed.
"""

import heapq
import itertools
import pathlib
import random
import typing

from godwitglade.coordination import hosts
from godwitglade.coordination import members
from godwitglade.decisions import documents
from godwitglade.decisions import host as host_module
from godwitglade.decisions import messages
from godwitglade.decisions import parts as host_parts
from godwitglade.decisions import settings as request_settings
from godwitglade.decisions import targets as target_types
from godwitglade.operators import parsing
from proof import fake_platform
from proof import fake_targets
from proof import running

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
ZONES = {'onboarding': 3, 'touchline': 4}
SERVICE_TARGETS = {'onboarding': 3, 'touchline': 4}
ENGINE_TARGETS = 6
HOST_LIST_LAG_MS = 3_000
ZONE_LATENCY_MS = 2
LOCAL_LATENCY_MS = 1


class World:
    """Hosts, targets and platform of one deployment."""

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
        self.cut_zones: set[str] = set()
        self.platform_exchanges: dict[str, list] = {}
        self.requests: dict[str, running.SentRequest] = {}
        self.changes: dict[str, list] = {}
        self.cut_off: list[str] = []
        self.raised: list[str] = []
        self.on_step: list[typing.Callable[[], None]] = []
        self._messages: dict[str, messages.RequestArrived] = {}
        self._queue: list = []
        self._sequence = itertools.count()
        self.platform = fake_platform.Platform(self)
        self.targets = self._make_targets()
        self.hosts = self._make_hosts(host_count)
        self.listed: list = []
        self.platform.load(self.texts)
        self._list_hosts()
        for name in self.hosts:
            self.start_host(name)

    @property
    def zones(self) -> list[str]:
        """Return the names of the data centres."""
        return [f'zone-{i + 1}' for i in range(ZONES[self.deployment])]

    def at(self, due_ms: int, act: typing.Callable[[], None]) -> None:
        """Run ``act`` at ``due_ms``."""
        due_ms = max(due_ms, self.now_ms)
        heapq.heappush(self._queue, (due_ms, next(self._sequence), act))

    def after(self, delay_ms: int, act: typing.Callable[[], None]) -> None:
        """Run ``act`` after ``delay_ms``."""
        self.at(self.now_ms + delay_ms, act)

    def run_until(self, end_ms: int) -> None:
        """Let everything due until ``end_ms`` happen."""
        while self._queue and self._queue[0][0] <= end_ms:
            self.now_ms, _, act = heapq.heappop(self._queue)
            act()
            for check in self.on_step:
                check()
        self.now_ms = max(self.now_ms, end_ms)

    def is_cut(self, zone: str, other: str | None) -> bool:
        """Tell whether two zones, or a zone and the platform, are apart."""
        return zone != other and bool(self.cut_zones & {zone, other})

    def latency_ms(self, zone: str, other: str) -> int:
        """Return the time a message takes one way."""
        return LOCAL_LATENCY_MS if zone == other else ZONE_LATENCY_MS

    def start_host(self, name: str) -> None:
        """Start a new process on the host."""
        host = self.hosts[name]
        host.incarnation += 1
        host.is_leaving = False
        self_id = hosts.HostId(name, host.zone, host.incarnation)
        parts = host_parts.make_parts(
            self_id,
            host.address,
            random.Random(f'{name}/{host.incarnation}/{self.random.random()}'),
            request_settings.RequestSettings(),
        )
        host.decider = host_module.Host(self_id, parts, parsing.parse_document)
        self._carry_out(host, host.decider.start(self.now_ms))

    def end_host(self, name: str) -> None:
        """End the host's process at once."""
        host = self.hosts[name]
        host.decider = None
        host.is_paused = False
        host.postponed.clear()
        for request in self.requests.values():
            is_here = request.host_life == (name, host.incarnation)
            if is_here and not request.outcomes:
                request.is_lost = True

    def exit_host(self, name: str) -> None:
        """End a process that stopped as planned; nothing may be lost."""
        before = {r.name for r in self.requests.values() if r.is_lost}
        self.end_host(name)
        self.cut_off += [
            r.name
            for r in self.requests.values()
            if r.is_lost and r.name not in before
        ]

    def pause_host(self, name: str) -> None:
        """Stop the process until `resume_host`; its clock goes on."""
        self.hosts[name].is_paused = True
        for request in self.requests.values():
            if request.host == name:
                request.was_paused = True

    def resume_host(self, name: str) -> None:
        """Let a paused host go on with what has gathered."""
        host = self.hosts[name]
        if not host.is_paused:
            return
        host.is_paused = False
        postponed, host.postponed = host.postponed, []
        for act in postponed:
            act()

    def tell(
        self, host: running.RunningHost, incarnation: int, message: typing.Any
    ) -> None:
        """Hand ``message`` to that life of the host's process."""
        if host.decider is None or host.incarnation != incarnation:
            return
        if host.is_paused:
            host.postponed.append(
                lambda: self.tell(host, incarnation, message)
            )
            return
        try:
            found = host.decider.handle(message, self.now_ms)
        except Exception as error:
            # As in the daemon, the loop goes on without the message.
            name = type(message).__name__
            self.raised.append(f'{name} raised {error!r}')
            return
        self._carry_out(host, found)

    def replier(
        self, host: running.RunningHost
    ) -> typing.Callable[[int, typing.Any], None]:
        """Return a function that sends messages to this life of a host."""
        incarnation = host.incarnation

        def reply(delay_ms: int, message: typing.Any) -> None:
            self.after(delay_ms, lambda: self.tell(host, incarnation, message))

        return reply

    def send(self, name: str, message: messages.RequestArrived, host: str):
        """Let a caller's request arrive at a host that is up."""
        found = self.hosts[host]
        life = (host, found.incarnation)
        sent = running.SentRequest(name, message, host, life, self.now_ms)
        sent.is_lost = found.decider is None
        sent.was_paused = found.is_paused
        self.requests[name] = sent
        self._messages[message.request_id] = message
        self.tell(found, found.incarnation, message)

    def host_at(self, address: str) -> running.RunningHost | None:
        """Return the host that listens at ``address``."""
        return next(
            (h for h in self.hosts.values() if h.address == address), None
        )

    def host_list(self) -> tuple[list, list]:
        """Return entry hosts and targets as the lagging list has them."""
        return self.listed[0][1:]

    @property
    def runs(self) -> list[fake_targets.Run]:
        """Return every call that a target took in."""
        return [run for t in self.targets.values() for run in t.runs]

    @property
    def accepted_sequence(self) -> int:
        """Return the number of the last change accepted for an operator."""
        answers = itertools.chain.from_iterable(self.changes.values())
        numbers = (getattr(answer, 'sequence', 0) for answer in answers)
        return max(numbers, default=0)

    def reachable_hosts(self) -> list[running.RunningHost]:
        """Return the hosts that run and are not cut off."""
        return [
            host
            for host in self.hosts.values()
            if host.decider is not None
            and not host.is_paused
            and host.zone not in self.cut_zones
        ]

    def family_of(self, request: running.SentRequest) -> set[str]:
        """Return the ids of all requests with the same idempotency key."""
        key = running.key_of(request.message)
        if key is None:
            return {request.message.request_id}
        return {
            other.message.request_id
            for other in self.requests.values()
            if running.key_of(other.message) == key
        }

    def runs_by_key(self) -> dict[tuple, list[fake_targets.Run]]:
        """Return the runs of non-repeatable stages by key and stage."""
        found: dict[tuple, list[fake_targets.Run]] = {}
        for run in self.runs:
            message = self._messages[run.request_id]
            document = self.documents[message.pipeline]
            stage = next(s for s in document.stages if s.name == run.stage)
            if not stage.is_repeatable:
                key = (*running.key_of(message), run.stage)
                found.setdefault(key, []).append(run)
        return found

    def _list_hosts(self) -> None:
        entries = tuple(
            members.HostEntry(h.name, h.zone, h.address)
            for h in self.hosts.values()
        )
        listed = tuple(t.listed() for t in self.targets.values())
        self.listed.append((self.now_ms, entries, listed))
        old_ms = self.now_ms - HOST_LIST_LAG_MS
        for target in self.listed[0][2]:
            if target.state is target_types.TargetState.LEAVING:
                self.targets[target.name].show_leaving()
        while len(self.listed) > 1 and self.listed[1][0] <= old_ms:
            self.listed.pop(0)
        self.after(500, self._list_hosts)

    def _carry_out(self, host: running.RunningHost, wanted: list) -> None:
        for effect in wanted:
            fake_platform.carry_out(effect, self, host)

    def _make_targets(self) -> dict[str, fake_targets.FakeTarget]:
        stages = [s for d in self.documents.values() for s in d.stages]
        pools = sorted({stage.pool for stage in stages})
        engines = {
            s.pool for s in stages if s.kind is documents.StageKind.GENERATE
        }
        count = SERVICE_TARGETS[self.deployment]
        made = (
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
            for i in range(ENGINE_TARGETS if pool in engines else count)
        )
        return {target.name: target for target in made}

    def _make_hosts(self, count: int | None) -> dict[str, running.RunningHost]:
        zones = self.zones
        made = (
            running.RunningHost(
                f'host-{i + 1}', zones[i % len(zones)], f'h{i + 1}:1'
            )
            for i in range(count or len(zones))
        )
        return {host.name: host for host in made}


def _example_texts(deployment: str) -> dict[str, str]:
    paths = sorted((EXAMPLES / deployment).glob('*.yaml'))
    return {path.stem: path.read_text() for path in paths}
