"""Requests: order of stages, matching of replies, final outcomes."""

import attrs
import pytest

from godwitglade.coordination import claim_messages
from godwitglade.coordination import effects as coordination_effects
from godwitglade.decisions import documents
from godwitglade.decisions import effects
from godwitglade.decisions import messages
from godwitglade.decisions import outcomes
from tests.decisions import harness

Fault = messages.FaultKind
GENERATE = documents.StageKind.GENERATE


def two_stages(**options):
    return harness.Harness(
        harness.stage('find'), harness.stage('write'), **options
    )


def activation_host(**options):
    return harness.Harness(
        harness.stage('check'),
        harness.stage('activate', is_repeatable=False),
        **options,
    )


def call_activation(host, request_id='r1', key='k1'):
    host.send(request_id, idempotency_key=key)
    host.reply(host.last_call)
    return host.last_call


def is_dropped(emitted):
    counts = [
        e.name for e in emitted if isinstance(e, coordination_effects.Count)
    ]
    return 'requests.reply_dropped' in counts


def test_stages_run_in_order_and_see_earlier_results():
    host = two_stages()
    host.send()
    host.reply(host.last_call, 'found')
    assert host.last_call.payload == {
        'request': {'ask': 'x'},
        'results': {'find': 'found'},
    }
    host.reply(host.last_call, 'text')
    assert host.outcome().results == {'write': 'text'}
    assert [r.stage for r in host.outcome().stages] == ['find', 'write']


@pytest.mark.parametrize(
    'changes',
    [{'request_id': 'r2'}, {'stage': 'write'}, {'attempt_id': 'other'}],
)
def test_reply_with_foreign_id_is_dropped_and_counted(changes):
    host = two_stages()
    host.send('r1')
    host.send('r2')
    call = host.effects_of(effects.CallTarget)[0]
    ids = {
        'request_id': call.request_id,
        'stage': call.stage,
        'attempt_id': call.attempt_id,
    } | changes
    emitted = host.deliver(messages.StageReplied(**ids, output='foreign'))
    assert is_dropped(emitted)
    assert not host.effects_of(effects.AnswerCaller)
    host.reply(call, 'own')
    assert host.last_call.payload['results'] == {'find': 'own'}


def test_duplicate_reply_is_dropped():
    host = two_stages()
    host.send()
    call = host.last_call
    host.reply(call)
    assert is_dropped(host.reply(call, 'again'))
    host.reply(host.last_call, 'text')
    assert host.outcome().results == {'write': 'text'}


def test_retry_goes_to_another_target_and_late_reply_is_dropped():
    host = two_stages()
    host.send()
    first = host.last_call
    host.fault(first, Fault.LOST)
    assert host.last_call.target != first.target
    assert is_dropped(host.reply(first, 'late'))


@pytest.mark.parametrize(
    'kind, was_sent, expected',
    [
        (Fault.CONNECT, False, outcomes.RefusedNotRun),
        (Fault.LOST, True, outcomes.Failed),
        (Fault.BUSY, False, outcomes.Failed),
    ],
)
def test_not_run_is_reported_only_when_nothing_was_sent(
    kind, was_sent, expected
):
    host = harness.Harness(
        harness.stage('find'), targets=harness.pool('find', 1)
    )
    host.send()
    host.fault(host.last_call, kind, was_sent=was_sent)
    host.advance(6_000)
    assert isinstance(host.outcome(), expected)


@pytest.mark.parametrize(
    'changes, reason',
    [
        ({'pipeline': 'none'}, 'unknown_pipeline'),
        ({'workspace': 'none'}, 'unknown_workspace'),
        ({'priority': 'none'}, 'unknown_priority'),
        ({'deadline_ms': 0, 'idempotency_key': 'k'}, 'deadline_passed'),
        ({}, 'idempotency_key_required'),
    ],
)
def test_invalid_request_is_refused(changes, reason):
    host = activation_host()
    host.send(**changes)
    assert host.outcome() == outcomes.RefusedNotRun(reason)
    assert not host.calls


