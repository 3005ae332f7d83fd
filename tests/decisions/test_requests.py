"""Requests: stages in order, replies matched, one true outcome."""

import attrs
import pytest

from godwitglade.coordination import claim_messages
from godwitglade.coordination import effects as coordination_effects
from godwitglade.decisions import documents
from godwitglade.decisions import effects
from godwitglade.decisions import messages
from godwitglade.decisions import outcomes
from tests.decisions import rig

Fault = messages.FaultKind
GENERATE = documents.StageKind.GENERATE


def two_stages(**options):
    return rig.Rig(rig.stage('find'), rig.stage('write'), **options)


def activation(**options):
    return rig.Rig(
        rig.stage('check'),
        rig.stage('activate', is_repeatable=False),
        **options,
    )


def to_activation(made, request_id='r1', key='k1'):
    made.send(request_id, idempotency_key=key)
    made.reply(made.last_call)
    return made.last_call


def dropped(asked):
    counts = [
        e.name for e in asked if isinstance(e, coordination_effects.Count)
    ]
    return 'requests.reply_dropped' in counts


def test_stages_run_in_order_and_see_earlier_results():
    made = two_stages()
    made.send()
    made.reply(made.last_call, 'found')
    assert made.last_call.payload == {
        'request': {'ask': 'x'},
        'results': {'find': 'found'},
    }
    made.reply(made.last_call, 'text')
    assert made.outcome().results == {'write': 'text'}
    assert [r.stage for r in made.outcome().stages] == ['find', 'write']


@pytest.mark.parametrize(
    'changes',
    [{'request_id': 'r2'}, {'stage': 'write'}, {'attempt_id': 'other'}],
)
def test_reply_with_foreign_id_is_dropped_and_counted(changes):
    made = two_stages()
    made.send('r1')
    made.send('r2')
    call = made.of(effects.CallTarget)[0]
    ids = {
        'request_id': call.request_id,
        'stage': call.stage,
        'attempt_id': call.attempt_id,
    } | changes
    asked = made.tell(messages.StageReplied(**ids, output='foreign'))
    assert dropped(asked)
    assert not made.of(effects.AnswerCaller)
    made.reply(call, 'own')
    assert made.last_call.payload['results'] == {'find': 'own'}


def test_doubled_reply_is_dropped():
    made = two_stages()
    made.send()
    call = made.last_call
    made.reply(call)
    assert dropped(made.reply(call, 'again'))
    made.reply(made.last_call, 'text')
    assert made.outcome().results == {'write': 'text'}


def test_retry_goes_to_another_target_and_late_reply_is_dropped():
    made = two_stages()
    made.send()
    first = made.last_call
    made.fault(first, Fault.LOST)
    assert made.last_call.target != first.target
    assert dropped(made.reply(first, 'late'))


@pytest.mark.parametrize(
    'kind, was_sent, expected',
    [
        (Fault.CONNECT, False, outcomes.RefusedNotRun),
        (Fault.LOST, True, outcomes.Failed),
        (Fault.BUSY, False, outcomes.Failed),
    ],
)
def test_not_run_is_said_only_when_nothing_was_sent(kind, was_sent, expected):
    made = rig.Rig(rig.stage('find'), targets=rig.pool('find', 1))
    made.send()
    made.fault(made.last_call, kind, was_sent=was_sent)
    made.advance(6_000)
    assert isinstance(made.outcome(), expected)


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
def test_refusal_at_the_door(changes, reason):
    made = activation()
    made.send(**changes)
    assert made.outcome() == outcomes.RefusedNotRun(reason)
    assert not made.calls


def test_deadline_and_gone_caller_end_a_request_once():
    made = two_stages()
    made.send()
    made.advance(5_000)
    assert isinstance(made.outcome(), outcomes.Failed)
    assert made.of(effects.CancelCall)
    made.tell(messages.CallerGone('r1'))
    made.advance(5_000)
    made.outcome()


def test_stop_refuses_new_and_exits_after_requests_in_flight():
    made = two_stages()
    made.send('r1')
    made.tell(messages.StopAsked())
    made.send('r2')
    assert made.outcome('r2').reason == 'stopping'
    assert not made.of(effects.Exit)
    made.reply(made.last_call)
    made.reply(made.last_call)
    assert isinstance(made.outcome('r1'), outcomes.Answered)
    assert len(made.of(effects.Exit)) == 1


def test_stream_resumes_elsewhere_without_gap_or_repeat():
    made = rig.Rig(rig.stage('write', kind=GENERATE))
    made.send(is_stream=True)
    first = made.last_call
    made.piece(first, 0, 'abc')
    made.piece(first, 5, 'fg')
    made.fault(first, Fault.LOST)
    second = made.last_call
    assert (second.resume_offset, second.prefix) == (3, 'abc')
    made.piece(second, 3, 'de')
    made.piece(second, 3, 'de')
    assert dropped(made.piece(first, 3, 'XX'))
    made.end(second, 'abcdefg')
    made.piece(second, 5, 'fg')
    sent = made.of(effects.SendPiece)
    assert ''.join(p.text for p in sent) == 'abcdefg'
    assert [p.offset for p in sent] == [0, 3, 5]
    assert made.outcome().results == {'write': {'text': 'abcdefg'}}


def test_stream_with_wrong_digest_is_not_answered():
    made = rig.Rig(rig.stage('write', kind=GENERATE))
    made.send(is_stream=True)
    made.piece(made.last_call, 0, 'abc')
    made.end(made.last_call, 'abc', digest='0')
    assert made.outcome().reason == 'broken_stream'


