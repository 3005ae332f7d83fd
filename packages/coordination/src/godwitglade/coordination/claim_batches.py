"""Grouping of conditional row writes into fewer transactions.

One transaction is in flight at a time. Writes that arrive meanwhile wait for
it, at most `MAX_WAIT_MS`, and are sent as a group. A conflict fails the
whole group, so its writes are then sent one by one.
"""

import itertools

import attrs

from godwitglade.coordination import effects
from godwitglade.coordination import messages
from godwitglade.coordination import rows

MAX_GROUP_WRITES = 16
MAX_WAIT_MS = 20
FLUSH_TOKEN = 'claims:flush'


@attrs.frozen
class ConditionalWrite:
    """One conditional write; its result carries the same ``token``."""

    token: str
    condition: rows.Condition
    write: rows.Write


@attrs.frozen
class WriteSettled:
    """The result of one `ConditionalWrite`, as if it had been sent alone."""

    token: str
    result: rows.TransactionResult


class WriteBatches:
    """Groups writes into transactions and returns one result for each."""

    def __init__(self, timeout_ms: int) -> None:
        self._timeout_ms = timeout_ms
        self._waiting: list[ConditionalWrite] = []
        self._in_flight: dict[str, tuple[ConditionalWrite, ...]] = {}
        self._sequence = itertools.count(1)

    def submit(self, entry: ConditionalWrite, now_ms: int) -> list:
        """Queue ``entry`` and return the resulting effects."""
        flushed = self.flush() if self._must_flush(entry) else []
        self._waiting.append(entry)
        if not self._in_flight:
            return flushed + self.flush()
        if len(self._waiting) == 1:
            due_ms = now_ms + MAX_WAIT_MS
            return flushed + [effects.StartTimer(FLUSH_TOKEN, due_ms)]
        return flushed

    def flush(self) -> list:
        """Send all waiting writes."""
        group, self._waiting = self._waiting, []
        return [self._send(tuple(group))] if group else []

    def settle(
        self, message: messages.TransactionSettled
    ) -> tuple[list, list[WriteSettled]]:
        """Return the effects of a result and the writes that it settles."""
        group = self._in_flight.pop(message.token, ())
        result = message.result
        if isinstance(result, rows.Conflict) and len(group) > 1:
            return [self._send((entry,)) for entry in group], []
        settled = [
            WriteSettled(entry.token, _result_of(result, index))
            for index, entry in enumerate(group)
        ]
        return self.flush(), settled

    def _must_flush(self, entry: ConditionalWrite) -> bool:
        is_same_row = any(
            waiting.write.key == entry.write.key for waiting in self._waiting
        )
        return is_same_row or len(self._waiting) >= MAX_GROUP_WRITES

    def _send(self, group: tuple[ConditionalWrite, ...]) -> effects.Transact:
        token = f'claims:w{next(self._sequence)}'
        self._in_flight[token] = group
        transaction = rows.Transaction(
            tuple(entry.condition for entry in group),
            tuple(entry.write for entry in group),
        )
        return effects.Transact(token, transaction, self._timeout_ms)


def _result_of(
    result: rows.TransactionResult, index: int
) -> rows.TransactionResult:
    if isinstance(result, rows.Committed):
        return rows.Committed((result.versions[index],))
    return result
