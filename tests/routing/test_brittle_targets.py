"""Engines that fall over when they turn many requests away."""

import pytest

from tests.routing import fleet
from tests.routing import test_limited_targets

BRITTLE_MS = 6_000
#: From this long after they say so, engines let fewer requests wait.
CONTACT_MS = 3_000
END_MS = 30_000
PATHS = ('/a/x', '/b/x', '/c/x')
#: Falls allowed in one time, and per engine.
MAX_FALLS = 2
FALLS_PER_ENGINE = 0.1
#: Requests that an engine takes then; a request lasts about 1.6 s.
ROOM = 6


def play(seed, host_count, load, per_s):
    """Play 30 s; engines are brittle from 6 s on, and full from 9 s on.

    ``load`` is the share of the engines' room that callers ask for.
    """
    fleet_ = fleet.Fleet(seed, host_count)
    fleet_.run(2_000)
    gap_ms = 1_600 / (load * ROOM * len(fleet_.engines))
    for path in PATHS:
        callers = test_limited_targets.Load(
            fleet_, path, round(gap_ms * len(PATHS))
        )
        callers.send()
    fleet_.on_refused = callers.refused
    for engine in fleet_.engines:
        fleet_.at(BRITTLE_MS, setattr, engine, 'brittle', per_s)
        fleet_.at(BRITTLE_MS + CONTACT_MS, setattr, engine, 'room', ROOM)
    fleet_.run(END_MS)
    return fleet_


def falls(fleet_):
    return sum(len(engine.falls_ms) for engine in fleet_.engines)


def served(fleet_):
    """Return the rate of requests that begin while engines are brittle."""
    begun = [
        a
        for a in fleet_.attempts
        if a.begun_ms is not None
        and BRITTLE_MS + CONTACT_MS <= a.begun_ms < END_MS
    ]
    return len(begun) * 1_000 / (END_MS - BRITTLE_MS - CONTACT_MS)


def check(fleet_):
    allowed = MAX_FALLS + FALLS_PER_ENGINE * len(fleet_.engines)
    assert falls(fleet_) <= allowed


@pytest.mark.parametrize('load', [1.2, 2.0, 4.0])
@pytest.mark.parametrize('host_count', [9, 66])
def test_brittle_engines_do_not_fall_over(host_count, load):
    check(play(1, host_count, load, per_s=4))


def test_brittle_engines_still_serve_what_fits():
    # 6 engines with room for 6 requests of 1.6 s serve 22 a second.
    assert served(play(2, 9, 2.0, per_s=4)) >= 15
