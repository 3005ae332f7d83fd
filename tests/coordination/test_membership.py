"""Membership under loss, pauses, restarts and cut zones."""

import attrs

from bench import fleet
from godwitglade.coordination import bodies
from godwitglade.coordination import members

STATE = bodies.MemberState


def make_fleet(host_count=9, zone_count=3, loss=0.0, warm_ms=8_000):
    made = fleet.Fleet(host_count, zone_count, loss)
    made.run(warm_ms)
    return made


def states_of(made, name):
    """Return the states that the other running hosts hold of ``name``."""
    return {
        node.members.table.records.get(name).state
        for node in made.up()
        if node.host.name != name
    }


def test_every_host_learns_every_other():
    made = make_fleet(48, 4, loss=0.01, warm_ms=30_000)
    assert {len(node.members.live()) for node in made.up()} == {48}
    assert len(made.nodes['h0'].members.live('z1')) == 12


def test_stopped_host_is_gone_and_its_next_life_is_live():
    made = make_fleet()
    made.stop('h3')
    made.run(20_000)
    assert states_of(made, 'h3') == {STATE.GONE}
    node = made.start('h3')
    made.run(10_000)
    assert states_of(made, 'h3') == {STATE.LIVE}
    assert node.members.table.own.host.incarnation == 2


def test_false_suspicion_is_refuted():
    made = make_fleet()
    made.nodes['h0'].members.table.set_state('h3', STATE.SUSPECT, made.now_ms)
    made.run(10_000)
    assert states_of(made, 'h3') == {STATE.LIVE}
    assert made.nodes['h3'].members.table.own.refutation > 0


def test_no_live_host_is_declared_gone_at_1_percent_loss():
    made = make_fleet(48, 4, loss=0.01, warm_ms=40_000)
    for _ in range(60):
        made.run(1_000)
        for name in made.nodes:
            assert STATE.GONE not in states_of(made, name)


def test_leaving_is_announced_and_not_in_service():
    made = make_fleet()
    node = made.nodes['h3']
    made.carry_out(node, node.members.leave(made.now_ms))
    made.run(5_000)
    assert states_of(made, 'h3') == {STATE.LEAVING}
    names = {one.host.name for one in made.nodes['h0'].members.live()}
    assert 'h3' not in names


def test_cut_zone_is_gone_and_comes_back():
    made = make_fleet()
    made.cut_zones = {'z1'}
    made.run(30_000)
    assert len(made.nodes['h0'].members.live()) == 6
    assert len(made.nodes['h1'].members.live()) == 3
    made.cut_zones = set()
    made.run(60_000)
    assert {len(node.members.live()) for node in made.up()} == {9}


def test_flapping_host_is_held_back():
    own = _record('h0')
    table = members.Table(own)
    for incarnation in range(1, members.FLAP_LIMIT + 2):
        now_ms = incarnation * 5_000
        table.merge(_record('h1', incarnation), now_ms)
        assert table.set_state('h1', STATE.GONE, now_ms + 1)
    last = _record('h1', 9)
    table.merge(last, now_ms + 2)
    assert len(table.live(None, now_ms + 3)) == 1
    later_ms = now_ms + members.FLAP_HOLD_MS + 3
    assert len(table.live(None, later_ms)) == 2


def test_older_life_never_replaces_a_newer_one():
    table = members.Table(_record('h0'))
    assert table.merge(_record('h1', 3), 1)
    gone = attrs.evolve(_record('h1', 2), state=STATE.GONE, refutation=9)
    assert not table.merge(gone, 2)
    assert table.records.get('h1').state is STATE.LIVE


def test_messages_a_second_do_not_grow_with_the_fleet():
    counts = []
    for host_count in (9, 48):
        made = make_fleet(host_count, 3, warm_ms=20_000)
        sent = []
        made.on_message = lambda way, body: sent.append(way)
        made.run(10_000)
        counts.append(sent.count('request') / host_count / 10)
    assert max(counts) <= 1.3


def _record(name, incarnation=1):
    host = fleet.hosts.HostId(name, 'z0', incarnation)
    return bodies.MemberRecord(host, f'{name}:1')
