"""Periodic reads of the host list by zone, and merging of their results."""

import itertools
import random

import pytest

from godwitglade.coordination import effects as shared_effects
from godwitglade.coordination import members
from godwitglade.coordination import messages as shared_messages
from godwitglade.decisions import effects
from godwitglade.decisions import host_list_reader
from godwitglade.decisions import messages
from godwitglade.decisions import targets


def target(name, zone):
    return targets.Target(name, 'encoders', zone, f'{name}:1')


def count_reads(reader, until_ms):
    """Return how many reads each query had until ``until_ms``."""
    counts = {}
    pending = reader.start(0)
    timers = []
    for _ in itertools.count():
        for effect in pending:
            if isinstance(effect, effects.ReadHostList):
                key = (effect.zone, effect.role)
                counts[key] = counts.get(key, 0) + 1
            else:
                timers.append((effect.due_ms, effect.token))
        timers.sort()
        due_ms, token = timers.pop(0)
        if due_ms > until_ms:
            return counts
        pending = reader.handle(shared_messages.TimerFired(token), due_ms)


def apply_read(reader, query, listed, entries=()):
    delivered = reader.handle(messages.HostListRead(query, listed, entries), 0)
    by_type = {type(e.message): e.message for e in delivered}
    assert all(isinstance(e, shared_effects.Deliver) for e in delivered)
    return {t.name for t in by_type[messages.TargetsListed].targets}


@pytest.mark.parametrize(
    'spill, expected',
    [
        ((), {('', ''): (50, 75)}),
        (
            ('b', 'a'),
            {
                ('a', 'target'): (50, 75),
                ('b', 'target'): (10, 15),
                ('', 'entry'): (20, 30),
            },
        ),
    ],
    ids=['whole', 'by zone'],
)
def test_each_query_is_read_at_its_own_interval(spill, expected):
    reader = host_list_reader.HostListReader('a', spill, random.Random(1))
    counts = count_reads(reader, 100_000)
    assert counts.keys() == expected.keys()
    for query, (min_count, max_count) in expected.items():
        assert min_count <= counts[query] <= max_count


def test_entry_hosts_are_read_rarely_once_known():
    reader = host_list_reader.HostListReader('a', ('b',), random.Random(1))
    query = effects.ReadHostList('', 'entry')
    apply_read(reader, query, (), (members.HostEntry('h1', 'a', 'h1:1'),))
    assert count_reads(reader, 100_000)[('', 'entry')] == 1


def test_targets_of_zones_are_merged_and_replaced_separately():
    reader = host_list_reader.HostListReader('a', ('b',), random.Random(1))
    own = effects.ReadHostList('a', 'target')
    spill = effects.ReadHostList('b', 'target')
    assert apply_read(reader, own, (target('t1', 'a'),)) == {'t1'}
    both = apply_read(reader, spill, (target('t2', 'b'), target('t1', 'a')))
    assert both == {'t1', 't2'}
    assert apply_read(reader, own, (target('t3', 'a'),)) == {'t1', 't2', 't3'}
    assert apply_read(reader, spill, ()) == {'t3'}
