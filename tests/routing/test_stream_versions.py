"""Streams of engines of two software versions, at hosts free of I/O."""

import itertools

import pytest

from tests.routing import fleet
from tests.routing import out_of_step

END_MS = 40_000
#: Streams that may hold events of two versions.
MAX_JOINED = 2
MAX_TRIES = 4
#: Least share of resumed streams that go on, of that of new ones that begin.
MIN_SHARE = 0.5
MIN_RESUMED = 12


class Load:
    """Callers that take up streams that broke off, at any host."""

    def __init__(self, fleet_, gap_ms=50):
        self.fleet = fleet_
        self.gap_ms = gap_ms
        self.numbers = itertools.count()
        self.streams = []
        self.tries = {}
        self.resumed = []
        fleet_.on_broken = self.broken
        fleet_.on_refused = self.refused

    def send(self):
        parts = ('system0', f'own{next(self.numbers)}')
        attempt = self.fleet.send(parts, '/b/x')
        if attempt is not None:
            self.streams.append(attempt)
            self.tries[id(attempt.versions)] = (attempt, 1)
        due_ms = self.fleet.now_ms + self.fleet.rng.randint(1, 2 * self.gap_ms)
        if due_ms < END_MS:
            self.fleet.at(due_ms, self.send)

    def broken(self, attempt):
        if attempt.versions:
            self._return(attempt, 0)

    def refused(self, attempt):
        if attempt.versions:
            self._return(attempt, attempt.retry_after_ms)

    def _return(self, attempt, after_ms):
        first, tries = self.tries[id(attempt.versions)]
        if tries < MAX_TRIES:
            self.tries[id(attempt.versions)] = (first, tries + 1)
            due_ms = after_ms + self.fleet.rng.randint(20, 300)
            self.fleet.at(self.fleet.now_ms + due_ms, self._resume, first)

    def _resume(self, first):
        attempt = self.fleet.send(
            first.parts,
            '/b/x',
            stream=first.versions,
            resumes=f'a-{first.name}',
            last_event_id='3',
        )
        if attempt is None:
            self._return(first, 500)
        else:
            self.resumed.append(attempt)

    def joined(self):
        """Return the number of streams that hold events of two versions."""
        return sum(len(stream.versions) > 1 for stream in self.streams)

    def shares(self, from_ms=0):
        """Return the shares of new streams and of resumes that begin."""
        new = [s for s in self.streams if s.sent_ms >= from_ms]
        resumed = [r for r in self.resumed if r.sent_ms >= from_ms]
        return (
            sum(s.begun_ms is not None for s in new) / max(1, len(new)),
            sum(r.begun_ms is not None for r in resumed)
            / max(1, len(resumed)),
        )


def release(fleet_, version='v2'):
    """Replace half of the engines by those of another version."""
    old = [e for e in fleet_.engines if e.is_alive][:3]
    for number, engine in enumerate(old):
        at_ms = 5_000 + 400 * number
        fleet_.at(at_ms, fleet_.start_engine, version)
        fleet_.at(at_ms + 1_000, fleet_.drain_engine, engine)


def release_rest(fleet_, at_ms):
    """Replace the remaining engines of the old version."""
    old = [e for e in fleet_.engines if e.version == 'v1'][3:]
    for engine in old:
        fleet_.at(at_ms, fleet_.start_engine, 'v2')
        fleet_.at(at_ms + 300, fleet_.drain_engine, engine)


def engines_break(fleet_):
    """Let engines break off a quarter of their streams."""
    fleet_.breaking_share = 0.25


