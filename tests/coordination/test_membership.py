"""Tests of membership with loss, restarts and partitioned zones."""

import attrs

from bench import fleet
from godwitglade.coordination import bodies
from godwitglade.coordination import members

STATE = bodies.MemberState


def make_fleet(host_count=9, zone_count=3, loss=0.0, warm_ms=8_000):
    cluster = fleet.Fleet(host_count, zone_count, loss)
    cluster.run(warm_ms)
    return cluster


def states_of(cluster, name):
    """Return the states of ``name`` on the other running hosts."""
    return {
        node.members.table.records.get(name).state
        for node in cluster.running_nodes()
        if node.host.name != name
    }


def test_every_host_discovers_every_other():
    cluster = make_fleet(48, 4, loss=0.01, warm_ms=30_000)
    assert {len(node.members.live()) for node in cluster.running_nodes()} == {
        48
    }
    assert len(cluster.nodes['h0'].members.live('z1')) == 12


def test_stopped_host_is_gone_and_its_next_incarnation_is_live():
    cluster = make_fleet()
    cluster.stop('h3')
    cluster.run(20_000)
    assert states_of(cluster, 'h3') == {STATE.GONE}
    node = cluster.start('h3')
    cluster.run(10_000)
    assert states_of(cluster, 'h3') == {STATE.LIVE}
    assert node.members.table.own.host.incarnation == 2


def test_false_suspicion_is_refuted():
    cluster = make_fleet()
    cluster.nodes['h0'].members.table.set_state(
        'h3', STATE.SUSPECT, cluster.now_ms
    )
    cluster.run(10_000)
    assert states_of(cluster, 'h3') == {STATE.LIVE}
    assert cluster.nodes['h3'].members.table.own.refutation > 0


def test_no_live_host_is_declared_gone_at_1_percent_loss():
    cluster = make_fleet(48, 4, loss=0.01, warm_ms=40_000)
    for _ in range(60):
        cluster.run(1_000)
        for name in cluster.nodes:
            assert STATE.GONE not in states_of(cluster, name)


def test_leaving_host_is_announced_and_not_in_service():
    cluster = make_fleet()
    node = cluster.nodes['h3']
    cluster.carry_out(node, node.members.leave(cluster.now_ms))
    cluster.run(5_000)
    assert states_of(cluster, 'h3') == {STATE.LEAVING}
    names = {member.host.name for member in cluster.nodes['h0'].members.live()}
    assert 'h3' not in names


def test_partitioned_zone_is_gone_and_rejoins():
    cluster = make_fleet()
    cluster.partitioned_zones = {'z1'}
    cluster.run(30_000)
    assert len(cluster.nodes['h0'].members.live()) == 6
    assert len(cluster.nodes['h1'].members.live()) == 3
    cluster.partitioned_zones = set()
    cluster.run(60_000)
    assert {len(node.members.live()) for node in cluster.running_nodes()} == {
        9
    }


def test_flapping_host_is_damped():
    own = _make_record('h0')
    table = members.MemberTable(own)
    for incarnation in range(1, members.FLAP_LIMIT + 2):
        now_ms = incarnation * 5_000
        table.merge(_make_record('h1', incarnation), now_ms)
        assert table.set_state('h1', STATE.GONE, now_ms + 1)
    last = _make_record('h1', 9)
    table.merge(last, now_ms + 2)
    assert len(table.live(None, now_ms + 3)) == 1
    later_ms = now_ms + members.FLAP_DAMPING_MS + 3
    assert len(table.live(None, later_ms)) == 2


def test_older_incarnation_never_replaces_a_newer_one():
    table = members.MemberTable(_make_record('h0'))
    assert table.merge(_make_record('h1', 3), 1)
    gone = attrs.evolve(_make_record('h1', 2), state=STATE.GONE, refutation=9)
    assert not table.merge(gone, 2)
    assert table.records.get('h1').state is STATE.LIVE


def test_message_rate_per_host_is_independent_of_fleet_size():
    counts = []
    for host_count in (9, 48):
        cluster = make_fleet(host_count, 3, warm_ms=20_000)
        sent = []
        cluster.on_message = lambda way, body: sent.append(way)
        cluster.run(10_000)
        counts.append(sent.count('request') / host_count / 10)
    assert max(counts) <= 1.3


def _make_record(name, incarnation=1):
    host = fleet.hosts.HostId(name, 'z0', incarnation)
    return bodies.MemberRecord(host, f'{name}:1')
