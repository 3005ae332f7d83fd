"""Capacity, load and recorded runs, common to all targets."""

import contextlib
import threading
import typing

import attrs
import xxhash

from bench.standins import server
from godwitglade.common import codec

#: Maximum depth of the search for an input's identity.
MAX_DEPTH = 8


@attrs.frozen
class Run:
    """A recorded run of a stage."""

    request_id: str
    stage: str
    attempt_id: str
    identity: str


class Work:
    """Runs at most ``capacity`` calls at a time and queues the others."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._slots = threading.Semaphore(capacity)
        self._lock = threading.Lock()
        self._call_count = 0
        self.runs: list[Run] = []
        self.cancelled: list[str] = []

    @contextlib.contextmanager
    def slot(self, plain: dict[str, typing.Any]) -> typing.Iterator[None]:
        """Wait for a free slot, record the run, and hold the slot."""
        with self._lock:
            self._call_count += 1
        try:
            with self._slots:
                self.runs.append(_run_of(plain))
                yield
        finally:
            with self._lock:
                self._call_count -= 1

    def load(self, is_leaving: bool = False) -> dict[str, typing.Any]:
        """Return the load in the format that targets report."""
        return {
            'running': min(self._call_count, self._capacity),
            'queued': max(0, self._call_count - self._capacity),
            'capacity': self._capacity,
            'is_leaving': is_leaving,
            'age_ms': 0,
        }

    def serve_common(self, request: server.Request) -> server.Reply | None:
        """Serve ``/v1/cancel`` and ``/v1/runs``; None for other paths."""
        match request.path:
            case '/v1/cancel':
                self.cancelled.append(request.plain['attempt_id'])
                return server.Reply()
            case '/v1/runs':
                return server.Reply(
                    {
                        'runs': codec.to_plain(self.runs),
                        'cancelled': self.cancelled,
                    }
                )
        return None


def digest_of(value: typing.Any) -> str:
    """Return a digest of plain data."""
    return xxhash.xxh3_64_hexdigest(codec.to_json(value))


def identity_of(value: typing.Any, depth: int = 0) -> str | None:
    """Return the first ``identity`` found in plain data."""
    if depth > MAX_DEPTH or not isinstance(value, (dict, list)):
        return None
    if isinstance(value, dict) and 'identity' in value:
        return str(value['identity'])
    parts = value.values() if isinstance(value, dict) else value
    identities = (identity_of(part, depth + 1) for part in parts)
    return next((identity for identity in identities if identity), None)


def _run_of(plain: dict[str, typing.Any]) -> Run:
    inputs = {key: plain.get(key) for key in ('input', 'prompt')}
    return Run(
        request_id=plain['request_id'],
        stage=plain['stage'],
        attempt_id=plain['attempt_id'],
        identity=identity_of(inputs) or digest_of(inputs),
    )
