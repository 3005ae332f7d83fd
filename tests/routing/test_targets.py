"""Targets that join, leave, expire and return under old names."""

import pytest

from godwitglade.routing import targets
from tests.routing import builders

GRACE_MS = targets.LAPSE_GRACE_MS


def names(directory, pool='encode', now_ms=0):
    return sorted(t.name for t in directory.usable(pool, now_ms))


def make_directory(*entries, at_ms=0):
    directory = targets.Directory()
    directory.replace(entries, 1, at_ms)
    return directory


def transitions(changes):
    return [(change.listed.name, change.transition) for change in changes]


def test_leaving_target_gets_no_new_work():
    directory = make_directory(builders.listed('t1'), builders.listed('t2'))
    leaving = builders.listed('t1', is_leaving=True)
    assert transitions(directory.update([leaving], [], 2, 100)) == [
        ('t1', 'leaving')
    ]
    assert names(directory) == ['t2']


def test_older_entry_does_not_restore_a_leaving_target():
    directory = make_directory(builders.listed('t1'))
    directory.update([builders.listed('t1', is_leaving=True)], [], 5, 100)
    directory.replace([builders.listed('t1')], 4, 200)
    directory.replace([builders.listed('t1')], 6, 300)
    assert names(directory) == []


def test_target_that_restarts_under_its_name_is_a_new_one():
    directory = make_directory(builders.listed('t1', started_ms=1))
    directory.find('t1').failures = 9
    directory.update([builders.listed('t1', is_leaving=True)], [], 2, 100)
    directory.update([builders.listed('t1', started_ms=2)], [], 3, 200)
    assert names(directory) == ['t1']
    assert directory.find('t1').failures == 0


@pytest.mark.parametrize(
    ('outage_ms', 'is_retained'),
    [(0, False), (1_000, False), (targets.MIN_LAPSE_OUTAGE_MS, True)],
    ids=['no outage', 'short outage', 'long outage'],
)
def test_entry_missing_after_an_outage_is_retained_for_a_grace_period(
    outage_ms, is_retained
):
    both = [builders.listed('t1'), builders.listed('t2')]
    directory = make_directory(*both)
    directory.replace(both[:1], 2, 9_000, outage_ms)
    assert ('t2' in names(directory)) is is_retained
    directory.replace(both[:1], 3, 9_000 + GRACE_MS - 1)
    directory.remove_expired(9_000 + GRACE_MS)
    assert names(directory) == ['t1']


def test_removal_in_an_update_is_not_an_outage():
    both = [builders.listed('t1'), builders.listed('t2')]
    directory = make_directory(*both)
    changes = directory.update([], ['t2'], 2, 9_000)
    assert transitions(changes) == [('t2', 'gone')]


def test_entry_back_within_the_grace_period_stays():
    both = [builders.listed('t1'), builders.listed('t2')]
    directory = make_directory(*both)
    directory.replace(both[:1], 2, 6_000, targets.MIN_LAPSE_OUTAGE_MS)
    directory.update(both[1:], [], 3, 7_500)
    directory.remove_expired(9_000)
    assert names(directory) == ['t1', 't2']


def test_leaving_target_is_removed_without_grace_period():
    directory = make_directory(builders.listed('t1', is_leaving=True))
    directory.replace([], 2, 6_000, targets.MIN_LAPSE_OUTAGE_MS)
    assert len(directory) == 0


def test_suspended_targets_serve_when_no_other_is_left():
    directory = make_directory(builders.listed('t1'), builders.listed('t2'))
    directory.find('t1').suspended_until_ms = 500
    assert names(directory, now_ms=100) == ['t2']
    directory.find('t2').suspended_until_ms = 500
    assert names(directory, now_ms=100) == ['t1', 't2']
    assert names(directory, now_ms=600) == ['t1', 't2']
