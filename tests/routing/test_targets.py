"""Targets that come, leave, lapse and return under old names."""

import pytest

from godwitglade.routing import targets
from tests.routing import builders

GRACE_MS = targets.LAPSE_GRACE_MS


def names(directory, pool='encode', now_ms=0):
    return sorted(t.name for t in directory.usable(pool, now_ms))


def filled(*entries, at_ms=0):
    directory = targets.Directory()
    directory.replace(entries, 1, at_ms)
    return directory


def whats(changes):
    return [(change.listed.name, change.what) for change in changes]


def test_leaving_target_gets_nothing_more():
    directory = filled(builders.listed('t1'), builders.listed('t2'))
    leaving = builders.listed('t1', is_leaving=True)
    assert whats(directory.update([leaving], [], 2, 100)) == [
        ('t1', 'leaving')
    ]
    assert names(directory) == ['t2']


def test_older_word_does_not_bring_a_leaving_target_back():
    directory = filled(builders.listed('t1'))
    directory.update([builders.listed('t1', is_leaving=True)], [], 5, 100)
    directory.replace([builders.listed('t1')], 4, 200)
    directory.replace([builders.listed('t1')], 6, 300)
    assert names(directory) == []


def test_target_that_restarts_under_its_name_is_a_new_one():
    directory = filled(builders.listed('t1', started_ms=1))
    directory.find('t1').failures = 9
    directory.update([builders.listed('t1', is_leaving=True)], [], 2, 100)
    directory.update([builders.listed('t1', started_ms=2)], [], 3, 200)
    assert names(directory) == ['t1']
    assert directory.find('t1').failures == 0


@pytest.mark.parametrize(
    ('outage_ms', 'is_kept'),
    [(0, False), (1_000, False), (targets.LAPSING_MS, True)],
    ids=['store answered', 'a call failed', 'store was away'],
)
def test_entry_missing_after_an_outage_is_kept_for_a_while(outage_ms, is_kept):
    both = [builders.listed('t1'), builders.listed('t2')]
    directory = filled(*both)
    directory.replace(both[:1], 2, 9_000, outage_ms)
    assert ('t2' in names(directory)) is is_kept
    directory.replace(both[:1], 3, 9_000 + GRACE_MS - 1)
    directory.end_grace(9_000 + GRACE_MS)
    assert names(directory) == ['t1']


def test_quiet_feed_is_no_outage():
    both = [builders.listed('t1'), builders.listed('t2')]
    directory = filled(*both)
    changes = directory.update([], ['t2'], 2, 9_000)
    assert whats(changes) == [('t2', 'gone')]


def test_entry_back_within_the_grace_stays():
    both = [builders.listed('t1'), builders.listed('t2')]
    directory = filled(*both)
    directory.replace(both[:1], 2, 6_000, targets.LAPSING_MS)
    directory.update(both[1:], [], 3, 7_500)
    directory.end_grace(9_000)
    assert names(directory) == ['t1', 't2']


def test_leaving_target_that_goes_is_not_kept():
    directory = filled(builders.listed('t1', is_leaving=True))
    directory.replace([], 2, 6_000, targets.LAPSING_MS)
    assert len(directory) == 0


def test_suspended_targets_serve_when_no_other_is_left():
    directory = filled(builders.listed('t1'), builders.listed('t2'))
    directory.find('t1').suspended_until_ms = 500
    assert names(directory, now_ms=100) == ['t2']
    directory.find('t2').suspended_until_ms = 500
    assert names(directory, now_ms=100) == ['t1', 't2']
    assert names(directory, now_ms=600) == ['t1', 't2']
