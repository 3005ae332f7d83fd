"""Platform clients over real sockets: results under faults."""

import random
import socket

import pytest

from bench.standins import host_list as standin_host_list
from bench.standins import objects as standin_objects
from bench.standins import server
from bench.standins import table as standin_table
from godwitglade.common import clock as clocks
from godwitglade.coordination import effects
from godwitglade.coordination import rows
from godwitglade.decisions import effects as decision_effects
from godwitglade.platform import breaker
from godwitglade.platform import host_list
from godwitglade.platform import objects
from godwitglade.platform import service
from godwitglade.platform import table

TIMEOUT_MS = 300
KEY = rows.RowKey('claims', 'k')
WHOLE_LIST = decision_effects.ReadHostList()


@pytest.fixture
def stand_in():
    started = standin_table.Table().start()
    yield started
    started.stop()


def make_service(url, settings=breaker.BreakerSettings(), max_connections=8):
    return service.Service(
        url,
        service.make_pools(max_connections),
        clocks.Clock(),
        random.Random(1),
        settings,
    )


def put(client, version=rows.ABSENT, value=None, key=KEY):
    transaction = rows.Transaction(
        (rows.Condition(key, version),),
        (rows.Write(key, value or {'n': 1}),),
    )
    effect = effects.Transact('t:1', transaction, TIMEOUT_MS)
    return client.transact(effect).result


def read(client, *keys):
    effect = effects.ReadRows('t:2', keys or (KEY,), TIMEOUT_MS)
    return client.read(effect).result


def unused_url():
    with socket.socket() as bound:
        bound.bind(('127.0.0.1', 0))
        return 'http://127.0.0.1:%d' % bound.getsockname()[1]


def test_conditional_write_and_conflict(stand_in):
    client = table.TableClient(make_service(stand_in.url))
    assert put(client) == rows.Committed((1,))
    current = rows.Row(KEY, 1, {'n': 1})
    assert put(client, value={'n': 2}) == rows.Conflict((current,))
    assert put(client, version=1, value={'n': 3}) == rows.Committed((2,))
    assert read(client) == rows.Rows((rows.Row(KEY, 2, {'n': 3}),))
    assert put(client, version=7, key=rows.RowKey('claims', 'z')) == (
        rows.Conflict()
    )


def test_scan_returns_pages_of_one_table_in_key_order(stand_in):
    client = table.TableClient(make_service(stand_in.url))
    names = [('a', '1'), ('b', '3'), ('b', '1'), ('b', '2&=/'), ('c', '1')]
    for name in names:
        put(client, key=rows.RowKey(*name))

    def scan(after):
        effect = effects.ScanRows('t:3', 'b', after, 2, TIMEOUT_MS)
        return [row.key.key for row in client.scan(effect).result.rows]

    assert scan('') == ['1', '2&=/']
    assert scan('2&=/') == ['3']


@pytest.mark.parametrize(
    'faults, written, write_result, read_result',
    [
        ({'lose_answer_after_effect': True}, True, 'Unknown', 'Unavailable'),
        ({'garbage': True}, True, 'Unknown', 'Unavailable'),
        ({'down': True}, False, 'Unknown', 'Unavailable'),
        ({'reset': True}, False, 'Unknown', 'Unavailable'),
        ({'silence': True}, False, 'Unknown', 'Unavailable'),
        ({'error_status': 500}, False, 'Unknown', 'Unavailable'),
        ({'error_status': 503}, False, 'Unknown', 'Unavailable'),
        ({'error_status': 302}, False, 'Unknown', 'Unavailable'),
        ({'error_status': 409}, False, 'Unknown', 'Unavailable'),
        ({'error_status': 400}, False, 'Unavailable', 'Unavailable'),
        ({'slow_ms': 20}, True, 'Committed', 'Rows'),
    ],
)
def test_result_under_fault(
    stand_in, faults, written, write_result, read_result
):
    client = table.TableClient(make_service(stand_in.url))
    stand_in.set_faults(**faults)
    assert type(put(client)).__name__ == write_result
    assert type(read(client)).__name__ == read_result
    stand_in.set_faults()
    assert bool(read(client).rows) is written


def test_delayed_write_is_applied_after_an_unknown_result(stand_in):
    client = table.TableClient(make_service(stand_in.url))
    stand_in.set_faults(slow_ms=2 * TIMEOUT_MS, calls=1)
    assert put(client) == rows.Unknown()
    assert read(client) == rows.Rows()
    while not read(client).rows:
        continue


def test_refused_connection_wrote_nothing():
    client = table.TableClient(make_service(unused_url()))
    assert isinstance(put(client), rows.Unavailable)


def test_exhausted_connections_write_nothing(stand_in):
    service_ = make_service(stand_in.url, max_connections=1)
    stand_in.set_faults(silence=True)
    pool = service_._pools.connection_from_url(stand_in.url)
    connection = pool._get_conn()
    assert isinstance(put(table.TableClient(service_)), rows.Unavailable)
    pool._put_conn(connection)
    assert put(table.TableClient(service_)) == rows.Unknown()


