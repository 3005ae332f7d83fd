"""The edge program over real sockets, before stand-ins of the platform."""

import concurrent.futures
import contextlib
import http.client
import socket
import time

import pytest

from bench.standins import edge_document
from bench.standins import edge_platform
from godwitglade.routing import messages
from godwitglade.routing import stopping
from tests.edge import deployment


@pytest.fixture
def edge():
    made = deployment.Deployment()
    yield made
    made.stop()


EVENTS = b''.join(edge_platform.event(n) for n in range(1, 7))


@pytest.mark.parametrize(
    ('path', 'behaviours', 'status', 'runs'),
    [
        ('/once/x', ['ok'], 200, 1),
        ('/once/x', ['error'], 500, 1),
        ('/once/x', ['not_run', 'ok'], 200, 2),
        ('/once/x', ['not_run'], 503, 2),
        ('/once/x', ['misdirected', 'ok'], 200, 2),
        ('/once/x', ['busy_after_run'], 502, 1),
        ('/once/x', ['foreign'], 502, 1),
        ('/once/x', ['unsigned'], 502, 1),
        ('/once/x', ['encoded'], 502, 1),
        ('/once/x', ['short'], 502, 1),
        ('/once/x', ['garbage'], 502, 1),
        ('/once/x', ['reset'], 502, 1),
        ('/read/x', ['error', 'ok'], 200, 2),
        ('/read/x', ['reset', 'ok'], 200, 2),
        ('/read/x', ['short', 'ok'], 200, 2),
        ('/read/x', ['silent', 'ok'], 200, 2),
        ('/read/x', ['error'], 500, 2),
    ],
)
def test_caller_gets_a_whole_answer_or_the_truth(
    edge, path, behaviours, status, runs
):
    edge.behave('app', *behaviours)
    response = edge.ask(path)
    assert response.status == status
    assert len(edge.runs('app')) == runs
    assert (response.content == b'whole') is (status == 200)
    has_time = 'Retry-After' in response.headers
    assert has_time is (status == 503)


def test_target_gets_the_request_unchanged_but_for_our_headers(edge):
    edge.ask(
        '/once/a%2Fb?c=d',
        body=b'exact bytes',
        X_Tenant='forged',
        X_Pin_Ms='9',
        X_Other='kept',
        Connection='close, X-Hop',
        X_Hop='dropped',
    )
    (run,) = edge.runs('app')
    assert (run.method, run.path) == ('POST', '/once/a%2Fb')
    assert run.query == {'c': 'd'}
    assert run.body == b'exact bytes'
    assert run.headers['X-Tenant'] == 'desk'
    assert run.headers['X-Other'] == 'kept'
    assert int(run.headers['X-Deadline-Ms']) <= 1_500
    assert run.headers['X-Expect-Instance'].startswith('app-')
    for name in ('Authorization', 'X-Pin-Ms', 'X-Hop'):
        assert name not in run.headers


@pytest.mark.parametrize(
    ('path', 'key', 'status'),
    [
        ('/once/x', 'wrong', 401),
        ('/once/x', None, 401),
        ('/open/x', None, 200),
        ('/none/x', 'key-1', 404),
    ],
)
def test_routes_and_keys(edge, path, key, status):
    assert edge.ask(path, key=key).status == status


@pytest.mark.parametrize(
    ('path', 'behaviours', 'runs'),
    [
        ('/stream/x', ['stream'], 1),
        ('/resume/x', ['stream_cut', 'stream'], 2),
        ('/resume/x', ['reset', 'stream'], 2),
        ('/resume/x', ['not_run', 'stream'], 2),
    ],
)
def test_stream_is_whole_without_gap_or_repeat(edge, path, behaviours, runs):
    edge.behave('engine', *behaviours)
    response = edge.ask(path)
    assert (response.status, response.content) == (200, EVENTS)
    assert len(edge.runs('engine')) == runs


def test_stream_that_breaks_for_good_does_not_look_whole(edge):
    edge.behave('engine', 'stream_cut')
    with pytest.raises(http.client.IncompleteRead) as caught:
        edge.ask('/stream/x')
    assert caught.value.partial == EVENTS[: len(caught.value.partial)]


def test_stages_run_before_the_request_and_their_results_are_freed(edge):
    edge.behave('engine', 'stream')
    response = edge.ask('/staged/x', X_Chunks='6', X_Chunk_Key='k1')
    assert response.content == EVENTS
    (run,) = edge.runs('engine')
    handles = run.headers['X-Inputs'].split(',')
    assert len(set(handles)) == 6
    makers = [t for t in edge.targets if t.pool == 'encode']
    edge.wait_for(
        lambda: sorted(h for t in makers for h in t.freed) == sorted(handles)
    )


