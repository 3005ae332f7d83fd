"""The policy under load and faults, each failure caused on purpose."""

import collections
import itertools

import attrs
import hypothesis
from hypothesis import strategies
import pytest

from godwitglade.coordination import claim_messages
from godwitglade.coordination import effects as coordination_effects
from godwitglade.coordination import hosts
from godwitglade.coordination import messages as coordination_messages
from godwitglade.decisions import documents
from godwitglade.decisions import effects
from godwitglade.decisions import health
from godwitglade.decisions import jobs
from godwitglade.decisions import messages
from godwitglade.decisions import outcomes
from godwitglade.decisions import queueing
from godwitglade.decisions import records
from godwitglade.decisions import retries
from godwitglade.decisions import streams
from godwitglade.decisions import targets
from tests.decisions import rig

Fault = messages.FaultKind
GENERATE = documents.StageKind.GENERATE


HELD_ELSEWHERE = claim_messages.HeldElsewhere(
    hosts.HostId('other', 'z1', 1), 'n', False
)


def one_stage(count=3, name='host-1', **changes):
    return rig.Rig(
        rig.stage('find', **changes),
        targets=rig.pool('find', count),
        name=name,
    )


def answer_many(made, count=12, after_ms=100):
    """Let requests be answered so that times are measured."""
    for number in range(count):
        made.send(f'warm-{number}', deadline_ms=made.now_ms + 60_000)
        made.advance(after_ms)
        made.reply(made.last_call, load=targets.Load(1, 0, 8))


def tracked(made, name):
    return made.requests.context.directory.by_name[name]


def facts(made, kind):
    found = made.of(coordination_effects.PublishFact)
    return [fact for fact in found if fact.kind == kind]


def learn(made, fact, origin='host-9'):
    return made.tell(
        coordination_messages.FactLearned(
            fact.kind, fact.key, fact.value, origin
        )
    )


def waiting(workspace, deadline_ms, rank=1, stage_index=0):
    document = rig.document(rig.stage('a'), rig.stage('b'))
    request = messages.RequestArrived(
        f'{workspace}-{deadline_ms}', workspace, rig.PIPELINE, {}, deadline_ms
    )
    return jobs.Job(request, document, rank, 0, stage_index=stage_index)


def order(queue):
    popped = iter(queue.pop, None)
    return [job.request_id for job in popped]


@pytest.mark.parametrize(
    'first, second',
    [
        (waiting('small', 9, stage_index=1), waiting('small', 1)),
        (waiting('small', 9, rank=0), waiting('small', 1, rank=1)),
        (waiting('small', 1), waiting('small', 9)),
    ],
)
def test_queue_takes_paid_then_rank_then_deadline(first, second):
    queue = queueing.FairQueue(8)
    queue.push(second)
    queue.push(first)
    assert order(queue) == [first.request_id, second.request_id]


def test_queue_serves_workspaces_by_share():
    queue = queueing.FairQueue(100)
    for deadline_ms in range(40):
        queue.push(waiting('large', deadline_ms))
    for deadline_ms in range(40):
        queue.push(waiting('small', deadline_ms))
    served = [name.split('-')[0] for name in order(queue)[:25]]
    assert served.count('small') == 5


def test_full_queue_gives_up_the_last_of_the_longest_line():
    queue = queueing.FairQueue(3)
    queue.push(waiting('small', 1))
    queue.push(waiting('small', 2))
    queue.push(waiting('large', 3))
    given_up = queue.push(waiting('large', 4))
    assert given_up.request_id == 'small-2'
    assert len(queue) == 3


@hypothesis.settings(derandomize=True, max_examples=60)
@hypothesis.given(
    strategies.text(min_size=1, max_size=40),
    strategies.lists(strategies.integers(0, 39), max_size=8),
    strategies.randoms(use_true_random=False),
)
def test_stream_pieces_in_any_order_make_the_text(text, cuts, rng):
    edges = sorted({0, len(text), *(cut % (len(text) + 1) for cut in cuts)})
    pieces = [(a, text[a:b]) for a, b in zip(edges, edges[1:])]
    sent = pieces + pieces[:2]
    rng.shuffle(sent)
    feed = streams.StreamFeed()
    feed.finish(len(text), streams.digest_of(text))
    made = ''.join(feed.add(offset, piece) for offset, piece in sent)
    assert made == text
    assert feed.is_complete


