"""What a caller over a bound gets: a true status, one event, a counter.

They guard against a refusal that says nothing, or that the request has not
run while a target has it.
"""

import contextlib
import http.client
import socket

import pytest

from bench.standins import edge_document
from godwitglade.common import input_limits
from tests.edge import deployment

LOWERED = {
    'trailerLines': 5,
    'framingBytes': 500,
    'bodyTimeoutMs': 400,
    'bodyMemoryBytes': 1_000,
    'freeBodyBytes': 2_000,
}
HEAD = (
    f'POST /once/x HTTP/1.1\r\nHost: {edge_document.HOST}\r\n'
    'X-Attempt-Id: a1\r\nAuthorization: Bearer key-1\r\n'
).encode()
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
LIMITS = {'maxBodyBytes': 9_000, 'headerTimeoutMs': 500}


@pytest.fixture(scope='module')
def edge():
    bounds = input_limits.for_machine(160, 1_638, LOWERED)
    running = deployment.Deployment(input_bounds=bounds)
    document = edge_document.document(2)
    document['limits'] |= LIMITS
    running.store.put('op', 'config', document)
    running.wait_for(lambda: '"version": 2' in running.log.text)
    yield running
    running.stop()


def metrics(edge):
    host, port = edge.process.servers[-1].bind_addr
    connection = http.client.HTTPConnection(host, port)
    connection.request('GET', '/metrics')
    return connection.getresponse().read().decode()


@pytest.mark.parametrize(
    ('request_bytes', 'status', 'bound'),
    [
        (CHUNKED + b'2;' + b'a' * 20_000, 400, 'line_bytes'),
        (CHUNKED + b'0\r\nX-A: ' + b'b' * 20_000, 431, 'line_bytes'),
        (CHUNKED + b'0\r\n' + b'X-A: b\r\n' * 6, 431, 'trailer_lines'),
        (CHUNKED + b'0\r\n' + b'X: b' * 10, 408, 'body_timeout_ms'),
        (CHUNKED + b'1;' + b'a' * 600 + b'\r\n', 400, 'framing_bytes'),
        (CHUNKED + b'ffffff\r\n' + b'a' * 9_001, 503, 'body_memory_bytes'),
        (HEAD + b'Content-Length: 9001\r\n\r\n', 413, 'body_bytes'),
        (
            HEAD + b'Content-Length: 9000\r\n\r\n' + b'a' * 9_000,
            503,
            'body_memory_bytes',
        ),
        (HEAD + b'Content-Length: 9\r\n\r\n', 408, 'body_timeout_ms'),
        (HEAD, 408, 'head_time_ms'),
        (HEAD + b'X-A: ' + b'b' * 20_000, 413, 'head_bytes'),
        (HEAD + b'X-A: b\r\n' * 3_000, 413, 'head_bytes'),
    ],
)
def test_request_over_a_bound_is_refused_and_not_run(
    edge, request_bytes, status, bound
):
    ip, port = edge.address.split(':')
    with socket.create_connection((ip, int(port)), timeout=10) as client:
        client.sendall(request_bytes)
        response = http.client.HTTPResponse(client)
        with contextlib.closing(response):
            response.begin()
            assert response.status == status
    assert not edge.runs('app')
    edge.wait_for(lambda: f'"bound": "{bound}"' in edge.log.text)
    assert f'godwitglade_count_total{{name="limits.{bound}"}}' in metrics(edge)


def test_small_request_is_answered_beside_refused_ones(edge):
    assert edge.send_request('/read/x').status == 200
    assert edge.log.text.count('"bound": "line_bytes"') <= 2