def test_deadline_and_disconnected_caller_end_request_once():
    host = two_stages()
    host.send()
    host.advance(5_000)
    assert isinstance(host.outcome(), outcomes.Failed)
    assert host.effects_of(effects.CancelCall)
    host.deliver(messages.CallerDisconnected('r1'))
    host.advance(5_000)
    host.outcome()


def test_stop_refuses_new_and_exits_after_requests_in_flight():
    host = two_stages()
    host.send('r1')
    host.deliver(messages.StopRequested())
    host.send('r2')
    assert host.outcome('r2').reason == 'stopping'
    assert not host.effects_of(effects.Exit)
    host.reply(host.last_call)
    host.reply(host.last_call)
    assert isinstance(host.outcome('r1'), outcomes.Answered)
    assert len(host.effects_of(effects.Exit)) == 1


def test_stream_resumes_elsewhere_without_gap_or_repeat():
    host = harness.Harness(harness.stage('write', kind=GENERATE))
    host.send(is_stream=True)
    first = host.last_call
    host.piece(first, 0, 'abc')
    host.piece(first, 5, 'fg')
    host.fault(first, Fault.LOST)
    second = host.last_call
    assert (second.resume_offset, second.prefix) == (3, 'abc')
    host.piece(second, 3, 'de')
    host.piece(second, 3, 'de')
    assert is_dropped(host.piece(first, 3, 'XX'))
    host.end(second, 'abcdefg')
    host.piece(second, 5, 'fg')
    sent = host.effects_of(effects.SendPiece)
    assert ''.join(p.text for p in sent) == 'abcdefg'
    assert [p.offset for p in sent] == [0, 3, 5]
    assert host.outcome().results == {'write': {'text': 'abcdefg'}}


def test_stream_with_wrong_digest_is_not_answered():
    host = harness.Harness(harness.stage('write', kind=GENERATE))
    host.send(is_stream=True)
    host.piece(host.last_call, 0, 'abc')
    host.end(host.last_call, 'abc', digest='0')
    assert host.outcome().reason == 'broken_stream'


def test_resend_gets_the_recorded_outcome_through_another_host():
    table = harness.Table()
    first, second = activation_host(table=table), activation_host(
        table=table, name='host-2'
    )
    first.reply(call_activation(first), 'account 1')
    second.send(idempotency_key='k1')
    second.reply(second.last_call)
    assert second.outcome().results == {'activate': 'account 1'}
    assert len(second.calls) == 1


def test_resend_on_the_same_host_waits_for_the_first():
    host = activation_host()
    call = call_activation(host, 'r1')
    second_check = call_activation(host, 'r2')
    assert second_check.stage == 'check'
    host.reply(call, 'account 1')
    host.advance(0)
    assert host.outcome('r2').results == {'activate': 'account 1'}


def test_claim_held_elsewhere_is_polled_until_settled():
    table = harness.Table()
    first, second = activation_host(table=table), activation_host(
        table=table, name='host-2'
    )
    call = call_activation(first)
    assert call_activation(second).stage == 'check'
    second.advance(1_000)
    first.reply(call, 'account 1')
    second.advance(1_000)
    assert second.outcome().results == {'activate': 'account 1'}


def test_sent_non_repeatable_call_is_never_sent_again():
    host = activation_host()
    call = call_activation(host)
    host.fault(call, Fault.LOST)
    assert host.outcome() == outcomes.Unknown(
        'target_lost', 'activate', ('check', 'activate')
    )
    assert host.claims.log == [('settle', 'unknown')]
    assert len(host.calls) == 2


def test_unsent_non_repeatable_call_goes_to_another_target():
    host = activation_host()
    first = call_activation(host)
    host.fault(first, Fault.CONNECT, was_sent=False)
    assert host.last_call.target != first.target
    host.reply(host.last_call)
    assert isinstance(host.outcome(), outcomes.Answered)


def test_claim_granted_after_the_deadline_is_released_unsent():
    host = activation_host()
    host.claims.is_held = True
    call_activation(host)
    host.advance(5_000)
    assert isinstance(host.outcome(), outcomes.Failed)
    host.deliver(host.claims.held[0])
    assert host.claims.log == [('release', 'not_sent')]
    assert len(host.calls) == 1


