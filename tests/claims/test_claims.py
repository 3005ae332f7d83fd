"""At-most-once claims under lost results, crashes, pauses and outages."""

import random

import pytest

from godwitglade.coordination import claim_batches
from godwitglade.coordination import claim_rows
from godwitglade.coordination import claim_sweep
from godwitglade.coordination import claims
from godwitglade.coordination import effects
from godwitglade.coordination import hosts
from godwitglade.coordination import messages
from godwitglade.coordination import rows
from proof import claim_world

PAST_DEADLINE_MS = 2 * claim_world.SEND_BY_MS


def granted_world(count=2):
    world = claim_world.ClaimWorld(count)
    world.claim(0)
    world.answer_write(0)
    assert world.send(0)
    return world


def verdict_of_resend(world, host=1, **options):
    world.claim(host, **options)
    for _ in range(10):
        world.answer_writes()
        world.advance(50)
    return world.hosts[host].verdicts[-1].verdict


def test_claim_costs_one_write_before_and_one_after():
    world = granted_world()
    assert world.row().state is claim_rows.State.DISPATCHED
    world.settle(0)
    world.answer_write(0)
    assert world.row().outcome == claim_world.OUTCOME
    assert world.table.version(claim_rows.row_key(claim_world.KEY)) == 2


@pytest.mark.parametrize('host', [0, 1])
@pytest.mark.parametrize('padding', [0, claim_rows.MAX_OUTCOME_BYTES])
def test_resend_gets_the_recorded_outcome(host, padding):
    world = granted_world()
    outcome = {'outcome': 'answered', 'text': 'x' * padding}
    world.settle(0, outcome)
    world.answer_write(0)
    assert verdict_of_resend(world, host) == claims.Done(outcome)
    assert world.look_up(host) == 'settled'


def test_missing_outcome_object_does_not_free_the_key():
    world = granted_world()
    world.settle(0, {'text': 'x' * claim_rows.MAX_OUTCOME_BYTES})
    world.answer_write(0)
    world.objects.clear()
    assert isinstance(verdict_of_resend(world), claims.HeldElsewhere)
    assert world.look_up(1) == 'unknown'


@pytest.mark.parametrize('fault', ['lose_answer', 'delay_write'])
def test_outcome_is_recorded_despite_lost_results(fault):
    world = granted_world()
    world.settle(0)
    getattr(world, fault)(0)
    assert verdict_of_resend(world) == claims.Done(claim_world.OUTCOME)
    assert world.row().state is claim_rows.State.SETTLED


def test_outcome_is_recorded_after_a_store_outage():
    world = granted_world()
    world.settle(0)
    for _ in range(20):
        world.refuse_write(0)
        world.advance(40_000)
    world.answer_write(0)
    assert world.row().state is claim_rows.State.SETTLED


@pytest.mark.parametrize(
    'host, is_down, is_running',
    [(0, False, True), (1, False, True), (1, True, False)],
)
def test_dispatched_claim_is_never_granted_again(host, is_down, is_running):
    world = granted_world()
    if is_down:
        world.crash(0)
    found = verdict_of_resend(world, host)
    assert isinstance(found, claims.HeldElsewhere)
    assert found.is_running is is_running
    assert world.look_up(1) == ('running' if is_running else 'unknown')


def test_restarted_owner_reports_unknown_for_earlier_calls():
    world = granted_world()
    owner = hosts.HostId('host-0', 'zone-a', 2)
    world.hosts[0].claims = claims.Claims(owner, random.Random(1), '0')
    found = verdict_of_resend(world)
    assert found.is_running is False


@pytest.mark.parametrize('fault', ['lose_answer', 'delay_write'])
def test_repeated_write_settles_a_lost_result(fault):
    world = claim_world.ClaimWorld()
    world.claim(0)
    getattr(world, fault)(0)
    assert not world.send(0)
    world.advance(100)
    world.answer_write(0)
    assert world.hosts[0].verdict == 'Granted'


def test_claim_whose_write_may_still_be_applied_ends_undecided():
    world = claim_world.ClaimWorld()
    world.claim(0)
    world.delay_write(0)
    while world.hosts[0].verdict == '':
        if world.hosts[0].writes:
            world.refuse_write(0)
        world.advance(40)
    assert world.hosts[0].verdict == 'Undecided'


def test_refusal_row_makes_a_late_insert_conflict():
    world = claim_world.ClaimWorld()
    world.claim(0)
    while world.now_ms < claim_world.SEND_BY_MS - 400:
        if world.hosts[0].writes:
            world.delay_write(0)
        world.advance(50)
    world.answer_write(0)
    assert world.hosts[0].verdict == 'NotRun'
    while world.hosts[0].lingering:
        world.land(0)
    assert world.row().state is claim_rows.State.NOT_RUN
    assert verdict_of_resend(world) == claims.Granted()


