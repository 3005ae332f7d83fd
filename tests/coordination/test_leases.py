"""Leases under pauses, races, lost results and outages of the store."""

import random

import attrs
import pytest

from godwitglade.coordination import effects
from godwitglade.coordination import hosts
from godwitglade.coordination import leases
from godwitglade.coordination import messages
from godwitglade.coordination import rows

NAME = 'north/llm'
SETTINGS = leases.Settings()


@attrs.define
class Store:
    """A fake table that can lose results or be unavailable."""

    rows: dict = attrs.Factory(dict)
    is_down: bool = False
    loses_results: bool = False
    write_count: int = 0

    def run(self, effect):
        if self.is_down:
            result = rows.Unavailable()
        elif isinstance(effect, effects.ReadRows):
            found = [self.rows[k] for k in effect.keys if k in self.rows]
            result = rows.Rows(tuple(found))
        else:
            result = self._transact(effect.transaction)
        if isinstance(effect, effects.ReadRows):
            return messages.ReadSettled(effect.token, result)
        return messages.TransactionSettled(effect.token, result)

    def _transact(self, transaction):
        condition, write = transaction.conditions[0], transaction.writes[0]
        held = self.rows.get(write.key)
        version = held.version if held else rows.ABSENT
        if version != condition.version:
            return rows.Conflict((held,) if held else ())
        self.write_count += 1
        row = rows.Row(write.key, version + 1, write.value)
        self.rows[write.key] = row
        if self.loses_results:
            return rows.Unknown()
        return rows.Committed((row.version,))


class Candidate:
    """A host that tries to hold the lease; it can be paused."""

    def __init__(self, name, store):
        self.store = store
        self.is_paused = False
        self.acquired = []
        self.lost = 0
        host = hosts.HostId(name, 'north', 1)
        self.leases = leases.Leases(host, random.Random(1))
        self.leases.set_wanted([NAME], 0)

    def tick(self, now_ms):
        if self.is_paused:
            return
        fired = messages.TimerFired(leases.TICK_TOKEN)
        self.run_effects(self.leases.handle(fired, now_ms), now_ms)

    def run_effects(self, emitted, now_ms):
        for effect in emitted:
            match effect:
                case effects.ReadRows() | effects.Transact():
                    reply = self.store.run(effect)
                    follow_ups = self.leases.handle(reply, now_ms)
                    self.run_effects(follow_ups, now_ms)
                case effects.Deliver(leases.LeaseAcquired(lease)):
                    self.acquired.append(lease)
                case effects.Deliver(leases.LeaseLost()):
                    self.lost += 1


class Race:
    """Hosts that compete for one lease; checks that at most one holds it."""

    def __init__(self, count):
        self.store = Store()
        self.now_ms = 0
        self.hosts = [Candidate(f'h{i}', self.store) for i in range(count)]

    def run(self, duration_ms):
        for _ in range(duration_ms // SETTINGS.tick_ms):
            self.now_ms += SETTINGS.tick_ms
            for host in self.hosts:
                host.tick(self.now_ms)
                assert len(self.holders()) <= 1
        return self.holders()

    def holders(self):
        return [
            host
            for host in self.hosts
            if host.leases.held(NAME, self.now_ms) is not None
        ]


def test_one_of_two_competing_hosts_holds_and_renews():
    race = Race(2)
    first = race.run(10_000)
    assert race.run(300_000) == first
    assert len(first[0].acquired) == 1
    assert race.store.write_count <= 32


def test_paused_holder_is_replaced_and_loses_the_lease():
    race = Race(2)
    (holder,) = race.run(10_000)
    before = holder.acquired[0]
    holder.is_paused = True
    (successor,) = race.run(60_000)
    assert successor is not holder
    assert holder.leases.held(NAME, race.now_ms) is None
    after = successor.acquired[0]
    assert after.fencing_number > before.fencing_number
    assert after.acquired_ms > before.valid_until_ms
    holder.is_paused = False
    assert race.run(20_000) == [successor]
    assert holder.lost == 1


def test_lease_expires_while_the_store_is_unavailable():
    race = Race(2)
    race.run(10_000)
    race.store.is_down = True
    assert race.run(40_000) == []
    race.store.is_down = False
    assert len(race.run(60_000)) == 1


def test_lost_results_are_settled_by_reading_the_row():
    race = Race(2)
    race.store.loses_results = True
    (holder,) = race.run(10_000)
    assert race.run(200_000) == [holder]
    assert len(holder.acquired) == 1


def test_renewal_that_was_not_applied_does_not_extend_the_lease():
    race = Race(1)
    (holder,) = race.run(10_000)
    lease = holder.leases.held(NAME, race.now_ms)
    entry = holder.leases._entries[NAME]
    now_ms = race.now_ms + SETTINGS.renew_ms
    renewal = holder.leases._write(entry, lease.row_version, now_ms)
    lost = messages.TransactionSettled(renewal[0].token, rows.Unknown())
    read = holder.leases.handle(lost, now_ms + 2_000)
    reply = race.store.run(read[0])
    holder.leases.handle(reply, now_ms + 2_000)
    held = holder.leases.held(NAME, now_ms + 2_000)
    assert held.valid_until_ms == lease.valid_until_ms


def test_released_lease_is_acquired_at_once():
    race = Race(2)
    (holder,) = race.run(10_000)
    holder.run_effects(holder.leases.set_wanted([], race.now_ms), race.now_ms)
    (successor,) = race.run(4_000)
    assert successor is not holder


@pytest.mark.parametrize('value', [{}, {'holder': 'x', 'fencing_number': 1}])
def test_malformed_row_counts_as_held_until_it_expires(value):
    race = Race(1)
    key = rows.RowKey(leases.TABLE, NAME)
    race.store.rows[key] = rows.Row(key, 7, value)
    assert race.run(30_000) == []
    (holder,) = race.run(10_000)
    assert holder.acquired[0].fencing_number == 8