def test_retry_budget_bounds_extra_attempts_to_a_share():
    budget = retries.Budget(ratio=0.1, burst=2.0)
    granted = 0
    for _ in range(100):
        budget.earn()
        granted += budget.spend()
    assert granted <= 2 + 10


def test_exhausted_retry_budget_ends_the_request():
    made = one_stage(count=20)
    for number in range(8):
        made.send(f'r{number}')
        made.fault(made.last_call, Fault.LOST)
    ended = made.of(effects.AnswerCaller)
    assert [a.outcome.code for a in ended] == ['failed'] * 3


def test_refused_connection_ejects_and_a_probe_brings_back():
    made = one_stage()
    made.send()
    dead = made.last_call.target
    made.fault(made.last_call, Fault.CONNECT, was_sent=False)
    assert tracked(made, dead.name).is_ejected
    assert [f.key for f in facts(made, 'ejected')] == [dead.name]
    made.advance(health.FIRST_OUT_MS)
    made.tell(messages.ProbeAnswered(dead.name, False))
    assert tracked(made, dead.name).is_ejected
    made.advance(3 * health.FIRST_OUT_MS)
    made.tell(messages.ProbeAnswered(dead.name, True))
    assert not tracked(made, dead.name).is_ejected
    assert tracked(made, dead.name).is_on_trial


def test_no_more_than_half_of_a_pool_is_ejected():
    made = one_stage(count=4)
    for name in ('find-0', 'find-1', 'find-2', 'find-3'):
        health.eject(made.requests.context, tracked(made, name), 0)
    out = [tracked(made, f'find-{i}').is_ejected for i in range(4)]
    assert sum(out) == 2


def test_one_word_of_another_host_does_not_eject_two_do():
    made = one_stage()
    fact = coordination_effects.PublishFact('ejected', 'find-0', True, 1)
    learn(made, fact, 'host-8')
    assert not tracked(made, 'find-0').is_ejected
    learn(made, fact, 'host-9')
    assert tracked(made, 'find-0').is_ejected
    assert not facts(made, 'ejected')


def test_first_replies_do_not_make_a_target_look_slow():
    made = one_stage()
    answer_many(made, count=6, after_ms=400)
    made.advance(1_000)
    assert not facts(made, 'ejected')


def test_replies_within_a_millisecond_are_taken():
    made = one_stage()
    answer_many(made, count=20, after_ms=0)
    assert len(made.of(effects.AnswerCaller)) == 20


@pytest.mark.parametrize('is_repeatable', [True, False])
def test_only_repeatable_stages_are_hedged(is_repeatable):
    made = one_stage(is_hedged=True, is_repeatable=is_repeatable)
    sketch = made.requests.context.times.whole(rig.PIPELINE, 'find')
    for _ in range(30):
        sketch.add(100)
    made.send(idempotency_key='k')
    first = made.last_call
    made.advance(1_000)
    assert (made.last_call != first) is is_repeatable
    if is_repeatable:
        made.reply(made.last_call, 'second')
        cancelled = made.of(effects.CancelCall)
        assert [c.attempt_id for c in cancelled] == [first.attempt_id]
        assert made.outcome().results == {'find': 'second'}


def test_silent_call_probes_and_drops_sibling_connections():
    made = one_stage()
    made.send()
    target = made.last_call.target
    made.fault(made.last_call, Fault.SILENT)
    probe = made.of(effects.ProbeTarget)[-1]
    assert probe.target == target
    made.tell(messages.ProbeAnswered(target.name, True))
    assert made.of(effects.DropConnections)[-1].target == target
    made.reply(made.last_call)
    assert isinstance(made.outcome(), outcomes.Answered)


