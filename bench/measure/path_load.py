"""Load on a callers' interface or a target, from processes of its own.

A load process of its own keeps the interpreter lock of the generator out of
what is measured.
"""

import concurrent.futures
import itertools
import json
import multiprocessing
import threading
import time
import typing

import attrs
import numpy
import urllib3

LOAD_PROCESSES = 4
TIMEOUT_S = 60
#: Found in the last event of a whole stream.
END_MARKS = (b'"answered"', b'"done"')


@attrs.frozen
class Ask:
    """One kind of request: where it goes and what it says.

    ``is_target`` tells that it calls a target without a daemon between.
    """

    urls: tuple[str, ...]
    body: dict[str, typing.Any]
    is_stream: bool = False
    is_target: bool = False


@attrs.frozen
class Stream:
    """Times of one stream in ms: until the first piece, then the gaps."""

    first_ms: float
    gaps_ms: list[float]
    is_whole: bool


@attrs.frozen
class Calls:
    """Plain requests: their times in ms and how many failed."""

    times_ms: list[float]
    failed: int
    elapsed_s: float


def percentile(values: typing.Iterable[float], share: float) -> float:
    """Return a percentile of values, 0 for none."""
    found = list(values)
    return float(numpy.percentile(found, share)) if found else 0.0


def run_streams(ask: Ask, count: int, spread_s: float) -> list[Stream]:
    """Read ``count`` streams at a time, begun within ``spread_s``."""
    parts = _split(count)
    with _executor() as executor:
        found = executor.map(
            _stream_part,
            itertools.repeat(ask),
            parts,
            itertools.repeat(spread_s),
        )
        return [stream for part in found for stream in part]


def run_closed(ask: Ask, in_flight: int, duration_s: float) -> Calls:
    """Keep ``in_flight`` requests running for ``duration_s``."""
    parts = _split(in_flight)
    with _executor() as executor:
        found = executor.map(
            _closed_part,
            itertools.repeat(ask),
            parts,
            itertools.repeat(duration_s),
        )
        return _merge(list(found), duration_s)


def run_paced(ask: Ask, rate: float, duration_s: float) -> Calls:
    """Start ``rate`` requests a second whether or not others ended."""
    with _executor(1) as executor:
        return executor.submit(_paced_part, ask, rate, duration_s).result()


def _executor(
    workers: int = LOAD_PROCESSES,
) -> concurrent.futures.ProcessPoolExecutor:
    context = multiprocessing.get_context('spawn')
    return concurrent.futures.ProcessPoolExecutor(workers, context)


def _split(count: int) -> list[int]:
    parts = (
        count // LOAD_PROCESSES + (number < count % LOAD_PROCESSES)
        for number in range(LOAD_PROCESSES)
    )
    return [part for part in parts if part]


def _merge(parts: list[Calls], duration_s: float) -> Calls:
    times_ms = [ms for part in parts for ms in part.times_ms]
    failed = sum(part.failed for part in parts)
    return Calls(times_ms, failed, duration_s)


def _stream_part(ask: Ask, count: int, spread_s: float) -> list[Stream]:
    pools = urllib3.PoolManager(maxsize=count, retries=False)

    def read(number: int) -> Stream:
        time.sleep(number * spread_s / count)
        return _read_stream(pools, ask, number)

    with concurrent.futures.ThreadPoolExecutor(count) as executor:
        return list(executor.map(read, range(count)))


def _read_stream(pools: urllib3.PoolManager, ask: Ask, number: int) -> Stream:
    sent_s = time.perf_counter()
    response = _send(pools, ask, number)
    arrivals_s = []
    is_whole = False
    while chunk := response.read1(65_536):
        pieces = chunk.count(b'"text"')
        arrivals_s += [time.perf_counter()] * pieces
        is_whole = is_whole or any(mark in chunk for mark in END_MARKS)
    response.release_conn()
    gaps_ms = [1_000 * (b - a) for a, b in itertools.pairwise(arrivals_s)]
    first_s = arrivals_s[0] if arrivals_s else sent_s + TIMEOUT_S
    return Stream(1_000 * (first_s - sent_s), gaps_ms, is_whole)


def _closed_part(ask: Ask, in_flight: int, duration_s: float) -> Calls:
    pools = urllib3.PoolManager(maxsize=in_flight, retries=False)
    until_s = time.perf_counter() + duration_s
    calls = Calls([], 0, duration_s)

    def work(number: int) -> int:
        failed = 0
        while time.perf_counter() < until_s:
            failed += not _call(pools, ask, number, calls.times_ms)
        return failed

    with concurrent.futures.ThreadPoolExecutor(in_flight) as executor:
        failed = sum(executor.map(work, range(in_flight)))
    return attrs.evolve(calls, failed=failed)


def _paced_part(ask: Ask, rate: float, duration_s: float) -> Calls:
    pools = urllib3.PoolManager(maxsize=64, retries=False)
    started_s = time.perf_counter()
    times_ms: list[float] = []
    with concurrent.futures.ThreadPoolExecutor(64) as executor:
        futures = []
        for number in range(int(rate * duration_s)):
            due_s = started_s + number / rate
            time.sleep(max(0, due_s - time.perf_counter()))
            futures.append(
                executor.submit(_call, pools, ask, number, times_ms)
            )
        failed = sum(not future.result() for future in futures)
    return Calls(times_ms, failed, time.perf_counter() - started_s)


def _call(
    pools: urllib3.PoolManager, ask: Ask, number: int, times_ms: list[float]
) -> bool:
    started_s = time.perf_counter()
    try:
        response = _send(pools, ask, number)
        response.read()
        response.release_conn()
    except urllib3.exceptions.HTTPError:
        return False
    times_ms.append(1_000 * (time.perf_counter() - started_s))
    return response.status == 200


def _send(
    pools: urllib3.PoolManager, ask: Ask, number: int
) -> urllib3.BaseHTTPResponse:
    identity = f'{threading.get_ident()}-{number}-{time.perf_counter_ns()}'
    ids = {'request_id': identity, 'stage': 's', 'attempt_id': identity}
    payload = {'identity': identity, 'prompt': identity}
    body = {**ask.body, **ids} if ask.is_target else payload
    return pools.urlopen(
        'POST',
        ask.urls[number % len(ask.urls)],
        body=json.dumps(body),
        headers=_headers(ask),
        timeout=TIMEOUT_S,
        preload_content=False,
    )


def _headers(ask: Ask) -> dict[str, str]:
    headers = {'Content-Type': 'application/json', 'X-Workspace': 'measure'}
    if ask.is_stream:
        headers['Accept'] = 'text/event-stream'
    return headers