def test_resend_gets_the_recorded_outcome_through_another_host():
    table = rig.Table()
    first, second = activation(table=table), activation(
        table=table, name='host-2'
    )
    first.reply(to_activation(first), 'account 1')
    second.send(idempotency_key='k1')
    second.reply(second.last_call)
    assert second.outcome().results == {'activate': 'account 1'}
    assert len(second.calls) == 1


def test_resend_on_the_same_host_waits_for_the_first():
    made = activation()
    call = to_activation(made, 'r1')
    second_check = to_activation(made, 'r2')
    assert second_check.stage == 'check'
    made.reply(call, 'account 1')
    made.advance(0)
    assert made.outcome('r2').results == {'activate': 'account 1'}


def test_key_held_elsewhere_is_followed_until_settled():
    table = rig.Table()
    first, second = activation(table=table), activation(
        table=table, name='host-2'
    )
    call = to_activation(first)
    assert to_activation(second).stage == 'check'
    second.advance(1_000)
    first.reply(call, 'account 1')
    second.advance(1_000)
    assert second.outcome().results == {'activate': 'account 1'}


def test_sent_non_repeatable_call_is_never_sent_again():
    made = activation()
    call = to_activation(made)
    made.fault(call, Fault.LOST)
    assert made.outcome() == outcomes.Unknown(
        'target_lost', 'activate', ('check', 'activate')
    )
    assert made.claims.log == [('settle', 'unknown')]
    assert len(made.calls) == 2


def test_unsent_non_repeatable_call_goes_to_another_target():
    made = activation()
    first = to_activation(made)
    made.fault(first, Fault.CONNECT, was_sent=False)
    assert made.last_call.target != first.target
    made.reply(made.last_call)
    assert isinstance(made.outcome(), outcomes.Answered)


def test_claim_granted_after_the_deadline_is_released_unsent():
    made = activation()
    made.claims.is_held = True
    to_activation(made)
    made.advance(5_000)
    assert isinstance(made.outcome(), outcomes.Failed)
    made.tell(made.claims.held[0])
    assert made.claims.log == [('release', 'not_sent')]
    assert len(made.calls) == 1


def test_reply_after_the_deadline_is_recorded_for_a_resend():
    made = activation()
    made.send(idempotency_key='k1', deadline_ms=1_000)
    made.reply(made.last_call)
    call = made.last_call
    made.advance(1_020)
    assert made.outcome().reason == 'deadline_exceeded'
    made.reply(call, 'account 1')
    assert made.claims.log == [('settle', 'answered')]
    made.send('r2', idempotency_key='k1')
    made.reply(made.last_call)
    assert made.outcome('r2').results == {'activate': 'account 1'}


@pytest.mark.parametrize('is_down', [False, True])
def test_question_about_an_outcome(is_down):
    made = activation()
    made.reply(to_activation(made), 'account 1')
    made.claims.table.is_down = is_down
    made.tell(messages.OutcomeAsked('q1', 'small', rig.PIPELINE, 'k1'))
    made.tell(messages.OutcomeAsked('q2', 'small', rig.PIPELINE, 'other'))
    first, second = made.of(effects.AnswerQuery)
    if is_down:
        assert (first.state, second.state) == ('unavailable', 'unavailable')
        return
    assert first.outcome.results == {'activate': 'account 1'}
    assert second.state == 'absent'


def test_key_with_another_payload_is_refused():
    made = activation()
    made.reply(to_activation(made))
    made.send('r2', idempotency_key='k1', payload={'ask': 'y'})
    made.reply(made.last_call)
    assert made.outcome('r2').reason == 'idempotency_key_reused'


def test_leaving_target_gets_nothing_new_and_peers_hear():
    made = rig.Rig(rig.stage('find'), targets=rig.pool('find', 2))
    made.send('r0')
    leaving = made.last_call
    made.fault(leaving, Fault.LEAVING, was_sent=False)
    facts = made.of(coordination_effects.PublishFact)
    assert [(f.kind, f.key, f.is_urgent) for f in facts] == [
        ('leaving', leaving.target.name, True)
    ]
    for number in range(8):
        made.send(f'r{number + 1}')
    later = [call.target for call in list(made.calls.values())[1:]]
    assert leaving.target not in later


def test_document_bounds_the_deadline_of_a_request():
    made = two_stages()
    made.send(deadline_ms=600_000)
    made.advance(4_999)
    assert made.of(effects.AnswerCaller) == []
    made.advance(1)
    assert made.outcome().reason == outcomes.Failure.DEADLINE


def test_refusal_for_an_unavailable_store_says_when_to_come_back():
    stage = rig.stage('activate', is_repeatable=False)
    made = rig.Rig(stage, table=rig.Table(is_down=True))
    made.send(idempotency_key='k1')
    refused = made.outcome()
    assert refused.reason == outcomes.Refusal.STORE_UNAVAILABLE
    assert refused.retry_after_ms > 0


def test_second_attempt_avoids_connections_long_unheard_from():
    made = two_stages()
    made.send()
    first = made.last_call
    made.fault(first, Fault.SILENT)
    second = made.last_call
    assert second.target != first.target
    fresh = [c.needs_fresh_connection for c in (first, second)]
    assert fresh == [False, True]


@pytest.mark.parametrize(
    'verdict, reason, is_told_when',
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
def test_claim_refused_tells_when_to_come_back(verdict, reason, is_told_when):
    made = rig.Rig(rig.stage('put', is_repeatable=False))
    made.claims.is_held = True
    made.send(idempotency_key='k')
    (settled,) = made.claims.held
    made.tell(attrs.evolve(settled, verdict=verdict))
    assert made.outcome().reason == reason
    assert (made.outcome().retry_after_ms > 0) == is_told_when
