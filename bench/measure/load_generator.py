"""Generates load on a caller interface or a target.

Requests are sent from separate processes, so that contention for the
interpreter lock of the main process does not distort the times.
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
#: The last event of a complete stream contains one of these.
END_MARKERS = (b'"answered"', b'"done"')


@attrs.frozen
class RequestTemplate:
    """URLs and body of a kind of request.

    Request or worker number N uses URL N modulo their number. ``is_target``
    means that it is sent directly to a target, not to a daemon; ``body`` is
    sent only then. A daemon gets a payload made for each request.
    """

    urls: tuple[str, ...]
    body: dict[str, typing.Any]
    is_stream: bool = False
    is_target: bool = False


@attrs.frozen
class Stream:
    """Time to the first piece of a stream, and gaps between pieces."""

    first_ms: float
    gaps_ms: list[float]
    is_complete: bool


@attrs.frozen
class Calls:
    """Times of the plain requests that got a response, and the failures.

    ``failed`` counts requests without a response or with another status than
    200; the latter are in ``times_ms`` too. ``elapsed_s`` is the planned
    duration of a closed loop, and the measured one of requests at a rate.
    """

    times_ms: list[float]
    failed: int
    elapsed_s: float


def percentile(values: typing.Iterable[float], percent: float) -> float:
    """Return a percentile of values, or 0 if there are none."""
    samples = list(values)
    return float(numpy.percentile(samples, percent)) if samples else 0.0


def run_streams(
    template: RequestTemplate, count: int, spread_s: float
) -> list[Stream]:
    """Read ``count`` concurrent streams, started within ``spread_s``."""
    parts = _split(count)
    with _executor() as executor:
        results = executor.map(
            _read_streams,
            itertools.repeat(template),
            parts,
            itertools.repeat(spread_s),
        )
        return [stream for part in results for stream in part]


def run_closed_loop(
    template: RequestTemplate, in_flight: int, duration_s: float
) -> Calls:
    """Keep ``in_flight`` requests in flight for ``duration_s``."""
    parts = _split(in_flight)
    with _executor() as executor:
        results = executor.map(
            _send_closed_loop,
            itertools.repeat(template),
            parts,
            itertools.repeat(duration_s),
        )
        return _merge(list(results), duration_s)


def run_at_rate(
    template: RequestTemplate, rate: float, duration_s: float
) -> Calls:
    """Send ``rate`` requests per second while fewer than 64 are in flight.

    Above that a request waits for a completion; its time leaves out the wait.
    """
    with _executor(1) as executor:
        return executor.submit(
            _send_at_rate, template, rate, duration_s
        ).result()


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


def _read_streams(
    template: RequestTemplate, count: int, spread_s: float
) -> list[Stream]:
    http_pool = urllib3.PoolManager(maxsize=count, retries=False)

    def read(number: int) -> Stream:
        time.sleep(number * spread_s / count)
        return _read_stream(http_pool, template, number)

    with concurrent.futures.ThreadPoolExecutor(count) as executor:
        return list(executor.map(read, range(count)))


def _read_stream(
    http_pool: urllib3.PoolManager, template: RequestTemplate, number: int
) -> Stream:
    sent_s = time.perf_counter()
    response = _send(http_pool, template, number)
    arrivals_s = []
    is_complete = False
    while chunk := response.read1(65_536):
        pieces = chunk.count(b'"text"')
        arrivals_s += [time.perf_counter()] * pieces
        is_complete = is_complete or any(mark in chunk for mark in END_MARKERS)
    response.release_conn()
    gaps_ms = [1_000 * (b - a) for a, b in itertools.pairwise(arrivals_s)]
    first_s = arrivals_s[0] if arrivals_s else sent_s + TIMEOUT_S
    return Stream(1_000 * (first_s - sent_s), gaps_ms, is_complete)


def _send_closed_loop(
    template: RequestTemplate, in_flight: int, duration_s: float
) -> Calls:
    http_pool = urllib3.PoolManager(maxsize=in_flight, retries=False)
    end_s = time.perf_counter() + duration_s
    calls = Calls([], 0, duration_s)

    def send_requests(number: int) -> int:
        failed = 0
        while time.perf_counter() < end_s:
            failed += not _call(http_pool, template, number, calls.times_ms)
        return failed

    with concurrent.futures.ThreadPoolExecutor(in_flight) as executor:
        failed = sum(executor.map(send_requests, range(in_flight)))
    return attrs.evolve(calls, failed=failed)


def _send_at_rate(
    template: RequestTemplate, rate: float, duration_s: float
) -> Calls:
    http_pool = urllib3.PoolManager(maxsize=64, retries=False)
    started_s = time.perf_counter()
    times_ms: list[float] = []
    with concurrent.futures.ThreadPoolExecutor(64) as executor:
        futures = []
        for number in range(int(rate * duration_s)):
            due_s = started_s + number / rate
            time.sleep(max(0, due_s - time.perf_counter()))
            futures.append(
                executor.submit(_call, http_pool, template, number, times_ms)
            )
        failed = sum(not future.result() for future in futures)
    return Calls(times_ms, failed, time.perf_counter() - started_s)


def _call(
    http_pool: urllib3.PoolManager,
    template: RequestTemplate,
    number: int,
    times_ms: list[float],
) -> bool:
    started_s = time.perf_counter()
    try:
        response = _send(http_pool, template, number)
        response.read()
        response.release_conn()
    except urllib3.exceptions.HTTPError:
        return False
    times_ms.append(1_000 * (time.perf_counter() - started_s))
    return response.status == 200


def _send(
    http_pool: urllib3.PoolManager, template: RequestTemplate, number: int
) -> urllib3.BaseHTTPResponse:
    identity = f'{threading.get_ident()}-{number}-{time.perf_counter_ns()}'
    ids = {'request_id': identity, 'stage': 's', 'attempt_id': identity}
    payload = {'identity': identity, 'prompt': identity}
    body = {**template.body, **ids} if template.is_target else payload
    return http_pool.urlopen(
        'POST',
        template.urls[number % len(template.urls)],
        body=json.dumps(body),
        headers=_headers(template),
        timeout=TIMEOUT_S,
        preload_content=False,
    )


def _headers(template: RequestTemplate) -> dict[str, str]:
    headers = {'Content-Type': 'application/json', 'X-Workspace': 'measure'}
    if template.is_stream:
        headers['Accept'] = 'text/event-stream'
    return headers
