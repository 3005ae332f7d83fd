"""Rows and transactions of the platform's table service, as plain types.

A transaction is a set of conditions on row versions and a set of writes,
applied together or not at all. Its result is one of four types. `Unknown`
means that the writes may have been applied or may still be: a caller has to
settle it by reading a row that only its own write could have made.
"""

import typing

import attrs

#: Version of a row that does not exist.
ABSENT = 0


@attrs.frozen
class RowKey:
    """Names one row."""

    table: str
    key: str


@attrs.frozen
class Row:
    """A row as read; ``version`` grows by one with each write."""

    key: RowKey
    version: int
    value: dict[str, typing.Any]


@attrs.frozen
class Condition:
    """Holds when the row has just this version; ABSENT for no row."""

    key: RowKey
    version: int


@attrs.frozen
class Write:
    """Sets the row to ``value``, or deletes it when ``value`` is None."""

    key: RowKey
    value: dict[str, typing.Any] | None


@attrs.frozen
class Transaction:
    """Conditions and writes that take effect together or not at all."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


@attrs.frozen
class Committed:
    """All writes took effect; ``versions`` follow the order of writes."""

    versions: tuple[int, ...] = ()


@attrs.frozen
class Conflict:
    """Some conditions did not hold and nothing was written.

    ``rows`` holds the current rows of the conditions that failed, without
    those that do not exist.
    """

    rows: tuple[Row, ...] = ()


@attrs.frozen
class Unknown:
    """No answer: the writes may have taken effect, now or later."""


@attrs.frozen
class Unavailable:
    """The service was not reached; nothing was or will be written."""

    retry_after_ms: int = 1_000


TransactionResult = Committed | Conflict | Unknown | Unavailable


@attrs.frozen
class Rows:
    """A read answered; rows that do not exist are left out."""

    rows: tuple[Row, ...] = ()

    def find(self, key: RowKey) -> Row | None:
        """Return the row at ``key``, None when absent."""
        return next((row for row in self.rows if row.key == key), None)


ReadResult = Rows | Unavailable
