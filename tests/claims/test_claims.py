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
from proof import claim_simulation

PAST_DEADLINE_MS = 2 * claim_simulation.SEND_BY_MS


def granted_simulation(count=2):
    simulation = claim_simulation.ClaimSimulation(count)
    simulation.claim(0)
    simulation.answer_write(0)
    assert simulation.send(0)
    return simulation


def verdict_of_resend(simulation, host=1, **options):
    simulation.claim(host, **options)
    for _ in range(10):
        simulation.answer_writes()
        simulation.advance(50)
    return simulation.hosts[host].verdicts[-1].verdict


def test_claim_costs_one_write_before_and_one_after():
    simulation = granted_simulation()
    assert simulation.row().state is claim_rows.State.DISPATCHED
    simulation.settle(0)
    simulation.answer_write(0)
    assert simulation.row().outcome == claim_simulation.OUTCOME
    assert (
        simulation.table.version(claim_rows.row_key(claim_simulation.KEY)) == 2
    )


@pytest.mark.parametrize('host', [0, 1])
@pytest.mark.parametrize('padding', [0, claim_rows.MAX_OUTCOME_BYTES])
def test_resend_gets_the_recorded_outcome(host, padding):
    simulation = granted_simulation()
    outcome = {'outcome': 'answered', 'text': 'x' * padding}
    simulation.settle(0, outcome)
    simulation.answer_write(0)
    assert verdict_of_resend(simulation, host) == claims.Done(outcome)
    assert simulation.look_up(host) == 'settled'


def test_missing_outcome_object_does_not_free_the_key():
    simulation = granted_simulation()
    simulation.settle(0, {'text': 'x' * claim_rows.MAX_OUTCOME_BYTES})
    simulation.answer_write(0)
    simulation.objects.clear()
    assert isinstance(verdict_of_resend(simulation), claims.HeldElsewhere)
    assert simulation.look_up(1) == 'unknown'


@pytest.mark.parametrize('fault', ['lose_answer', 'delay_write'])
def test_outcome_is_recorded_despite_lost_results(fault):
    simulation = granted_simulation()
    simulation.settle(0)
    getattr(simulation, fault)(0)
    assert verdict_of_resend(simulation) == claims.Done(
        claim_simulation.OUTCOME
    )
    assert simulation.row().state is claim_rows.State.SETTLED


def test_outcome_is_recorded_after_a_store_outage():
    simulation = granted_simulation()
    simulation.settle(0)
    for _ in range(20):
        simulation.refuse_write(0)
        simulation.advance(40_000)
    simulation.answer_write(0)
    assert simulation.row().state is claim_rows.State.SETTLED


@pytest.mark.parametrize(
    'host, is_down, is_running',
    [(0, False, True), (1, False, True), (1, True, False)],
)
def test_dispatched_claim_is_never_granted_again(host, is_down, is_running):
    simulation = granted_simulation()
    if is_down:
        simulation.crash(0)
    found = verdict_of_resend(simulation, host)
    assert isinstance(found, claims.HeldElsewhere)
    assert found.is_running is is_running
    assert simulation.look_up(1) == ('running' if is_running else 'unknown')


def test_restarted_owner_reports_unknown_for_earlier_calls():
    simulation = granted_simulation()
    owner = hosts.HostId('host-0', 'zone-a', 2)
    simulation.hosts[0].claims = claims.Claims(owner, random.Random(1), '0')
    found = verdict_of_resend(simulation)
    assert found.is_running is False


@pytest.mark.parametrize('fault', ['lose_answer', 'delay_write'])
def test_repeated_write_settles_a_lost_result(fault):
    simulation = claim_simulation.ClaimSimulation()
    simulation.claim(0)
    getattr(simulation, fault)(0)
    assert not simulation.send(0)
    simulation.advance(100)
    simulation.answer_write(0)
    assert simulation.hosts[0].verdict == 'Granted'


def test_claim_whose_write_may_still_be_applied_ends_undecided():
    simulation = claim_simulation.ClaimSimulation()
    simulation.claim(0)
    simulation.delay_write(0)
    while simulation.hosts[0].verdict == '':
        if simulation.hosts[0].writes:
            simulation.refuse_write(0)
        simulation.advance(40)
    assert simulation.hosts[0].verdict == 'Undecided'


def test_refusal_row_makes_a_late_insert_conflict():
    simulation = claim_simulation.ClaimSimulation()
    simulation.claim(0)
    while simulation.now_ms < claim_simulation.SEND_BY_MS - 400:
        if simulation.hosts[0].writes:
            simulation.delay_write(0)
        simulation.advance(50)
    simulation.answer_write(0)
    assert simulation.hosts[0].verdict == 'NotRun'
    while simulation.hosts[0].lingering:
        simulation.apply_delayed_write(0)
    assert simulation.row().state is claim_rows.State.NOT_RUN
    assert verdict_of_resend(simulation) == claims.Granted()


