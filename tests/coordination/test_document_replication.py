"""Tests of document replication with loss, partitions and restarts."""

import pytest

from bench import fleet
from godwitglade.coordination import bodies
from godwitglade.coordination import effects
from godwitglade.coordination import messages
from godwitglade.coordination import patches
from godwitglade.coordination import versioned_texts


def make_fleet(host_count=9, zone_count=3, loss=0.0, seed=1, warm_ms=6_000):
    cluster = fleet.Fleet(host_count, zone_count, loss, seed)
    cluster.store.change('scans', 'text 1')
    cluster.run(warm_ms)
    return cluster


def run_until_in_force(cluster, sequence, limit_ms=30_000):
    expected_count = len(cluster.running_nodes())
    return cluster.run(
        limit_ms, lambda: cluster.count_in_force(sequence) == expected_count
    )


@pytest.mark.parametrize(
    'host_count, zone_count, loss, limit_ms',
    [(9, 3, 0.0, 2_000), (9, 3, 0.01, 4_000), (48, 4, 0.01, 6_000)],
)
def test_change_is_in_force_everywhere(host_count, zone_count, loss, limit_ms):
    cluster = make_fleet(host_count, zone_count, loss)
    for number in range(5):
        sequence = cluster.store.change('scans', f'text {number}')
        assert run_until_in_force(cluster, sequence) <= limit_ms
        assert {
            node.versions['scans'] for node in cluster.running_nodes()
        } == {number + 2}


def test_removal_reaches_every_host():
    cluster = make_fleet()
    sequence = cluster.store.change('scans', None)
    run_until_in_force(cluster, sequence)
    for node in cluster.running_nodes():
        assert [
            document.text for document in node.documents.stored_documents()
        ] == [None]


def test_partitioned_zone_keeps_its_version_and_catches_up():
    cluster = make_fleet()
    cluster.partitioned_zones = cluster.zones_without_store = {'z1'}
    for number in range(300):
        sequence = cluster.store.change('scans', f'text {number}')
    cluster.run(20_000)
    assert cluster.count_in_force(sequence) == 6
    assert cluster.count_in_force(1) == 9
    cluster.partitioned_zones, cluster.zones_without_store = set(), set()
    assert run_until_in_force(cluster, sequence) < 10_000


def test_zone_cut_only_from_the_platform_receives_from_other_zones():
    cluster = make_fleet()
    cluster.zones_without_store = {'z1'}
    sequence = cluster.store.change('scans', 'text 2')
    assert run_until_in_force(cluster, sequence) < 10_000


def test_restart_with_platform_down_restores_the_latest_peer_state():
    cluster = make_fleet()
    sequence = cluster.store.change('scans', 'text 2')
    run_until_in_force(cluster, sequence)
    cluster.store.is_down = True
    cluster.stop('h4')
    cluster.run(2_000)
    node = cluster.start('h4')
    assert not node.documents.is_ready
    cluster.run(10_000, lambda: node.documents.is_ready)
    assert node.documents.sequence == sequence
    assert node.versions == {'scans': 2}


def test_many_documents_are_transferred_page_by_page():
    cluster = make_fleet()
    for number in range(20):
        sequence = cluster.store.change(f'p{number}', 'text')
    run_until_in_force(cluster, sequence)
    cluster.store.is_down = True
    cluster.stop('h4')
    node = cluster.start('h4')
    cluster.run(10_000, lambda: node.documents.is_ready)
    assert len(node.documents.stored_documents()) == 21
    assert node.documents.sequence == sequence


def test_restart_of_all_hosts_with_platform_down_restores_the_snapshot():
    cluster = make_fleet()
    assert cluster.store.objects
    cluster.store.is_down = True
    for name in list(cluster.nodes):
        cluster.stop(name)
    for name in list(cluster.nodes):
        cluster.start(name)
    assert run_until_in_force(cluster, 1) < 15_000


def test_restart_of_all_hosts_without_any_source_is_not_ready():
    cluster = make_fleet()
    cluster.store.is_down = True
    cluster.store.objects.clear()
    for name in list(cluster.nodes):
        cluster.stop(name)
        cluster.start(name)
    cluster.run(20_000)
    assert cluster.count_in_force(0) == 0
    cluster.store.is_down = False
    assert run_until_in_force(cluster, 1) < 10_000


def test_late_and_repeated_changes_are_ignored():
    cluster = make_fleet()
    sequence = cluster.store.change('scans', 'text 2')
    run_until_in_force(cluster, sequence)
    node = cluster.nodes['h0']
    old = (bodies.Change(1, 'scans', 1, 'text 1'),) * 2
    exchange = bodies.Exchange(
        cluster.nodes['h1'].members.table.own, sequence, changes=old
    )
    assert node.documents.receive(exchange, cluster.now_ms) == []
    reply = messages.PeerReply('documents:peer:1', bodies.DocumentsReply(1))
    assert node.documents.handle(reply, cluster.now_ms) == []
    assert node.documents.sequence == sequence


def test_higher_sequence_in_a_message_makes_the_receiver_catch_up():
    cluster = make_fleet()
    node = cluster.nodes['h0']
    new_effects = node.documents.catch_up_to(2, cluster.now_ms)
    assert [type(effect) for effect in new_effects] == [effects.ReadRows]
    assert node.documents.catch_up_to(1, cluster.now_ms) == []


def test_full_document_never_replaces_a_later_version():
    texts = versioned_texts.VersionedTexts()
    newer = bodies.StoredDocument('scans', 3, 9, 'text 3')
    assert texts.restore(newer)
    texts.advance(9)
    assert not texts.restore(bodies.StoredDocument('scans', 2, 8, 'text 2'))
    texts.advance(8)
    assert (texts.sequence, texts.get('scans')) == (9, newer)


def test_patch_without_its_base_is_replaced_by_the_full_text():
    cluster = make_fleet()
    patch = patches.make('other text', 'text 2')
    sequence = cluster.store.change('scans', 'text 2', patch)
    assert run_until_in_force(cluster, sequence) < 10_000
    assert {node.versions['scans'] for node in cluster.running_nodes()} == {2}
