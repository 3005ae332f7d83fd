"""Measures the request path of one daemon on real sockets.

Run as ``python -m bench.measure.daemon_path``. The same load is also sent
directly to the targets in the same run, for comparison.
"""

import pathlib
import tempfile
import time
import typing

import attrs
import psutil
import typer

from bench import deployment as deployments
from bench.measure import load_generator
from bench import processes

ENGINES = 4
PLAIN_TARGETS = 2
#: 50 streams of 96 pieces a second are 4,800 pieces a second.
PIECES_PER_S = 96
STREAM_COUNTS = (10, 25, 50)
IN_FLIGHT_COUNTS = (1, 4, 16, 50)
REQUESTS_PER_S = 40

DOCUMENTS = {
    'path-plain': {
        'stages': [
            {
                'name': 'run',
                'kind': 'encode',
                'pool': 'plain',
                'budget_ms': 5_000,
            }
        ],
        'pools': [{'name': 'plain', 'max_in_flight_per_target': 64}],
    },
    'path-stream': {
        'stages': [
            {
                'name': 'text',
                'kind': 'generate',
                'pool': 'engines',
                'budget_ms': 50_000,
                'model': {'name': 'm', 'version': '1'},
            }
        ],
        'pools': [{'name': 'engines', 'max_in_flight_per_target': 64}],
    },
}


@attrs.frozen
class Usage:
    """Processor time in seconds and memory of the daemon."""

    cpu_s: float
    at_s: float
    rss_bytes: int


@attrs.frozen
class Testbed:
    """The measured daemon, and requests through it and directly to targets."""

    entry: deployments.Entry
    plain: load_generator.RequestTemplate
    plain_direct: load_generator.RequestTemplate
    stream: load_generator.RequestTemplate
    stream_direct: load_generator.RequestTemplate

    def usage(self) -> Usage:
        """Return the usage of the daemon so far."""
        process = psutil.Process(self.entry.process.pid)
        times = process.cpu_times()
        return Usage(
            times.user + times.system,
            time.monotonic(),
            process.memory_info().rss,
        )


def main(duration_s: float = 5, streams_s: float = 6) -> None:
    """Measure the request path and print the tables."""
    with tempfile.TemporaryDirectory() as directory:
        deployment = deployments.Deployment(pathlib.Path(directory))
        try:
            testbed = start(deployment, round(PIECES_PER_S * streams_s))
            measure_idle(testbed)
            measure_requests(testbed, duration_s)
            measure_at_rate(testbed, duration_s)
            measure_streams(testbed, 0)
            measure_streams(testbed, 1)
        finally:
            deployment.close()


def start(deployment: deployments.Deployment, pieces: int) -> Testbed:
    """Start targets and one daemon, with both documents in force."""
    pace_ms = 1_000 / PIECES_PER_S
    for number in range(ENGINES):
        deployment.add_target(
            f'engine-{number}',
            'engines',
            'zone-a',
            'engine',
            pieces=pieces,
            pace_ms=pace_ms,
        )
    for number in range(PLAIN_TARGETS):
        deployment.add_target(
            f'plain-{number}', 'plain', 'zone-a', 'pool', work_ms=0
        )
    entry = deployment.add_entry(
        'entry-1', 'zone-a', threads={'callers': 128, 'targets': 128}
    )
    deployment.publish()
    deployment.await_ready()
    for pipeline, document in DOCUMENTS.items():
        apply(entry, pipeline, document)
    base = f'http://{entry.callers}/v1/pipelines'
    testbed = Testbed(
        entry,
        load_generator.RequestTemplate((f'{base}/path-plain/requests',), {}),
        _direct(deployment, 'plain', '/v1/run', {'input': {}}),
        load_generator.RequestTemplate(
            (f'{base}/path-stream/requests',), {}, is_stream=True
        ),
        _direct(
            deployment,
            'engines',
            '/v1/completions',
            {'stream': True, 'input': {}},
        ),
    )
    processes.await_condition(
        lambda: not load_generator.run_closed_loop(
            testbed.plain, 1, 0.1
        ).failed,
        'the documents are not in force',
    )
    return testbed


def apply(
    entry: deployments.Entry, pipeline: str, document: dict[str, typing.Any]
) -> None:
    """Apply a document over HTTP, with defaults for missing fields."""
    complete = {
        'pipeline': pipeline,
        'team': 'onboarding',
        'deadline_ms': 60_000,
        'workspaces': [{'name': 'measure'}],
        **document,
    }
    entry.apply('amina', complete)


def _direct(
    deployment: deployments.Deployment,
    pool: str,
    path: str,
    body: dict[str, typing.Any],
) -> load_generator.RequestTemplate:
    pool_targets = [t for t in deployment.targets.values() if t.pool == pool]
    urls = tuple(member.process.url + path for member in pool_targets)
    return load_generator.RequestTemplate(urls, body, is_target=True)


def measure_idle(testbed: Testbed) -> None:
    """Print the usage of the idle daemon."""
    before = testbed.usage()
    time.sleep(3)
    after = testbed.usage()
    print('\nAt rest')
    print(
        f'  processor {cpu_share(before, after):.2%} of a core, '
        f'resident {after.rss_bytes / 1e6:.1f} MB'
    )


