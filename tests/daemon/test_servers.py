"""Listeners: binding, threads per request and reused connections."""

import concurrent.futures
import contextlib
import http.client
import socket
import threading

from cheroot import server as cheroot_server
import pytest

from godwitglade.daemon import connections
from godwitglade.daemon import servers


def respond_ok(environ, start_response):
    start_response('200 OK', [('Content-Length', '0')])
    return [b'']


@pytest.mark.parametrize('used_index', [0, 1, 2])
def test_port_in_use_leaves_no_listener_or_thread(used_index):
    sockets = [socket.create_server(('127.0.0.1', 0)) for _ in range(3)]
    ports = [sock.getsockname()[1] for sock in sockets]
    free = [sock for index, sock in enumerate(sockets) if index != used_index]
    for sock in free:
        sock.close()
    before = set(threading.enumerate())
    server = servers.Servers(
        servers.Listener('127.0.0.1', port, respond_ok, 2) for port in ports
    )
    with pytest.raises(OSError):
        server.start()
    sockets[used_index].close()
    new_threads = [t for t in threading.enumerate() if t not in before]
    for thread in new_threads:
        thread.join(20)
    # A worker thread that keeps running would prevent the process exit.
    assert not [t for t in new_threads if t.is_alive()]
    for port in ports:
        with pytest.raises(OSError):
            socket.create_connection(('127.0.0.1', port), timeout=5)


class BarrierGateway(cheroot_server.Gateway):
    """Answers once ``barrier`` has as many waiting requests as it needs."""

    barrier = threading.Barrier(1)

    def respond(self):
        self.barrier.wait(5)
        self.req.status = b'200 OK'
        self.req.outheaders = [(b'Content-Length', b'0')]
        self.req.ensure_headers_sent()


@contextlib.contextmanager
def barrier_server(parties, threads):
    gateway = type(
        'M', (BarrierGateway,), {'barrier': threading.Barrier(parties)}
    )
    server = servers.make_gateway_server(('127.0.0.1', 0), gateway, threads)
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    yield server
    server.stop()


def request_statuses(server, times=1):
    connection = http.client.HTTPConnection(*server.bind_addr, timeout=10)
    with contextlib.closing(connection):
        for _ in range(times):
            connection.request('GET', '/')
            response = connection.getresponse()
            response.read()
            yield response.status


def request_status(server):
    return next(request_statuses(server))


@pytest.mark.parametrize('parties', [2, 9, 20])
def test_concurrent_requests_are_served_concurrently(parties):
    with (
        barrier_server(parties, parties) as server,
        concurrent.futures.ThreadPoolExecutor(parties) as callers,
    ):
        statuses = list(callers.map(request_status, [server] * parties))
    assert statuses == [200] * parties


def test_sequential_requests_start_few_threads():
    before = threading.active_count()
    with barrier_server(1, 100) as server:
        statuses = list(request_statuses(server, 30))
        started = threading.active_count() - before
    assert statuses == [200] * 30
    # Two server threads; a worker may start while another one finishes.
    assert started < 10


def test_concurrent_requests_are_limited_by_max_threads():
    with (
        concurrent.futures.ThreadPoolExecutor(3) as callers,
        barrier_server(3, 2) as server,
    ):
        futures = [callers.submit(request_status, server) for _ in range(3)]
        done, _ = concurrent.futures.wait(futures, timeout=1)
    assert not done


def test_connections_of_many_callers_are_reused():
    opened = []

    class CountedConnection(connections.BoundedConnection):
        def __init__(self, *args):
            opened.append(self)
            super().__init__(*args)

    with barrier_server(1, 20) as server, contextlib.ExitStack() as stack:
        server.ConnectionClass = CountedConnection
        status_iterators = [request_statuses(server, 2) for _ in range(60)]
        for status_iterator in status_iterators:
            stack.callback(status_iterator.close)
        assert [
            next(status_iterator) for status_iterator in status_iterators
        ] == [200] * 60
        assert [
            next(status_iterator) for status_iterator in status_iterators
        ] == [200] * 60
        assert len(opened) == 60
