"""Tests every outcome of a call to a target over real sockets."""

import socket
import threading
import time

import pytest

from bench.standins import engine
from bench.standins import pool
from godwitglade.common import clock as clocks
from godwitglade.decisions import effects
from godwitglade.decisions import messages
from godwitglade.decisions import targets
from godwitglade.targets import connections
from godwitglade.targets import target_client

PIECES = 6


@pytest.fixture
def pool_target():
    started = pool.Pool(work_ms=0).start()
    yield started
    started.stop()


@pytest.fixture
def engine_target():
    started = engine.Engine(pieces=PIECES, pace_ms=1).start()
    yield started
    started.stop()


@pytest.fixture
def client():
    return target_client.TargetClient(clocks.Clock())


def target_at(address):
    return targets.Target('t1', 'p', 'z', address)


def make_call(address, attempt_id='a1', **fields):
    values = {
        'request_id': 'r1',
        'stage': 's1',
        'attempt_id': attempt_id,
        'target': target_at(address),
        'path': '/v1/run',
        'payload': {'identity': 'driver-1'},
        'timeout_ms': 2_000,
        'first_byte_ms': 300,
        **fields,
    }
    return effects.CallTarget(**values)


def make_engine_call(address, **fields):
    payload = {'model': 'm', 'prompt': 'p', 'input': {}}
    completion = {'is_stream': True, 'path': '/v1/completions', **fields}
    return make_call(address, payload=payload, **completion)


def run(client, effect):
    posted = []
    client.call(effect, posted.append)
    return posted


def run_to_fault(client, effect):
    """Return kind, was_sent and is_crash of a call that just fails."""
    (message,) = run(client, effect)
    assert message.attempt_id == effect.attempt_id
    return message.kind.value, message.was_sent, message.is_crash


def unused_address():
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return '127.0.0.1:%d' % probe.getsockname()[1]


def test_reply_carries_ids_output_cost_and_load(client, pool_target):
    (message,) = run(client, make_call(pool_target.address))
    assert isinstance(message, messages.StageReplied)
    assert (message.request_id, message.stage) == ('r1', 's1')
    assert message.output['identity'] == 'driver-1'
    assert message.load.capacity == 32


@pytest.mark.parametrize(
    'faults, expected',
    [
        ({'busy': True}, ('busy', False, False)),
        ({'leaving': True}, ('leaving', False, False)),
        ({'error_status': 400}, ('rejected', True, False)),
        ({'error_status': 500}, ('error', True, False)),
        ({'error_status': 503}, ('error', True, False)),
        ({'error_status': 302}, ('error', True, False)),
        ({'garbage': True}, ('error', True, False)),
        ({'reset': True, 'calls': 1}, ('lost', True, False)),
        ({'lose_answer_after_effect': True}, ('lost', True, True)),
        (
            {'lose_answer_after_effect': True, 'path': '/v1/run'},
            ('lost', True, False),
        ),
        ({'crash': True, 'path': '/v1/run'}, ('lost', True, True)),
        ({'silence': True}, ('silent', True, False)),
        ({'slow_ms': 500, 'calls': 1}, ('silent', True, False)),
    ],
)
def test_fault_classification(client, pool_target, faults, expected):
    pool_target.set_faults(**faults)
    assert run_to_fault(client, make_call(pool_target.address)) == expected


def test_refused_connection_is_reported_as_not_sent(client):
    effect = make_call(unused_address())
    assert run_to_fault(client, effect) == ('connect', False, False)


def test_not_run_reply_carries_the_load(client, pool_target):
    pool_target.set_faults(leaving=True)
    (message,) = run(client, make_call(pool_target.address))
    assert message.load.is_leaving


def test_call_ends_at_its_timeout(client, pool_target):
    pool_target.set_faults(silence=True)
    effect = make_call(
        pool_target.address, timeout_ms=100, first_byte_ms=5_000
    )
    assert run_to_fault(client, effect) == ('timeout', True, False)


def test_reply_for_another_attempt_is_posted_and_fails_this_one(
    client, pool_target
):
    def answer_other(plain):
        return original({**plain, 'attempt_id': 'other'})

    original, pool_target._run = pool_target._run, answer_other
    reply, fault = run(client, make_call(pool_target.address))
    assert reply.attempt_id == 'other'
    assert (fault.attempt_id, fault.kind.value) == ('a1', 'error')


def test_stream_arrives_in_order_and_its_connection_is_reused(
    client, engine_target
):
    effect = make_engine_call(engine_target.address)
    *pieces, end = run(client, effect)
    text = ''.join(piece.text for piece in pieces)
    offsets = [piece.offset for piece in pieces]
    assert offsets == [8 * number for number in range(PIECES)]
    assert end.length == len(text) == 8 * PIECES
    run(client, effect)
    assert len(client._pool(effect.target)._idle) == 1


def test_resumed_stream_continues_with_the_same_text(client, engine_target):
    address = engine_target.address
    *pieces, end = run(client, make_engine_call(address))
    resumed = make_engine_call(address, resume_offset=24, prefix='x' * 24)
    *rest, resumed_end = run(client, resumed)
    assert rest == pieces[3:]
    assert resumed_end.digest == end.digest


@pytest.mark.parametrize('cut_after', [0, 1, PIECES])
def test_stream_without_its_final_frame_is_lost(
    client, engine_target, cut_after
):
    engine_target.set_faults(cut_stream_after=cut_after)
    *pieces, fault = run(client, make_engine_call(engine_target.address))
    assert len(pieces) == cut_after
    assert (fault.kind.value, fault.is_crash) == ('lost', False)


