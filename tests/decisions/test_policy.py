"""The request policy under load and injected faults."""

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
from tests.decisions import harness

Fault = messages.FaultKind
GENERATE = documents.StageKind.GENERATE


def waiting_job(workspace, deadline_ms, rank=1, stage_index=0):
    document = harness.document(harness.stage('a'), harness.stage('b'))
    request = messages.RequestArrived(
        f'{workspace}-{deadline_ms}',
        workspace,
        harness.PIPELINE,
        {},
        deadline_ms,
    )
    return jobs.Job(request, document, rank, 0, stage_index=stage_index)


def popped_ids(queue):
    popped = iter(queue.pop, None)
    return [job.request_id for job in popped]


@pytest.mark.parametrize(
    'first, second',
    [
        (waiting_job('small', 9, stage_index=1), waiting_job('small', 1)),
        (waiting_job('small', 9, rank=0), waiting_job('small', 1, rank=1)),
        (waiting_job('small', 1), waiting_job('small', 9)),
    ],
)
def test_queue_orders_by_completed_stages_then_rank_then_deadline(
    first, second
):
    queue = queueing.FairQueue(8)
    queue.push(second)
    queue.push(first)
    assert popped_ids(queue) == [first.request_id, second.request_id]


def test_queue_serves_workspaces_by_share():
    queue = queueing.FairQueue(100)
    for deadline_ms in range(40):
        queue.push(waiting_job('large', deadline_ms))
    for deadline_ms in range(40):
        queue.push(waiting_job('small', deadline_ms))
    served = [name.split('-')[0] for name in popped_ids(queue)[:25]]
    assert served.count('small') == 5


def test_full_queue_evicts_last_job_of_longest_backlog():
    queue = queueing.FairQueue(3)
    queue.push(waiting_job('small', 1))
    queue.push(waiting_job('small', 2))
    queue.push(waiting_job('large', 3))
    evicted = queue.push(waiting_job('large', 4))
    assert evicted.request_id == 'small-2'
    assert len(queue) == 3


@hypothesis.settings(derandomize=True, max_examples=60)
@hypothesis.given(
    strategies.text(min_size=1, max_size=40),
    strategies.lists(strategies.integers(0, 39), max_size=8),
    strategies.randoms(use_true_random=False),
)
def test_stream_pieces_in_any_order_give_the_text(text, cuts, rng):
    edges = sorted({0, len(text), *(cut % (len(text) + 1) for cut in cuts)})
    pieces = [(a, text[a:b]) for a, b in zip(edges, edges[1:])]
    sent = pieces + pieces[:2]
    rng.shuffle(sent)
    feed = streams.StreamFeed()
    feed.finish(len(text), streams.digest_of(text))
    assembled = ''.join(feed.add(offset, piece) for offset, piece in sent)
    assert assembled == text
    assert feed.is_complete


def test_retry_budget_limits_extra_attempts_to_a_share():
    budget = retries.Budget(ratio=0.1, burst=2.0)
    granted = 0
    for _ in range(100):
        budget.earn()
        granted += budget.spend()
    assert granted <= 2 + 10


def test_exhausted_retry_budget_ends_the_request():
    host = harness.one_stage(count=20)
    for number in range(8):
        host.send(f'r{number}')
        host.fault(host.last_call, Fault.LOST)
    ended = host.effects_of(effects.AnswerCaller)
    assert [a.outcome.code for a in ended] == ['failed'] * 3


def test_refused_connection_ejects_and_probe_readmits():
    host = harness.one_stage()
    host.send()
    dead = host.last_call.target
    host.fault(host.last_call, Fault.CONNECT, was_sent=False)
    assert harness.tracked(host, dead.name).is_ejected
    assert [f.key for f in harness.facts(host, 'ejected')] == [dead.name]
    host.advance(health.FIRST_EJECTION_MS)
    host.deliver(messages.ProbeEnded(dead.name, False))
    assert harness.tracked(host, dead.name).is_ejected
    host.advance(3 * health.FIRST_EJECTION_MS)
    host.deliver(messages.ProbeEnded(dead.name, True))
    assert not harness.tracked(host, dead.name).is_ejected
    assert harness.tracked(host, dead.name).is_on_trial


