"""Reading the host list by zone, and what becomes of the readings."""

import itertools
import random

import pytest

from godwitglade.coordination import effects as shared_effects
from godwitglade.coordination import members
from godwitglade.coordination import messages as shared_messages
from godwitglade.decisions import effects
from godwitglade.decisions import listing
from godwitglade.decisions import messages
from godwitglade.decisions import targets


def target(name, zone):
    return targets.Target(name, 'encoders', zone, f'{name}:1')


def run(part, until_ms):
    """Return how often each query was read until ``until_ms``."""
    counts = {}
    pending = part.start(0)
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
        pending = part.handle(shared_messages.TimerFired(token), due_ms)


def read(part, query, found, entries=()):
    delivered = part.handle(messages.HostListRead(query, found, entries), 0)
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
def test_each_part_of_the_list_is_read_at_its_own_rate(spill, expected):
    part = listing.Listing('a', spill, random.Random(1))
    counts = run(part, 100_000)
    assert counts.keys() == expected.keys()
    for query, (least, most) in expected.items():
        assert least <= counts[query] <= most


def test_entry_hosts_are_read_rarely_once_known():
    part = listing.Listing('a', ('b',), random.Random(1))
    query = effects.ReadHostList('', 'entry')
    read(part, query, (), (members.HostEntry('h1', 'a', 'h1:1'),))
    assert run(part, 100_000)[('', 'entry')] == 1


def test_readings_of_zones_are_joined_and_replaced_apart():
    part = listing.Listing('a', ('b',), random.Random(1))
    own = effects.ReadHostList('a', 'target')
    spill = effects.ReadHostList('b', 'target')
    assert read(part, own, (target('t1', 'a'),)) == {'t1'}
    both = read(part, spill, (target('t2', 'b'), target('t1', 'a')))
    assert both == {'t1', 't2'}
    assert read(part, own, (target('t3', 'a'),)) == {'t1', 't2', 't3'}
    assert read(part, spill, ()) == {'t3'}
