"""Responses that end inside their head, on every kind of connection."""

import contextlib
import socket
import threading
import time

import pytest

from godwitglade.common import clock as clocks
from godwitglade.common import whole_responses
from godwitglade.targets import connections
from godwitglade.targets import faults
from godwitglade.targets import http_exchange

HEADS = {
    'length': b'HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nContent-Length: 5\r\n',
    'chunks': b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n',
    'end of connection': b'HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\n',
    'continue': b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-A: 1\r\n',
}
BODIES = {
    'length': b'whole',
    'chunks': b'5\r\nwhole\r\n0\r\n\r\n',
    'end of connection': b'whole',
    'continue': b'whole',
}


@contextlib.contextmanager
def served(*raw_responses):
    """Send one response on each connection, close it; yield the address."""
    with socket.create_server(('127.0.0.1', 0)) as listener:

        def serve():
            for raw in raw_responses:
                connection, _ = listener.accept()
                with connection:
                    connection.recv(1_000)
                    connection.sendall(raw)
                    connection.shutdown(socket.SHUT_WR)
                    connection.recv(1_000)

        thread = threading.Thread(target=serve, daemon=True)
        thread.start()
        yield '127.0.0.1:%d' % listener.getsockname()[1]
        thread.join(2)


def fetch(address):
    """Return the body received by a client of targets, None without one."""
    clock = clocks.Clock()
    budget = http_exchange.Budget(clock, 2_000, 2_000)
    connection = connections.Connection(address, clock)
    connection.open(1_000)
    try:
        http_exchange.send(connection, 'GET', '/', None, budget)
        response = http_exchange.receive(connection, budget)
        return http_exchange.read_reply(connection, response, budget).content
    except faults.CallFaultError:
        return None
    finally:
        connection.close()


def fetch_by_pool(address):
    """Return the body received by a client of the store or of peers."""
    pools = whole_responses.PoolManager(retries=False)
    try:
        return pools.request('GET', f'http://{address}/').data
    except http_exchange.TRANSPORT_ERRORS:
        return None
    finally:
        pools.clear()


@pytest.mark.parametrize('read', [fetch, fetch_by_pool])
@pytest.mark.parametrize('framing', HEADS)
def test_response_cut_at_any_byte_of_its_head_is_lost(framing, read):
    head = HEADS[framing] + b'\r\n'
    cuts = [head[:size] for size in range(len(head))]
    with served(*cuts, head + BODIES[framing]) as address:
        assert [read(address) for _ in cuts] == [None] * len(cuts)
        assert read(address) == b'whole'


@pytest.mark.parametrize('read', [fetch, fetch_by_pool])
@pytest.mark.parametrize(
    'lines',
    [
        b'X-A: 1\r\nno header\r\nContent-Length: 5\r\n',
        b' folded: 1\r\nContent-Length: 5\r\n',
        b'Content-Length: five\r\n',
        b'Content-Length: -5\r\n',
        b'Content-Length: 5\r\nContent-Length: 4\r\n',
        b'Transfer-Encoding: gzip, chunked\r\n',
        b'Transfer-Encoding: identity\r\n',
        b'Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n',
        b'Transfer-Encoding: chunked \r\n',
        b'Transfer-Encoding: chunked\t\r\n',
        b'Transfer-Encoding: chunked\r\n \r\n',
    ],
)
def test_response_with_a_malformed_head_is_lost(lines, read):
    raw = b'HTTP/1.1 200 OK\r\n' + lines + b'\r\nwhole'
    with served(raw) as address:
        assert read(address) is None


@pytest.mark.parametrize('framing', ['length', 'chunks'])
def test_response_cut_at_any_byte_of_its_body_is_lost(framing):
    body = BODIES[framing]
    cuts = [
        HEADS[framing] + b'\r\n' + body[:size] for size in range(len(body))
    ]
    with served(*cuts) as address:
        assert [fetch(address) for _ in cuts] == [None] * len(cuts)


@pytest.mark.parametrize('read', [fetch, fetch_by_pool])
@pytest.mark.parametrize('size', [b'-1', b'+0', b'0_0', b'0x0', b'', b';a=b'])
def test_response_with_a_malformed_size_of_a_chunk_is_lost(size, read):
    raw = HEADS['chunks'] + b'\r\n5\r\nwhole\r\n' + size + b'\r\n\r\n'
    with served(raw) as address:
        assert read(address) is None


@pytest.mark.parametrize('read', [fetch, fetch_by_pool])
@pytest.mark.parametrize(
    'chunks',
    [
        b'5;a=b\r\nwhole\r\n0\r\n\r\n',
        b'002 \r\nwh\r\n3\r\nole\r\n000\r\nX-Trailer: 1\r\n\r\n',
    ],
)
def test_response_with_whole_chunks_is_read(chunks, read):
    with served(HEADS['chunks'] + b'\r\n' + chunks) as address:
        assert read(address) == b'whole'


@contextlib.contextmanager
def dripping(content, pause_s):
    """Send one byte at a time; yield the address."""
    with socket.create_server(('127.0.0.1', 0)) as listener:

        def serve():
            connection, _ = listener.accept()
            with connection, contextlib.suppress(OSError):
                connection.recv(1_000)
                for byte in content:
                    connection.sendall(bytes([byte]))
                    time.sleep(pause_s)

        thread = threading.Thread(target=serve, daemon=True)
        thread.start()
        yield '127.0.0.1:%d' % listener.getsockname()[1]
        thread.join(5)


def test_response_that_arrives_byte_by_byte_ends_with_its_call():
    # Guards against a store or peer that holds a call for ever.
    content = HEADS['length'] + b'\r\n' + BODIES['length']
    with dripping(content, 0.1) as address:
        pools = whole_responses.TimedPoolManager(retries=False)
        with pytest.raises(http_exchange.TRANSPORT_ERRORS):
            pools.request('GET', f'http://{address}/', timeout=0.4)
