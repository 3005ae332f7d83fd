"""Hosts that the store serves know each change in time.

Whatever happens to the hosts from which they learn changes, the time since
the store was read adds up over all hops.
"""

import bisect
import collections
import itertools
import random

import pytest

from godwitglade.common import events
from godwitglade.coordination import hosts
from godwitglade.peers import codec
from godwitglade.routing import ages
from godwitglade.routing import bodies
from godwitglade.routing import host as routing_host
from godwitglade.routing import messages
from godwitglade.routing import table_readers
from tests.routing import table_world

READS_PER_S = 2_000
SEEDS = (1, 2, 3)
#: Data centres by number of hosts; the review's nine hosts share one.
FLEETS = {
    '9 in one zone': ['z0'] * 9,
    '10 in 3 zones': ['z0'] * 4 + ['z1'] * 3 + ['z2'] * 3,
    '66 in 5 zones': [f'z{n % 5}' for n in range(66)],
    '195 in 5 zones': [f'z{n % 5}' for n in range(195)],
}
START_MS, ROUND_MS, TROUBLE_MS, ROUNDS = 12_000, 9_000, 4_000, 3


def reject(world, names):
    world.set_way(names, table_world.Way.REJECTED)


def silence(world, names):
    world.set_way(names, table_world.Way.SILENT)


def serve(world, names):
    world.set_way(names, table_world.Way.SERVED)


def go_back(world, _names):
    world.go_back()


def nothing(_world, _names):
    pass


TROUBLES = {
    'readers rejected': (reject, serve),
    'readers silent to the store': (silence, serve),
    'readers frozen': (table_world.World.freeze, table_world.World.wake),
    'readers cut off': (table_world.World.cut, table_world.World.join),
    'readers restarted': (table_world.World.restart, nothing),
    'store goes back': (go_back, nothing),
}


def readers(world):
    """Return the hosts that follow the tables, not all of a zone."""
    zones = collections.Counter(n.host.zone for n in world.nodes.values())
    names = [world.readers(zone) for zone in zones]
    few = [some for some in names if len(some) <= 3]
    return list(itertools.chain.from_iterable(few))


def one_of_each_zone(world):
    by_zone = {world.nodes[n].host.zone: n for n in readers(world)}
    return list(by_zone.values())


def third_of_hosts(world):
    """Return the readers, and others up to the share of 0.35."""
    chosen = readers(world)
    others = [name for name in world.nodes if name not in chosen]
    world.rng.shuffle(others)
    return (chosen + others)[: int(0.35 * len(world.nodes))]


def play(zones, trouble, choose, seed):
    """Make changes while readers are in trouble, in a few rounds."""
    world = table_world.World(zones, seed)
    begin, end = TROUBLES[trouble]

    def disturb():
        names = choose(world)
        begin(world, names)
        world.at(world.now_ms + TROUBLE_MS, end, world, names)

    for number in range(ROUNDS):
        at_ms = START_MS + number * ROUND_MS + world.rng.randint(0, 2_500)
        world.at(at_ms, disturb)
        due_ms = at_ms
        while due_ms < at_ms + TROUBLE_MS:
            due_ms += world.rng.randint(50, 900)
            change = world.rng.choice(
                (world.change_target, world.change_document)
            )
            world.at(due_ms, change)
    world.run(START_MS + ROUNDS * ROUND_MS + 3_000)
    return world


CASES = [
    *itertools.product(
        ['9 in one zone', '10 in 3 zones'],
        TROUBLES,
        [readers, one_of_each_zone, third_of_hosts],
        SEEDS,
    ),
    *itertools.product(
        ['66 in 5 zones'], TROUBLES, [readers, third_of_hosts], SEEDS[:1]
    ),
    *itertools.product(
        ['195 in 5 zones'], TROUBLES, [third_of_hosts], SEEDS[:1]
    ),
]


@pytest.mark.parametrize(('fleet', 'trouble', 'choose', 'seed'), CASES)
def test_hosts_in_touch_know_changes_in_time_without_their_readers(
    fleet, trouble, choose, seed
):
    world = play(FLEETS[fleet], trouble, choose, seed)
    assert world.checks
    assert not world.late


def busiest_second(times_ms):
    """Return the most calls within any second."""
    return max(
        bisect.bisect_left(times_ms, ms + 1_000) - number
        for number, ms in enumerate(times_ms)
    )


@pytest.mark.parametrize(
    'trouble',
    ['readers rejected', 'readers silent to the store', 'readers cut off'],
)
def test_hosts_that_lose_their_readers_at_once_do_not_overload_the_store(
    trouble,
):
    world = table_world.World(FLEETS['195 in 5 zones'])
    world.run(8_000)
    world.calls_ms.clear()
    world.at(START_MS, TROUBLES[trouble][0], world, readers(world))
    for due_ms in range(START_MS, START_MS + 8_000, 500):
        world.at(due_ms, world.change_target)
    world.run(START_MS + 10_000)
    assert busiest_second(world.calls_ms) < READS_PER_S
    assert world.checks and not world.late


def test_hosts_share_again_once_other_hosts_follow_the_tables():
    world = table_world.World(FLEETS['195 in 5 zones'])
    world.run(START_MS)
    lost = readers(world)
    reject(world, lost)
    world.run(START_MS + 5_000)
    assert len(world.readers()) <= len(lost) + 5 * table_readers.SUBSTITUTES
    serve(world, lost)
    world.run(START_MS + 15_000)
    assert sorted(world.readers()) == sorted(lost)


ODD_AGES = [-1, -(2**62), 2**62, 1.5, '0', True, [], float('inf')]


@pytest.mark.parametrize('age', [None, *ODD_AGES])
@pytest.mark.parametrize('field', ['targets_age_ms', 'document_age_ms'])
def test_reply_without_a_possible_age_is_never_taken_for_a_fresh_one(
    field, age
):
    world = table_world.World(FLEETS['9 in one zone'])
    told = {'targets_age_ms': 0, 'document_age_ms': 0} | {field: age}
    world.answer_of = bodies.TablesKnown(version=1, **told)
    world.run(9_000)
    assert len(world.readers()) == 9
    logged = world.logged.count(events.Event.TABLES_AGE_INVALID)
    is_odd = age is not None
    # Once for each pair of hosts.
    assert (0 < logged <= 9 * 8) if is_odd else not logged


@pytest.mark.parametrize('age', ['-1', '1.5', '"0"', 'true', '[]', 'null'])
def test_reply_with_an_odd_age_can_be_decoded(age):
    raw = '{"kind":"tables_known","body":{"targets_age_ms":%s}}' % age
    body = codec.Codec(bodies.KINDS).decode(raw.encode()).body
    assert not ages.is_age(body.targets_age_ms)


@pytest.mark.parametrize('is_told', [False, True])
def test_list_of_targets_is_as_old_as_its_reading(is_told):
    components = routing_host.make_components(
        hosts.HostId('h1', 'z1', 1),
        '10.0.0.1:1',
        random.Random(1),
        routing_host.Settings(),
    )
    host = routing_host.Host(components)
    read = {'is_told': is_told, 'read_from_ms': 4_000}
    host.handle(messages.TargetsRead((), 1, **read), 6_500)
    assert components.versions.confirmed_ms == 4_000
    host.handle(messages.TargetsChanged((), (), 2, **read), 7_000)
    assert components.versions.confirmed_ms == 4_000
    host.handle(messages.TargetsChanged((), (), 3), 9_000)
    assert components.versions.confirmed_ms == 4_000
