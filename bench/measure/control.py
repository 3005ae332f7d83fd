"""Measures traffic, processor time and memory of the control plane.

Run as ``python -m bench.measure.control real`` for daemons on loopback, idle
and under document changes, ``... stepped`` for messages and bytes of larger
simulated fleets, ``... slopes`` for processor time and memory of components.
"""

import gc
import itertools
import json
import pathlib
import random
import tempfile
import time
import tracemalloc
import typing

import attrs
import psutil
import typer

from bench import deployment as deployments
from bench import fleet
from bench.measure import spread
from godwitglade.coordination import bodies
from godwitglade.coordination import document_replication as documents
from godwitglade.coordination import effects
from godwitglade.coordination import facts
from godwitglade.coordination import hosts as identities
from godwitglade.coordination import membership
from godwitglade.coordination import messages
from godwitglade.coordination import versioned_texts
from godwitglade.daemon import peer_codec
from godwitglade.decisions import directory
from godwitglade.decisions import targets
from godwitglade.operators import parsing
from godwitglade.peers import codec as codecs

#: 32,000 changes a day as a rate.
CHANGES_PER_S = 32_000 / 86_400
SETTLE_S = 8

#: HTTP headers of a request and a reply between hosts, and TCP and IP
#: headers of an exchange on a new connection: 10 segments.
REQUEST_HEADER_BYTES = 230
REPLY_HEADER_BYTES = 263
TCP_BYTES = 10 * 52

app = typer.Typer(add_completion=False)
Number = typing.Annotated[int, typer.Option(min=0)]


@attrs.frozen
class Usage:
    """Processor time and memory of one daemon."""

    cpu_s: float
    at_s: float
    rss_bytes: int

    @classmethod
    def read(cls, pid: int) -> 'Usage':
        """Return the usage of process ``pid`` so far."""
        process = psutil.Process(pid)
        times = process.cpu_times()
        return cls(
            times.user + times.system,
            time.monotonic(),
            process.memory_info().rss,
        )


class CountedDeployment(deployments.Deployment):
    """A deployment whose daemons print their peer traffic on exit."""

    daemon_module = 'bench.measure.control_daemon'


@app.command()
def real(
    hosts: Number = 9,
    zones: Number = 3,
    seconds: Number = 30,
    times_rate: float = 0.0,
    workspaces: Number = 5,
) -> None:
    """Measure daemons at ``times_rate`` times 32,000 changes a day."""
    with tempfile.TemporaryDirectory() as name:
        directory = pathlib.Path(name)
        deployment = CountedDeployment(directory)
        try:
            _measure_real(
                deployment, hosts, zones, seconds, times_rate, workspaces
            )
        finally:
            deployment.close()
        _print_traffic(directory, times_rate)


def _measure_real(
    deployment: deployments.Deployment,
    hosts: int,
    zones: int,
    seconds: int,
    times_rate: float,
    workspaces: int,
) -> None:
    for number in range(hosts):
        deployment.add_entry(f'entry-{number}', f'zone-{number % zones}')
    deployment.publish()
    deployment.await_ready()
    entries = list(deployment.entries.values())
    spread.apply_change(entries[0], 0, workspaces)
    time.sleep(SETTLE_S)
    before = [Usage.read(entry.process.pid) for entry in entries]
    change_count = round(seconds * CHANGES_PER_S * times_rate)
    started_s = time.monotonic()
    for number in range(1, change_count + 1):
        due_s = started_s + number * seconds / (change_count + 1)
        time.sleep(max(0.0, due_s - time.monotonic()))
        entry = random.Random(number).choice(entries)
        spread.apply_change(entry, number, workspaces)
    time.sleep(max(0.0, started_s + seconds - time.monotonic()))
    after = [Usage.read(entry.process.pid) for entry in entries]
    shares = [
        (late.cpu_s - early.cpu_s) / (late.at_s - early.at_s)
        for early, late in zip(before, after)
    ]
    memory = [usage.rss_bytes / 2**20 for usage in after]
    print(f'real, {hosts} daemons, {change_count} changes in {seconds} s')
    print(f'  of a core: {_format_range(shares, 100)} %')
    print(f'  memory: {_format_range(memory, 1)} MiB')