def test_caller_that_leaves_frees_the_target(edge):
    edge.behave('engine', 'stream_slow')
    host, port = edge.address.split(':')
    with socket.create_connection((host, int(port))) as caller:
        caller.sendall(request_text('/stream/x').encode())
        caller.recv(1_000)
    edge.wait_for(lambda: '"caller_l' in edge.lines.text)


@pytest.mark.parametrize(
    'head',
    [
        'Content-Length: 5\r\nContent-Length: 6\r\n',
        'Content-Length: 5\r\nTransfer-Encoding: chunked\r\n',
        'Content-Length: +5\r\n',
        'Transfer-Encoding: gzip, chunked\r\n',
        'Content-Length : 5\r\n',
        'X-A: b\r\n folded: c\r\nContent-Length: 5\r\n',
        'X-Deadline-Ms: soon\r\nContent-Length: 5\r\n',
    ],
)
def test_head_that_could_be_read_in_two_ways_is_refused(edge, head):
    raw = send_raw(
        edge,
        'POST /once/x HTTP/1.1\r\nHost: desk.example\r\n'
        f'Authorization: Bearer key-1\r\n{head}\r\nabcde',
    )
    assert raw.startswith(b'HTTP/1.1 400')
    assert not edge.runs('app')


def test_chunked_body_and_its_trailers_end_with_the_request(edge):
    first = (
        'POST /once/x HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: a1\r\n'
        'Authorization: Bearer key-1\r\nTransfer-Encoding: chunked\r\n\r\n'
        '5\r\nabcde\r\n0\r\nX-Trailer: 1\r\n\r\n'
    )
    last = first.replace('X-Attempt-Id: a1', 'Connection: close')
    raw = send_raw(edge, first + last)
    assert [run.body for run in edge.runs('app')] == [b'abcde', b'abcde']
    assert raw.count(b'HTTP/1.1 ') == 2


def test_body_over_the_limit_is_refused_and_the_connection_closed(edge):
    response = edge.ask('/once/x', body=b'x' * 10_001)
    assert response.status == 413
    assert response.headers['Connection'] == 'close'


HEAD = (
    'POST /once/x HTTP/1.1\r\nHost: desk.example\r\n'
    'X-Attempt-Id: a1\r\nAuthorization: Bearer key-1\r\n'
    'Connection: close\r\n'
)
BODY = 'Content-Length: 5\r\n\r\nabcde'


@pytest.mark.parametrize(
    ('limit', 'parts', 'begin'),
    [
        (('idleTimeoutMs', 600), ('', 0.3, HEAD + BODY), b'HTTP/1.1 200'),
        (('idleTimeoutMs', 600), ('', 1.2, HEAD + BODY), b''),
        (('headerTimeoutMs', 300), (HEAD, 0.8, BODY), b'HTTP/1.1 408'),
        (
            ('headerTimeoutMs', 300),
            (HEAD + BODY[:-1], 0.8, BODY[-1]),
            b'HTTP/1.1 200',
        ),
        (
            ('maxHeaderBytes', 900),
            (f'{HEAD}X-A: {"b" * 900}\r\n', 0, BODY),
            b'HTTP/1.1 413',
        ),
        (
            ('maxHeaderBytes', 900),
            (f'{HEAD}X-A: {"b" * 300}\r\n', 0, BODY),
            b'HTTP/1.1 200',
        ),
    ],
)
def test_limits_of_the_document_bound_what_callers_send(
    edge, limit, parts, begin
):
    changed = edge_document.document(2)
    changed['limits'] |= dict([limit])
    edge.store.put('op', 'config', changed)
    edge.wait_for(lambda: '"version": 2' in edge.lines.text)
    first, pause_s, rest = parts
    with connect(edge) as caller:
        caller.sendall(first.encode())
        time.sleep(pause_s)
        with contextlib.suppress(OSError):
            caller.sendall(rest.encode())
        raw = read_all(caller)
    assert raw.startswith(begin) and bool(raw) == bool(begin)


def test_idle_connections_live_as_long_as_the_document_says(edge):
    changed = edge_document.document(2)
    changed['limits']['idleTimeoutMs'] = 25_000
    edge.store.put('op', 'config', changed)
    edge.wait_for(lambda: edge.process.servers[0].timeout == 25)


