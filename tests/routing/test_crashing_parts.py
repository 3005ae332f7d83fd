"""Prompt parts that crash engines, at hosts free of I/O."""

import itertools

import pytest

from tests.routing import fleet

#: More requests than this may not reach engines after the fifth crash.
ALLOWED_ARRIVALS = 3
MIN_REQUESTS = 20
FIRST_PARTS = ('system0', 'system1')


class Load:
    """Callers' requests, some of them with parts that crash engines."""

    def __init__(self, fleet_, position, path):
        self.fleet = fleet_
        self.position = position
        self.path = path
        self.numbers = itertools.count()

    def sound(self, until_ms):
        rng, number = self.fleet.rng, next(self.numbers)
        first = rng.choice(FIRST_PARTS)
        parts = (first, f'subject{rng.randrange(40)}', f'own{number}')
        self.fleet.send(parts, self.path)
        self._again(self.sound, until_ms, 20, 60)

    def bad(self, part, until_ms):
        rng, number = self.fleet.rng, next(self.numbers)
        parts = [FIRST_PARTS[0], f'subject{rng.randrange(40)}']
        parts.insert(self.position, part)
        self.fleet.send((*parts, f'own{number}'), self.path)
        self._again(lambda until: self.bad(part, until), until_ms, 200, 600)

    def copies(self, name, until_ms):
        self.fleet.send((FIRST_PARTS[0], 'subject1', name), '/c/x')
        self._again(lambda until: self.copies(name, until), until_ms, 200, 600)

    def _again(self, function, until_ms, low_ms, high_ms):
        due_ms = self.fleet.now_ms + self.fleet.rng.randint(low_ms, high_ms)
        if due_ms < until_ms:
            self.fleet.at(due_ms, function, until_ms)


def restart_after(fleet_, crash_count, names):
    """Restart hosts a second after a number of crashes, once."""
    counts = [len(times) for times in fleet_.crashes_ms.values()]
    if max(counts, default=0) >= crash_count:
        fleet_.at(fleet_.now_ms + 1_000, fleet_.restart, names)
    elif fleet_.now_ms < 60_000:
        again_ms = fleet_.now_ms + 100
        fleet_.at(again_ms, restart_after, fleet_, crash_count, names)


def kill_engines(fleet_):
    """End an engine every few seconds for another reason."""
    fleet_.end_engine(fleet_.rng.choice(fleet_.engines[-6:]))
    due_ms = fleet_.now_ms + fleet_.rng.randint(2_000, 6_000)
    fleet_.at(due_ms, kill_engines, fleet_)


FAULTS = {
    'none': lambda fleet_: None,
    'one restarts': lambda fleet_: restart_after(fleet_, 3, ['h1']),
    'four restart': lambda fleet_: restart_after(
        fleet_, 3, ['h0', 'h2', 'h4', 'h6']
    ),
    'all restart': lambda fleet_: restart_after(fleet_, 3, fleet_.nodes),
    'all restart early': lambda fleet_: restart_after(fleet_, 2, fleet_.nodes),
    'engines end': kill_engines,
    'messages lost': lambda fleet_: setattr(fleet_, 'lost_share', 0.2),
    'store is down': lambda fleet_: setattr(fleet_, 'store_is_down', True),
    'engines fail': lambda fleet_: setattr(fleet_, 'failing_share', 0.3),
}


def play(seed, host_count=9, fault='none', position=1, path='/a/x', bad=1):
    """Play 40 s of trouble after 20 s without; return the fleet."""
    fleet_ = fleet.Fleet(seed, host_count)
    load = Load(fleet_, position, path)
    fleet_.run(5_000)
    load.sound(65_000)
    fleet_.run(20_000)
    fleet_.bad_parts = {f'bad{n}' for n in range(bad)}
    for part in sorted(fleet_.bad_parts):
        load.bad(part, 65_000)
    FAULTS[fault](fleet_)
    fleet_.run(45_000)
    return fleet_


def late_arrivals(fleet_, part, crash_count=5):
    """Return how many requests reached engines too late for the part."""
    crashes_ms = fleet_.crashes_ms.get(part, [])
    if len(crashes_ms) < crash_count:
        return 0
    from_ms = crashes_ms[crash_count - 1] + fleet.CONTACT_MS
    return sum(
        at_ms > from_ms
        for attempt in fleet_.attempts
        if part in attempt.parts
        for at_ms in attempt.arrivals_ms
    )


