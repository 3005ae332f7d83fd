"""A planned stop with requests that last longer than it may."""

import contextlib
import http.client
import socket
import time

import pytest

from bench.standins import edge_document
from godwitglade.routing import host
from godwitglade.routing import messages
from tests.edge import deployment

ROUTES = [
    route | {'timeoutMs': 20_000, 'attempts': 1}
    for route in edge_document.ROUTES
]
STOP_LIMIT_MS = 3_500


@pytest.fixture
def edge():
    running = deployment.Deployment()
    running.store.put('op', 'config', edge_document.document(2, routes=ROUTES))
    running.wait_for(lambda: '"version": 2' in running.log.text)
    set_limit(running, STOP_LIMIT_MS)
    for server in running.process.servers[:2]:
        server.shutdown_timeout = STOP_LIMIT_MS / 1_000
    yield running
    running.stop()


def set_limit(edge, limit_ms):
    bounds = host.Settings(stop_limit_ms=limit_ms)
    edge.process.loop.post(messages.SettingsReloaded(bounds))


def request_head(path, length=2, **headers):
    lines = [f'{n.replace("_", "-")}: {v}\r\n' for n, v in headers.items()]
    return (
        f'POST {path} HTTP/1.1\r\nHost: {edge_document.HOST}\r\n'
        'X-Attempt-Id: a1\r\nAuthorization: Bearer key-1\r\n'
        f'{"".join(lines)}Content-Length: {length}\r\n\r\n'
    ).encode()


def connect(address):
    ip, port = address.split(':')
    return socket.create_connection((ip, int(port)), timeout=6)


def read_response(caller):
    """Return the status of the response and whether its body is complete."""
    with contextlib.closing(http.client.HTTPResponse(caller)) as response:
        try:
            response.begin()
        except (http.client.HTTPException, ConnectionResetError):
            return None, False
        try:
            response.read()
        except http.client.IncompleteRead:
            return response.status, False
        return response.status, True


@pytest.mark.parametrize(
    ('path', 'pool', 'behaviour', 'headers', 'expected'),
    [
        ('/once/x', 'app', 'endless_status', {}, (502, True)),
        ('/read/x', 'app', 'endless_status', {}, (502, True)),
        ('/stream/x', 'engine', 'endless_status', {}, (502, True)),
        ('/stream/x', 'engine', 'stream_slow', {}, (200, False)),
        (
            '/staged/x',
            'encode',
            'endless_status',
            {'X_Chunks': '2', 'X_Chunk_Key': 'k1'},
            (503, True),
        ),
    ],
)
def test_requests_open_at_the_end_of_a_stop_are_answered(
    edge, path, pool, behaviour, headers, expected
):
    edge.set_behaviours(pool, behaviour)
    with connect(edge.address) as caller:
        caller.sendall(request_head(path, **headers) + b'{}')
        edge.wait_for(lambda: 'request_admitted' in edge.log.text)
        edge.process.loop.post(messages.StopRequested())
        assert read_response(caller) == expected


@pytest.mark.parametrize(
    ('headers', 'expected'), [({}, 503), ({'X_Deadline_Ms': '400'}, 200)]
)
def test_request_read_late_in_a_stop_is_run_only_if_it_can_end(
    edge, headers, expected
):
    set_limit(edge, 5_000)
    with connect(edge.address) as caller:
        caller.sendall(request_head('/once/x', **headers) + b'{')
        edge.process.loop.post(messages.StopRequested())
        time.sleep(3)
        caller.sendall(b'}')
        assert read_response(caller) == (expected, True)
    assert len(edge.runs('app')) == (expected == 200)


def test_stream_that_would_outlast_a_stop_is_refused_on_arrival(edge):
    requests = edge.process.loop.host.components.requests
    requests.forecasts.record_end('stream', STOP_LIMIT_MS)
    edge.process.loop.post(messages.StopRequested())
    edge.wait_for(lambda: 'stopping' in edge.log.text)
    response = edge.send_request('/stream/x', X_Deadline_Ms='9000')
    assert response.status == 503
    assert 'Retry-After' in response.headers
    assert response.headers['Connection'] == 'close'
    assert not edge.runs('engine')


def test_listener_for_other_hosts_closes_and_its_requests_are_answered(edge):
    edge.set_behaviours('app', 'endless_status')
    taken_over = '{}:{}'.format(*edge.process.servers[1].bind_addr)
    with connect(taken_over) as caller:
        caller.sendall(request_head('/once/x') + b'{}')
        edge.wait_for(lambda: edge.runs('app'))
        edge.process.loop.post(messages.StopRequested())
        time.sleep((STOP_LIMIT_MS - 500) / 1_000)
        with pytest.raises(ConnectionRefusedError):
            connect(taken_over)
        assert read_response(caller) == (502, True)


def test_request_that_arrives_while_the_listener_closes_is_answered(
    edge, monkeypatch
):
    connections = edge.process.servers[0]._connections
    stop_polling = connections.stop
    with connect(edge.address) as caller:
        edge.wait_for(lambda: connections._num_connections)

        def stop():
            stop_polling()
            caller.sendall(request_head('/once/x') + b'{}')
            time.sleep(0.1)

        monkeypatch.setattr(connections, 'stop', stop)
        edge.process.loop.post(messages.StopRequested())
        assert read_response(caller) == (200, True)
