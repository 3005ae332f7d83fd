"""Spread of documents under loss, cuts, restarts and outages."""

import pytest

from bench import fleet
from godwitglade.coordination import bodies
from godwitglade.coordination import effects
from godwitglade.coordination import messages
from godwitglade.coordination import patches
from godwitglade.coordination import versioned


def make_fleet(host_count=9, zone_count=3, loss=0.0, seed=1, warm_ms=6_000):
    made = fleet.Fleet(host_count, zone_count, loss, seed)
    made.store.change('scans', 'text 1')
    made.run(warm_ms)
    return made


def run_until_in_force(made, sequence, limit_ms=30_000):
    everyone = len(made.up())
    return made.run(limit_ms, lambda: made.in_force(sequence) == everyone)


@pytest.mark.parametrize(
    'host_count, zone_count, loss, limit_ms',
    [(9, 3, 0.0, 2_000), (9, 3, 0.01, 4_000), (48, 4, 0.01, 6_000)],
)
def test_change_is_in_force_everywhere(host_count, zone_count, loss, limit_ms):
    made = make_fleet(host_count, zone_count, loss)
    for number in range(5):
        sequence = made.store.change('scans', f'text {number}')
        assert run_until_in_force(made, sequence) <= limit_ms
        assert {node.versions['scans'] for node in made.up()} == {number + 2}


def test_removal_reaches_every_host():
    made = make_fleet()
    sequence = made.store.change('scans', None)
    run_until_in_force(made, sequence)
    for node in made.up():
        assert [one.text for one in node.documents.held()] == [None]


def test_cut_zone_keeps_its_version_and_catches_up():
    made = make_fleet()
    made.cut_zones = made.cut_from_store = {'z1'}
    for number in range(300):
        sequence = made.store.change('scans', f'text {number}')
    made.run(20_000)
    assert made.in_force(sequence) == 6
    assert made.in_force(1) == 9
    made.cut_zones, made.cut_from_store = set(), set()
    assert run_until_in_force(made, sequence) < 10_000


def test_zone_cut_only_from_the_platform_hears_from_other_zones():
    made = make_fleet()
    made.cut_from_store = {'z1'}
    sequence = made.store.change('scans', 'text 2')
    assert run_until_in_force(made, sequence) < 10_000


def test_restart_with_platform_down_takes_the_highest_of_the_peers():
    made = make_fleet()
    sequence = made.store.change('scans', 'text 2')
    run_until_in_force(made, sequence)
    made.store.is_down = True
    made.stop('h4')
    made.run(2_000)
    node = made.start('h4')
    assert not node.documents.is_ready
    made.run(10_000, lambda: node.documents.is_ready)
    assert node.documents.sequence == sequence
    assert node.versions == {'scans': 2}


def test_many_documents_are_transferred_page_by_page():
    made = make_fleet()
    for number in range(20):
        sequence = made.store.change(f'p{number}', 'text')
    run_until_in_force(made, sequence)
    made.store.is_down = True
    made.stop('h4')
    node = made.start('h4')
    made.run(10_000, lambda: node.documents.is_ready)
    assert len(node.documents.held()) == 21
    assert node.documents.sequence == sequence


def test_restart_of_all_hosts_with_platform_down_takes_the_snapshot():
    made = make_fleet()
    assert made.store.objects
    made.store.is_down = True
    for name in list(made.nodes):
        made.stop(name)
    for name in list(made.nodes):
        made.start(name)
    assert run_until_in_force(made, 1) < 15_000


def test_restart_of_all_hosts_without_any_source_is_not_ready():
    made = make_fleet()
    made.store.is_down = True
    made.store.objects.clear()
    for name in list(made.nodes):
        made.stop(name)
        made.start(name)
    made.run(20_000)
    assert made.in_force(0) == 0
    made.store.is_down = False
    assert run_until_in_force(made, 1) < 10_000


def test_late_and_repeated_changes_are_ignored():
    made = make_fleet()
    sequence = made.store.change('scans', 'text 2')
    run_until_in_force(made, sequence)
    node = made.nodes['h0']
    old = (bodies.Change(1, 'scans', 1, 'text 1'),) * 2
    exchange = bodies.Exchange(
        made.nodes['h1'].members.table.own, sequence, changes=old
    )
    assert node.documents.receive(exchange, made.now_ms) == []
    given = messages.PeerReply('documents:peer:1', bodies.DocumentsGiven(1))
    assert node.documents.handle(given, made.now_ms) == []
    assert node.documents.sequence == sequence


def test_higher_number_on_a_message_makes_the_receiver_catch_up():
    made = make_fleet()
    node = made.nodes['h0']
    found = node.documents.catch_up_to(2, made.now_ms)
    assert [type(one) for one in found] == [effects.ReadRows]
    assert node.documents.catch_up_to(1, made.now_ms) == []


def test_whole_document_never_replaces_a_later_version():
    texts = versioned.VersionedTexts()
    newer = bodies.HeldDocument('scans', 3, 9, 'text 3')
    assert texts.restore(newer)
    texts.advance(9)
    assert not texts.restore(bodies.HeldDocument('scans', 2, 8, 'text 2'))
    texts.advance(8)
    assert (texts.sequence, texts.get('scans')) == (9, newer)


def test_patch_without_its_base_is_replaced_by_the_whole_text():
    made = make_fleet()
    patch = patches.make('other text', 'text 2')
    sequence = made.store.change('scans', 'text 2', patch)
    assert run_until_in_force(made, sequence) < 10_000
    assert {node.versions['scans'] for node in made.up()} == {2}
