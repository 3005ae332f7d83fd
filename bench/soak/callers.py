"""Callers that reuse connections and record the responses they get."""

import contextlib
import http.client
import itertools
import random
import threading
import time
import typing

import attrs

from bench.soak import clusters
from bench.soak import standins
from bench.standins import edge_document

MEAN_PAUSE_S = 0.03
#: Share of requests with a part that crashes engines, while there is one.
BAD_SHARE = 0.03
#: Share of callers that stay with one host while it keeps their connection.
STAYING_SHARE = 0.25
#: Callers in a hurry send such a deadline, or leave after such a silence.
HURRIED_S = (0.05, 0.8)
#: Callers wait this much longer than the deadline that they send.
RESPONSE_MARGIN_S = 2.5
WAIT_S = clusters.TIMEOUT_S + RESPONSE_MARGIN_S
HEADERS_BY_PATH = {
    '/once/x': {},
    '/read/x': {},
    '/stream/x': {},
    '/resume/x': {},
    '/staged/x': {'X-Chunks': '3', 'X-Chunk-Key': 'k1'},
}
RESUMED_PATH = '/resume/x'
REPEATABLE_PATH = '/read/x'
#: Attempts to take up a stream that broke off.
MAX_RESUMES = 3
PROMPT_PATHS = ('/stream/x', '/resume/x')
COPIES_PREFIX = '/read/bad-'
FIRST_PART = '5e1f'
SUBJECT_COUNT = 12


@attrs.frozen
class RequestRecord:
    """A request and its response; times are monotonic seconds.

    ``status`` is None without a response; ``is_complete`` tells whether the
    whole response body was received. ``parts`` are those of its prompt and
    its path. An attempt that ``resumes`` the stream of another one has its
    events up to ``last_event_id`` already. ``answers_id`` is the attempt that
    the response names. ``is_other_build`` tells that of the host.
    """

    attempt_id: str
    path: str
    edge: str
    incarnation: int
    key: str
    sent_s: float
    ended_s: float
    status: int | None = None
    signature: str | None = None
    body: bytes = b''
    is_complete: bool = False
    resumes: str = ''
    last_event_id: int = 0
    parts: tuple[str, ...] = ()
    answers_id: str | None = None
    is_other_build: bool = False

    @property
    def description(self) -> str:
        """Return what was sent where."""
        build = ' (other build)' if self.is_other_build else ''
        return (
            f'{self.attempt_id} ({self.path}) at {self.edge}{build} '
            f'incarnation {self.incarnation}'
        )


