"""The audit trail: records chained by hashes.

Each record carries the hash of the previous one. Altering, removing or
inserting a record therefore breaks every hash after it.
"""

import hashlib
import typing

import attrs
import orjson

from godwitglade.common import codec

#: ``previous_hash`` of the first record.
FIRST_HASH = '0' * 64


@attrs.frozen
class AuditRecord:
    """One accepted change of configuration.

    ``text_hash`` is the SHA-256 of the new text, None for a removal;
    ``at_ms`` is the wall time at the host that accepted the change.
    """

    sequence: int
    previous_hash: str
    hash: str
    author: str
    team: str
    action: str
    pipeline: str
    version: int
    change_id: str
    at_ms: int
    text_hash: str | None = None


@attrs.frozen
class AuditFault:
    """A fault of the chain at ``sequence``."""

    sequence: int
    reason: str


def hash_text(text: str | None) -> str | None:
    """Return the SHA-256 of ``text``, None for a removal."""
    if text is None:
        return None
    return hashlib.sha256(text.encode()).hexdigest()


def seal(record: AuditRecord) -> AuditRecord:
    """Return ``record`` with the hash of its other fields."""
    return attrs.evolve(record, hash=hash_record(record))


def hash_record(record: AuditRecord) -> str:
    """Return the SHA-256 of the record's canonical JSON without ``hash``."""
    plain = codec.to_plain(record)
    plain.pop('hash')
    canonical = orjson.dumps(plain, option=orjson.OPT_SORT_KEYS)
    return hashlib.sha256(canonical).hexdigest()


def verify(
    records: typing.Iterable[AuditRecord],
    previous_hash: str = FIRST_HASH,
    previous_sequence: int = 0,
) -> AuditFault | None:
    """Return the first fault in ``records``, None if the chain is intact.

    ``previous_hash`` and ``previous_sequence`` are those of the record
    before the first, so that a long trail can be verified in pages.
    """
    for record in records:
        fault = _find_fault(record, previous_hash, previous_sequence)
        if fault is not None:
            return fault
        previous_hash = record.hash
        previous_sequence = record.sequence
    return None


def _find_fault(
    record: AuditRecord, previous_hash: str, previous_sequence: int
) -> AuditFault | None:
    if record.sequence != previous_sequence + 1:
        expected = previous_sequence + 1
        return AuditFault(
            expected, f'missing; the next record is {record.sequence}'
        )
    if record.previous_hash != previous_hash:
        return AuditFault(
            record.sequence, 'does not follow the previous record'
        )
    if record.hash != hash_record(record):
        return AuditFault(record.sequence, 'was altered')
    return None
