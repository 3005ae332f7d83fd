"""Tests that hosts converge after random, overlapping and repeated faults."""

import pytest

from bench import fleet
from godwitglade.coordination import effects

ZONES = ('z0', 'z1', 'z2')


def inject_fault(cluster, rng):
    """Apply one random fault, recovery, fact or document change."""
    name = rng.choice(sorted(cluster.nodes))
    match rng.randrange(9):
        case 0:
            cluster.stop(name)
        case 1 | 2:
            cluster.stop(name)
            cluster.start(name)
        case 3:
            cluster.partitioned_zones = set(
                rng.sample(ZONES, rng.randrange(3))
            )
        case 4:
            cluster.zones_without_store = set(rng.sample(ZONES, 1))
        case 5:
            cluster.store.is_down = not cluster.store.is_down
        case 6:
            cluster.loss = rng.choice((0.0, 0.01, 0.3))
        case 7 if cluster.nodes[name].is_up:
            fact = effects.PublishFact('ejected', name, True, 30_000)
            node = cluster.nodes[name]
            cluster.carry_out(node, node.facts.publish(fact, cluster.now_ms))
        case _:
            pipeline = rng.choice(('scans', 'notes'))
            texts = (None, 'a: 1\n', 'a: 2\nb: 1\n')
            cluster.store.change(pipeline, rng.choice(texts))


def remove_faults(cluster):
    cluster.partitioned_zones = cluster.zones_without_store = set()
    cluster.store.is_down = False
    cluster.loss = 0.0
    for name, node in list(cluster.nodes.items()):
        if not node.is_up:
            cluster.start(name)


@pytest.mark.parametrize('seed', range(1, 7))
def test_hosts_converge_after_random_faults(seed):
    cluster = fleet.Fleet(9, 3, seed=seed)
    cluster.store.change('scans', 'a: 0\n')
    cluster.run(5_000)
    for _ in range(60):
        inject_fault(cluster, cluster.random)
        cluster.run(cluster.random.randrange(6_000))
        numbers = [node.documents.sequence for node in cluster.running_nodes()]
        assert max(numbers, default=0) <= len(cluster.store.changes)
    remove_faults(cluster)
    cluster.run(150_000)
    expected = {
        row.key.key: (row.version, row.value['text'])
        for row in cluster.store.documents.values()
    }
    for node in cluster.running_nodes():
        actual = {
            document.pipeline: (document.version, document.text)
            for document in node.documents.stored_documents()
        }
        assert node.documents.is_ready
        assert actual == expected
        assert len(node.members.live()) == 9
        assert len(node.facts) == 0
