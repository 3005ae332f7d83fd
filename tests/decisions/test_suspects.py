"""Suspects: requests that may crash targets, isolated or refused."""

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
from tests.decisions import harness

Fault = messages.FaultKind

HELD_ELSEWHERE = claim_messages.HeldElsewhere(
    hosts.HostId('other', 'z1', 1), 'n', False
)


def test_second_crash_on_another_target_quarantines_the_request():
    first, second = harness.one_stage(4), harness.one_stage(4, name='host-2')
    first.send('bad', fingerprint='bad')
    first.advance(60)
    first.fault(first.last_call, Fault.LOST, is_crash=True)
    for fact in harness.facts(first, 'strike'):
        harness.deliver_fact(second, fact, 'host-1')
    second.send('resend', fingerprint='bad')
    assert second.outcome('resend').reason == 'overloaded'
    first.advance(200)
    again = first.last_call
    assert len(first.calls) == 2
    first.advance(60)
    first.fault(again, Fault.LOST, is_crash=True)
    assert first.outcome('bad').reason == 'quarantined'
    harness.deliver_fact(
        second, harness.facts(first, 'quarantine')[0], 'host-1'
    )
    second.send('again', fingerprint='bad')
    assert second.outcome('again').reason == 'quarantined'
    assert [e[0] for e in second.requests.quarantined(0)] == ['bad']
    second.deliver(messages.QuarantineEndRequested('bad'))
    second.send('cleared', fingerprint='bad')
    assert second.last_call.request_id == 'cleared'


@pytest.mark.parametrize('kind, is_sent', [('strike', 1), ('quarantine', 0)])
def test_waiting_suspect_after_a_fact_from_another_host(kind, is_sent):
    host = harness.one_stage(count=4)
    host.send('r1', fingerprint='f')
    host.advance(60)
    host.fault(host.last_call, Fault.LOST, is_crash=True)
    value = {'pipeline': harness.PIPELINE, 'reason': 'x', 'lapse_ms': 9_000}
    quarantine = value if kind == 'quarantine' else None
    fact = coordination_effects.PublishFact(kind, 'f', quarantine, 1)
    harness.deliver_fact(
        host, fact, 'host-1' if quarantine is None else 'host-9'
    )
    host.advance(300)
    assert len(host.calls) == 1 + is_sent


@pytest.mark.parametrize(
    'verdict, expected',
    [
        (claim_messages.Granted(), 'refused_not_run'),
        (HELD_ELSEWHERE, 'unknown'),
    ],
    ids=['never run', 'may have run'],
)
def test_suspect_struck_while_its_claim_is_pending(verdict, expected):
    host = harness.Harness(
        harness.stage('put', is_repeatable=False), name='host-2'
    )
    host.claims.is_held = True
    host.send('again', fingerprint='f', idempotency_key='k')
    value = {'pool': 'put', 'target': 'put-0', 'ran_ms': 60, 'host': 'host-1'}
    strike = coordination_effects.PublishFact('strike', 'f', value, 1)
    harness.deliver_fact(host, strike, 'host-1')
    assert not host.effects_of(effects.AnswerCaller)
    (settled,) = host.claims.held
    host.deliver(attrs.evolve(settled, verdict=verdict))
    assert host.outcome('again').code == expected
    assert not host.calls


@pytest.mark.parametrize('is_quarantined', [False, True])
@pytest.mark.parametrize(
    'row, expected',
    [
        (None, 'refused_not_run'),
        ({'outcome': None}, 'unknown'),
        ({'outcome': {'outcome': 'answered', 'results': {}}}, 'answered'),
    ],
    ids=['never run', 'may run', 'recorded'],
)
def test_refused_suspect_gets_the_outcome_of_its_key(
    is_quarantined, row, expected
):
    stages = harness.stage('find'), harness.stage('put', is_repeatable=False)
    first, host = harness.Harness(*stages), harness.Harness(
        *stages, name='host-2'
    )
    first.send('first', fingerprint='f', idempotency_key='k')
    first.advance(60)
    first.fault(first.last_call, Fault.LOST, is_crash=True)
    (fact,) = harness.facts(first, 'strike')
    if is_quarantined:
        value = {
            'pipeline': harness.PIPELINE,
            'reason': 'x',
            'lapse_ms': 9_000,
        }
        fact = coordination_effects.PublishFact('quarantine', 'f', value, 1)
    harness.deliver_fact(host, fact, 'host-1')
    if row is not None:
        key = records.claim_key('small', harness.PIPELINE, 'k', 'put')
        host.claims.table.rows[key] = row
    host.send('again', fingerprint='f', idempotency_key='k')
    assert host.outcome('again').code == expected
    assert not host.calls


def test_second_crash_after_a_different_time_does_not_quarantine():
    host = harness.one_stage(count=4)
    host.send('unlucky', fingerprint='unlucky')
    host.advance(60)
    host.fault(host.last_call, Fault.LOST, is_crash=True)
    host.advance(200 + 180)
    host.fault(host.last_call, Fault.LOST, is_crash=True)
    assert host.requests.quarantined(host.now_ms) == []
    host.advance(200)
    assert len(host.calls) == 3


def test_requests_beside_the_crashing_one_are_cleared():
    host = harness.one_stage(count=4)
    host.requests.context.directory.by_name['find-0'].limit = 8.0
    for number in range(1, 4):
        health.eject(
            host.requests.context, harness.tracked(host, f'find-{number}'), 0
        )
    host.send('innocent', fingerprint='good')
    host.send('crashing', fingerprint='bad')
    by_id = {call.request_id: call for call in host.calls.values()}
    host.advance(80)
    for call in by_id.values():
        host.fault(call, Fault.LOST, is_crash=True)
    host.advance(1_000)
    target_names = {
        call.target.name
        for call in list(host.calls.values())[2:]
        if call.request_id in ('innocent', 'crashing')
    }
    for call in list(host.calls.values())[2:]:
        if call.request_id == 'crashing':
            host.fault(call, Fault.LOST, is_crash=True)
        else:
            host.reply(call)
    assert len(target_names) == 2
    assert isinstance(host.outcome('innocent'), outcomes.Answered)
    assert host.requests.context.quarantine.strikes('good') == ()
