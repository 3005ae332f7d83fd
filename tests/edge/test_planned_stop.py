"""A planned stop with requests that last longer than it may."""

import contextlib
import http.client
import socket

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
    bounds = host.Settings(stop_limit_ms=STOP_LIMIT_MS)
    running.process.loop.post(messages.SettingsReloaded(bounds))
    for server in running.process.servers[:2]:
        server.shutdown_timeout = STOP_LIMIT_MS / 1_000
    yield running
    running.stop()


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
