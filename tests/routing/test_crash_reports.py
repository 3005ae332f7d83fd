"""Whether a host reports a crash that it saw."""

import random

import pytest

from godwitglade.coordination import messages as shared_messages
from godwitglade.routing import crash_reports
from godwitglade.routing import hand_over
from godwitglade.routing import messages
from godwitglade.routing import reachability
from godwitglade.routing import targets
from tests.routing import builders

HOLD, REPORT, DROP = (
    crash_reports.Decision.HOLD,
    crash_reports.Decision.REPORT,
    crash_reports.Decision.DROP,
)


class World:
    """A host that saw a target end at 1,000 ms, and another host."""

    def __init__(self):
        self.target = builders.listed('t1', started_ms=7)
        self.directory = targets.Directory()
        self.directory.replace((self.target,), 1, 0)
        self.paths = reachability.Reachability(
            self.directory, random.Random(1)
        )
        self.cut_off = hand_over.CutOffHosts('h1')
        self.reports = crash_reports.CrashReports(
            self.paths, self.cut_off, self.directory, lambda: ['h1', 'h2']
        )

    def ask(self):
        self.paths.record_unreachable(1_000)

    def probe(self, is_reached):
        message = messages.TargetProbed('t1', is_reached)
        self.paths.handle(message, 1_100)

    def tell_cut_off(self, host):
        fact = shared_messages.FactChanged(
            hand_over.FACT_KIND, host, 1_100, host
        )
        self.cut_off.record(fact, 1_100)

    def decide(self, now_ms=1_200):
        return self.reports.decide(self.target, 1_000, now_ms)


def cut_off(world):
    world.ask()
    world.probe(False)
    world.tell_cut_off('h1')


def all_cut_off(world):
    cut_off(world)
    world.tell_cut_off('h2')


def cut_off_for_a_while(world):
    cut_off(world)
    world.probe(True)


def cut_off_and_delisted(world):
    cut_off(world)
    world.directory.update((), ('t1',), 2, 1_150)


def cut_off_and_listed_anew(world):
    cut_off(world)
    anew = builders.listed('t1', started_ms=9)
    world.directory.update((anew,), (), 2, 1_150)


@pytest.mark.parametrize(
    ('arrange', 'expected'),
    [
        (lambda world: None, REPORT),
        (World.ask, HOLD),
        (cut_off, HOLD),
        (cut_off_for_a_while, HOLD),
        (all_cut_off, REPORT),
        (cut_off_and_delisted, REPORT),
        (cut_off_and_listed_anew, REPORT),
    ],
)
def test_crash_is_reported_once_something_confirms_it(arrange, expected):
    world = World()
    arrange(world)
    assert world.decide() is expected


def test_crash_that_nothing_confirms_is_dropped():
    world = World()
    cut_off(world)
    assert world.decide(1_000 + crash_reports.MAX_HELD_MS) is DROP