def _print_traffic(directory: pathlib.Path, times_rate: float) -> None:
    sent, received, count, alive_s = [], [], [], []
    for path in sorted(directory.glob('*.log')):
        lines = path.read_text().splitlines()
        fields = json.loads(lines[-1])
        seconds = fields['alive_s']
        sent.append(fields['sent_bytes'] / seconds)
        received.append(fields['received_bytes'] / seconds)
        count.append(fields['message_count'] / seconds)
        alive_s.append(seconds)
    print(f'  peers, over {min(alive_s):.0f} s of life, HTTP headers included')
    print(f'  sent: {_format_range(sent, 1)} bytes a second')
    print(f'  received: {_format_range(received, 1)} bytes a second')
    print(f'  messages answered or sent: {_format_range(count, 1)} a second')


@app.command()
def stepped(
    hosts: Number = 48,
    zones: Number = 4,
    seconds: Number = 60,
    times_rate: float = 0.0,
    restarts: Number = 0,
    usage: Number = 0,
    warm_s: Number = 60,
    workspaces: Number = 5,
    whole: bool = False,
    seed: Number = 1,
) -> None:
    """Count messages and bytes of a fleet simulated in virtual time."""
    sim_fleet = fleet.Fleet(hosts, zones, 0.01, seed)
    sim_fleet.store.change(spread.PIPELINE, spread.make_text(0, workspaces))
    sim_fleet.run(warm_s * 1_000)
    meter = TrafficMeter()
    sim_fleet.on_message = meter.count_message
    change_count = round(seconds * CHANGES_PER_S * times_rate)
    steps = max(1, change_count)
    texts = [spread.make_text(n, workspaces) for n in range(steps + 1)]
    for number in range(steps):
        if change_count:
            old = '' if whole else texts[number]
            sim_fleet.change_by_patch(spread.PIPELINE, old, texts[number + 1])
        first = restarts * number // steps
        _restart(sim_fleet, range(first, restarts * (number + 1) // steps))
        if usage:
            _publish_usage(sim_fleet, usage)
        sim_fleet.run(seconds * 1_000 // steps)
    scale = 1 / (hosts * seconds)
    print(
        f'stepped, {hosts} hosts in {zones} zones, {change_count} changes'
        f' and {restarts} restarts in {seconds} s'
    )
    print(f'  requests: {meter.request_count * scale:.2f} a second a host')
    # Bytes count twice: one host sends and another receives them.
    print(
        f'  bodies: {2 * meter.body_bytes * scale:.0f} bytes a second a host'
    )
    print(f'  with headers: {2 * meter.http_bytes * scale:.0f}')
    print(f'  with TCP and IP: {2 * meter.wire_bytes * scale:.0f}')


def _restart(sim_fleet: fleet.Fleet, numbers: range) -> None:
    for number in numbers:
        sim_fleet.stop(f'h{number}')
        sim_fleet.start(f'h{number}')


def _publish_usage(sim_fleet: fleet.Fleet, count: int) -> None:
    for node in sim_fleet.running_nodes():
        for number in range(count):
            fact = effects.PublishFact('usage', f'workspace-{number}', 3, 0)
            node.facts.publish(fact, sim_fleet.now_ms)


class TrafficMeter:
    """Encodes each message of a fleet and sums the sizes in bytes."""

    def __init__(self) -> None:
        self._codec = peer_codec.make_codec()
        self._sender = identities.HostId(
            'entry-770', 'region-5-zone-16', 1 << 40
        )
        self.request_count = 0
        self.body_bytes = 0
        self.http_bytes = 0
        self.wire_bytes = 0

    def count_message(self, direction: str, body: typing.Any) -> None:
        """Count one request or reply."""
        is_request = direction == 'request'
        sender = self._sender if is_request else None
        size = len(self._codec.encode(codecs.Envelope(body, sender)))
        header = REQUEST_HEADER_BYTES if is_request else REPLY_HEADER_BYTES
        self.request_count += is_request
        self.body_bytes += size
        self.http_bytes += size + header
        self.wire_bytes += size + header + is_request * TCP_BYTES


@app.command()
def slopes() -> None:
    """Measure processor time per exchange and memory per entry."""
    for host_count in (9, 48, 192, 770):
        node, exchange = _single_host(host_count)
        spent_us = _time_exchange(node, exchange)
        tick_us = _time_ticks(node)
        print(
            f'{host_count} hosts known: an exchange {spent_us:.0f} us,'
            f' the timers of a second {tick_us:.0f} us'
        )
    print(f'memory a host: {_host_bytes():.0f} bytes')
    print(f'memory a fact: {_fact_bytes():.0f} bytes')
    print(f'memory a workspace in use: {_usage_bytes():.0f} bytes')
    print(f'memory a target: {_target_bytes():.0f} bytes')
    for count in (5, 343):
        used = _document_bytes(count)
        print(f'memory a document of {count} workspaces: {used:.0f} bytes')
    print(f'codec an exchange, both ways: {_codec_us():.0f} us')


def _single_host(host_count: int) -> tuple[fleet.Node, bodies.Exchange]:
    sim_fleet = fleet.Fleet(1, 1)
    node = sim_fleet.nodes['h0']
    sim_fleet.store.change(spread.PIPELINE, spread.make_text(0))
    sim_fleet.run(3_000)
    for record in _records(host_count - 1):
        node.members.table.merge(record, 0, is_forwarded=False)
    peer = next(iter(_records(1)))
    digest = node.members.table.records.digest
    exchange = bodies.Exchange(peer, 1, host_count, digest)
    return node, exchange


def _records(count: int) -> typing.Iterator[bodies.MemberRecord]:
    for number in range(count):
        host = identities.HostId(f'entry-{number}', f'zone-{number % 16}', 1)
        yield bodies.MemberRecord(host, f'10.0.{number % 250}.1:8080')


def _time_exchange(node: fleet.Node, exchange: bodies.Exchange) -> float:
    rounds = 2_000
    started_s = time.perf_counter()
    for _ in range(rounds):
        node.members._receive(exchange, 0)
        node.members._compose(exchange, 0)
    return 1e6 * (time.perf_counter() - started_s) / rounds


def _time_ticks(node: fleet.Node) -> float:
    rounds = 200
    tokens = (membership.TICK_TOKEN, documents.TICK_TOKEN, facts.TICK_TOKEN)
    fired = [messages.TimerFired(token) for token in tokens]
    started_s = time.perf_counter()
    for component, message in itertools.product(
        node.components, fired * rounds
    ):
        component.handle(message, 3_000)
    return 1e6 * (time.perf_counter() - started_s) / rounds


def _codec_us() -> float:
    _, exchange = _single_host(9)
    codec = peer_codec.make_codec()
    envelope = codecs.Envelope(exchange, exchange.sender.host)
    rounds = 2_000
    started_s = time.perf_counter()
    for _ in range(rounds):
        codec.decode(codec.encode(envelope))
    return 1e6 * (time.perf_counter() - started_s) / rounds


def _host_bytes() -> float:
    node, _ = _single_host(1)

    def fill(count: int) -> None:
        for record in itertools.islice(_records(count), count):
            node.members.table.merge(record, 0, is_forwarded=False)
            node.members.table.record_report(record.host, 1, 0)

    return _bytes_per_entry(fill)


def _fact_bytes() -> float:
    node, _ = _single_host(1)

    def fill(count: int) -> None:
        for number in range(count):
            fact = effects.PublishFact('ejected', f't-{number}', True, 60_000)
            node.facts.publish(fact, 0)

    return _bytes_per_entry(fill)


def _usage_bytes() -> float:
    node, _ = _single_host(1)

    def fill(count: int) -> None:
        for number in range(count):
            fact = effects.PublishFact('usage', f'workspace-{number}', 3, 0)
            node.facts.publish(fact, 0)

    return _bytes_per_entry(fill)


def _target_bytes() -> float:
    target_directory = directory.Directory()

    def fill(count: int) -> None:
        target_directory.replace(
            tuple(
                targets.Target(f't-{n}', 'llm', 'north', f'10.0.0.1:{n}')
                for n in range(count)
            )
        )

    return _bytes_per_entry(fill)


def _document_bytes(workspaces: int) -> float:
    texts = versioned_texts.VersionedTexts()
    parsed = []

    def fill(count: int) -> None:
        for number in range(count):
            text = spread.make_text(number, workspaces)
            document = bodies.StoredDocument(f'p-{number}', 1, number, text)
            texts.restore(document)
            parsed.append(parsing.parse_document(text))

    return _bytes_per_entry(fill, 35)


def _bytes_per_entry(
    fill: typing.Callable[[int], None], count: int = 4_000
) -> float:
    gc.collect()
    tracemalloc.start()
    fill(count)
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used / count


def _format_range(values: list[float], factor: float) -> str:
    ordered = sorted(value * factor for value in values)
    middle = ordered[len(ordered) // 2]
    return f'{middle:.2f} (median), {ordered[-1]:.2f} (most)'


if __name__ == '__main__':
    app()
