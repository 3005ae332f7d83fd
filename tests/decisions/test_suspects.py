"""Suspects: requests that may crash targets, run apart or refused."""

import attrs
import pytest

from godwitglade.coordination import claim_messages
from godwitglade.coordination import effects as coordination_effects
from godwitglade.coordination import hosts
from godwitglade.decisions import effects
from godwitglade.decisions import health
from godwitglade.decisions import messages
from godwitglade.decisions import outcomes
from godwitglade.decisions import records
from tests.decisions import rig

Fault = messages.FaultKind

HELD_ELSEWHERE = claim_messages.HeldElsewhere(
    hosts.HostId('other', 'z1', 1), 'n', False
)


def test_crash_runs_suspects_on_other_targets_and_condemns_one():
    first, second = rig.one_stage(4), rig.one_stage(4, name='host-2')
    first.send('bad', fingerprint='bad')
    first.advance(60)
    first.fault(first.last_call, Fault.LOST, is_crash=True)
    for fact in rig.facts(first, 'strike'):
        rig.learn(second, fact, 'host-1')
    second.send('resend', fingerprint='bad')
    assert second.outcome('resend').reason == 'overloaded'
    first.advance(200)
    again = first.last_call
    assert len(first.calls) == 2
    first.advance(60)
    first.fault(again, Fault.LOST, is_crash=True)
    assert first.outcome('bad').reason == 'quarantined'
    rig.learn(second, rig.facts(first, 'quarantine')[0], 'host-1')
    second.send('again', fingerprint='bad')
    assert second.outcome('again').reason == 'quarantined'
    assert [e[0] for e in second.requests.quarantined(0)] == ['bad']
    second.tell(messages.QuarantineCleared('bad'))
    second.send('cleared', fingerprint='bad')
    assert second.last_call.request_id == 'cleared'


@pytest.mark.parametrize('kind, is_sent', [('strike', 1), ('quarantine', 0)])
def test_suspect_that_another_host_judged_meanwhile(kind, is_sent):
    made = rig.one_stage(count=4)
    made.send('r1', fingerprint='f')
    made.advance(60)
    made.fault(made.last_call, Fault.LOST, is_crash=True)
    value = {'pipeline': rig.PIPELINE, 'reason': 'x', 'lapse_ms': 9_000}
    sentence = value if kind == 'quarantine' else None
    fact = coordination_effects.PublishFact(kind, 'f', sentence, 1)
    rig.learn(made, fact, 'host-1' if sentence is None else 'host-9')
    made.advance(300)
    assert len(made.calls) == 1 + is_sent


@pytest.mark.parametrize(
    'verdict, expected',
    [
        (claim_messages.Granted(), 'refused_not_run'),
        (HELD_ELSEWHERE, 'unknown'),
    ],
    ids=['never run', 'may have run'],
)
def test_suspect_judged_while_its_claim_is_under_way(verdict, expected):
    made = rig.Rig(rig.stage('put', is_repeatable=False), name='host-2')
    made.claims.is_held = True
    made.send('again', fingerprint='f', idempotency_key='k')
    value = {'pool': 'put', 'target': 'put-0', 'ran_ms': 60, 'host': 'host-1'}
    strike = coordination_effects.PublishFact('strike', 'f', value, 1)
    rig.learn(made, strike, 'host-1')
    assert not made.of(effects.AnswerCaller)
    (settled,) = made.claims.held
    made.tell(attrs.evolve(settled, verdict=verdict))
    assert made.outcome('again').code == expected
    assert not made.calls


@pytest.mark.parametrize('is_condemned', [False, True])
@pytest.mark.parametrize(
    'row, expected',
    [
        (None, 'refused_not_run'),
        ({'outcome': None}, 'unknown'),
        ({'outcome': {'outcome': 'answered', 'results': {}}}, 'answered'),
    ],
    ids=['never run', 'may run', 'recorded'],
)
def test_refused_suspect_is_told_what_its_key_tells(
    is_condemned, row, expected
):
    stages = rig.stage('find'), rig.stage('put', is_repeatable=False)
    first, made = rig.Rig(*stages), rig.Rig(*stages, name='host-2')
    first.send('first', fingerprint='f', idempotency_key='k')
    first.advance(60)
    first.fault(first.last_call, Fault.LOST, is_crash=True)
    (fact,) = rig.facts(first, 'strike')
    if is_condemned:
        value = {'pipeline': rig.PIPELINE, 'reason': 'x', 'lapse_ms': 9_000}
        fact = coordination_effects.PublishFact('quarantine', 'f', value, 1)
    rig.learn(made, fact, 'host-1')
    if row is not None:
        key = records.claim_key('small', rig.PIPELINE, 'k', 'put')
        made.claims.table.rows[key] = row
    made.send('again', fingerprint='f', idempotency_key='k')
    assert made.outcome('again').code == expected
    assert not made.calls


def test_second_crash_after_quite_another_time_does_not_condemn():
    made = rig.one_stage(count=4)
    made.send('unlucky', fingerprint='unlucky')
    made.advance(60)
    made.fault(made.last_call, Fault.LOST, is_crash=True)
    made.advance(200 + 180)
    made.fault(made.last_call, Fault.LOST, is_crash=True)
    assert made.requests.quarantined(made.now_ms) == []
    made.advance(200)
    assert len(made.calls) == 3


def test_requests_beside_a_crashing_one_are_cleared():
    made = rig.one_stage(count=4)
    made.requests.context.directory.by_name['find-0'].limit = 8.0
    for number in range(1, 4):
        health.eject(
            made.requests.context, rig.tracked(made, f'find-{number}'), 0
        )
    made.send('innocent', fingerprint='good')
    made.send('crashing', fingerprint='bad')
    by_id = {call.request_id: call for call in made.calls.values()}
    made.advance(80)
    for call in by_id.values():
        made.fault(call, Fault.LOST, is_crash=True)
    made.advance(1_000)
    lanes = {
        call.target.name
        for call in list(made.calls.values())[2:]
        if call.request_id in ('innocent', 'crashing')
    }
    for call in list(made.calls.values())[2:]:
        if call.request_id == 'crashing':
            made.fault(call, Fault.LOST, is_crash=True)
        else:
            made.reply(call)
    assert len(lanes) == 2
    assert isinstance(made.outcome('innocent'), outcomes.Answered)
    assert made.requests.context.quarantine.strikes('good') == ()
