"""The policy under load and faults, each failure caused on purpose."""

import collections
import itertools

import hypothesis
from hypothesis import strategies
import pytest

from godwitglade.coordination import effects as coordination_effects
from godwitglade.decisions import documents
from godwitglade.decisions import effects
from godwitglade.decisions import health
from godwitglade.decisions import jobs
from godwitglade.decisions import messages
from godwitglade.decisions import outcomes
from godwitglade.decisions import queueing
from godwitglade.decisions import retries
from godwitglade.decisions import streams
from godwitglade.decisions import targets
from tests.decisions import rig

Fault = messages.FaultKind
GENERATE = documents.StageKind.GENERATE


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
    made = rig.one_stage(count=20)
    for number in range(8):
        made.send(f'r{number}')
        made.fault(made.last_call, Fault.LOST)
    ended = made.of(effects.AnswerCaller)
    assert [a.outcome.code for a in ended] == ['failed'] * 3


def test_refused_connection_ejects_and_a_probe_brings_back():
    made = rig.one_stage()
    made.send()
    dead = made.last_call.target
    made.fault(made.last_call, Fault.CONNECT, was_sent=False)
    assert rig.tracked(made, dead.name).is_ejected
    assert [f.key for f in rig.facts(made, 'ejected')] == [dead.name]
    made.advance(health.FIRST_OUT_MS)
    made.tell(messages.ProbeAnswered(dead.name, False))
    assert rig.tracked(made, dead.name).is_ejected
    made.advance(3 * health.FIRST_OUT_MS)
    made.tell(messages.ProbeAnswered(dead.name, True))
    assert not rig.tracked(made, dead.name).is_ejected
    assert rig.tracked(made, dead.name).is_on_trial


def test_no_more_than_half_of_a_pool_is_ejected():
    made = rig.one_stage(count=4)
    for name in ('find-0', 'find-1', 'find-2', 'find-3'):
        health.eject(made.requests.context, rig.tracked(made, name), 0)
    out = [rig.tracked(made, f'find-{i}').is_ejected for i in range(4)]
    assert sum(out) == 2


def test_one_word_of_another_host_does_not_eject_two_do():
    made = rig.one_stage()
    fact = coordination_effects.PublishFact('ejected', 'find-0', True, 1)
    rig.learn(made, fact, 'host-8')
    assert not rig.tracked(made, 'find-0').is_ejected
    rig.learn(made, fact, 'host-9')
    assert rig.tracked(made, 'find-0').is_ejected
    assert not rig.facts(made, 'ejected')


def test_first_replies_do_not_make_a_target_look_slow():
    made = rig.one_stage()
    rig.answer_many(made, count=6, after_ms=400)
    made.advance(1_000)
    assert not rig.facts(made, 'ejected')


def test_replies_within_a_millisecond_are_taken():
    made = rig.one_stage()
    rig.answer_many(made, count=20, after_ms=0)
    assert len(made.of(effects.AnswerCaller)) == 20


@pytest.mark.parametrize('is_repeatable', [True, False])
def test_only_repeatable_stages_are_hedged(is_repeatable):
    made = rig.one_stage(is_hedged=True, is_repeatable=is_repeatable)
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
    made = rig.one_stage()
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
    made = rig.one_stage(kind=GENERATE)
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
    made = rig.one_stage(count=1, budget_ms=60_000)
    rig.answer_many(made, after_ms=1_000)
    for number in range(80):
        made.send(f'r{number}')
    refused = made.outcome('r79')
    assert refused.reason == 'cannot_meet_deadline'
    assert refused.retry_after_ms > 0
    assert len(made.calls) < 80


def test_small_workspace_is_admitted_beside_a_large_backlog():
    made = rig.one_stage(count=1, budget_ms=60_000)
    rig.answer_many(made, after_ms=1_000)
    for number in range(80):
        made.send(f'r{number}', workspace='large')
    assert made.outcome('r79').reason == 'cannot_meet_deadline'
    made.send('mine', workspace='small')
    answered = [a.request_id for a in made.of(effects.AnswerCaller)]
    assert 'mine' not in answered


def test_hopeless_wait_ends_at_once():
    made = rig.one_stage(count=1, budget_ms=60_000)
    rig.answer_many(made, after_ms=1_000)
    made.send('first', deadline_ms=made.now_ms + 60_000)
    made.send('r0', deadline_ms=made.now_ms + 60_000)
    held = rig.tracked(made, 'find-0')
    held.limit = 1.0
    made.send('short', deadline_ms=made.now_ms + 1_500)
    made.advance(1_400)
    assert made.outcome('short').code == 'refused_not_run'


@pytest.mark.parametrize('sign', ['list', 'load', 'fact', 'gone'])
def test_every_sign_of_leaving_stops_new_work(sign):
    made = rig.one_stage(count=2)
    stay, leave = rig.pool('find', 2)
    leaving = rig.pool('find', 2, state=targets.TargetState.LEAVING)[1]
    fact = coordination_effects.PublishFact('leaving', leave.name, True, 1)
    load = targets.Load(0, 0, 8, is_leaving=True)
    signs = {
        'list': lambda: made.tell(messages.TargetsListed((stay, leaving))),
        'gone': lambda: made.tell(messages.TargetsListed((stay,))),
        'load': lambda: made.tell(messages.LoadReported(leave.name, load)),
        'fact': lambda: rig.learn(made, fact),
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
    rig.learn(made, coordination_effects.PublishFact('usage', 'small', 1, 1))
    made.send('r2')
    assert made.outcome('r2').reason == 'workspace_limit'
    made.reply(made.last_call)
    made.send('r3')
    assert made.last_call.request_id == 'r3'


def test_large_pool_is_narrowed_evenly_and_stably():
    listed = rig.pool('find', 400)
    made = [rig.one_stage(name=f'host-{n}') for n in range(50)]
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
