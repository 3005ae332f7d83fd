"""Results of document changes and of queries about them."""

import attrs


@attrs.frozen
class ChangeAccepted:
    """The change is stored as ``version`` of its document."""

    change_id: str
    pipeline: str
    version: int
    sequence: int


@attrs.frozen
class ChangeConflict:
    """The document is at ``version`` now; nothing was changed.

    ``text`` is None when the document was removed or never existed.
    """

    pipeline: str
    based_on: int
    version: int
    text: str | None


@attrs.frozen
class ChangeForbidden:
    """The document belongs to team ``owner``; nothing was changed."""

    pipeline: str
    owner: str


@attrs.frozen
class ChangeIdReused:
    """The change id belongs to another change; nothing was changed."""

    change_id: str


@attrs.frozen
class ChangeNotApplied:
    """The change was not applied and never will be under its id."""

    change_id: str


@attrs.frozen
class ChangeAbsent:
    """The change id is not settled; the change may still be applied."""

    change_id: str


@attrs.frozen
class ChangeUnknown:
    """The change may have been applied; query it later by its id."""

    change_id: str


@attrs.frozen
class ChangeUnavailable:
    """The table service was not reached; nothing was changed."""

    retry_after_ms: int


ChangeResult = (
    ChangeAccepted
    | ChangeConflict
    | ChangeForbidden
    | ChangeIdReused
    | ChangeNotApplied
    | ChangeAbsent
    | ChangeUnknown
    | ChangeUnavailable
)


@attrs.frozen
class ChangeCallEnded:
    """The result of the call of `Changes` with this ``query_id``.

    The change itself may still be open: see `ChangeAbsent` and
    `ChangeUnknown`.
    """

    query_id: str
    result: ChangeResult
