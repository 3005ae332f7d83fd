"""Rows of document changes, as `changes` writes them and `spread` reads."""

import typing

from godwitglade.coordination import bodies
from godwitglade.coordination import rows

HEAD = rows.RowKey('heads', 'changes')
CHANGES_TABLE = 'changes'
DOCUMENTS_TABLE = 'documents'
SEQUENCE_DIGITS = 12


def sequence_key(sequence: int) -> str:
    """Return the key of a row of ``changes`` and ``audit``."""
    return f'{sequence:0{SEQUENCE_DIGITS}d}'


def head_sequence(result: rows.Rows) -> int:
    """Return the last sequence by a read of HEAD; 0 before any change."""
    row = result.find(HEAD)
    return row.value['sequence'] if row else 0


def parse_change(row: rows.Row) -> bodies.Change:
    """Return the change in a row of the changes table."""
    value: dict[str, typing.Any] = row.value
    return bodies.Change(
        value['sequence'],
        value['pipeline'],
        value['version'],
        value.get('text'),
        value.get('patch'),
    )


def parse_document(row: rows.Row) -> bodies.HeldDocument:
    """Return the document in a row of the documents table."""
    value: dict[str, typing.Any] = row.value
    return bodies.HeldDocument(
        row.key.key, value['version'], value['sequence'], value.get('text')
    )