def begun_share(fleet_, from_ms, until_ms):
    """Return the share of sound requests of a first part that began."""
    sound = [
        attempt
        for attempt in fleet_.attempts
        if attempt.parts[0] == FIRST_PARTS[0]
        and not fleet_.bad_parts & set(attempt.parts)
        and from_ms <= attempt.sent_ms < until_ms
    ]
    assert len(sound) >= MIN_REQUESTS
    return sum(a.begun_ms is not None for a in sound) / len(sound)


def check(fleet_):
    """Check both bounds for every bad part."""
    before = begun_share(fleet_, 8_000, 24_000)
    for part in fleet_.bad_parts:
        assert late_arrivals(fleet_, part) <= ALLOWED_ARRIVALS
        crashes_ms = fleet_.crashes_ms.get(part, [25_000])
        from_ms = crashes_ms[:5][-1] + 2 * fleet.CONTACT_MS
        assert begun_share(fleet_, from_ms, 64_000) >= before / 2


@pytest.mark.parametrize('fault', FAULTS)
@pytest.mark.parametrize('position', [0, 1, 2])
def test_part_that_crashes_engines_is_not_sent_on(fault, position):
    check(play(position + 1, fault=fault, position=position))


@pytest.mark.parametrize('seed', [11, 12])
def test_part_that_crashes_engines_is_not_sent_on_by_60_hosts(seed):
    check(play(seed, host_count=60))


@pytest.mark.parametrize(
    ('fault', 'seed'),
    [
        ('none', 31),
        ('all restart', 31),
        ('engines end', 31),
        *(('engines fail', seed) for seed in (36, 38)),
    ],
)
def test_copies_of_a_request_that_crashes_engines_are_not_sent_on(fault, seed):
    fleet_ = fleet.Fleet(seed)
    load = Load(fleet_, 1, '/a/x')
    fleet_.run(5_000)
    load.sound(65_000)
    fleet_.run(20_000)
    fleet_.bad_parts = {'copied'}
    load.copies('copied', 65_000)
    FAULTS[fault](fleet_)
    fleet_.run(45_000)
    assert late_arrivals(fleet_, 'copied', 3) <= ALLOWED_ARRIVALS
    before = begun_share(fleet_, 8_000, 24_000)
    assert begun_share(fleet_, 34_000, 64_000) >= before / 2


def play_copies_that_end_all_targets(seed, cut=None):
    """Play three targets that copies end, and that end for other reasons.

    All hosts are killed a second after the third target ended. The hosts in
    ``cut`` are cut off from all targets meanwhile.
    """
    fleet_ = fleet.Fleet(seed, engine_count=3)
    load = Load(fleet_, 1, '/c/x')
    fleet_.run(5_000)
    load.sound(65_000)
    fleet_.run(20_000)
    fleet_.bad_parts = {'copied'}
    load.copies('copied', 65_000)
    end_targets(fleet_)
    restart_after(fleet_, 3, fleet_.nodes)
    if cut is not None:
        fleet_.cut_from_engines(*cut)
        fleet_.at(fleet_.now_ms + 20_000, fleet_.end_cut)
    fleet_.run(45_000)
    return fleet_


def end_targets(fleet_):
    """End a target every few seconds, so that often none is left."""
    alive = [engine for engine in fleet_.engines if engine.is_alive]
    if alive:
        fleet_.end_engine(fleet_.rng.choice(alive))
    due_ms = fleet_.now_ms + fleet_.rng.randint(1_500, 4_000)
    fleet_.at(due_ms, end_targets, fleet_)


@pytest.mark.parametrize(
    ('seed', 'cut'),
    [
        (43, None),
        (44, None),
        (43, (['h1', 'h2'], 'hang')),
        (44, (['h1', 'h2'], 'refused')),
        (45, (['h1', 'h2', 'h3', 'h4', 'h5', 'h6'], 'reset')),
    ],
)
def test_copies_that_end_the_last_targets_are_quarantined(seed, cut):
    fleet_ = play_copies_that_end_all_targets(seed, cut)
    assert len(fleet_.crashes_ms['copied']) <= 4
    assert late_arrivals(fleet_, 'copied', 3) <= ALLOWED_ARRIVALS


@pytest.mark.parametrize('path', ['/a/x', '/b/x'])
def test_two_parts_that_crash_engines_are_not_sent_on(path):
    check(play(21, path=path, bad=2))


@pytest.mark.parametrize('seed', [105, 109])
def test_part_shared_by_two_bad_ones_is_served_after_all_hosts_restart(seed):
    fault = 'all restart early'
    check(play(seed, fault=fault, position=2, path='/b/x', bad=2))