def test_abandoned_claim_is_released_when_its_write_is_applied():
    simulation = claim_simulation.ClaimSimulation()
    simulation.claim(0)
    simulation.delay_write(0)
    simulation.advance(PAST_DEADLINE_MS)
    simulation.apply_delayed_write(0)
    assert simulation.hosts[0].verdict == 'Undecided'
    assert not simulation.send(0)
    assert verdict_of_resend(simulation) == claims.Granted()


def test_owner_releases_a_key_of_a_finished_claim():
    simulation = claim_simulation.ClaimSimulation()
    simulation.claim(0)
    pending = simulation.hosts[0].writes[0]
    simulation.refuse_write(0)
    assert simulation.hosts[0].verdict == 'NotRun'
    simulation.table.apply(pending.transaction)
    assert verdict_of_resend(simulation) == claims.Granted()


def test_peer_query_retries_a_waiting_release_at_once():
    simulation = granted_simulation()
    simulation.hosts[0].sent.clear()
    simulation.release(0)
    for _ in range(10):
        simulation.refuse_write(0)
        simulation.advance(60_000)
    simulation.refuse_write(0)
    assert not simulation.hosts[0].writes
    assert verdict_of_resend(simulation) == claims.Granted()


def test_store_outage_ends_a_claim_as_not_run():
    simulation = claim_simulation.ClaimSimulation()
    simulation.claim(0)
    simulation.refuse_write(0)
    found = simulation.hosts[0].verdicts[-1].verdict
    assert found == claims.NotRun('store_unavailable')


def test_host_resumed_after_its_deadline_does_not_send():
    simulation = claim_simulation.ClaimSimulation()
    simulation.claim(0)
    simulation.answer_write(0)
    simulation.now_ms += PAST_DEADLINE_MS
    assert not simulation.send(0)
    simulation.release(0)
    simulation.lose_answer(0)
    assert verdict_of_resend(simulation) == claims.Granted()


@pytest.mark.parametrize('lost_first', [0, 1])
def test_only_one_of_racing_hosts_sends(lost_first):
    simulation = claim_simulation.ClaimSimulation(3)
    for host in range(3):
        simulation.claim(host)
    simulation.lose_answer(lost_first)
    simulation.answer_writes()
    simulation.advance(100)
    simulation.answer_writes()
    assert [simulation.send(host) for host in range(3)].count(True) == 1


@pytest.mark.parametrize('host', [0, 1])
def test_key_reused_by_another_request_is_refused(host):
    simulation = granted_simulation()
    found = verdict_of_resend(simulation, host, digest='other')
    assert found == claims.KeyReused()


def test_malformed_row_is_not_overwritten():
    simulation = claim_simulation.ClaimSimulation()
    key = claim_rows.row_key(claim_simulation.KEY)
    simulation.table.rows_by_key[key] = rows.Row(key, 3, {'state': 'future'})
    simulation.claim(0)
    simulation.answer_writes()
    assert simulation.hosts[0].verdict == 'Undecided'
    assert simulation.table.version(key) == 3


def test_claims_during_a_write_share_one_transaction():
    simulation = claim_simulation.ClaimSimulation(1)
    keys = [f'key-{number}' for number in range(10)]
    for key in keys:
        simulation.claim(0, key)
    first_group, second_group = 1, len(keys) - 1
    for expected in (first_group, second_group):
        assert (
            len(simulation.hosts[0].writes[0].transaction.writes) == expected
        )
        simulation.answer_write(0)
    names = [type(v.verdict).__name__ for v in simulation.hosts[0].verdicts]
    assert names == ['Granted'] * len(keys)


def test_conflict_in_a_group_affects_only_its_own_claim():
    simulation = claim_simulation.ClaimSimulation(2)
    simulation.claim(1, 'key-2')
    simulation.answer_write(1)
    for number in range(5):
        simulation.claim(0, f'key-{number}')
    simulation.answer_writes()
    found = {v.claim_key: v.verdict for v in simulation.hosts[0].verdicts}
    held = found.pop('key-2')
    assert isinstance(held, claims.HeldElsewhere)
    assert set(found.values()) == {claims.Granted()}


def test_group_is_sent_after_the_maximum_wait():
    simulation = claim_simulation.ClaimSimulation(1)
    simulation.claim(0, 'key-1')
    simulation.claim(0, 'key-2')
    assert len(simulation.hosts[0].writes) == 1
    simulation.advance(claim_batches.MAX_WAIT_MS)
    assert len(simulation.hosts[0].writes) == 2


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
