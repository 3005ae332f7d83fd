"""Clients at the limits of the document meet no bound of the process.

They guard against defaults that refuse or close clients that keep to the
document, on the smallest machine (160 MB, 1,638 descriptors).
"""

import contextlib
import http.client
import socket
import time

import pytest

from bench.standins import edge_document
from bench.standins import edge_platform
from godwitglade.common import input_limits
from tests.edge import deployment

MAX_HEAD_BYTES = 16_384
MAX_BODY_BYTES = 4_194_304
HEADER_TIMEOUT_S = 3.0
#: Clients do for up to 12 s, and the server for 15 s; the rest is for a slow
#: machine that serves the connections of the test one after the other.
IDLE_S = 5.0
STREAM_EVENTS = 20_000
LIMITS = {
    'maxHeaderBytes': MAX_HEAD_BYTES,
    'maxBodyBytes': MAX_BODY_BYTES,
    'headerTimeoutMs': 3_000,
    'idleTimeoutMs': 15_000,
}
SMALLEST = input_limits.for_machine(160, 1_638, {})
HEAD = (
    f'POST /once/x HTTP/1.1\r\nHost: {edge_document.HOST}\r\n'
    'X-Attempt-Id: a1\r\nAuthorization: Bearer key-1\r\n'
)
EVENTS = b''.join(edge_platform.event(n) for n in range(STREAM_EVENTS))


def stream(target, request):
    yield edge_platform.head_of_stream(target, request)
    for start in range(0, len(EVENTS), 50_000):
        yield edge_platform.chunk(EVENTS[start : start + 50_000])
    yield b'0\r\n\r\n'


@pytest.fixture(scope='module')
def edge():
    edge_platform.BEHAVIOURS['long stream'] = stream
    running = deployment.Deployment(input_bounds=SMALLEST)
    routes = [r | {'timeoutMs': 20_000} for r in edge_document.ROUTES]
    document = edge_document.document(2, routes=routes) | {'limits': LIMITS}
    running.store.put('op', 'config', document)
    running.wait_for(lambda: '"version": 2' in running.log.text)
    yield running
    running.stop()
    del edge_platform.BEHAVIOURS['long stream']


@contextlib.contextmanager
def connected(edge):
    ip, port = edge.address.split(':')
    with socket.create_connection((ip, int(port)), timeout=20) as client:
        yield client


def answer(client, method='POST'):
    response = http.client.HTTPResponse(client, method=method)
    with contextlib.closing(response):
        response.begin()
        return response.status, response.read()


def padded(head, size_bytes, line_bytes):
    """Return a head of ``size_bytes`` with lines of ``line_bytes``."""
    head += 'Content-Length: 2\r\n'
    while (left := size_bytes - len(head) - 2) >= 2 * line_bytes:
        head += 'a:' + 'b' * (line_bytes - 4) + '\r\n'
    return head + 'a:' + 'b' * (left - 4) + '\r\n\r\n'


def chunked(content, size_bytes, trailers=''):
    parts = [
        edge_platform.chunk(content[start : start + size_bytes])
        for start in range(0, len(content), size_bytes)
    ]
    return b''.join([*parts, b'0\r\n', trailers.encode(), b'\r\n'])


CHUNKED = (HEAD + 'Transfer-Encoding: chunked\r\n\r\n').encode()
LENGTH = f'{HEAD}Content-Length: {MAX_BODY_BYTES}\r\n\r\n'.encode()
CONTENT = bytes(MAX_BODY_BYTES)
TRAILERS = 'X-A: b\r\n' * 2_000
REQUESTS = {
    'one long line': padded(HEAD, MAX_HEAD_BYTES, 16_000).encode() + b'{}',
    'many short lines': padded(HEAD, MAX_HEAD_BYTES, 5).encode() + b'{}',
    'largest body': LENGTH + CONTENT,
    'largest chunk': CHUNKED + chunked(CONTENT, MAX_BODY_BYTES),
    'chunks of a client': CHUNKED + chunked(CONTENT, 4_096),
    'chunks of one byte': CHUNKED + chunked(bytes(20_000), 1),
    'trailers': CHUNKED + chunked(b'abc', 3, TRAILERS),
}


@pytest.mark.parametrize('name', list(REQUESTS))
def test_largest_request_is_answered(edge, name):
    with connected(edge) as client:
        client.sendall(REQUESTS[name])
        assert answer(client) == (200, b'whole')
    assert 'limit_exceeded' not in edge.log.text


def test_connections_that_are_idle_stay_open(edge):
    request = padded(HEAD, 400, 100).encode() + b'{}'
    with contextlib.ExitStack() as stack:
        clients = [stack.enter_context(connected(edge)) for _ in range(100)]
        for client in clients:
            client.sendall(request)
            assert answer(client)[0] == 200
        time.sleep(IDLE_S)
        for client in clients:
            client.sendall(request)
            assert answer(client)[0] == 200
    assert 'limit_exceeded' not in edge.log.text


def test_head_and_body_sent_just_in_time_are_answered(edge):
    content = HEAD.encode() + b'Content-Length: 4\r\n\r\nabcd'
    split = content.index(b'Authorization')
    with connected(edge) as client:
        client.sendall(content[:split])
        time.sleep(HEADER_TIMEOUT_S / 2)
        client.sendall(content[split:-2])
        time.sleep(HEADER_TIMEOUT_S / 2)
        client.sendall(content[-2:])
        assert answer(client)[0] == 200


def test_long_stream_reaches_a_client_that_reads_slowly(edge):
    edge.set_behaviours('engine', 'long stream')
    head = HEAD.replace('/once/', '/stream/').encode()
    with connected(edge) as client:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_192)
        client.sendall(head + b'Content-Length: 2\r\n\r\n{}')
        time.sleep(1.0)
        assert answer(client) == (200, EVENTS)
    assert 'limit_exceeded' not in edge.log.text