def test_stalled_stream_is_resumed_elsewhere():
    made = one_stage(kind=GENERATE)
    pace = made.requests.context.times.pace(rig.PIPELINE, 'find')
    for _ in range(20):
        pace.add(20)
    made.send(is_stream=True)
    first = made.last_call
    made.piece(first, 0, 'abc')
    made.advance(1_500)
    assert made.last_call.resume_offset == 3
    assert made.last_call.target != first.target
    made.piece(first, 3, 'late')
    made.piece(made.last_call, 3, 'def')
    made.end(made.last_call, 'abcdef')
    sent = ''.join(p.text for p in made.of(effects.SendPiece))
    assert sent == 'abcdef'


def test_work_beyond_the_deadline_is_refused_with_a_time_to_come_back():
    made = one_stage(count=1, budget_ms=60_000)
    answer_many(made, after_ms=1_000)
    for number in range(80):
        made.send(f'r{number}')
    refused = made.outcome('r79')
    assert refused.reason == 'cannot_meet_deadline'
    assert refused.retry_after_ms > 0
    assert len(made.calls) < 80


def test_small_workspace_is_admitted_beside_a_large_backlog():
    made = one_stage(count=1, budget_ms=60_000)
    answer_many(made, after_ms=1_000)
    for number in range(80):
        made.send(f'r{number}', workspace='large')
    assert made.outcome('r79').reason == 'cannot_meet_deadline'
    made.send('mine', workspace='small')
    answered = [a.request_id for a in made.of(effects.AnswerCaller)]
    assert 'mine' not in answered


def test_hopeless_wait_ends_at_once():
    made = one_stage(count=1, budget_ms=60_000)
    answer_many(made, after_ms=1_000)
    made.send('first', deadline_ms=made.now_ms + 60_000)
    made.send('r0', deadline_ms=made.now_ms + 60_000)
    held = tracked(made, 'find-0')
    held.limit = 1.0
    made.send('short', deadline_ms=made.now_ms + 1_500)
    made.advance(1_400)
    assert made.outcome('short').code == 'refused_not_run'


def test_crash_runs_suspects_on_other_targets_and_condemns_one():
    first, second = one_stage(4), one_stage(4, name='host-2')
    first.send('bad', fingerprint='bad')
    first.advance(60)
    first.fault(first.last_call, Fault.LOST, is_crash=True)
    for fact in facts(first, 'strike'):
        learn(second, fact, 'host-1')
    second.send('resend', fingerprint='bad')
    assert second.outcome('resend').reason == 'overloaded'
    first.advance(200)
    again = first.last_call
    assert len(first.calls) == 2
    first.advance(60)
    first.fault(again, Fault.LOST, is_crash=True)
    assert first.outcome('bad').reason == 'quarantined'
    learn(second, facts(first, 'quarantine')[0], 'host-1')
    second.send('again', fingerprint='bad')
    assert second.outcome('again').reason == 'quarantined'
    assert [e[0] for e in second.requests.quarantined(0)] == ['bad']
    second.tell(messages.QuarantineCleared('bad'))
    second.send('cleared', fingerprint='bad')
    assert second.last_call.request_id == 'cleared'


@pytest.mark.parametrize('kind, is_sent', [('strike', 1), ('quarantine', 0)])
def test_suspect_that_another_host_judged_meanwhile(kind, is_sent):
    made = one_stage(count=4)
    made.send('r1', fingerprint='f')
    made.advance(60)
    made.fault(made.last_call, Fault.LOST, is_crash=True)
    value = {'pipeline': rig.PIPELINE, 'reason': 'x', 'lapse_ms': 9_000}
    sentence = value if kind == 'quarantine' else None
    fact = coordination_effects.PublishFact(kind, 'f', sentence, 1)
    learn(made, fact, 'host-1' if sentence is None else 'host-9')
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
    learn(made, strike, 'host-1')
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
    (fact,) = facts(first, 'strike')
    if is_condemned:
        value = {'pipeline': rig.PIPELINE, 'reason': 'x', 'lapse_ms': 9_000}
        fact = coordination_effects.PublishFact('quarantine', 'f', value, 1)
    learn(made, fact, 'host-1')
    if row is not None:
        key = records.claim_key('small', rig.PIPELINE, 'k', 'put')
        made.claims.table.rows[key] = row
    made.send('again', fingerprint='f', idempotency_key='k')
    assert made.outcome('again').code == expected
    assert not made.calls


