"""Callers that keep their connections, and what they saw."""

import contextlib
import http.client
import itertools
import random
import threading
import time
import typing

import attrs

from bench.soak import world
from bench.standins import edge_document

PAUSE_S = 0.03
#: Callers wait this much longer than the time that they give.
PATIENCE_S = 2.5
PATHS = {
    '/once/x': {},
    '/read/x': {},
    '/stream/x': {},
    '/resume/x': {},
    '/staged/x': {'X-Chunks': '3', 'X-Chunk-Key': 'k1'},
}


@attrs.frozen
class Seen:
    """One request as its caller saw it; times are seconds of one clock.

    ``status`` is None if no answer came; ``is_whole`` tells whether the
    answer ended as it should.
    """

    attempt_id: str
    path: str
    edge: str
    boot: int
    key: str
    sent_s: float
    ended_s: float
    status: int | None = None
    signature: str | None = None
    body: bytes = b''
    is_whole: bool = False


class Callers:
    """Sends requests from ``count`` threads until stopped."""

    def __init__(self, found: world.World, count: int) -> None:
        self.seen: list[Seen] = []
        self._world = found
        self._stopped = threading.Event()
        self._numbers = itertools.count(1)
        seeds = [found.rng.getrandbits(64) for _ in range(count)]
        self._threads = [
            threading.Thread(target=self._run, args=(seed,), daemon=True)
            for seed in seeds
        ]

    def start(self) -> None:
        """Start to send."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop once the requests under way have ended."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _run(self, seed: int) -> None:
        rng = random.Random(seed)
        kept: dict[str, http.client.HTTPConnection] = {}
        while not self._stopped.wait(rng.uniform(0, 2 * PAUSE_S)):
            edge = rng.choice(self._world.edges)
            path = rng.choice(list(PATHS))
            connection = kept.pop(edge.name, None) or _connect(edge)
            seen, is_kept = self._ask(connection, edge, path, rng)
            self.seen.append(seen)
            if is_kept:
                kept[edge.name] = connection
            else:
                connection.close()

    def _ask(
        self,
        connection: http.client.HTTPConnection,
        edge: world.Edge,
        path: str,
        rng: random.Random,
    ) -> tuple[Seen, bool]:
        # Mostly the key that the last two documents share.
        recent = [term.key for term in self._world.keys[-3:]]
        key = rng.choices(recent, [1, 8, 1][-len(recent) :])[0]
        attempt_id = f'a{next(self._numbers)}'
        headers = {
            'Host': edge_document.HOST,
            'Authorization': f'Bearer {key}',
            'X-Attempt-Id': attempt_id,
            'X-Deadline-Ms': str(int(world.TIMEOUT_S * 1_000)),
            **PATHS[path],
        }
        sent_s = time.monotonic()
        seen = Seen(attempt_id, path, edge.name, edge.boot, key, sent_s, 0)
        is_kept = False
        with contextlib.suppress(OSError, http.client.HTTPException):
            connection.request('POST', path, b'{}', headers)
            response = connection.getresponse()
            fields: dict[str, typing.Any] = {
                'status': response.status,
                'signature': response.headers.get('X-Server-Signature'),
            }
            seen = attrs.evolve(seen, **fields)
            try:
                body = response.read()
            except http.client.IncompleteRead as cut:
                seen = attrs.evolve(seen, body=cut.partial)
                raise
            seen = attrs.evolve(seen, body=body, is_whole=True)
            is_kept = not response.will_close
        return attrs.evolve(seen, ended_s=time.monotonic()), is_kept


def _connect(edge: world.Edge) -> http.client.HTTPConnection:
    return http.client.HTTPConnection(
        edge.callers.address, timeout=world.TIMEOUT_S + PATIENCE_S
    )
