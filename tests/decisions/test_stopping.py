"""A planned stop: drain, finish what is in flight, record, exit."""

import attrs
import pytest

from godwitglade.coordination import effects as shared_effects
from godwitglade.decisions import effects
from godwitglade.decisions import stopping


@attrs.define
class FakeClaims:
    """Claims that are idle or not, as told."""

    is_idle: bool = True


def due(found):
    (timer,) = found
    assert isinstance(timer, shared_effects.StartTimer)
    return timer.token, timer.due_ms


def test_host_serves_until_the_balancer_has_noticed():
    made = stopping.Stopping(FakeClaims(), 3_000)
    assert not made.finish()
    assert due(made.begin(100)) == (stopping.DRAIN_TOKEN, 3_100)
    assert made.phase is stopping.Phase.DRAINING
    assert made.finish()
    assert not made.finish()


def test_second_stop_does_not_wait():
    made = stopping.Stopping(FakeClaims(), 3_000)
    made.begin(100)
    assert due(made.begin(200)) == (stopping.DRAIN_TOKEN, 200)


@pytest.mark.parametrize('recorded_ms', [0, 130, None])
def test_exit_waits_for_records_within_a_bound(recorded_ms):
    claims = FakeClaims(is_idle=recorded_ms == 0)
    made = stopping.Stopping(claims, 0)
    now_ms = 0
    found = made.record(now_ms)
    while found != [effects.Exit()]:
        token, now_ms = due(found)
        assert token == stopping.RECORD_TOKEN
        claims.is_idle = recorded_ms is not None and now_ms >= recorded_ms
        found = made.record(now_ms)
    limit_ms = stopping.RECORD_TIMEOUT_MS
    bound_ms = limit_ms if recorded_ms is None else recorded_ms
    assert bound_ms <= now_ms <= bound_ms + stopping.RECORD_CHECK_MS