def test_reply_after_the_deadline_is_recorded_for_a_resend():
    host = activation_host()
    host.send(idempotency_key='k1', deadline_ms=1_000)
    host.reply(host.last_call)
    call = host.last_call
    host.advance(1_020)
    assert host.outcome().reason == 'deadline_exceeded'
    host.reply(call, 'account 1')
    assert host.claims.log == [('settle', 'answered')]
    host.send('r2', idempotency_key='k1')
    host.reply(host.last_call)
    assert host.outcome('r2').results == {'activate': 'account 1'}


@pytest.mark.parametrize('is_down', [False, True])
def test_outcome_query(is_down):
    host = activation_host()
    host.reply(call_activation(host), 'account 1')
    host.claims.table.is_down = is_down
    host.deliver(
        messages.OutcomeRequested('q1', 'small', harness.PIPELINE, 'k1')
    )
    host.deliver(
        messages.OutcomeRequested('q2', 'small', harness.PIPELINE, 'other')
    )
    first, second = host.effects_of(effects.AnswerQuery)
    if is_down:
        assert (first.state, second.state) == ('unavailable', 'unavailable')
        return
    assert first.outcome.results == {'activate': 'account 1'}
    assert second.state == 'absent'


def test_key_with_another_payload_is_refused():
    host = activation_host()
    host.reply(call_activation(host))
    host.send('r2', idempotency_key='k1', payload={'ask': 'y'})
    host.reply(host.last_call)
    assert host.outcome('r2').reason == 'idempotency_key_reused'


def test_leaving_target_gets_no_new_calls_and_peers_are_notified():
    host = harness.Harness(
        harness.stage('find'), targets=harness.pool('find', 2)
    )
    host.send('r0')
    leaving = host.last_call
    host.fault(leaving, Fault.LEAVING, was_sent=False)
    facts = host.effects_of(coordination_effects.PublishFact)
    assert [(f.kind, f.key, f.is_urgent) for f in facts] == [
        ('leaving', leaving.target.name, True)
    ]
    for number in range(8):
        host.send(f'r{number + 1}')
    later = [call.target for call in list(host.calls.values())[1:]]
    assert leaving.target not in later


def test_document_bounds_the_deadline_of_a_request():
    host = two_stages()
    host.send(deadline_ms=600_000)
    host.advance(4_999)
    assert host.effects_of(effects.AnswerCaller) == []
    host.advance(1)
    assert host.outcome().reason == outcomes.Failure.DEADLINE


def test_refusal_for_unavailable_store_has_retry_after():
    stage = harness.stage('activate', is_repeatable=False)
    host = harness.Harness(stage, table=harness.Table(is_down=True))
    host.send(idempotency_key='k1')
    refused = host.outcome()
    assert refused.reason == outcomes.Refusal.STORE_UNAVAILABLE
    assert refused.retry_after_ms > 0


def test_second_attempt_needs_fresh_connection():
    host = two_stages()
    host.send()
    first = host.last_call
    host.fault(first, Fault.SILENT)
    second = host.last_call
    assert second.target != first.target
    fresh = [c.needs_fresh_connection for c in (first, second)]
    assert fresh == [False, True]


@pytest.mark.parametrize(
    'verdict, reason, has_retry_after',
    [
        (
            claim_messages.NotRun(claim_messages.Reason.DEADLINE_PASSED),
            'cannot_meet_deadline',
            True,
        ),
        (
            claim_messages.NotRun(claim_messages.Reason.STORE_UNAVAILABLE),
            'store_unavailable',
            True,
        ),
        (claim_messages.KeyReused(), 'idempotency_key_reused', False),
    ],
)
def test_refused_claim_may_have_retry_after(verdict, reason, has_retry_after):
    host = harness.Harness(harness.stage('put', is_repeatable=False))
    host.claims.is_held = True
    host.send(idempotency_key='k')
    (settled,) = host.claims.held
    host.deliver(attrs.evolve(settled, verdict=verdict))
    assert host.outcome().reason == reason
    assert (host.outcome().retry_after_ms > 0) == has_retry_after
