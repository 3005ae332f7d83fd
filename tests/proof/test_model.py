"""The specifications hold, and the real objects conform to them."""

import random

import pytest

from proof import claim_replay
from proof import claim_simulation
from proof import claim_spec
from proof import document_replay
from proof import document_spec
from proof import lease_spec
from proof import quarantine_spec
from proof import specs

SOUND = [
    case
    for module in (lease_spec, document_spec, quarantine_spec)
    for case in module.cases(specs.Depth.SMALL)
    if case.violates is None
]
FAULTY = [
    case for case in claim_spec.cases(specs.Depth.SMALL) if case.violates
]


@pytest.mark.parametrize('case', SOUND, ids=lambda case: case.name)
def test_specification_holds(case):
    verdict = specs.check(case)
    assert verdict.is_as_expected, verdict


@pytest.mark.parametrize('seed', range(100))
def test_real_claims_conform_to_the_specification(seed):
    protocol = claim_spec.protocol(3)
    simulation = claim_simulation.ClaimSimulation(3)
    labels = []
    for label, state in claim_replay.random_trace(
        protocol, random.Random(seed), 40
    ):
        labels.append(label)
        claim_replay.take_step(simulation, label)
        expected = claim_replay.view_of_state(state)
        assert claim_replay.view_of_simulation(simulation) == expected, labels


@pytest.mark.parametrize('case', FAULTY, ids=lambda case: case.name)
def test_real_claims_reject_traces_of_faulty_rules(case):
    verdict = specs.check(case)
    assert verdict.is_as_expected
    simulation = claim_simulation.ClaimSimulation(2)
    for label in verdict.trace:
        try:
            claim_replay.take_step(simulation, label)
        except (IndexError, StopIteration):
            break
    assert simulation.sent_count <= 1
    assert 'NotRun' not in (h.verdict for h in simulation.hosts if h.sent)


@pytest.mark.parametrize('seed', range(30))
def test_real_documents_conform_to_the_specification(seed):
    protocol = document_spec.protocol(3)
    protocol.initial = protocol.initial._replace(restarts_left=0)
    replay = document_replay.Replay(3)
    for label, state in claim_replay.random_trace(
        protocol, random.Random(seed), 60
    ):
        replay.take_step(label, state)
        expected = [host.in_force for host in state.hosts]
        assert replay.in_force() == expected, label