def hosts_restart(fleet_):
    """Kill a third of the hosts, three times."""
    names = list(fleet_.nodes)
    for number in range(3):
        killed = names[number :: len(names) // 3 + 1]
        fleet_.at(12_000 + 7_000 * number, fleet_.restart, killed)


def all_restart(fleet_):
    """Kill all hosts, twice; the old version leaves before the second."""
    fleet_.at(12_000, fleet_.restart, list(fleet_.nodes))
    fleet_.at(24_000, release_rest, fleet_, 24_000)
    fleet_.at(27_000, fleet_.restart, list(fleet_.nodes))


def hosts_cut(fleet_):
    """Cut a third of the hosts off from the others while engines change."""
    names = frozenset(list(fleet_.nodes)[::3])
    fleet_.at(4_500, setattr, fleet_, 'cut_names', names)
    fleet_.at(16_000, setattr, fleet_, 'cut_names', frozenset())


def engines_return(fleet_):
    """Let engines start again under their names with the other version."""
    for number in range(8):
        fleet_.at(10_000 + 3_000 * number, swap_version, fleet_, number)


def swap_version(fleet_, number):
    alive = [e for e in fleet_.engines if e.is_alive]
    engine = alive[number % len(alive)]
    version = 'v1' if engine.version == 'v2' else 'v2'
    fleet_.restart_engine(engine, version)


def replace_engines(fleet_):
    """Let engines return at once, under their names, with another version."""
    for number in range(16):
        at_ms = 8_000 + 2_000 * number
        fleet_.at(at_ms, replace_engine, fleet_, number)


def replace_engine(fleet_, number):
    alive = [e for e in fleet_.engines if e.is_alive]
    engine = alive[number % len(alive)]
    version = 'v1' if engine.version == 'v2' else 'v2'
    fleet_.replace_engine(engine, version)


FAULTS = {
    'engines break streams': [engines_break],
    'hosts restart': [engines_break, hosts_restart],
    'all hosts restart': [engines_break, all_restart],
    'hosts cut': [engines_break, hosts_cut],
    'messages lost': [
        engines_break,
        hosts_restart,
        lambda fleet_: setattr(fleet_, 'lost_share', 0.1),
    ],
    'engines return': [engines_break, hosts_restart, engines_return],
}


def play(seed, fault, host_count=9, gap_ms=50):
    """Play 40 s of load; a second version serves from 5 s on."""
    fleet_ = fleet.Fleet(seed, host_count)
    fleet_.run(2_000)
    load = Load(fleet_, gap_ms)
    load.send()
    release(fleet_)
    for function in FAULTS[fault]:
        function(fleet_)
    fleet_.run(END_MS + 8_000)
    return load


@pytest.mark.parametrize('fault', FAULTS)
def test_streams_are_not_joined_from_two_versions(fault):
    assert play(1, fault).joined() <= MAX_JOINED


def keep_silent(fleet_):
    """Let no engine say since when it runs."""
    for engine in fleet_.engines:
        engine.says_start = False
    fleet_.at(fleet_.now_ms + 50, keep_silent, fleet_)


@pytest.mark.parametrize('says_start', [True, False])
@pytest.mark.parametrize('seed', [1, 2, 5])
def test_streams_are_not_joined_at_targets_that_return_at_once(
    seed, says_start
):
    fleet_ = out_of_step.Fleet(seed, 9)
    fleet_.store_delay_ms = 0
    fleet_.run(2_000)
    fleet_.break_channels(100)
    load = Load(fleet_)
    load.send()
    release(fleet_)
    for function in (engines_break, hosts_restart, replace_engines):
        function(fleet_)
    if not says_start:
        keep_silent(fleet_)
    fleet_.run(END_MS + 8_000)
    assert not load.joined()
    new, resumed = load.shares(10_000)
    assert len(load.resumed) >= MIN_RESUMED
    assert resumed >= MIN_SHARE * new


def test_streams_of_60_hosts_are_not_joined_from_two_versions():
    load = play(2, 'hosts restart', host_count=60, gap_ms=20)
    assert load.joined() <= MAX_JOINED


@pytest.mark.parametrize('fault', ['engines break streams', 'hosts restart'])
def test_resumed_streams_go_on_beside_two_versions(fault):
    load = play(3, fault)
    new, resumed = load.shares(10_000)
    assert len(load.resumed) >= MIN_RESUMED
    assert resumed >= MIN_SHARE * new
