"""Leases with fencing numbers, one row of the table service each.

A holder counts its lease from before the write that renewed it and stops
early; a successor counts from when it first saw the row unchanged and waits
longer. Neither reads a clock of another host. The fencing number is the
version of the row at its acquisition, so that it grows with each holder.
"""

import functools
import itertools
import random as randoms
import typing

import attrs

from godwitglade.common import clock
from godwitglade.common import codec
from godwitglade.common import errors
from godwitglade.coordination import effects
from godwitglade.coordination import hosts
from godwitglade.coordination import messages
from godwitglade.coordination import rows

Effects = list[typing.Any]

TABLE = 'leases'
TICK_TOKEN = 'leases:tick'


@attrs.frozen
class Settings:
    """Times of a lease.

    The holder gives up ``margin_ms`` before ``duration_ms`` is over and a
    successor waits ``margin_ms`` longer, which covers clocks that run at
    unlike rates.
    """

    duration_ms: int = 30 * clock.SECOND_MS
    margin_ms: int = 3 * clock.SECOND_MS
    renew_ms: int = 10 * clock.SECOND_MS
    tick_ms: int = 2 * clock.SECOND_MS
    timeout_ms: int = 2 * clock.SECOND_MS


@attrs.frozen
class LeaseRow:
    """The value of a lease's row; ``holder`` None when released."""

    holder: hosts.HostId | None
    fencing_number: int


@attrs.frozen
class Lease:
    """A lease held by this host until ``valid_until_ms`` on its clock."""

    name: str
    fencing_number: int
    row_version: int
    acquired_ms: int
    valid_until_ms: int

    @property
    def condition(self) -> rows.Condition:
        """Return the condition that the row is as this host wrote it."""
        return rows.Condition(_key(self.name), self.row_version)


@attrs.frozen
class LeaseAcquired:
    """This host holds the lease from now on."""

    lease: Lease


@attrs.frozen
class LeaseLost:
    """This host no longer holds the lease."""

    name: str


@attrs.frozen
class _Written:
    """A write whose result may be unknown: the row version it would make.

    ``sent_ms`` is when the first write that would make it was sent.
    """

    version: int
    sent_ms: int


@attrs.define
class _Entry:
    """What is known of a lease that this host wants or holds."""

    name: str
    lease: Lease | None = None
    seen_version: int | None = None
    seen_ms: int = 0
    token: str | None = None
    sent_ms: int = 0
    written: _Written | None = None