def cpu_share(before: Usage, after: Usage) -> float:
    """Return the share of a core used between two readings."""
    return (after.cpu_s - before.cpu_s) / (after.at_s - before.at_s)


def measure_requests(testbed: Testbed, duration_s: float) -> None:
    """Print results of closed-loop plain requests, by number in flight."""
    print('\nPlain requests of one stage, closed loop')
    print(
        f'{"in flight":>10}{"direct/s":>10}{"daemon/s":>10}{"ratio":>7}'
        f'{"p50 ms":>8}{"p95 ms":>8}{"added p95":>10}{"cpu ms":>8}'
        f'{"MB":>7}{"failed":>8}'
    )
    for in_flight in IN_FLIGHT_COUNTS:
        direct = load_generator.run_closed_loop(
            testbed.plain_direct, in_flight, duration_s / 2
        )
        before = testbed.usage()
        proxied = load_generator.run_closed_loop(
            testbed.plain, in_flight, duration_s
        )
        after = testbed.usage()
        print(_request_row(in_flight, direct, proxied, before, after))


def _request_row(
    in_flight: int,
    direct: load_generator.Calls,
    proxied: load_generator.Calls,
    before: Usage,
    after: Usage,
) -> str:
    direct_rate = len(direct.times_ms) / direct.elapsed_s
    rate = len(proxied.times_ms) / proxied.elapsed_s
    p95_ms = load_generator.percentile(proxied.times_ms, 95)
    added_ms = p95_ms - load_generator.percentile(direct.times_ms, 95)
    cpu_ms = 1_000 * (after.cpu_s - before.cpu_s) / len(proxied.times_ms)
    return (
        f'{in_flight:10}{direct_rate:10.0f}{rate:10.0f}'
        f'{rate / direct_rate:7.2f}'
        f'{load_generator.percentile(proxied.times_ms, 50):8.1f}{p95_ms:8.1f}'
        f'{added_ms:10.1f}{cpu_ms:8.2f}{after.rss_bytes / 1e6:7.1f}'
        f'{proxied.failed:8}'
    )


def measure_at_rate(testbed: Testbed, duration_s: float) -> None:
    """Print results of plain requests sent at `REQUESTS_PER_S`."""
    before = testbed.usage()
    proxied = load_generator.run_at_rate(
        testbed.plain, REQUESTS_PER_S, duration_s
    )
    after = testbed.usage()
    print(f'\nPlain requests, {REQUESTS_PER_S}/s')
    print(
        f'  p50 {load_generator.percentile(proxied.times_ms, 50):.1f} ms, '
        f'p95 {load_generator.percentile(proxied.times_ms, 95):.1f} ms, '
        f'failed {proxied.failed}, '
        f'processor {cpu_share(before, after):.1%} of a core'
    )


def measure_streams(testbed: Testbed, spread_s: float) -> None:
    """Print results of streams, by number of concurrent streams."""
    print(
        f'\nStreams of {PIECES_PER_S} pieces/s each, begun within '
        f'{spread_s:.0f} s'
    )
    print(
        f'{"streams":>10}{"pieces/s":>10}{"first p95":>10}{"added":>8}'
        f'{"gap p50":>9}{"gap p95":>9}{"gap p99":>9}{"added p95":>10}'
        f'{"cpu":>7}{"us/piece":>9}{"MB":>7}{"broken":>8}'
    )
    for count in STREAM_COUNTS:
        direct = load_generator.run_streams(
            testbed.stream_direct, count, spread_s
        )
        before = testbed.usage()
        proxied = load_generator.run_streams(testbed.stream, count, spread_s)
        after = testbed.usage()
        print(_stream_row(count, direct, proxied, before, after))


def _stream_row(
    count: int,
    direct: list[load_generator.Stream],
    proxied: list[load_generator.Stream],
    before: Usage,
    after: Usage,
) -> str:
    pieces = sum(len(stream.gaps_ms) + 1 for stream in proxied)
    gaps_ms = [gap for stream in proxied for gap in stream.gaps_ms]
    direct_gaps_ms = [gap for stream in direct for gap in stream.gaps_ms]
    longest_s = max(sum(s.gaps_ms) + s.first_ms for s in proxied) / 1_000
    cpu_s = after.cpu_s - before.cpu_s
    first_ms = load_generator.percentile([s.first_ms for s in proxied], 95)
    direct_first_ms = load_generator.percentile(
        [s.first_ms for s in direct], 95
    )
    gap_ms = load_generator.percentile(gaps_ms, 95)
    added_ms = gap_ms - load_generator.percentile(direct_gaps_ms, 95)
    broken = sum(not stream.is_complete for stream in proxied)
    return (
        f'{count:10}{pieces / longest_s:10.0f}{first_ms:10.1f}'
        f'{first_ms - direct_first_ms:8.1f}'
        f'{load_generator.percentile(gaps_ms, 50):9.1f}{gap_ms:9.1f}'
        f'{load_generator.percentile(gaps_ms, 99):9.1f}{added_ms:10.1f}'
        f'{cpu_s / longest_s:7.1%}{1e6 * cpu_s / pieces:9.0f}'
        f'{after.rss_bytes / 1e6:7.1f}{broken:8}'
    )


if __name__ == '__main__':
    typer.run(main)