def test_change_of_the_document_is_in_force_at_once(edge):
    changed = edge_document.document(2, keys=('key-2',))
    edge.store.put('op', 'config', changed)
    edge.wait_for(lambda: edge.ask('/once/x', key='key-2').status == 200)
    assert edge.ask('/once/x', key='key-1').status == 401


def test_dropped_history_loses_no_change(edge):
    edge.store.forget_history()
    edge.store.put('op', 'config', edge_document.document(2, keys=('key-2',)))
    edge.wait_for(lambda: edge.ask('/once/x', key='key-2').status == 200)


def test_unreadable_entries_hide_no_target(edge):
    edge.store.put('servers', 'bytes', b'\xff\x00')
    edge.store.put('servers', 'odd', {'service': 'app', 'address': 7})
    edge.store.put('servers', 'state', {'state': 'unheard of'})
    edge.wait_for(lambda: edge.lines.text.count('row_skipped') >= 3)
    assert edge.ask('/once/x').status == 200


def test_leaving_target_gets_nothing_more(edge):
    leaving = edge.target('app-1')
    entry = leaving.entry(state='draining')
    edge.store.put('servers', 'app-1', entry)
    edge.wait_for(lambda: '"leaving"' in edge.lines.text)
    before = len(leaving.runs)
    assert all(edge.ask('/once/x').status == 200 for _ in range(8))
    assert len(leaving.runs) == before


def test_withdrawn_keys_stop_while_the_store_is_away():
    edge = deployment.Deployment(revoke_ms=1_000)
    try:
        assert edge.ask('/once/x').status == 200
        edge.store.is_down = True
        time.sleep(1.1)
        assert edge.ask('/once/x').status == 503
        assert edge.ask('/open/x', key=None).status == 200
    finally:
        edge.stop()


def test_planned_stop_ends_what_is_here_and_reads_nothing_more(edge):
    edge.behave('app', 'silent', 'ok')
    host, port = edge.address.split(':')
    with socket.create_connection((host, int(port)), timeout=5) as kept:
        kept.sendall(request_text('/once/x').encode())
        edge.process.loop.post(messages.StopAsked())
        assert not edge.is_ready()
        assert b'Connection: close' in kept.recv(4_096)
    until = time.monotonic() + 5
    while time.monotonic() < until:
        try:
            with socket.create_connection((host, int(port)), timeout=1):
                time.sleep(0.05)
        except ConnectionRefusedError:
            return
    raise AssertionError('the listener stayed open')


def test_requests_that_cross_the_end_of_listening_are_answered(edge):
    # The listener notices that it is to close within this time.
    edge.process.servers[0].expiration_interval = 0.5
    kept = [connect(edge) for _ in range(16)]
    edge.process.loop.post(messages.StopAsked())
    time.sleep(stopping.LINGER_MS / 1_000 - 0.1)

    def ask(number):
        with kept[number] as caller:
            time.sleep(0.05 * number)
            sent_s = time.monotonic()
            raw = b''
            with contextlib.suppress(OSError):
                caller.sendall(request_text('/once/x').encode())
                raw = read_all(caller)
            return raw[:12], time.monotonic() - sent_s

    with concurrent.futures.ThreadPoolExecutor(len(kept)) as callers:
        found = list(callers.map(ask, range(len(kept))))
    # Others were not read: their connections close at once.
    lost = [s for raw, s in found if raw != b'HTTP/1.1 200' and s > 0.2]
    assert not lost
    assert found[0][0] == b'HTTP/1.1 200'


def test_log_holds_no_key_and_no_body(edge):
    edge.ask('/once/x', body=b'secret body')
    edge.ask('/once/x', key='unknown-key')
    edge.wait_for(lambda: 'request_ended' in edge.lines.text)
    for secret in ('key-1', 'unknown-key', 'secret body'):
        assert secret not in edge.lines.text


def request_text(path):
    """Return a request without a body."""
    return (
        f'POST {path} HTTP/1.1\r\nHost: desk.example\r\n'
        'X-Attempt-Id: a1\r\nAuthorization: Bearer key-1\r\n'
        'Content-Length: 0\r\n\r\n'
    )


def send_raw(edge, text):
    """Send bytes as they are; return all that comes back."""
    with connect(edge) as caller:
        caller.sendall(text.encode())
        return read_all(caller)


def connect(edge):
    """Return a connection to the callers' listener."""
    host, port = edge.address.split(':')
    return socket.create_connection((host, int(port)), timeout=3)


def read_all(caller):
    """Return all that comes until the connection ends."""
    raw = b''
    with contextlib.suppress(TimeoutError, ConnectionResetError):
        while part := caller.recv(4_096):
            raw += part
    return raw