class Callers:
    """Sends requests from ``count`` threads until stopped."""

    def __init__(self, cluster: clusters.Cluster, count: int) -> None:
        self.records: list[RequestRecord] = []
        self._cluster = cluster
        self._stopped = threading.Event()
        self._numbers = itertools.count(1)
        seeds = [cluster.rng.getrandbits(64) for _ in range(count)]
        self._threads = [
            threading.Thread(target=self._run, args=(seed,), daemon=True)
            for seed in seeds
        ]

    def start(self) -> None:
        """Start sending requests."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop once the requests in flight have ended."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _run(self, seed: int) -> None:
        rng = random.Random(seed)
        idle: dict[str, http.client.HTTPConnection] = {}
        is_staying_caller = rng.random() < STAYING_SHARE
        stays = False
        while not self._stopped.wait(
            0 if stays else rng.uniform(0, 2 * MEAN_PAUSE_S)
        ):
            path = rng.choice(list(HEADERS_BY_PATH))
            # New streams meet hosts that are down as often as resumed ones.
            if not stays or path == RESUMED_PATH:
                edge = rng.choice(self._cluster.edges)
            if rng.random() < self._cluster.repeatable_share:
                path = REPEATABLE_PATH
            bad = sorted(self._cluster.bad_parts)
            is_bad = bool(bad) and rng.random() < BAD_SHARE
            parts = (FIRST_PART, f'50{rng.randrange(SUBJECT_COUNT):02x}')
            if is_bad:
                part = rng.choice(bad)
                is_copy = part.startswith(COPIES_PREFIX)
                path = part if is_copy else rng.choice(PROMPT_PATHS)
                parts = (*parts, part)
            connection = idle.pop(edge.name, None) or _connect(edge)
            record, is_reusable = self._send_request(
                connection, edge, path, rng, parts
            )
            self.records.append(record)
            stays = is_staying_caller and is_reusable and record.status == 200
            if is_reusable:
                idle[edge.name] = connection
            else:
                connection.close()
            if path == RESUMED_PATH:
                self._resume(record, rng)

    def _resume(self, record: RequestRecord, rng: random.Random) -> None:
        """Take up a stream that broke off, at other hosts."""
        for _ in range(MAX_RESUMES):
            events = len(standins.versions_in(record.body))
            last_event_id = record.last_event_id + events
            is_broken = record.status == 200 and not record.is_complete
            is_refused = record.resumes and record.status != 200
            if not last_event_id or not (is_broken or is_refused):
                return
            edge = rng.choice(self._cluster.edges)
            connection = _connect(edge)
            record, _ = self._send_request(
                connection,
                edge,
                RESUMED_PATH,
                rng,
                record.parts[:-1],
                record.resumes or record.attempt_id,
                last_event_id,
            )
            connection.close()
            self.records.append(record)

    def _send_request(
        self,
        connection: http.client.HTTPConnection,
        edge: clusters.Edge,
        path: str,
        rng: random.Random,
        parts: tuple[str, ...],
        resumes: str = '',
        last_event_id: int = 0,
    ) -> tuple[RequestRecord, bool]:
        # Prefer the key that the last two documents have in common.
        recent = [validity.key for validity in self._cluster.keys[-3:]]
        key = rng.choices(recent, [1, 8, 1][-len(recent) :])[0]
        attempt_id = f'a{next(self._numbers)}'
        deadline_s, wait_s = clusters.TIMEOUT_S, WAIT_S
        if rng.random() < self._cluster.hurried_share:
            hurried_s = rng.uniform(*HURRIED_S)
            deadline_s, wait_s = rng.choice(
                ((hurried_s, wait_s), (deadline_s, hurried_s))
            )
        connection.timeout = wait_s
        if connection.sock is not None:
            connection.sock.settimeout(wait_s)
        headers = {
            'Host': edge_document.HOST,
            'Authorization': f'Bearer {key}',
            'X-Attempt-Id': attempt_id,
            'X-Deadline-Ms': str(int(deadline_s * 1_000)),
            **HEADERS_BY_PATH.get(path, {}),
        }
        if path in PROMPT_PATHS:
            prompt = [*parts, f'f{attempt_id}']
            headers['X-Prefix-Hash'] = ','.join(f'{p}:100' for p in prompt)
        if resumes:
            headers['Resumes'] = resumes
            headers['Last-Event-Id'] = str(last_event_id)
        sent_s = time.monotonic()
        record = RequestRecord(
            attempt_id,
            path,
            edge.name,
            edge.incarnation,
            key,
            sent_s,
            0,
            resumes=resumes,
            last_event_id=last_event_id,
            parts=(*(parts if path in PROMPT_PATHS else ()), path),
            is_other_build=bool(edge.python_path),
        )
        is_reusable = False
        with contextlib.suppress(OSError, http.client.HTTPException):
            connection.request('POST', path, b'{}', headers)
            response = connection.getresponse()
            fields: dict[str, typing.Any] = {
                'status': response.status,
                'signature': response.headers.get('X-Server-Signature'),
                'answers_id': response.headers.get('X-Attempt-Id'),
            }
            record = attrs.evolve(record, **fields)
            try:
                body = response.read()
            except http.client.IncompleteRead as error:
                record = attrs.evolve(record, body=error.partial)
                raise
            record = attrs.evolve(record, body=body, is_complete=True)
            is_reusable = not response.will_close
        return attrs.evolve(record, ended_s=time.monotonic()), is_reusable


def _connect(edge: clusters.Edge) -> http.client.HTTPConnection:
    return http.client.HTTPConnection(edge.callers.address, timeout=WAIT_S)
