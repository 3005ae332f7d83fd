"""The specifications hold, and the real objects follow them."""

import random

import pytest

from proof import claim_replay
from proof import claim_spec
from proof import claim_world
from proof import document_replay
from proof import document_spec
from proof import lease_spec
from proof import quarantine_spec
from proof import specs

CASES = [
    case
    for module in (lease_spec, document_spec, quarantine_spec)
    for case in module.cases(specs.Depth.SMALL)
    if case.violates is None
]
BROKEN = [
    case for case in claim_spec.cases(specs.Depth.SMALL) if case.violates
]


@pytest.mark.parametrize('case', CASES, ids=lambda case: case.name)
def test_specification_holds(case):
    found = specs.check(case)
    assert found.is_as_expected, found


@pytest.mark.parametrize('seed', range(100))
def test_real_claims_follow_the_specification(seed):
    protocol = claim_spec.protocol(3)
    world = claim_world.ClaimWorld(3)
    labels = []
    for label, state in claim_replay.walk(protocol, random.Random(seed), 40):
        labels.append(label)
        claim_replay.take_step(world, label)
        expected = claim_replay.view_of_state(state)
        assert claim_replay.view_of_world(world) == expected, labels


@pytest.mark.parametrize('case', BROKEN, ids=lambda case: case.name)
def test_real_claims_refuse_the_traces_of_broken_rules(case):
    found = specs.check(case)
    assert found.is_as_expected
    world = claim_world.ClaimWorld(2)
    for label in found.trace:
        try:
            claim_replay.take_step(world, label)
        except (IndexError, StopIteration):
            break
    assert world.sent_count <= 1
    assert 'NotRun' not in (h.verdict for h in world.hosts if h.sent)


@pytest.mark.parametrize('seed', range(30))
def test_real_documents_follow_the_specification(seed):
    start = document_spec.protocol(3)
    start.initial = start.initial._replace(restarts_left=0)
    replay = document_replay.Replay(3)
    for label, state in claim_replay.walk(start, random.Random(seed), 60):
        replay.take_step(label, state)
        expected = [host.in_force for host in state.hosts]
        assert replay.in_force() == expected, label
