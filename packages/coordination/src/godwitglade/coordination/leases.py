"""Leases with fencing numbers, each in one row of the table service.

A holder counts the duration of its lease from before it sent the write that
renewed it, and stops early. A successor counts from when it first read the
unchanged row, and waits longer. Neither depends on the clock of another
host. The fencing number is the version of the row at its acquisition, so
that it increases with each holder.
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
    """Time limits of a lease.

    The holder gives up ``margin_ms`` before ``duration_ms`` is over and a
    successor waits ``margin_ms`` longer, which tolerates clocks that run at
    different rates.
    """

    duration_ms: int = 30 * clock.SECOND_MS
    margin_ms: int = 3 * clock.SECOND_MS
    renew_ms: int = 10 * clock.SECOND_MS
    tick_ms: int = 2 * clock.SECOND_MS
    timeout_ms: int = 2 * clock.SECOND_MS


@attrs.frozen
class LeaseRow:
    """The value of a lease's row; ``holder`` is None when released."""

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
    """This host has acquired the lease."""

    lease: Lease


@attrs.frozen
class LeaseLost:
    """This host no longer holds the lease."""

    name: str


@attrs.frozen
class _UnsettledWrite:
    """A write that may have an unknown result.

    ``version`` is the row version that it would create; ``sent_ms`` is when
    the first write that would create this version was sent.
    """

    version: int
    sent_ms: int


@attrs.define
class _Entry:
    """State of a lease that this host tries to acquire or holds.

    ``seen_version`` is the row version of another holder, which this host
    first read at ``seen_ms``.
    """

    name: str
    lease: Lease | None = None
    seen_version: int | None = None
    seen_ms: int = 0
    token: str | None = None
    sent_ms: int = 0
    unsettled_write: _UnsettledWrite | None = None


