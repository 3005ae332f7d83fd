"""Measures the time until a document change is in force on all hosts.

Run as ``python -m bench.measure.spread real --hosts 9`` for daemons on
loopback, or ``... stepped --hosts 770`` for a simulated fleet in memory.
"""

import datetime
import json
import pathlib
import random
import statistics
import tempfile
import time
import typing
import uuid

import attrs
import typer

from bench import deployment as deployments
from bench import fleet
from bench import processes

PIPELINE = 'spread'
SETTLE_S = 6
#: Virtual time for the hosts of a simulated fleet to discover each other.
WARM_UP_MS = 60_000
MAX_PAUSE_MS = 2_500
IN_FORCE_TIMEOUT_S = 60

app = typer.Typer(add_completion=False)
Number = typing.Annotated[int, typer.Option(min=0)]


@attrs.define
class LogReader:
    """Reads the in-force events from the log of a daemon."""

    path: pathlib.Path
    offset: int = 0
    in_force_s: dict[int, float] = attrs.Factory(dict)

    def update(self) -> None:
        """Read the lines written since the last call."""
        with self.path.open('rb') as stream:
            stream.seek(self.offset)
            for line in stream:
                if not line.endswith(b'\n'):
                    break
                self.offset += len(line)
                self._record_line(line)

    def _record_line(self, line: bytes) -> None:
        if b'document_in_force' not in line:
            return
        fields = json.loads(line)
        at = datetime.datetime.fromisoformat(fields['timestamp'])
        self.in_force_s[fields['sequence']] = at.timestamp()


def make_text(number: int, workspaces: int = 5) -> str:
    """Return the text of a small document that varies with ``number``."""
    stage = {'name': 'run', 'kind': 'encode', 'pool': 'p', 'budget_ms': 900}
    document = {
        'pipeline': PIPELINE,
        'team': 'onboarding',
        'deadline_ms': 1_000 + number,
        'stages': [stage],
        'workspaces': [{'name': f'w{i}'} for i in range(workspaces)],
    }
    return json.dumps(document, indent=1)


def apply_change(
    entry: deployments.Entry, number: int, workspaces: int = 5
) -> tuple[int, float]:
    """Apply change ``number``; return its sequence and acceptance time."""
    change = {
        'based_on': number,
        'change_id': str(uuid.uuid4()),
        'text': make_text(number, workspaces),
    }
    token = deployments.TOKENS['amina'][0]
    response = processes.http.request(
        'PUT',
        f'http://{entry.operators}/v1/documents/{PIPELINE}',
        json=change,
        headers={'Authorization': f'Bearer {token}'},
    )
    if response.status != 200:
        raise deployments.ChangeRefusedError(response.status, response.data)
    return response.json()['sequence'], time.time()


def await_in_force(readers: list[LogReader], sequence: int) -> float:
    """Return the time at which all daemons had ``sequence`` in force."""

    def is_everywhere() -> bool:
        for reader in readers:
            reader.update()
        return all(sequence in reader.in_force_s for reader in readers)

    processes.await_condition(
        is_everywhere, f'change {sequence}', IN_FORCE_TIMEOUT_S
    )
    return max(reader.in_force_s[sequence] for reader in readers)


def print_times(title: str, times_ms: list[float]) -> None:
    """Print the distribution of ``times_ms``."""
    ordered = sorted(times_ms)
    middle = statistics.median(ordered)
    p95 = ordered[int(0.95 * (len(ordered) - 1))]
    print(
        f'{title}: {len(ordered)} changes, in force everywhere after'
        f' {middle:.0f} ms (median), {p95:.0f} (95%),'
        f' {ordered[-1]:.0f} (worst)'
    )


@app.command()
def real(
    hosts: Number = 9,
    zones: Number = 3,
    changes: Number = 30,
    paused: Number = 0,
    seed: Number = 1,
) -> None:
    """Measure daemons on loopback; ``paused`` of them are unreachable."""
    rng = random.Random(seed)
    with tempfile.TemporaryDirectory() as name:
        directory = pathlib.Path(name)
        deployment = deployments.Deployment(directory)
        try:
            _measure_real(
                deployment, directory, hosts, zones, changes, paused, rng
            )
        finally:
            deployment.close()


def _measure_real(
    deployment: deployments.Deployment,
    directory: pathlib.Path,
    hosts: int,
    zones: int,
    changes: int,
    paused: int,
    rng: random.Random,
) -> None:
    for number in range(hosts):
        deployment.add_entry(f'entry-{number}', f'zone-{number % zones}')
    deployment.publish()
    deployment.await_ready()
    time.sleep(SETTLE_S)
    entries = list(deployment.entries.values())
    for entry in entries[:paused]:
        entry.process.pause()
    running = entries[paused:]
    readers = [LogReader(directory / f'{e.name}.log') for e in running]
    reads = deployment.table.get('/v1/counts')
    started_s = time.monotonic()
    times_ms = []
    for number in range(changes):
        time.sleep(rng.random())
        entry = rng.choice(running)
        sequence, accepted_s = apply_change(entry, number)
        last_s = await_in_force(readers, sequence)
        times_ms.append(1_000 * max(0.0, last_s - accepted_s))
    spent_s = time.monotonic() - started_s
    after = deployment.table.get('/v1/counts')
    print_times(f'real, {hosts} daemons ({paused} paused)', times_ms)
    for kind in after:
        rate = (after[kind] - reads[kind]) / spent_s
        print(f'  table {kind}: {rate:.1f} a second')


@app.command()
def stepped(
    hosts: Number = 48,
    zones: Number = 4,
    changes: Number = 10,
    loss_percent: float = 1.0,
    seed: Number = 1,
) -> None:
    """Measure a fleet simulated in virtual time."""
    sim_fleet = fleet.Fleet(hosts, zones, loss_percent / 100, seed)
    sim_fleet.store.change(PIPELINE, make_text(0))
    sim_fleet.run(WARM_UP_MS)
    times_ms = []
    reads = sim_fleet.store.read_count
    started_ms = sim_fleet.now_ms
    for number in range(changes):
        sim_fleet.run(sim_fleet.random.randrange(MAX_PAUSE_MS))
        sequence = sim_fleet.store.change(PIPELINE, make_text(number))
        times_ms.append(
            sim_fleet.await_in_force(sequence, IN_FORCE_TIMEOUT_S * 1_000)
        )
    spent_s = (sim_fleet.now_ms - started_ms) / 1_000
    title = f'stepped, {hosts} hosts in {zones} zones, {loss_percent}% loss'
    print_times(title, times_ms)
    rate = (sim_fleet.store.read_count - reads) / spent_s
    print(f'  reads on the table: {rate:.1f} a second')


if __name__ == '__main__':
    app()
