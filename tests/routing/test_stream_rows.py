"""When a host writes its row about streams, and what waits for it."""

import pytest

from godwitglade.routing import effects
from godwitglade.routing import stream_rows

VERSIONS = {'engine': ('v1', 'v2')}


def row(*keys):
    return effects.WriteStreams(VERSIONS, {k: ('engine', 'v1') for k in keys})


def released(effects_):
    return {
        e.request_id for e in effects_ if isinstance(e, effects.ReleaseStream)
    }


@pytest.mark.parametrize(
    ('host_count', 'holds'), [(1, True), (9, True), (24, True), (66, False)]
)
def test_first_events_wait_only_where_rows_are_written_in_time(
    host_count, holds
):
    assert bool(stream_rows.StreamRow(lambda: host_count).hold_ms) is holds


def test_first_event_waits_until_a_row_with_its_stream_is_written():
    made = stream_rows.StreamRow(lambda: 9)
    assert made.hold('k1', 'r1') == []
    assert made.update(row('k1'), 1_000) == [row('k1')]
    assert made.hold('k2', 'r2') == []
    assert made.update(row('k1', 'k2'), 1_010) == []
    assert released(made.written(True)) == {'r1'}
    (timer,) = made.update(row('k1', 'k2'), 1_020)
    assert timer.token == stream_rows.TIMER_TOKEN
    assert made.update(row('k1', 'k2'), timer.due_ms) == [row('k1', 'k2')]
    assert released(made.written(True)) == {'r2'}
    assert released(made.hold('k2', 'r3')) == {'r3'}


def test_silent_store_does_not_hold_first_events():
    made = stream_rows.StreamRow(lambda: 9)
    made.hold('k1', 'r1')
    made.update(row('k1'), 1_000)
    assert released(made.written(False)) == {'r1'}
    assert made.hold_ms == 0
    assert made.update(row('k1'), 2_000) == [row('k1')]
    made.written(True)
    assert made.hold_ms > 0


def test_pool_with_one_version_again_releases_what_waits():
    made = stream_rows.StreamRow(lambda: 9)
    made.update(row('k1'), 1_000)
    made.written(True)
    made.hold('k2', 'r2')
    effects_ = made.update(None, 1_010)
    assert released(effects_) == {'r2'}
    assert effects.RemoveStreams() in effects_
    assert made.update(row('k3'), 2_000) == []
    made.written(True)
    assert made.update(row('k3'), 2_100) == [row('k3')]