class Leases:
    """Acquires, renews and releases the leases that this host wants."""

    def __init__(
        self,
        self_id: hosts.HostId,
        random: randoms.Random,
        settings: Settings = Settings(),
    ) -> None:
        self._self_id = self_id
        self._random = random
        self._settings = settings
        self._numbers = itertools.count(1)
        self._entries: dict[str, _Entry] = {}
        self._by_token: dict[str, _Entry] = {}

    def start(self, now_ms: int) -> Effects:
        """Start the timer."""
        jitter_ms = self._random.randrange(self._settings.tick_ms)
        return [effects.StartTimer(TICK_TOKEN, now_ms + jitter_ms)]

    def want(self, names: typing.Iterable[str], now_ms: int) -> Effects:
        """Set the leases to hold; others that are held are released."""
        wanted = set(names)
        for name in wanted - self._entries.keys():
            self._entries[name] = _Entry(name)
        dropped = self._entries.keys() - wanted
        found = [
            effect
            for name in sorted(dropped)
            for effect in self._release(self._entries.pop(name), now_ms)
        ]
        return found

    def held(self, name: str, now_ms: int) -> Lease | None:
        """Return the lease when it is surely held at ``now_ms``."""
        entry = self._entries.get(name)
        if entry is None or entry.lease is None:
            return None
        if now_ms >= entry.lease.valid_until_ms:
            return None
        return entry.lease

    @functools.singledispatchmethod
    def handle(self, message: typing.Any, now_ms: int) -> Effects:
        """Take in a message; those of other parts are ignored."""
        return []

    @handle.register
    def _(self, message: messages.TimerFired, now_ms: int) -> Effects:
        if message.token != TICK_TOKEN:
            return []
        next_ms = now_ms + self._settings.tick_ms
        found: Effects = [effects.StartTimer(TICK_TOKEN, next_ms)]
        for entry in list(self._entries.values()):
            found += self._end_if_over(entry, now_ms)
            found += self._advance(entry, now_ms)
        return found

    @handle.register
    def _(self, message: messages.ReadSettled, now_ms: int) -> Effects:
        entry = self._settle(message.token)
        if entry is None or not isinstance(message.result, rows.Rows):
            return []
        row = message.result.find(_key(entry.name))
        return self._judge(entry, row, now_ms)

    @handle.register
    def _(self, message: messages.TransactionSettled, now_ms: int) -> Effects:
        entry = self._settle(message.token)
        if entry is None:
            return []
        return self._take_result(message.result, entry, now_ms)

    @functools.singledispatchmethod
    def _take_result(
        self, result: rows.TransactionResult, entry: _Entry, now_ms: int
    ) -> Effects:
        raise TypeError(type(result).__name__)

    @_take_result.register
    def _(self, result: rows.Committed, entry: _Entry, now_ms: int) -> Effects:
        version = result.versions[0]
        number = entry.lease.fencing_number if entry.lease else version
        entry.written = None
        return self._hold(entry, number, version, entry.sent_ms, now_ms)

    @_take_result.register
    def _(self, result: rows.Conflict, entry: _Entry, now_ms: int) -> Effects:
        row = rows.Rows(result.rows).find(_key(entry.name))
        return self._judge(entry, row, now_ms)

    @_take_result.register
    def _(self, result: rows.Unknown, entry: _Entry, now_ms: int) -> Effects:
        return self._read(entry, now_ms)

    @_take_result.register
    def _(
        self, result: rows.Unavailable, entry: _Entry, now_ms: int
    ) -> Effects:
        return []

    def _advance(self, entry: _Entry, now_ms: int) -> Effects:
        if entry.token is not None:
            return self._give_up_waiting(entry, now_ms)
        if entry.lease is None or entry.written is not None:
            return self._read(entry, now_ms)
        held_ms = now_ms - self._counted_from_ms(entry.lease)
        if held_ms >= self._settings.renew_ms:
            return self._write(entry, entry.lease.row_version, now_ms)
        return []

    def _give_up_waiting(self, entry: _Entry, now_ms: int) -> Effects:
        """Read again when a result does not come at all."""
        if now_ms - entry.sent_ms < 2 * self._settings.timeout_ms:
            return []
        del self._by_token[entry.token]
        entry.token = None
        return self._read(entry, now_ms)

    def _judge(
        self, entry: _Entry, row: rows.Row | None, now_ms: int
    ) -> Effects:
        """Act on the row as it is in the store."""
        if row is None:
            return self._write(entry, rows.ABSENT, now_ms)
        value = _parse(row)
        if value.holder == self._self_id:
            return self._adopt(entry, row, value, now_ms)
        found = self._lose(entry)
        if value.holder is None:
            return found + self._write(entry, row.version, now_ms)
        if entry.seen_version != row.version:
            entry.seen_version = row.version
            entry.seen_ms = now_ms
            return found
        settings = self._settings
        if now_ms - entry.seen_ms < settings.duration_ms + settings.margin_ms:
            return found
        return found + self._write(entry, row.version, now_ms)

    def _adopt(
        self,
        entry: _Entry,
        row: rows.Row,
        value: LeaseRow,
        now_ms: int,
    ) -> Effects:
        """Count a write of unknown result only if it made this row."""
        written = entry.written
        if written is None or written.version != row.version:
            return self._write(entry, row.version, now_ms)
        entry.written = None
        return self._hold(
            entry, value.fencing_number, row.version, written.sent_ms, now_ms
        )

    def _hold(
        self,
        entry: _Entry,
        number: int,
        row_version: int,
        counted_ms: int,
        now_ms: int,
    ) -> Effects:
        before = entry.lease
        settings = self._settings
        until_ms = counted_ms + settings.duration_ms - settings.margin_ms
        acquired_ms = before.acquired_ms if before else now_ms
        entry.lease = Lease(
            entry.name, number, row_version, acquired_ms, until_ms
        )
        if now_ms >= until_ms:
            return self._lose(entry)
        if before is not None:
            return []
        return [effects.Deliver(LeaseAcquired(entry.lease))]

    def _lose(self, entry: _Entry) -> Effects:
        if entry.lease is None:
            return []
        entry.lease = None
        return [effects.Deliver(LeaseLost(entry.name))]

    def _end_if_over(self, entry: _Entry, now_ms: int) -> Effects:
        if entry.lease is None or now_ms < entry.lease.valid_until_ms:
            return []
        return self._lose(entry)

    def _release(self, entry: _Entry, now_ms: int) -> Effects:
        self._by_token.pop(entry.token, None)
        lease = entry.lease
        if lease is None:
            return []
        value = LeaseRow(None, lease.fencing_number)
        transaction = rows.Transaction(
            (lease.condition,),
            (rows.Write(_key(entry.name), codec.to_plain(value)),),
        )
        release = effects.Transact(
            f'leases:release:{next(self._numbers)}',
            transaction,
            self._settings.timeout_ms,
        )
        return [release, *self._lose(entry)]

    def _read(self, entry: _Entry, now_ms: int) -> Effects:
        token = self._expect(entry, now_ms)
        keys = (_key(entry.name),)
        return [effects.ReadRows(token, keys, self._settings.timeout_ms)]

    def _write(self, entry: _Entry, version: int, now_ms: int) -> Effects:
        token = self._expect(entry, now_ms)
        if entry.written is None or entry.written.version != version + 1:
            entry.written = _Written(version + 1, now_ms)
        lease = entry.lease
        number = lease.fencing_number if lease else version + 1
        value = LeaseRow(self._self_id, number)
        transaction = rows.Transaction(
            (rows.Condition(_key(entry.name), version),),
            (rows.Write(_key(entry.name), codec.to_plain(value)),),
        )
        timeout_ms = self._settings.timeout_ms
        return [effects.Transact(token, transaction, timeout_ms)]

    def _counted_from_ms(self, lease: Lease) -> int:
        settings = self._settings
        return lease.valid_until_ms - settings.duration_ms + settings.margin_ms

    def _expect(self, entry: _Entry, now_ms: int) -> str:
        token = f'leases:{next(self._numbers)}'
        entry.token = token
        entry.sent_ms = now_ms
        self._by_token[token] = entry
        return token

    def _settle(self, token: str) -> _Entry | None:
        entry = self._by_token.pop(token, None)
        if entry is not None:
            entry.token = None
        return entry


def _key(name: str) -> rows.RowKey:
    return rows.RowKey(TABLE, name)


def _parse(row: rows.Row) -> LeaseRow:
    try:
        return codec.from_plain(row.value, LeaseRow)
    except errors.MalformedError:
        # An unreadable row counts as held until it has lapsed.
        unknown = hosts.HostId('', '', 0)
        return LeaseRow(unknown, row.version)
