"""A planned stop: drain, finish requests in flight, record, exit."""

import attrs
import pytest

from godwitglade.coordination import effects as shared_effects
from godwitglade.decisions import effects
from godwitglade.decisions import stopping


@attrs.define
class FakeClaims:
    """Claims that are idle as configured."""

    is_idle: bool = True


def started_timer(emitted):
    (timer,) = emitted
    assert isinstance(timer, shared_effects.StartTimer)
    return timer.token, timer.due_ms


def test_host_drains_before_it_finishes():
    stop = stopping.Stopping(FakeClaims(), 3_000)
    assert not stop.finish()
    assert started_timer(stop.start_drain(100)) == (
        stopping.DRAIN_TOKEN,
        3_100,
    )
    assert stop.phase is stopping.Phase.DRAINING
    assert stop.finish()
    assert not stop.finish()


def test_second_stop_request_ends_the_drain():
    stop = stopping.Stopping(FakeClaims(), 3_000)
    stop.start_drain(100)
    assert started_timer(stop.start_drain(200)) == (stopping.DRAIN_TOKEN, 200)


@pytest.mark.parametrize('recorded_ms', [0, 130, None])
def test_exit_waits_for_records_until_the_timeout(recorded_ms):
    claims = FakeClaims(is_idle=recorded_ms == 0)
    stop = stopping.Stopping(claims, 0)
    now_ms = 0
    emitted = stop.record(now_ms)
    while emitted != [effects.Exit()]:
        token, now_ms = started_timer(emitted)
        assert token == stopping.RECORD_TOKEN
        claims.is_idle = recorded_ms is not None and now_ms >= recorded_ms
        emitted = stop.record(now_ms)
    timeout_ms = stopping.RECORD_TIMEOUT_MS
    expected_ms = timeout_ms if recorded_ms is None else recorded_ms
    assert expected_ms <= now_ms <= expected_ms + stopping.RECORD_CHECK_MS
