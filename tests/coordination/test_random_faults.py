"""Random faults, together and twice, on membership, facts and documents."""

import pytest

from bench import fleet
from godwitglade.coordination import effects

ZONES = ('z0', 'z1', 'z2')


def act(made, source):
    """Make one random change of what works."""
    name = source.choice(sorted(made.nodes))
    match source.randrange(9):
        case 0:
            made.stop(name)
        case 1 | 2:
            made.stop(name)
            made.start(name)
        case 3:
            made.cut_zones = set(source.sample(ZONES, source.randrange(3)))
        case 4:
            made.cut_from_store = set(source.sample(ZONES, 1))
        case 5:
            made.store.is_down = not made.store.is_down
        case 6:
            made.loss = source.choice((0.0, 0.01, 0.3))
        case 7 if made.nodes[name].is_up:
            fact = effects.PublishFact('ejected', name, True, 30_000)
            node = made.nodes[name]
            made.carry_out(node, node.facts.publish(fact, made.now_ms))
        case _:
            pipeline = source.choice(('scans', 'notes'))
            texts = (None, 'a: 1\n', 'a: 2\nb: 1\n')
            made.store.change(pipeline, source.choice(texts))


def heal(made):
    made.cut_zones = made.cut_from_store = set()
    made.store.is_down = False
    made.loss = 0.0
    for name, node in list(made.nodes.items()):
        if not node.is_up:
            made.start(name)


@pytest.mark.parametrize('seed', range(1, 7))
def test_everything_agrees_after_random_faults(seed):
    made = fleet.Fleet(9, 3, seed=seed)
    made.store.change('scans', 'a: 0\n')
    made.run(5_000)
    for _ in range(60):
        act(made, made.random)
        made.run(made.random.randrange(6_000))
        numbers = [node.documents.sequence for node in made.up()]
        assert max(numbers, default=0) <= len(made.store.changes)
    heal(made)
    made.run(150_000)
    expected = {
        row.key.key: (row.version, row.value['text'])
        for row in made.store.documents.values()
    }
    for node in made.up():
        held = {
            one.pipeline: (one.version, one.text)
            for one in node.documents.held()
        }
        assert node.documents.is_ready
        assert held == expected
        assert len(node.members.live()) == 9
        assert len(node.facts) == 0
