"""Parsing of the rows that `change_rows` writes."""

from godwitglade.common import codec
from godwitglade.coordination import bodies
from godwitglade.coordination import change_rows
from godwitglade.coordination import rows

CHANGES_TABLE = 'changes'
DOCUMENTS_TABLE = 'documents'


def head_sequence(result: rows.Rows) -> int:
    """Return the sequence in a read of the head; 0 before any change."""
    row = result.find(change_rows.HEAD_KEY)
    if row is None:
        return 0
    return codec.from_plain(row.value, change_rows.Head).sequence


def parse_change(row: rows.Row) -> bodies.Change:
    """Return the change in a row of the changes table."""
    change = codec.from_plain(row.value, change_rows.ChangeRow)
    return bodies.Change(
        change.sequence,
        change.pipeline,
        change.version,
        change.text,
        change.patch,
    )


def parse_document(row: rows.Row) -> bodies.StoredDocument:
    """Return the document in a row of the documents table."""
    document = codec.from_plain(row.value, change_rows.DocumentRow)
    return bodies.StoredDocument(
        row.key.key, document.version, document.sequence, document.text
    )
