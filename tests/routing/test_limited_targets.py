"""Engines that name a limit of requests, at hosts free of I/O."""

import bisect
import itertools

import pytest

from tests.routing import fleet

WINDOW_MS = 4_000
#: Time after which a host that passed on a named limit has to keep to it.
TOLD_MS = 500
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5
#: Callers return at most this often, within this share of their time left.
MAX_RETURNS = 2
RETURN_SHARE = 1 / 3
OBJECTIVE_MS = fleet.ROUTE.objective_ms
NAMED_MS = 10_000
END_MS = 50_000


class Load:
    """Callers that return when they are told to, at any host."""

    def __init__(self, fleet_, path, gap_ms):
        self.fleet = fleet_
        self.path = path
        self.gap_ms = gap_ms
        self.numbers = itertools.count()
        fleet_.on_refused = self.refused

    def send(self):
        subject = f'subject{self.fleet.rng.randrange(60)}'
        parts = ('system0', subject, f'own{next(self.numbers)}')
        self.fleet.send(parts, self.path)
        due_ms = self.fleet.now_ms + self.fleet.rng.randint(1, 2 * self.gap_ms)
        if due_ms < END_MS:
            self.fleet.at(due_ms, self.send)

    def refused(self, attempt):
        chain = list(returns_of(attempt))
        elapsed_ms = self.fleet.now_ms - chain[-1].sent_ms
        left_ms = fleet.ROUTE.timeout_ms - elapsed_ms
        may_wait_ms = RETURN_SHARE * left_ms
        if len(chain) <= MAX_RETURNS and attempt.retry_after_ms < may_wait_ms:
            self.fleet.at(
                self.fleet.now_ms + attempt.retry_after_ms,
                lambda: self.fleet.send(attempt.parts, self.path, attempt),
            )


def returns_of(attempt):
    """Return an attempt and those before it of the same caller."""
    while attempt is not None:
        yield attempt
        attempt = attempt.return_of


def restart_hosts(fleet_):
    """Restart hosts one after another, then all of them."""
    for number, name in enumerate(list(fleet_.nodes)[:6]):
        fleet_.at(16_000 + 1_500 * number, fleet_.restart, [name])
    fleet_.at(32_000, fleet_.restart, list(fleet_.nodes))


def cut_hosts(fleet_):
    """Cut a third of the hosts off from the others for a while."""
    names = frozenset(list(fleet_.nodes)[::3])
    fleet_.at(18_000, setattr, fleet_, 'cut_names', names)
    fleet_.at(26_000, setattr, fleet_, 'cut_names', frozenset())


def replace_engines(fleet_):
    """End engines that named a limit; others start without one."""
    for number, engine in enumerate(fleet_.engines[:2]):
        fleet_.at(20_000 + 5_000 * number, fleet_.end_engine, engine)


FAULTS = {
    'none': lambda fleet_: None,
    'hosts restart': restart_hosts,
    'hosts cut': cut_hosts,
    'messages lost': lambda fleet_: setattr(fleet_, 'lost_share', 0.1),
    'engines replaced': replace_engines,
}


def play(seed, host_count=9, limits=(1_300, 1_500), fault='none', path='/a/x'):
    """Play 50 s of load; engines name limits at 10 s."""
    fleet_ = fleet.Fleet(seed, host_count)
    fleet_.run(2_000)
    Load(fleet_, path, 50).send()
    for engine, milli_per_s in zip(fleet_.engines, limits):
        fleet_.at(NAMED_MS, engine.name_limit, milli_per_s, NAMED_MS)
    FAULTS[fault](fleet_)
    fleet_.run(END_MS + 5_000)
    return fleet_


def worst_window(engine):
    """Return the most counted arrivals in a window, and the bound."""
    allowed = ALLOWED_FACTOR * engine.limit.milli_per_s * WINDOW_MS / 1e6
    from_ms = engine.named_ms + fleet.CONTACT_MS
    counted = [
        at_ms
        for at_ms, sender in engine.arrivals
        if at_ms >= from_ms
        and engine.told_ms.get(sender, at_ms) <= at_ms - TOLD_MS
    ]
    worst = max(
        (
            bisect.bisect_right(counted, at_ms + WINDOW_MS) - index
            for index, at_ms in enumerate(counted)
        ),
        default=0,
    )
    return worst, allowed + ALLOWED_EXTRA


def outcomes(fleet_, from_ms=15_000):
    """Return shares of callers: in time, late, refused, and kept promises.

    A promise is kept if the caller who returns when told to is served.
    """
    asked = [a for a in fleet_.attempts if from_ms <= a.sent_ms < END_MS]
    returned = {id(a.return_of) for a in asked}
    last = [a for a in asked if id(a) not in returned]
    begun = [a for a in last if a.begun_ms is not None]
    in_time = [a for a in begun if a.begun_ms - a.sent_ms <= OBJECTIVE_MS]
    told = [a for a in asked if a.return_of is not None]
    kept = sum(a.begun_ms is not None for a in told)
    return {
        'in_time': len(in_time) / len(last),
        'late': (len(begun) - len(in_time)) / len(last),
        'unserved': 1 - len(begun) / len(last),
        'kept': kept / len(told) if told else 1.0,
    }


def check(fleet_):
    """Check the bound of each engine that named a limit."""
    for engine in fleet_.engines:
        if engine.limit is not None:
            worst, allowed = worst_window(engine)
            assert worst <= allowed


@pytest.mark.parametrize('fault', FAULTS)
@pytest.mark.parametrize('path', ['/a/x', '/c/x'])
def test_engine_gets_no_more_than_the_limit_that_it_names(fault, path):
    check(play(1, fault=fault, path=path))


@pytest.mark.parametrize(
    'limits',
    [(1_400,) * 6, (4_000, 20_000), (0, 100), (1_300, 400_000), (200,) * 6],
)
def test_engine_gets_no_more_than_any_limit_that_it_names(limits):
    check(play(2, limits=limits))


def test_engine_gets_no_more_than_its_limit_from_60_hosts():
    check(play(3, host_count=60))


def test_callers_are_served_by_engines_without_a_limit():
    assert outcomes(play(4))['in_time'] >= 0.9


def test_refused_callers_are_served_when_they_return():
    result = outcomes(play(5, limits=(1_400,) * 6))
    assert result['kept'] >= 0.95
    # The limits leave room for two in five requests.
    assert result['in_time'] + result['late'] >= 0.3
