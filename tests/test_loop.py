"""Tests of the loop: timers, queries and decisions that raise."""

import pytest

from godwitglade.common import clock
from godwitglade.coordination import effects
from godwitglade.coordination import messages
from godwitglade.daemon import loop


class EchoHost:
    """Returns one Count effect per message; raises for an integer."""

    def start(self, now_ms):
        return [effects.Count('started')]

    def handle(self, message, now_ms):
        if isinstance(message, int):
            raise ValueError(message)
        return [effects.Count(str(message))]


@pytest.fixture
def harness():
    applied, faults, clock_ = [], [], clock.ManualClock()
    loop_ = loop.Loop(
        EchoHost(),
        clock_,
        applied.append,
        lambda message, error: faults.append((message, error)),
    )
    return loop_, clock_, applied, faults


def test_timers_fire_in_order_of_due_time(harness):
    loop_, clock_, applied, _ = harness
    for token, due_ms in (('b', 20), ('a', 10), ('c', 20), ('d', 99)):
        loop_.timers.start(token, due_ms)
    clock_.advance(20)
    loop_.run_once()
    fired = [messages.TimerFired(token) for token in 'abc']
    assert applied == [effects.Count(str(message)) for message in fired]
    assert len(loop_.timers) == 1


def test_decision_that_raises_drops_only_its_message(harness):
    loop_, _, applied, faults = harness
    loop_.timers.start('never', 10_000)
    for message in (7, 'after'):
        loop_.post(message)
        loop_.run_once()
    assert [message for message, _ in faults] == [7]
    assert applied == [effects.Count('after')]


def test_effect_that_raises_does_not_end_the_loop():
    applied, faults = [], []

    def carry_out(effect):
        if effect.name == 'odd':
            raise TypeError(effect.name)
        applied.append(effect.name)

    loop_ = loop.Loop(
        EchoHost(),
        clock.ManualClock(),
        carry_out,
        lambda effect, error: faults.append((effect.name, type(error))),
    )
    for message in ('odd', 'after'):
        loop_.post(message)
        loop_.run_once()
    assert (applied, faults) == (['after'], [('odd', TypeError)])


@pytest.mark.parametrize('is_raising', [True, False])
def test_loop_call_returns_the_result_or_the_error(harness, is_raising):
    loop_, clock_, _, _ = harness
    clock_.advance(5)
    loop_call = loop.LoopCall(
        lambda host, now_ms: host.handle(3 if is_raising else 'x', now_ms),
        loop.concurrent.futures.Future(),
    )
    loop_.post(loop_call)
    loop_.run_once()
    assert (loop_call.future.exception() is not None) == is_raising
