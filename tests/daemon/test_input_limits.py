"""Bounds on connections, waits and memory, their reports and settings."""

import pathlib
import re
import types

import attrs
import pytest

from godwitglade.common import clock as clocks
from godwitglade.common import input_limits
from godwitglade.daemon import client_waits
from godwitglade.daemon import connection_counts
from godwitglade.daemon import limit_reports


def idle(name, address='a', has_served=True, last_used=0.0):
    return types.SimpleNamespace(
        name=name, address=address, has_served=has_served, last_used=last_used
    )


IDLE = [
    idle('oldest', last_used=1.0),
    idle('silent', last_used=2.0, has_served=False),
    idle('other', 'b', last_used=3.0),
]


@pytest.mark.parametrize(
    ('bound', 'address', 'connections', 'ended'),
    [
        ('max_connections', 'c', IDLE, 'silent'),
        ('max_connections', 'c', IDLE[::2], 'oldest'),
        ('address_share', 'b', IDLE, 'other'),
        ('address_share', 'c', IDLE, None),
        ('max_connections', 'c', [], None),
    ],
)
def test_connection_without_a_request_is_ended_first(
    bound, address, connections, ended
):
    chosen = connection_counts.choose_ended(bound, address, connections)
    assert (chosen and chosen.name) == ended


def test_one_address_leaves_connections_to_the_others():
    counts = connection_counts.ConnectionCounts(5, 3)
    assert [counts.add('a') for _ in range(5)] == [None] * 5
    assert counts.is_full
    counts.remove('a')
    assert counts.add('b') is None
    counts.remove('a')
    assert not counts.is_full
    assert counts.add('a') == 'address_share'
    assert counts.add('b') == 'max_connections'


def test_wait_that_began_first_ends_when_too_many_threads_wait():
    interrupted = []

    class Waiter:
        def interrupt(self):
            interrupted.append(self)

    reported = []
    waits = client_waits.ClientWaits(2, lambda *args: reported.append(args))
    waiters = [Waiter() for _ in range(4)]
    for waiter, since_ms in zip(waiters, (5, 3, 4, 6)):
        waits.begin(waiter, since_ms)
    assert reported == [('waiting_share', 3)] * 2
    assert interrupted == [waiters[1], waiters[2]]


def test_small_bodies_find_memory_when_large_ones_hold_all():
    limits = input_limits.InputLimits(
        body_memory_bytes=100, free_body_bytes=10
    )
    memory = input_limits.BodyMemory(limits)
    held = memory.hold(110, memory.hold(50, 0))
    assert held == 100
    assert memory.hold(10, 0) == 0
    with pytest.raises(input_limits.LimitExceededError):
        memory.hold(11, 0)
    memory.release(held)
    assert memory.hold(11, 0) == 1


def test_crowd_over_a_bound_is_counted_but_logged_once_in_an_interval():
    logged, counted = [], []
    clock = clocks.ManualClock()
    reports = limit_reports.LimitReports(
        clock,
        lambda event, fields: logged.append(fields),
        lambda name, by: counted.append(name),
    )
    for _ in range(1_000):
        reports.report('line_bytes', 7)
    clock.advance(limit_reports.LOG_INTERVAL_MS)
    reports.report('line_bytes', 8)
    assert counted == ['limits.line_bytes'] * 1_001
    assert [fields['not_logged'] for fields in logged] == [0, 999]
    assert logged[1] | {'bound': 'line_bytes', 'amount': 8} == logged[1]


@pytest.mark.parametrize(
    ('memory_mb', 'max_descriptors', 'overrides', 'expected'),
    [
        (None, None, {}, {'max_connections': 2_000}),
        (160, 1_638, {}, {'max_connections': 575, 'peer_connections': 431}),
        (160, 1_638, {}, {'body_memory_bytes': 32 << 20}),
        (160, 300, {}, {'max_connections': 40, 'taken_connections': 32}),
        (160, 1_638, {'maxConnections': 5}, {'max_connections': 5}),
        (None, None, {'bodyTimeoutMs': 9, 'x': 1}, {'body_timeout_ms': 9}),
    ],
)
def test_bounds_follow_the_machine_and_the_settings(
    memory_mb, max_descriptors, overrides, expected
):
    limits = input_limits.for_machine(memory_mb, max_descriptors, overrides)
    assert {name: getattr(limits, name) for name in expected} == expected


@pytest.mark.parametrize(
    'overrides',
    [
        {'lineBytes': 0},
        {'lineBytes': '5'},
        {'lineBytes': True},
        {'addressShare': 2},
    ],
)
def test_bounds_outside_their_range_are_refused(overrides):
    with pytest.raises(ValueError):
        input_limits.for_machine(None, None, overrides)


def test_every_bound_is_listed_for_operators():
    page = pathlib.Path(__file__).parents[2] / 'docs/OPERATIONS.md'
    listed = set(re.findall('`([a-zA-Z]+)`', page.read_text('utf-8')))
    for field in attrs.fields(input_limits.InputLimits):
        first, *words = field.name.split('_')
        assert first + ''.join(map(str.title, words)) in listed