def test_abandoned_claim_is_released_when_its_write_is_applied():
    world = claim_world.ClaimWorld()
    world.claim(0)
    world.delay_write(0)
    world.advance(PAST_DEADLINE_MS)
    world.land(0)
    assert world.hosts[0].verdict == 'Undecided'
    assert not world.send(0)
    assert verdict_of_resend(world) == claims.Granted()


def test_owner_releases_a_key_of_a_finished_claim():
    world = claim_world.ClaimWorld()
    world.claim(0)
    pending = world.hosts[0].writes[0]
    world.refuse_write(0)
    assert world.hosts[0].verdict == 'NotRun'
    world.table.apply(pending.transaction)
    assert verdict_of_resend(world) == claims.Granted()


def test_peer_query_retries_a_waiting_release_at_once():
    world = granted_world()
    world.hosts[0].sent.clear()
    world.release(0)
    for _ in range(10):
        world.refuse_write(0)
        world.advance(60_000)
    world.refuse_write(0)
    assert not world.hosts[0].writes
    assert verdict_of_resend(world) == claims.Granted()


def test_store_outage_ends_a_claim_as_not_run():
    world = claim_world.ClaimWorld()
    world.claim(0)
    world.refuse_write(0)
    found = world.hosts[0].verdicts[-1].verdict
    assert found == claims.NotRun('store_unavailable')


def test_host_resumed_after_its_deadline_does_not_send():
    world = claim_world.ClaimWorld()
    world.claim(0)
    world.answer_write(0)
    world.now_ms += PAST_DEADLINE_MS
    assert not world.send(0)
    world.release(0)
    world.lose_answer(0)
    assert verdict_of_resend(world) == claims.Granted()


@pytest.mark.parametrize('lost_first', [0, 1])
def test_only_one_of_racing_hosts_sends(lost_first):
    world = claim_world.ClaimWorld(3)
    for host in range(3):
        world.claim(host)
    world.lose_answer(lost_first)
    world.answer_writes()
    world.advance(100)
    world.answer_writes()
    assert [world.send(host) for host in range(3)].count(True) == 1


@pytest.mark.parametrize('host', [0, 1])
def test_key_reused_by_another_request_is_refused(host):
    world = granted_world()
    found = verdict_of_resend(world, host, digest='other')
    assert found == claims.KeyReused()


def test_malformed_row_is_not_overwritten():
    world = claim_world.ClaimWorld()
    key = claim_rows.row_key(claim_world.KEY)
    world.table.rows_by_key[key] = rows.Row(key, 3, {'state': 'future'})
    world.claim(0)
    world.answer_writes()
    assert world.hosts[0].verdict == 'Undecided'
    assert world.table.version(key) == 3


def test_claims_during_a_write_share_one_transaction():
    world = claim_world.ClaimWorld(1)
    keys = [f'key-{number}' for number in range(10)]
    for key in keys:
        world.claim(0, key)
    first_group, second_group = 1, len(keys) - 1
    for expected in (first_group, second_group):
        assert len(world.hosts[0].writes[0].transaction.writes) == expected
        world.answer_write(0)
    names = [type(v.verdict).__name__ for v in world.hosts[0].verdicts]
    assert names == ['Granted'] * len(keys)


def test_conflict_in_a_group_affects_only_its_own_claim():
    world = claim_world.ClaimWorld(2)
    world.claim(1, 'key-2')
    world.answer_write(1)
    for number in range(5):
        world.claim(0, f'key-{number}')
    world.answer_writes()
    found = {v.claim_key: v.verdict for v in world.hosts[0].verdicts}
    held = found.pop('key-2')
    assert isinstance(held, claims.HeldElsewhere)
    assert set(found.values()) == {claims.Granted()}


def test_group_is_sent_after_the_maximum_wait():
    world = claim_world.ClaimWorld(1)
    world.claim(0, 'key-1')
    world.claim(0, 'key-2')
    assert len(world.hosts[0].writes) == 1
    world.advance(claim_batches.MAX_WAIT_MS)
    assert len(world.hosts[0].writes) == 2


@pytest.mark.parametrize(
    'state, age_ms, is_deleted',
    [
        ('settled', claim_sweep.RETENTION_MS - 1, False),
        ('settled', claim_sweep.RETENTION_MS + 1, True),
        ('dispatched', claim_sweep.RETENTION_MS + 1, False),
        ('dispatched', claim_sweep.UNSETTLED_RETENTION_MS + 1, True),
    ],
)
def test_rows_are_deleted_after_their_retention(state, age_ms, is_deleted):
    owner = hosts.HostId('host-0', 'zone-a', 1)
    host_claims = claims.Claims(owner, random.Random(1))
    content = claim_rows.ClaimRow(claim_rows.State(state), owner, 'n', 'd')
    write = claim_rows.write('key', content)
    found = rows.Rows((rows.Row(write.key, 2, write.value),))
    message = messages.ReadSettled(claim_sweep.TOKEN, found)
    follow_ups = host_claims.handle(message, age_ms)
    deleted = [e for e in follow_ups if isinstance(e, effects.Transact)]
    assert bool(deleted) is is_deleted
