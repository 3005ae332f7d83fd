"""Measures decision time per request and memory per request in flight.

Run as ``python -m bench.measure.costs``. Prints both figures and their
slopes by number of targets, with and without target subsets.
"""

import random
import time
import tracemalloc

import attrs

from godwitglade.coordination import hosts
from godwitglade.decisions import documents
from godwitglade.decisions import effects
from godwitglade.decisions import messages
from godwitglade.decisions import requests
from godwitglade.decisions import settings as request_settings
from godwitglade.decisions import targets

COUNTS = (10, 100, 1_000, 12_000)
REQUESTS = 300
IN_FLIGHT = 500
NO_SUBSET = 1_000_000

_DOCUMENT = documents.Document(
    'cost',
    'team',
    60_000,
    tuple(
        documents.Stage(name, documents.StageKind.CALL, 'pool', 60_000)
        for name in ('first', 'second', 'third')
    ),
    (documents.Workspace('w'),),
)


@attrs.frozen
class Cost:
    """Processor time per three-stage request, bytes per one in flight."""

    time_us: float
    size_bytes: float


def measure(target_count: int, subset_size: int) -> Cost:
    """Measure a host with ``target_count`` targets in one pool."""
    time_us = _time_us(_host(target_count, subset_size))
    size_bytes = _size_bytes(_host(target_count, subset_size))
    return Cost(time_us, size_bytes)


def _host(target_count: int, subset_size: int) -> requests.Requests:
    settings = request_settings.RequestSettings(subset_size=subset_size)
    host_id = hosts.HostId('host', 'z0', 1)
    host = requests.Requests(host_id, random.Random(1), None, settings)
    listed = tuple(
        targets.Target(f't{i}', 'pool', f'z{i % 4}', f'10.0.0.1:{i}')
        for i in range(target_count)
    )
    host.handle(messages.TargetsListed(listed), 0)
    host.handle(messages.DocumentsInForce({'cost': _DOCUMENT}), 0)
    for tracked in host.context.directory.by_name.values():
        tracked.limit = 1_000.0
    return host


def _time_us(host: requests.Requests) -> float:
    started = time.process_time()
    for number in range(REQUESTS):
        requested = host.handle(_request(number), number)
        while call := _find_call(requested):
            requested = host.handle(_reply(call), number)
    return (time.process_time() - started) * 1e6 / REQUESTS


def _size_bytes(host: requests.Requests) -> float:
    tracemalloc.start()
    before, _peak = tracemalloc.get_traced_memory()
    for number in range(IN_FLIGHT):
        host.handle(_request(number), 0)
    after, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (after - before) / IN_FLIGHT


def _request(number: int) -> messages.RequestArrived:
    return messages.RequestArrived(
        f'r{number}', 'w', 'cost', {'prompt': 'x'}, 60_000, f'f{number}'
    )


def _find_call(requested: list) -> effects.CallTarget | None:
    calls = (e for e in requested if isinstance(e, effects.CallTarget))
    return next(calls, None)


def _reply(call: effects.CallTarget) -> messages.StageReplied:
    load = targets.Load(1, 0, 8)
    return messages.StageReplied(
        call.request_id, call.stage, call.attempt_id, 'out', 1, load
    )


def _print_costs(name: str, subset_size: int) -> None:
    costs = [measure(count, subset_size) for count in COUNTS]
    for count, cost in zip(COUNTS, costs):
        print(
            f'{name:<10} {count:>6} targets: {cost.time_us:8.0f} us a '
            f'request, {cost.size_bytes:6.0f} bytes in flight'
        )
    span = (COUNTS[-1] - COUNTS[0]) / 1_000
    time_slope = (costs[-1].time_us - costs[0].time_us) / span
    size_slope = (costs[-1].size_bytes - costs[0].size_bytes) / span
    print(
        f'{name:<10} slope: {time_slope:.1f} us and {size_slope:.0f} bytes '
        'for 1,000 targets more'
    )


if __name__ == '__main__':
    _print_costs('subset 32', 32)
    _print_costs('no subset', NO_SUBSET)