def test_stream_that_stalls_is_silent(client, engine_target):
    engine_target._pace_ms = 400
    effect = make_engine_call(engine_target.address, first_byte_ms=100)
    assert run_to_fault(client, effect) == ('silent', True, False)


def start_call(client, effect):
    posted = []
    thread = threading.Thread(target=client.call, args=(effect, posted.append))
    thread.start()
    return thread, posted


def wait_for(condition):
    deadline_s = time.monotonic() + 10
    while not condition():
        assert time.monotonic() < deadline_s
        time.sleep(0.002)


def test_cancelled_call_ends_at_once_and_notifies_the_target(
    client, pool_target
):
    pool_target.set_faults(silence=True, path='/v1/run')
    effect = make_call(
        pool_target.address, timeout_ms=60_000, first_byte_ms=60_000
    )
    thread, posted = start_call(client, effect)
    wait_for(lambda: len(client._attempts) == 1)
    client.cancel(effects.CancelCall('a1', effect.target))
    thread.join(10)
    assert not thread.is_alive()
    assert posted == []
    assert pool_target.work.cancelled == ['a1']


def test_call_cancelled_before_its_start_sends_nothing(client, pool_target):
    effect = make_call(pool_target.address)
    client.cancel(effects.CancelCall('a1', effect.target))
    assert run(client, effect) == []
    assert pool_target.work.runs == []
    assert len(run(client, make_call(pool_target.address, 'a2'))) == 1


def test_dropping_connections_replaces_silent_ones(client, pool_target):
    effect = make_call(pool_target.address)
    run(client, effect)
    pool_target.set_faults(silence_open=True)
    assert run_to_fault(client, effect)[0] == 'silent'
    run(client, effect)
    pool_target.set_faults(silence_open=True)
    client.drop_connections(effects.DropConnections(effect.target))
    (message,) = run(client, effect)
    assert isinstance(message, messages.StageReplied)


def test_dropping_closes_connections_in_use_when_given_back():
    clock = clocks.ManualClock(100)
    connection_pool = connections.ConnectionPool('127.0.0.1:1', clock)
    in_use = connections.Connection('127.0.0.1:1', clock)
    in_use.opened_ms = 100
    connection_pool.drop_opened_until_now()
    connection_pool.release(in_use)
    assert connection_pool._idle == []


@pytest.mark.parametrize(
    'idle_ms, needs_recent_contact, is_reused',
    [
        (0, True, True),
        (connections.RECENT_CONTACT_MS + 1, True, False),
        (connections.RECENT_CONTACT_MS + 1, False, True),
        (connections.MAX_IDLE_MS + 1, False, False),
    ],
)
def test_idle_connection_is_reused_only_after_recent_contact(
    pool_target, idle_ms, needs_recent_contact, is_reused
):
    clock = clocks.ManualClock(100)
    connection_pool = connections.ConnectionPool(pool_target.address, clock)
    first = connection_pool.acquire(needs_recent_contact, 1_000)
    connection_pool.release(first)
    clock.advance(idle_ms)
    assert (
        connection_pool.acquire(needs_recent_contact, 1_000) is first
    ) is is_reused


def test_connection_closed_by_the_target_is_replaced(client, pool_target):
    effect = make_call(pool_target.address)
    run(client, effect)
    pool_target._server.close_connections()
    wait_for(lambda: not client._pool(effect.target)._idle[0].is_usable())
    (message,) = run(client, effect)
    assert isinstance(message, messages.StageReplied)


@pytest.mark.parametrize(
    'faults, expected',
    [
        ({}, [True]),
        ({'silence': True}, [False]),
        ({'down': True}, [False]),
    ],
)
def test_probe(client, engine_target, faults, expected):
    engine_target.set_faults(**faults)
    posted = []
    target = target_at(engine_target.address)
    client.probe(effects.ProbeTarget(target, 200), posted.append)
    assert [m.is_alive for m in posted[:1]] == expected
    loads = [m.load.capacity for m in posted[1:]]
    assert loads == [64] * expected.count(True)


def make_order(address, number, send_until_ms, order=None):
    return effects.OrderEngine(
        'orders:1', target_at(address), order, number, send_until_ms
    )


def test_order_after_its_send_limit_is_not_sent(engine_target):
    clock = clocks.ManualClock(1_000)
    client = target_client.TargetClient(clock)
    address = engine_target.address
    order = {'model': 'm', 'version': '2'}
    answered = client.order(make_order(address, 3, 1_000, order))
    assert (answered.is_refused, answered.state['version']) == (False, '2')
    clock.advance(1)
    late = client.order(make_order(address, 4, 1_000, {'version': '3'}))
    assert (late.is_refused, late.state) == (False, None)
    state = client.order(make_order(address, 0, 0)).state
    assert (state['version'], state['fencing_number']) == ('2', 3)


def test_engine_refuses_an_old_fencing_number(client):
    stand_in = engine.Engine(checks_fencing=True).start()
    address = stand_in.address
    until_ms = clocks.Clock().monotonic_ms() + 10_000
    client.order(make_order(address, 5, until_ms, {'version': '2'}))
    answered = client.order(make_order(address, 4, until_ms, {'version': '1'}))
    stand_in.stop()
    assert (answered.is_refused, answered.state['version']) == (True, '2')
