"""In-memory table service with scripted faults, and a host that uses it."""

import itertools
import random

import attrs

from godwitglade.common import codec
from godwitglade.coordination import audit
from godwitglade.coordination import change_rows
from godwitglade.coordination import changes
from godwitglade.coordination import effects
from godwitglade.coordination import messages
from godwitglade.coordination import rows


class Table:
    """An in-memory table service whose responses follow a script.

    Each transaction consumes the next word of ``script``: ``ok``; ``lost``
    (applied, but the response is lost); ``late`` (response lost, applied
    when `apply_late` is called); ``never`` (response lost, never applied); or
    ``down`` (unavailable). ``ok`` is used after the end of the script.
    """

    def __init__(self, *script):
        self.rows = {}
        self.script = iter(script)
        self.late = []
        self.is_readable = True

    def read(self, keys):
        if not self.is_readable:
            return rows.Unavailable()
        matches = (self.rows.get(key) for key in keys)
        return rows.Rows(tuple(row for row in matches if row is not None))

    def transact(self, transaction):
        word = next(self.script, 'ok')
        if word == 'ok':
            return self.apply(transaction)
        if word == 'down':
            return rows.Unavailable(retry_after_ms=7)
        if word == 'lost':
            self.apply(transaction)
        if word == 'late':
            self.late.append(transaction)
        return rows.Unknown()

    def apply(self, transaction):
        conflicting = [
            condition.key
            for condition in transaction.conditions
            if self.version(condition.key) != condition.version
        ]
        if conflicting:
            return rows.Conflict(self.read(conflicting).rows)
        for write in transaction.writes:
            version = self.version(write.key) + 1
            value = codec.parse_json(codec.to_json(write.value))
            self.rows[write.key] = rows.Row(write.key, version, value)
        return rows.Committed()

    def version(self, key):
        row = self.rows.get(key)
        return rows.ABSENT if row is None else row.version

    def apply_late(self):
        return [self.apply(transaction) for transaction in self.late]

    def audit(self):
        keys = sorted(key.key for key in self.rows if key.table == 'audit')
        return [
            codec.from_plain(
                self.rows[rows.RowKey('audit', key)].value, audit.AuditRecord
            )
            for key in keys
        ]


class Host:
    """Makes changes on one host and runs their effects on ``table``."""

    def __init__(self, table, seed=1):
        self.table = table
        self.changes = changes.Changes(random.Random(seed))
        self.ids = itertools.count()

    def start(self, **fields):
        return self.changes.submit(f'q{next(self.ids)}', request(**fields), 0)

    def run_effect(self, effect):
        if isinstance(effect, effects.ReadRows):
            result = self.table.read(effect.keys)
            message = messages.ReadSettled(effect.token, result)
        elif isinstance(effect, effects.Transact):
            result = self.table.transact(effect.transaction)
            message = messages.TransactionSettled(effect.token, result)
        else:
            message = messages.TimerFired(effect.token)
        return self.changes.handle(message, 0)

    def finish(self, pending):
        results = []
        while pending:
            effect = pending.pop(0)
            if isinstance(effect, effects.Deliver):
                results.append(effect.message.result)
            elif not isinstance(effect, effects.LogEvent):
                pending.extend(self.run_effect(effect))
        assert self.changes.pending_count == 0
        (result,) = results
        return result

    def apply(self, **fields):
        return self.finish(self.start(**fields))

    def look_up(self, change_id='c1'):
        return self.finish(self.changes.look_up('q', change_id, 0))

    def settle(self, change_id='c1'):
        return self.finish(self.changes.settle('q', change_id, 0))


def request(**fields):
    defaults = change_rows.ChangeRequest(
        pipeline='checks',
        based_on=0,
        change_id='c1',
        text='a: 1\nb: 2\n',
        author='amina',
        team='onboarding',
        at_ms=5,
    )
    return attrs.evolve(defaults, **fields)