class Leases:
    """Acquires, renews and releases the leases assigned to this host."""

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
        """Start the periodic timer."""
        jitter_ms = self._random.randrange(self._settings.tick_ms)
        return [effects.StartTimer(TICK_TOKEN, now_ms + jitter_ms)]

    def set_wanted(self, names: typing.Iterable[str], now_ms: int) -> Effects:
        """Set the names of the leases to hold; release all others."""
        wanted = set(names)
        for name in wanted - self._entries.keys():
            self._entries[name] = _Entry(name)
        unwanted = self._entries.keys() - wanted
        released = [
            effect
            for name in sorted(unwanted)
            for effect in self._release(self._entries.pop(name), now_ms)
        ]
        return released

    def held(self, name: str, now_ms: int) -> Lease | None:
        """Return the lease if this host certainly holds it at ``now_ms``."""
        entry = self._entries.get(name)
        if entry is None or entry.lease is None:
            return None
        if now_ms >= entry.lease.valid_until_ms:
            return None
        return entry.lease

    @functools.singledispatchmethod
    def handle(self, message: typing.Any, now_ms: int) -> Effects:
        """Process a message; messages of other components are ignored."""
        return []

    @handle.register
    def _(self, message: messages.TimerFired, now_ms: int) -> Effects:
        if message.token != TICK_TOKEN:
            return []
        next_ms = now_ms + self._settings.tick_ms
        follow_ups: Effects = [effects.StartTimer(TICK_TOKEN, next_ms)]
        for entry in list(self._entries.values()):
            follow_ups += self._end_if_expired(entry, now_ms)
            follow_ups += self._read_or_renew(entry, now_ms)
        return follow_ups

    @handle.register
    def _(self, message: messages.ReadSettled, now_ms: int) -> Effects:
        entry = self._pop_entry(message.token)
        if entry is None or not isinstance(message.result, rows.Rows):
            return []
        row = message.result.find(_key(entry.name))
        return self._process_row(entry, row, now_ms)

    @handle.register
    def _(self, message: messages.TransactionSettled, now_ms: int) -> Effects:
        entry = self._pop_entry(message.token)
        if entry is None:
            return []
        return self._on_result(message.result, entry, now_ms)

    @functools.singledispatchmethod
    def _on_result(
        self, result: rows.TransactionResult, entry: _Entry, now_ms: int
    ) -> Effects:
        raise TypeError(type(result).__name__)

    @_on_result.register
    def _(self, result: rows.Committed, entry: _Entry, now_ms: int) -> Effects:
        version = result.versions[0]
        number = entry.lease.fencing_number if entry.lease else version
        entry.unsettled_write = None
        return self._extend(entry, number, version, entry.sent_ms, now_ms)

    @_on_result.register
    def _(self, result: rows.Conflict, entry: _Entry, now_ms: int) -> Effects:
        row = rows.Rows(result.rows).find(_key(entry.name))
        return self._process_row(entry, row, now_ms)

    @_on_result.register
    def _(self, result: rows.Unknown, entry: _Entry, now_ms: int) -> Effects:
        return self._read(entry, now_ms)

    @_on_result.register
    def _(
        self, result: rows.Unavailable, entry: _Entry, now_ms: int
    ) -> Effects:
        return []

    def _read_or_renew(self, entry: _Entry, now_ms: int) -> Effects:
        if entry.token is not None:
            return self._read_if_overdue(entry, now_ms)
        if entry.lease is None or entry.unsettled_write is not None:
            return self._read(entry, now_ms)
        held_ms = now_ms - self._start_ms(entry.lease)
        if held_ms >= self._settings.renew_ms:
            return self._write(entry, entry.lease.row_version, now_ms)
        return []

    def _read_if_overdue(self, entry: _Entry, now_ms: int) -> Effects:
        """Read the row again when the result is overdue."""
        if now_ms - entry.sent_ms < 2 * self._settings.timeout_ms:
            return []
        del self._by_token[entry.token]
        entry.token = None
        return self._read(entry, now_ms)

    def _process_row(
        self, entry: _Entry, row: rows.Row | None, now_ms: int
    ) -> Effects:
        """Process the current row of the lease."""
        if row is None:
            return self._write(entry, rows.ABSENT, now_ms)
        value = _parse(row)
        if value.holder == self._self_id:
            return self._on_own_row(entry, row, value, now_ms)
        follow_ups = self._end(entry)
        if value.holder is None:
            return follow_ups + self._write(entry, row.version, now_ms)
        if entry.seen_version != row.version:
            entry.seen_version = row.version
            entry.seen_ms = now_ms
            return follow_ups
        settings = self._settings
        if now_ms - entry.seen_ms < settings.duration_ms + settings.margin_ms:
            return follow_ups
        return follow_ups + self._write(entry, row.version, now_ms)

    def _on_own_row(
        self,
        entry: _Entry,
        row: rows.Row,
        value: LeaseRow,
        now_ms: int,
    ) -> Effects:
        """Hold the lease if the unsettled write created this row version.

        Otherwise, write the row again: the time of the write that created
        it is not known.
        """
        unsettled_write = entry.unsettled_write
        if unsettled_write is None or unsettled_write.version != row.version:
            return self._write(entry, row.version, now_ms)
        entry.unsettled_write = None
        return self._extend(
            entry,
            value.fencing_number,
            row.version,
            unsettled_write.sent_ms,
            now_ms,
        )

    def _extend(
        self,
        entry: _Entry,
        number: int,
        row_version: int,
        start_ms: int,
        now_ms: int,
    ) -> Effects:
        previous = entry.lease
        settings = self._settings
        until_ms = start_ms + settings.duration_ms - settings.margin_ms
        acquired_ms = previous.acquired_ms if previous else now_ms
        entry.lease = Lease(
            entry.name, number, row_version, acquired_ms, until_ms
        )
        if now_ms >= until_ms:
            return self._end(entry)
        if previous is not None:
            return []
        return [effects.Deliver(LeaseAcquired(entry.lease))]

    def _end(self, entry: _Entry) -> Effects:
        if entry.lease is None:
            return []
        entry.lease = None
        return [effects.Deliver(LeaseLost(entry.name))]

    def _end_if_expired(self, entry: _Entry, now_ms: int) -> Effects:
        if entry.lease is None or now_ms < entry.lease.valid_until_ms:
            return []
        return self._end(entry)

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
        return [release, *self._end(entry)]

    def _read(self, entry: _Entry, now_ms: int) -> Effects:
        token = self._new_token(entry, now_ms)
        keys = (_key(entry.name),)
        return [effects.ReadRows(token, keys, self._settings.timeout_ms)]

    def _write(self, entry: _Entry, version: int, now_ms: int) -> Effects:
        token = self._new_token(entry, now_ms)
        if (
            entry.unsettled_write is None
            or entry.unsettled_write.version != version + 1
        ):
            entry.unsettled_write = _UnsettledWrite(version + 1, now_ms)
        lease = entry.lease
        number = lease.fencing_number if lease else version + 1
        value = LeaseRow(self._self_id, number)
        transaction = rows.Transaction(
            (rows.Condition(_key(entry.name), version),),
            (rows.Write(_key(entry.name), codec.to_plain(value)),),
        )
        timeout_ms = self._settings.timeout_ms
        return [effects.Transact(token, transaction, timeout_ms)]

    def _start_ms(self, lease: Lease) -> int:
        settings = self._settings
        return lease.valid_until_ms - settings.duration_ms + settings.margin_ms

    def _new_token(self, entry: _Entry, now_ms: int) -> str:
        token = f'leases:{next(self._numbers)}'
        entry.token = token
        entry.sent_ms = now_ms
        self._by_token[token] = entry
        return token

    def _pop_entry(self, token: str) -> _Entry | None:
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
        # A malformed row counts as held until it expires.
        unknown_host = hosts.HostId('', '', 0)
        return LeaseRow(unknown_host, row.version)
