"""Snapshots of all documents in the object store, for a cold start."""

import zlib

import attrs

from godwitglade.common import clock
from godwitglade.common import codec
from godwitglade.common import errors
from godwitglade.coordination import bodies
from godwitglade.coordination import effects
from godwitglade.coordination import hashing
from godwitglade.coordination import messages

#: Names of the objects for snapshots, one for each writer.
SLOTS = ('documents-snapshot-0', 'documents-snapshot-1')
TOKEN = 'documents:snapshot:'
WRITE_INTERVAL_MS = clock.MINUTE_MS


@attrs.frozen
class Snapshot:
    """All documents that one host held at ``sequence``."""

    sequence: int
    documents: tuple[bodies.StoredDocument, ...]


class Snapshots:
    """Reads snapshots, and writes them if this host is a selected writer."""

    def __init__(self, self_name: str) -> None:
        self._self_name = self_name
        self._read: dict[str, Snapshot | None] = {}
        self._written_ms: int | None = None
        self._written_sequence = 0

    def read_slots(self) -> list[effects.ReadObject]:
        """Read all slots."""
        self._read.clear()
        return [effects.ReadObject(TOKEN + slot, slot) for slot in SLOTS]

    def record_result(self, message: messages.ObjectRead) -> Snapshot | None:
        """Record a read slot; return the newest snapshot once all are read."""
        slot = message.token.removeprefix(TOKEN)
        self._read[slot] = _unpack_or_none(message.content)
        candidates = [one for one in self._read.values() if one is not None]
        if len(self._read) < len(SLOTS) or not candidates:
            return None
        return max(candidates, key=lambda one: one.sequence)

    def is_due(self, sequence: int, now_ms: int) -> bool:
        """Return whether ``sequence`` is new and the interval is over."""
        if sequence <= self._written_sequence:
            return False
        if self._written_ms is None:
            return True
        return now_ms - self._written_ms >= WRITE_INTERVAL_MS

    def write(
        self, snapshot: Snapshot, host_names: list[str], now_ms: int
    ) -> list[effects.WriteObject]:
        """Write to this host's slot if rendezvous hashing assigns it one."""
        writers = hashing.choose('snapshot', host_names, len(SLOTS))
        if self._self_name not in writers:
            return []
        self._written_ms = now_ms
        self._written_sequence = snapshot.sequence
        slot = SLOTS[writers.index(self._self_name)]
        return [effects.WriteObject(slot, pack(snapshot))]


def pack(snapshot: Snapshot) -> bytes:
    """Return ``snapshot`` as compressed JSON."""
    return zlib.compress(codec.to_json(snapshot))


def unpack(content: bytes) -> Snapshot:
    """Return the snapshot in ``content``; raises MalformedError."""
    try:
        raw = zlib.decompress(content)
    except zlib.error as error:
        raise errors.MalformedError('$', str(error)) from error
    return codec.from_json(raw, Snapshot)


def _unpack_or_none(content: bytes | None) -> Snapshot | None:
    if content is None:
        return None
    try:
        return unpack(content)
    except errors.MalformedError:
        return None