def test_open_breaker_blocks_calls_to_the_service(stand_in):
    settings = breaker.BreakerSettings(failures_to_open=2, open_ms=60_000)
    client = table.TableClient(make_service(stand_in.url, settings))
    stand_in.set_faults(error_status=500)
    assert [put(client), put(client)] == [rows.Unknown()] * 2
    stand_in.set_faults()
    result = put(client)
    assert isinstance(result, rows.Unavailable)
    assert result.retry_after_ms >= 30_000


def run_actions(clock, states, actions):
    """Run actions and advance the clock, recording refusals in states."""
    for action in actions:
        if isinstance(action, int):
            clock.advance(action)
            continue
        try:
            action()
        except breaker.BreakerOpenError:
            states.append('refused')
    return states


def test_breaker_allows_one_trial_and_backs_off():
    clock = clocks.ManualClock()
    settings = breaker.BreakerSettings(2, open_ms=100, max_open_ms=150)
    tested = breaker.Breaker(clock, random.Random(2), settings)
    states = []

    def admit():
        tested.admit()
        states.append(tested.state.value)

    run_actions(
        clock,
        states,
        [admit, tested.record_failure, admit, tested.record_failure, admit],
    )
    run_actions(
        clock,
        states,
        [49, admit, 101, admit, admit, tested.record_failure, admit],
    )
    run_actions(clock, states, [225, admit, tested.record_success, admit])
    assert states == [
        'closed',
        'closed',
        'refused',
        'refused',
        'half_open',
        'refused',
        'refused',
        'half_open',
        'closed',
    ]


def test_success_of_a_call_from_before_opening_keeps_the_breaker_open():
    settings = breaker.BreakerSettings(failures_to_open=1)
    tested = breaker.Breaker(clocks.ManualClock(), random.Random(3), settings)
    tested.admit()
    tested.admit()
    tested.record_failure()
    tested.record_success()
    assert tested.state is breaker.BreakerState.OPEN


@pytest.mark.parametrize(
    'faults, is_stored',
    [({}, True), ({'error_status': 500}, False), ({'down': True}, False)],
)
def test_write_reports_whether_the_object_is_stored(faults, is_stored):
    stand_in = standin_objects.Objects().start()
    client = objects.ObjectClient(make_service(stand_in.url))
    stand_in.set_faults(**faults)
    write = effects.WriteObject('snapshots/a b', b'\x00\xff')
    assert client.write(write) is is_stored
    stand_in.set_faults()
    result = client.read(effects.ReadObject('o:1', 'snapshots/a b'))
    stand_in.stop()
    assert (result.token, result.content == b'\x00\xff') == ('o:1', is_stored)


ENTRIES = [
    {
        'name': 'pool-1',
        'role': 'target',
        'pool': 'encoders',
        'zone': 'north-1',
        'address': '127.0.0.1:9',
        'state': 'leaving',
    },
    {
        'name': 'entry-1',
        'role': 'entry',
        'zone': 'north-2',
        'address': '127.0.0.1:8',
        'state': 'live',
    },
    {'name': 7, 'role': 'target'},
    {'name': 'x', 'role': ['entry']},
    'noise',
]


def test_host_list_skips_malformed_entries():
    stand_in = standin_host_list.Hosts().start()
    stand_in.entries = ENTRIES
    client = host_list.HostListClient(make_service(stand_in.url))
    result = client.read(WHOLE_LIST)
    assert [t.name for t in result.targets] == ['pool-1']
    assert result.targets[0].state.value == 'leaving'
    assert [h.address for h in result.entry_hosts] == ['127.0.0.1:8']
    assert result.skipped == 3
    for faults in ({'garbage': True}, {'down': True}, {'error_status': 404}):
        stand_in.set_faults(**faults)
        assert isinstance(client.read(WHOLE_LIST), rows.Unavailable)
    stand_in.stop()


@pytest.mark.parametrize('zone, role', [('', ''), ('north-2', 'entry')])
@pytest.mark.parametrize('has_etag', [True, False])
def test_host_list_is_parsed_only_when_it_changed(zone, role, has_etag):
    stand_in = standin_host_list.Hosts().start()
    if not has_etag:
        stand_in.handle = lambda _: server.Reply({'hosts': stand_in.entries})
    stand_in.entries = ENTRIES[:2]
    client = host_list.HostListClient(make_service(stand_in.url))
    query = decision_effects.ReadHostList(zone, role)
    assert len(client.read(query).entry_hosts) == 1
    assert client.read(query) == host_list.Unchanged()
    stand_in.entries = [*ENTRIES[:2], {**ENTRIES[1], 'name': 'entry-9'}]
    result = client.read(query)
    assert [h.name for h in result.entry_hosts][-1] == 'entry-9'
    assert client.read(query) == host_list.Unchanged()
    stand_in.stop()