def test_no_more_than_half_of_a_pool_is_ejected():
    host = harness.one_stage(count=4)
    for name in ('find-0', 'find-1', 'find-2', 'find-3'):
        health.eject(host.requests.context, harness.tracked(host, name), 0)
    ejected = [harness.tracked(host, f'find-{i}').is_ejected for i in range(4)]
    assert sum(ejected) == 2


def test_ejection_needs_reports_of_two_other_hosts():
    host = harness.one_stage()
    fact = coordination_effects.PublishFact('ejected', 'find-0', True, 1)
    harness.deliver_fact(host, fact, 'host-8')
    assert not harness.tracked(host, 'find-0').is_ejected
    harness.deliver_fact(host, fact, 'host-9')
    assert harness.tracked(host, 'find-0').is_ejected
    assert not harness.facts(host, 'ejected')


def test_first_replies_do_not_make_a_target_look_slow():
    host = harness.one_stage()
    harness.warm_up(host, count=6, after_ms=400)
    host.advance(1_000)
    assert not harness.facts(host, 'ejected')


def test_replies_within_a_millisecond_are_accepted():
    host = harness.one_stage()
    harness.warm_up(host, count=20, after_ms=0)
    assert len(host.effects_of(effects.AnswerCaller)) == 20


@pytest.mark.parametrize('is_repeatable', [True, False])
def test_only_repeatable_stages_are_hedged(is_repeatable):
    host = harness.one_stage(is_hedged=True, is_repeatable=is_repeatable)
    sketch = host.requests.context.stage_durations.complete_call(
        harness.PIPELINE, 'find'
    )
    for _ in range(30):
        sketch.add(100)
    host.send(idempotency_key='k')
    first = host.last_call
    host.advance(1_000)
    assert (host.last_call != first) is is_repeatable
    if is_repeatable:
        host.reply(host.last_call, 'second')
        cancelled = host.effects_of(effects.CancelCall)
        assert [c.attempt_id for c in cancelled] == [first.attempt_id]
        assert host.outcome().results == {'find': 'second'}


def test_silent_call_probes_target_and_drops_its_connections():
    host = harness.one_stage()
    host.send()
    target = host.last_call.target
    host.fault(host.last_call, Fault.SILENT)
    probe = host.effects_of(effects.ProbeTarget)[-1]
    assert probe.target == target
    host.deliver(messages.ProbeEnded(target.name, True))
    assert host.effects_of(effects.DropConnections)[-1].target == target
    host.reply(host.last_call)
    assert isinstance(host.outcome(), outcomes.Answered)


def test_stalled_stream_is_resumed_elsewhere():
    host = harness.one_stage(kind=GENERATE)
    pace = host.requests.context.stage_durations.pace(harness.PIPELINE, 'find')
    for _ in range(20):
        pace.add(20)
    host.send(is_stream=True)
    first = host.last_call
    host.piece(first, 0, 'abc')
    host.advance(1_500)
    assert host.last_call.resume_offset == 3
    assert host.last_call.target != first.target
    host.piece(first, 3, 'late')
    host.piece(host.last_call, 3, 'def')
    host.end(host.last_call, 'abcdef')
    sent = ''.join(p.text for p in host.effects_of(effects.SendPiece))
    assert sent == 'abcdef'


def test_request_beyond_deadline_is_refused_with_retry_after():
    host = harness.one_stage(count=1, budget_ms=60_000)
    harness.warm_up(host, after_ms=1_000)
    for number in range(80):
        host.send(f'r{number}')
    refused = host.outcome('r79')
    assert refused.reason == 'cannot_meet_deadline'
    assert refused.retry_after_ms > 0
    assert len(host.calls) < 80


