"""Rows and transactions of the platform's table service, as plain types.

A transaction is a set of conditions on row versions and a set of writes,
applied together or not at all. Its result is one of four types. `Unknown`
means that the writes may have been applied or may still be: whoever sent the
transaction has to settle it by reading a row that only that transaction can
have written.
"""

import typing

import attrs

#: Version of a row that does not exist.
ABSENT = 0


@attrs.frozen
class RowKey:
    """The name of one row."""

    table: str
    key: str


@attrs.frozen
class Row:
    """A row as read; each write increments ``version`` by one."""

    key: RowKey
    version: int
    value: dict[str, typing.Any]


@attrs.frozen
class Condition:
    """True if the row has this version; ABSENT if the row must not exist."""

    key: RowKey
    version: int


@attrs.frozen
class Write:
    """Sets the row to ``value``, or deletes it when ``value`` is None."""

    key: RowKey
    value: dict[str, typing.Any] | None


@attrs.frozen
class Transaction:
    """Conditions and writes that are applied together or not at all."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


@attrs.frozen
class Committed:
    """All writes were applied; ``versions`` are in the order of writes."""

    versions: tuple[int, ...] = ()


@attrs.frozen
class Conflict:
    """Some conditions were not met and nothing was written.

    ``rows`` holds the current rows of the conditions that failed, without
    those that do not exist.
    """

    rows: tuple[Row, ...] = ()


@attrs.frozen
class Unknown:
    """No reply: the writes may have been applied or may be later."""


@attrs.frozen
class Unavailable:
    """The service was not reached; nothing was or will be written."""

    retry_after_ms: int = 1_000


TransactionResult = Committed | Conflict | Unknown | Unavailable


@attrs.frozen
class Rows:
    """The result of a read, without the rows that do not exist."""

    rows: tuple[Row, ...] = ()

    def find(self, key: RowKey) -> Row | None:
        """Return the row at ``key``, None when absent."""
        return next((row for row in self.rows if row.key == key), None)


ReadResult = Rows | Unavailable