def test_second_crash_after_quite_another_time_does_not_condemn():
    made = one_stage(count=4)
    made.send('unlucky', fingerprint='unlucky')
    made.advance(60)
    made.fault(made.last_call, Fault.LOST, is_crash=True)
    made.advance(200 + 180)
    made.fault(made.last_call, Fault.LOST, is_crash=True)
    assert made.requests.quarantined(made.now_ms) == []
    made.advance(200)
    assert len(made.calls) == 3


def test_requests_beside_a_crashing_one_are_cleared():
    made = one_stage(count=4)
    made.requests.context.directory.by_name['find-0'].limit = 8.0
    for number in range(1, 4):
        health.eject(made.requests.context, tracked(made, f'find-{number}'), 0)
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


@pytest.mark.parametrize('sign', ['list', 'load', 'fact', 'gone'])
def test_every_sign_of_leaving_stops_new_work(sign):
    made = one_stage(count=2)
    stay, leave = rig.pool('find', 2)
    leaving = rig.pool('find', 2, state=targets.TargetState.LEAVING)[1]
    fact = coordination_effects.PublishFact('leaving', leave.name, True, 1)
    load = targets.Load(0, 0, 8, is_leaving=True)
    signs = {
        'list': lambda: made.tell(messages.TargetsListed((stay, leaving))),
        'gone': lambda: made.tell(messages.TargetsListed((stay,))),
        'load': lambda: made.tell(messages.LoadReported(leave.name, load)),
        'fact': lambda: learn(made, fact),
    }
    signs[sign]()
    # The lagging list must not take the other signs back.
    if sign in ('load', 'fact'):
        made.tell(messages.TargetsListed((stay, leave)))
    for number in range(6):
        made.send(f'r{number}')
    assert {call.target.name for call in made.calls.values()} == {stay.name}


def test_store_down_refuses_non_repeatable_and_serves_the_rest():
    made = rig.Rig(
        rig.stage('update', is_repeatable=False), rig.stage('publish')
    )
    made.claims.table.is_down = True
    made.send(idempotency_key='k')
    assert made.outcome().reason == 'store_unavailable'
    made.send('r2', idempotency_key='k2')
    assert made.outcome('r2').retry_after_ms > 0
    assert not made.calls


def test_workspace_limit_counts_requests_on_all_hosts():
    limited = (documents.Workspace('small', max_in_flight=2),)
    made = rig.Rig(rig.stage('find'), workspaces=limited)
    made.send('r1')
    learn(made, coordination_effects.PublishFact('usage', 'small', 1, 1))
    made.send('r2')
    assert made.outcome('r2').reason == 'workspace_limit'
    made.reply(made.last_call)
    made.send('r3')
    assert made.last_call.request_id == 'r3'


def test_large_pool_is_narrowed_evenly_and_stably():
    listed = rig.pool('find', 400)
    made = [one_stage(name=f'host-{n}') for n in range(50)]
    for host in made:
        host.tell(messages.TargetsListed(listed))
    parts = [
        {t.name for t in host.requests.context.directory.pool('find')}
        for host in made
    ]
    assert {len(part) for part in parts} == {32}
    uses = collections.Counter(itertools.chain.from_iterable(parts))
    assert len(uses) > 380
    made[0].tell(messages.TargetsListed(listed[1:]))
    kept = {t.name for t in made[0].requests.context.directory.pool('find')}
    assert len(kept & parts[0]) >= 31
