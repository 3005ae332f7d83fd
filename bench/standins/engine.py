"""Stand-in for a model engine.

Run as ``python -m bench.standins.engine --port N``. The text depends only
on model, prompt and input, so that a stream resumed on another engine
continues the same text.
"""

import time
import typing

import xxhash

from bench.standins import server
from bench.standins import work

PIECE_CHARACTERS = 8


class Engine(server.StandIn):
    """Streams ``pieces`` pieces of text, one every ``pace_ms``."""

    def __init__(
        self,
        port: int = 0,
        ends_process: bool = False,
        capacity: int = 64,
        pieces: int = 20,
        pace_ms: float = 5,
        checks_fencing: bool = False,
    ) -> None:
        super().__init__(port, ends_process)
        self._pieces = pieces
        self._pace_ms = pace_ms
        self._checks_fencing = checks_fencing
        self.work = work.Work(capacity)
        self.state: dict[str, typing.Any] = {
            'model': None,
            'version': None,
            'adapters': [],
            'role': 'mixed',
            'fencing_number': 0,
        }

    def handle(self, request: server.Request) -> server.Reply | server.Stream:
        """Serve completions, cancellations, load, orders and state."""
        common = self.work.serve_common(request)
        if common is not None:
            return common
        match request.method, request.path:
            case 'POST', '/v1/completions':
                return self._complete(request.plain)
            case 'GET', '/v1/load':
                return server.Reply(self._load())
            case 'GET', '/v1/state':
                return server.Reply(self.state)
            case 'POST', '/v1/orders':
                return self._apply_order(request.plain)
        return server.Reply({}, 404)

    def not_run(self, reason: str) -> server.Reply:
        """Return the reply of a busy or leaving engine."""
        load = self.work.load(is_leaving=reason == 'leaving')
        plain = {'not_run': True, 'reason': reason, 'load': load}
        return server.Reply(plain, 503)

    def text_of(self, plain: dict[str, typing.Any]) -> str:
        """Return the complete text of a completion."""
        inputs = [plain.get(key) for key in ('model', 'prompt', 'input')]
        seed = work.digest_of(inputs)
        words = (
            xxhash.xxh3_64_hexdigest(f'{seed}{number}'.encode())
            for number in range(self._pieces)
        )
        return ''.join(word[: PIECE_CHARACTERS - 1] + ' ' for word in words)

    def _complete(
        self, plain: dict[str, typing.Any]
    ) -> server.Reply | server.Stream:
        if plain.get('stream'):
            return server.Stream(self._events(plain))
        with self.work.slot(plain):
            time.sleep(self._pieces * self._pace_ms / 1_000)
        text = self.text_of(plain)
        return server.Reply(
            {**self._final_fields(plain), 'output': {'text': text}}
        )

    def _events(
        self, plain: dict[str, typing.Any]
    ) -> typing.Iterator[dict[str, typing.Any]]:
        text = self.text_of(plain)
        start = plain.get('resume_offset', 0)
        with self.work.slot(plain):
            due_s = time.monotonic()
            for offset in range(start, len(text), PIECE_CHARACTERS):
                due_s += self._pace_ms / 1_000
                time.sleep(max(0, due_s - time.monotonic()))
                if plain['attempt_id'] in self.work.cancelled:
                    return
                piece = text[offset : offset + PIECE_CHARACTERS]
                yield {**_ids(plain), 'offset': offset, 'text': piece}
        yield {
            **self._final_fields(plain),
            'done': True,
            'length': len(text),
            'digest': xxhash.xxh3_64_hexdigest(text.encode()),
        }

    def _final_fields(
        self, plain: dict[str, typing.Any]
    ) -> dict[str, typing.Any]:
        cost_ms = round(self._pieces * self._pace_ms)
        load = self.work.load()
        return {**_ids(plain), 'cost_ms': cost_ms, 'load': load}

    def _load(self) -> dict[str, typing.Any]:
        cache = {'cache_events': [], 'cache_sequence': 0}
        return {**self.work.load(), **self.state, **cache}

    def _apply_order(self, plain: dict[str, typing.Any]) -> server.Reply:
        number = plain['fencing_number']
        is_old = number < self.state['fencing_number']
        if self._checks_fencing and is_old:
            return server.Reply(self.state, 409)
        self.state = {
            **self.state,
            **plain['order'],
            'fencing_number': number,
        }
        return server.Reply(self.state)


def _ids(plain: dict[str, typing.Any]) -> dict[str, typing.Any]:
    return {key: plain[key] for key in ('request_id', 'stage', 'attempt_id')}


if __name__ == '__main__':
    parser = server.make_parser(__doc__)
    parser.add_argument('--capacity', type=int, default=64)
    parser.add_argument('--pieces', type=int, default=20)
    parser.add_argument('--pace-ms', type=float, default=5)
    parser.add_argument('--checks-fencing', action='store_true')
    arguments = parser.parse_args()
    server.serve_process(
        Engine(
            arguments.port,
            True,
            arguments.capacity,
            arguments.pieces,
            arguments.pace_ms,
            arguments.checks_fencing,
        )
    )
