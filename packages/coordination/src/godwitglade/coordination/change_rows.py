"""The rows of a document change and the transaction that writes them.

Tables: ``heads`` holds the number and hash of the last change, ``documents``
the current text of each pipeline, ``changes`` and ``audit`` one row for each
change, and ``change_ids`` how each change id was settled.
"""

import enum
import hashlib

import attrs

from godwitglade.common import codec
from godwitglade.coordination import audit
from godwitglade.coordination import patches
from godwitglade.coordination import rows

HEAD_KEY = rows.RowKey('heads', 'changes')
SEQUENCE_DIGITS = 12


@attrs.frozen
class ChangeRequest:
    """A change of one document, edited from version ``based_on``.

    ``author`` and ``team`` are those of the operator who requests it.
    ``text`` None removes the document. ``change_id`` is unique to this
    change and chosen by whoever requests it; ``at_ms`` is wall time.
    """

    pipeline: str
    based_on: int
    change_id: str
    text: str | None
    author: str
    team: str
    at_ms: int

    @property
    def digest(self) -> str:
        """Return a digest that distinguishes this change from others."""
        lines = [self.pipeline, str(self.based_on), str(self.text is None)]
        content = '\n'.join([*lines, self.text or ''])
        return hashlib.sha256(content.encode()).hexdigest()[:32]


@attrs.frozen
class Head:
    """Number and audit hash of the last change."""

    sequence: int = 0
    hash: str = audit.FIRST_HASH


@attrs.frozen
class DocumentRow:
    """The current text of a pipeline's document, None when removed.

    ``team`` owns it; a removed document has no owner.
    """

    version: int = 0
    sequence: int = 0
    change_id: str = ''
    text: str | None = None
    team: str = ''


@attrs.frozen
class ChangeRow:
    """One change: the full text, or a patch if that is smaller.

    Both are None for a removal.
    """

    sequence: int
    pipeline: str
    version: int
    change_id: str
    text: str | None = None
    patch: patches.Patch | None = None


class IdState(enum.Enum):
    """How a change id was settled; this is final."""

    APPLIED = 'applied'
    REFUSED = 'refused'


@attrs.frozen
class ChangeIdRow:
    """How a change id was settled and, if applied, by which change."""

    state: IdState
    pipeline: str = ''
    digest: str = ''
    sequence: int = 0
    version: int = 0


@attrs.frozen
class Basis:
    """The rows that a change is built on, with their row versions."""

    head: Head = Head()
    head_row_version: int = rows.ABSENT
    document: DocumentRow = DocumentRow()
    document_row_version: int = rows.ABSENT


def document_key(pipeline: str) -> rows.RowKey:
    """Return the key of the current document of ``pipeline``."""
    return rows.RowKey('documents', pipeline)


def change_id_key(change_id: str) -> rows.RowKey:
    """Return the key of the row that settles ``change_id``."""
    return rows.RowKey('change_ids', change_id)


def sequence_key(table: str, sequence: int) -> rows.RowKey:
    """Return the key of a change's row; keys sort by sequence."""
    return rows.RowKey(table, f'{sequence:0{SEQUENCE_DIGITS}}')


def read_basis(found: rows.Rows, pipeline: str) -> Basis:
    """Return the basis in the rows read; raises MalformedError."""
    head_row = found.find(HEAD_KEY)
    document_row = found.find(document_key(pipeline))
    return Basis(
        _structure(head_row, Head),
        _version_of(head_row),
        _structure(document_row, DocumentRow),
        _version_of(document_row),
    )


def read_change_id(found: rows.Rows, change_id: str) -> ChangeIdRow | None:
    """Return how ``change_id`` was settled, None if it is not settled."""
    row = found.find(change_id_key(change_id))
    return None if row is None else codec.from_plain(row.value, ChangeIdRow)


def build(request: ChangeRequest, basis: Basis) -> rows.Transaction:
    """Return the transaction that applies ``request`` on ``basis``.

    It commits only if the head and the document are still those of
    ``basis`` and the change id is not settled.
    """
    conditions = (
        rows.Condition(HEAD_KEY, basis.head_row_version),
        rows.Condition(
            document_key(request.pipeline), basis.document_row_version
        ),
        rows.Condition(change_id_key(request.change_id), rows.ABSENT),
    )
    return rows.Transaction(conditions, _writes(request, basis))


def build_refusal(change_id: str) -> rows.Transaction:
    """Return the transaction that settles ``change_id`` as refused."""
    key = change_id_key(change_id)
    refusal = ChangeIdRow(IdState.REFUSED)
    return rows.Transaction(
        (rows.Condition(key, rows.ABSENT),), (_write(key, refusal),)
    )


def _writes(request: ChangeRequest, basis: Basis) -> tuple[rows.Write, ...]:
    sequence = basis.head.sequence + 1
    version = basis.document.version + 1
    record = _audit_record(request, basis)
    owner = '' if request.text is None else request.team
    document = DocumentRow(
        version, sequence, request.change_id, request.text, owner
    )
    settled = ChangeIdRow(
        IdState.APPLIED, request.pipeline, request.digest, sequence, version
    )
    return (
        _write(HEAD_KEY, Head(sequence, record.hash)),
        _write(document_key(request.pipeline), document),
        _write(sequence_key('changes', sequence), _change_row(request, basis)),
        _write(sequence_key('audit', sequence), record),
        _write(change_id_key(request.change_id), settled),
    )


def _change_row(request: ChangeRequest, basis: Basis) -> ChangeRow:
    row = ChangeRow(
        basis.head.sequence + 1,
        request.pipeline,
        basis.document.version + 1,
        request.change_id,
    )
    if request.text is None or basis.document.text is None:
        return attrs.evolve(row, text=request.text)
    patch = patches.make(basis.document.text, request.text)
    if patch.size_chars < len(request.text):
        return attrs.evolve(row, patch=patch)
    return attrs.evolve(row, text=request.text)


def _audit_record(request: ChangeRequest, basis: Basis) -> audit.AuditRecord:
    action = 'remove' if request.text is None else 'apply'
    record = audit.AuditRecord(
        sequence=basis.head.sequence + 1,
        previous_hash=basis.head.hash,
        hash='',
        author=request.author,
        team=request.team,
        action=action,
        pipeline=request.pipeline,
        version=basis.document.version + 1,
        change_id=request.change_id,
        at_ms=request.at_ms,
        text_hash=audit.hash_text(request.text),
    )
    return audit.seal(record)


def _structure(row: rows.Row | None, kind: type):
    return kind() if row is None else codec.from_plain(row.value, kind)


def _version_of(row: rows.Row | None) -> int:
    return rows.ABSENT if row is None else row.version


def _write(key: rows.RowKey, value: object) -> rows.Write:
    return rows.Write(key, codec.to_plain(value))
