"""In-memory stand-in for the platform's table service."""

import typing

import attrs

from godwitglade.coordination import rows


@attrs.define
class Table:
    """Rows by key; every write increments the version of its row."""

    rows_by_key: dict[rows.RowKey, rows.Row] = attrs.Factory(dict)

    def apply(
        self, transaction: rows.Transaction
    ) -> rows.Committed | rows.Conflict:
        """Apply all writes if all conditions hold, else none."""
        failed = [
            condition.key
            for condition in transaction.conditions
            if self.version(condition.key) != condition.version
        ]
        if failed:
            return rows.Conflict(self.read(failed).rows)
        versions = tuple(self._write(write) for write in transaction.writes)
        return rows.Committed(versions)

    def read(self, keys: typing.Iterable[rows.RowKey]) -> rows.Rows:
        """Return the rows of ``keys`` that exist."""
        found = (self.rows_by_key.get(key) for key in keys)
        return rows.Rows(tuple(row for row in found if row is not None))

    def scan(self, table: str, after: str, limit: int) -> rows.Rows:
        """Return at most ``limit`` rows of ``table`` in key order."""
        found = sorted(
            (
                row
                for key, row in self.rows_by_key.items()
                if key.table == table and key.key > after
            ),
            key=lambda row: row.key.key,
        )
        return rows.Rows(tuple(found[:limit]))

    def version(self, key: rows.RowKey) -> int:
        """Return the version of the row at ``key``."""
        row = self.rows_by_key.get(key)
        return row.version if row else rows.ABSENT

    def _write(self, write: rows.Write) -> int:
        version = self.version(write.key) + 1
        if write.value is None:
            self.rows_by_key.pop(write.key, None)
            return version
        row = rows.Row(write.key, version, dict(write.value))
        self.rows_by_key[write.key] = row
        return version