def test_small_workspace_is_admitted_beside_a_large_backlog():
    host = harness.one_stage(count=1, budget_ms=60_000)
    harness.warm_up(host, after_ms=1_000)
    for number in range(80):
        host.send(f'r{number}', workspace='large')
    assert host.outcome('r79').reason == 'cannot_meet_deadline'
    host.send('mine', workspace='small')
    answered = [a.request_id for a in host.effects_of(effects.AnswerCaller)]
    assert 'mine' not in answered


def test_wait_beyond_deadline_ends_early():
    host = harness.one_stage(count=1, budget_ms=60_000)
    harness.warm_up(host, after_ms=1_000)
    host.send('first', deadline_ms=host.now_ms + 60_000)
    host.send('r0', deadline_ms=host.now_ms + 60_000)
    held = harness.tracked(host, 'find-0')
    held.limit = 1.0
    host.send('short', deadline_ms=host.now_ms + 1_500)
    host.advance(1_400)
    assert host.outcome('short').code == 'refused_not_run'


@pytest.mark.parametrize('sign', ['list', 'load', 'fact', 'gone'])
def test_every_sign_of_leaving_stops_new_work(sign):
    host = harness.one_stage(count=2)
    stay, leave = harness.pool('find', 2)
    leaving = harness.pool('find', 2, state=targets.TargetState.LEAVING)[1]
    fact = coordination_effects.PublishFact('leaving', leave.name, True, 1)
    load = targets.Load(0, 0, 8, is_leaving=True)
    signs = {
        'list': lambda: host.deliver(messages.TargetsListed((stay, leaving))),
        'gone': lambda: host.deliver(messages.TargetsListed((stay,))),
        'load': lambda: host.deliver(messages.LoadReported(leave.name, load)),
        'fact': lambda: harness.deliver_fact(host, fact),
    }
    signs[sign]()
    # The host list lags behind and must not override the other signs.
    if sign in ('load', 'fact'):
        host.deliver(messages.TargetsListed((stay, leave)))
    for number in range(6):
        host.send(f'r{number}')
    assert {call.target.name for call in host.calls.values()} == {stay.name}


def test_store_down_refuses_non_repeatable_and_serves_the_rest():
    host = harness.Harness(
        harness.stage('update', is_repeatable=False), harness.stage('publish')
    )
    host.claims.table.is_down = True
    host.send(idempotency_key='k')
    assert host.outcome().reason == 'store_unavailable'
    host.send('r2', idempotency_key='k2')
    assert host.outcome('r2').retry_after_ms > 0
    assert not host.calls


def test_workspace_limit_counts_requests_on_all_hosts():
    limited = (documents.Workspace('small', max_in_flight=2),)
    host = harness.Harness(harness.stage('find'), workspaces=limited)
    host.send('r1')
    harness.deliver_fact(
        host, coordination_effects.PublishFact('usage', 'small', 1, 1)
    )
    host.send('r2')
    assert host.outcome('r2').reason == 'workspace_limit'
    host.reply(host.last_call)
    host.send('r3')
    assert host.last_call.request_id == 'r3'


def test_subsets_of_large_pool_are_even_and_stable():
    listed = harness.pool('find', 400)
    members = [harness.one_stage(name=f'host-{n}') for n in range(50)]
    for host in members:
        host.deliver(messages.TargetsListed(listed))
    subsets = [
        {t.name for t in host.requests.context.directory.pool('find')}
        for host in members
    ]
    assert {len(subset) for subset in subsets} == {32}
    uses = collections.Counter(itertools.chain.from_iterable(subsets))
    assert len(uses) > 380
    members[0].deliver(messages.TargetsListed(listed[1:]))
    remaining = {
        t.name for t in members[0].requests.context.directory.pool('find')
    }
    assert len(remaining & subsets[0]) >= 31
