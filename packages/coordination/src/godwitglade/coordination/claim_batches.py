"""Grouping of conditional row writes into fewer transactions.

One transaction is in flight at a time; writes that arrive meanwhile wait
for it, at most `MAX_WAIT_MS`, and go together. A conflict fails the whole
group, so its writes are then sent one by one.
"""

import itertools

import attrs

from godwitglade.coordination import effects
from godwitglade.coordination import messages
from godwitglade.coordination import rows

MAX_GROUP = 16
MAX_WAIT_MS = 20
FLUSH_TOKEN = 'claims:flush'


@attrs.frozen
class Item:
    """One conditional write; ``token`` identifies it to its owner."""

    token: str
    condition: rows.Condition
    write: rows.Write


@attrs.frozen
class ItemSettled:
    """The result of one `Item`, as if it had been sent alone."""

    token: str
    result: rows.TransactionResult


class Batches:
    """Groups items and hands back one result for each."""

    def __init__(self, timeout_ms: int) -> None:
        self._timeout_ms = timeout_ms
        self._waiting: list[Item] = []
        self._in_flight: dict[str, tuple[Item, ...]] = {}
        self._sequence = itertools.count(1)

    def submit(self, item: Item, now_ms: int) -> list:
        """Take in ``item``; return the effects that follow."""
        flushed = self.flush() if self._must_flush(item) else []
        self._waiting.append(item)
        if not self._in_flight:
            return flushed + self.flush()
        if len(self._waiting) == 1:
            due_ms = now_ms + MAX_WAIT_MS
            return flushed + [effects.StartTimer(FLUSH_TOKEN, due_ms)]
        return flushed

    def flush(self) -> list:
        """Send all that waits."""
        waiting, self._waiting = self._waiting, []
        return [self._send(tuple(waiting))] if waiting else []

    def settle(
        self, message: messages.TransactionSettled
    ) -> tuple[list, list[ItemSettled]]:
        """Return effects and the items settled by a transaction's result."""
        group = self._in_flight.pop(message.token, ())
        result = message.result
        if isinstance(result, rows.Conflict) and len(group) > 1:
            return [self._send((item,)) for item in group], []
        settled = [
            ItemSettled(item.token, _result_of(result, index))
            for index, item in enumerate(group)
        ]
        return self.flush(), settled

    def _must_flush(self, item: Item) -> bool:
        is_same_row = any(
            waiting.write.key == item.write.key for waiting in self._waiting
        )
        return is_same_row or len(self._waiting) >= MAX_GROUP

    def _send(self, group: tuple[Item, ...]) -> effects.Transact:
        token = f'claims:w{next(self._sequence)}'
        self._in_flight[token] = group
        transaction = rows.Transaction(
            tuple(item.condition for item in group),
            tuple(item.write for item in group),
        )
        return effects.Transact(token, transaction, self._timeout_ms)


def _result_of(
    result: rows.TransactionResult, index: int
) -> rows.TransactionResult:
    if isinstance(result, rows.Committed):
        return rows.Committed((result.versions[index],))
    return result
