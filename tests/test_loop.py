"""The loop: order of timers, asks, and decisions that raise."""

import pytest

from godwitglade.common import clock
from godwitglade.coordination import effects
from godwitglade.coordination import messages
from godwitglade.daemon import loop


class EchoHost:
    """Turns each message into one counted effect; ints raise."""

    def start(self, now_ms):
        return [effects.Count('started')]

    def handle(self, message, now_ms):
        if isinstance(message, int):
            raise ValueError(message)
        return [effects.Count(str(message))]


@pytest.fixture
def harness():
    done, faults, clock_ = [], [], clock.ManualClock()
    made = loop.Loop(
        EchoHost(),
        clock_,
        done.append,
        lambda message, error: faults.append((message, error)),
    )
    return made, clock_, done, faults


def test_timers_fire_in_order_of_due_time(harness):
    made, clock_, done, _ = harness
    for token, due_ms in (('b', 20), ('a', 10), ('c', 20), ('d', 99)):
        made.timers.start(token, due_ms)
    clock_.advance(20)
    made.run_once()
    fired = [messages.TimerFired(token) for token in 'abc']
    assert done == [effects.Count(str(message)) for message in fired]
    assert len(made.timers) == 1


def test_a_decision_that_raises_drops_only_its_message(harness):
    made, _, done, faults = harness
    made.timers.start('never', 10_000)
    for message in (7, 'after'):
        made.post(message)
        made.run_once()
    assert [message for message, _ in faults] == [7]
    assert done == [effects.Count('after')]


@pytest.mark.parametrize('is_raising', [True, False])
def test_ask_gives_result_or_error_to_the_asker(harness, is_raising):
    made, clock_, _, _ = harness
    clock_.advance(5)
    ask = loop.Ask(
        lambda host, now_ms: host.handle(3 if is_raising else 'x', now_ms),
        loop.concurrent.futures.Future(),
    )
    made.post(ask)
    made.run_once()
    assert (ask.answer.exception() is not None) == is_raising
