"""Runs an edge process in the test process with a store and targets."""

import http.client
import random
import socket
import threading
import time

from bench.standins import edge_document
from bench.standins import edge_platform
from godwitglade.common import clock as clocks
from godwitglade.daemon import context
from godwitglade.edge import assembly
from godwitglade.edge import settings
from godwitglade.routing import host
from godwitglade.routing import messages

WAIT_S = 5.0


def free_ports(count):
    """Return ports that are not in use."""
    sockets = [socket.socket() for _ in range(count)]
    for opened in sockets:
        opened.bind(('127.0.0.1', 0))
    ports = [opened.getsockname()[1] for opened in sockets]
    for opened in sockets:
        opened.close()
    return ports


class Deployment:
    """A store, two targets of each pool, and an edge process."""

    def __init__(self, revoke_ms=None, rows=(), **options):
        self.store = edge_platform.Store()
        for row in rows:
            self.store.put(*row)
        self.targets = [
            edge_platform.Target(f'{pool}-{n}', pool)
            for pool in ('app', 'engine', 'encode')
            for n in (1, 2)
        ]
        for target in self.targets:
            self.store.put('servers', target.name, target.entry())
        self.store.put('op', 'config', edge_document.document())
        ports = free_ports(5)
        addresses = [f'127.0.0.1:{port}' for port in ports]
        self.address, self.ready_address = addresses[:2]
        edge_settings = settings.Settings(
            host='h1',
            zone='z1',
            ip='127.0.0.1',
            callers_address=self.address,
            ready_address=self.ready_address,
            store_address=self.store.address,
            peer_ports=(ports[2], ports[4]),
            heartbeat_ms=1_000,
            bounds=host.Settings(revoke_ms=revoke_ms),
            metrics_port=ports[3],
            **options,
        )
        self.log = _LogBuffer()
        env = context.Environment(
            stdout=self.log, clock=clocks.Clock(), rng=random.Random(1)
        )
        self.process = assembly.assemble(edge_settings, env)
        for server in self.process.servers:
            server.shutdown_timeout = 0.05
            server.expiration_interval = 0.05
            server.prepare()
        serves = [server.serve for server in self.process.servers]
        threads = [threading.Thread(target=r, daemon=True) for r in serves]
        loop = threading.Thread(target=self.process.loop.run, daemon=True)
        for thread in [*threads, loop, *self.process.threads]:
            thread.start()
        self.wait_for(lambda: self.is_ready() and self.has_all_targets())

    def has_all_targets(self):
        directory = self.process.loop.host.components.directory
        return len(directory) == len(self.targets)

    def target(self, name):
        return next(t for t in self.targets if t.name == name)

    def set_behaviours(self, pool, *behaviours):
        """Make all targets of a pool share one list of behaviours."""
        shared = list(behaviours)
        for target in self.targets:
            if target.pool == pool:
                target.behaviours = shared

    def runs(self, pool):
        return [r for t in self.targets if t.pool == pool for r in t.runs]

    def is_ready(self):
        connection = http.client.HTTPConnection(self.ready_address)
        connection.request('GET', '/api/readyz')
        return connection.getresponse().status == 200

    def wait_for(self, condition):
        deadline_s = time.monotonic() + WAIT_S
        while not condition():
            assert time.monotonic() < deadline_s, 'condition not met in time'
            time.sleep(0.02)

    def send_request(
        self, path, method='POST', body=b'{}', key='key-1', **headers
    ):
        """Send one request; return the response with its body."""
        connection = http.client.HTTPConnection(self.address, timeout=WAIT_S)
        request_headers = {
            'Host': edge_document.HOST,
            'X-Attempt-Id': 'a1',
            'X-Deadline-Ms': '1500',
        }
        if key is not None:
            request_headers['Authorization'] = f'Bearer {key}'
        request_headers |= {n.replace('_', '-'): v for n, v in headers.items()}
        connection.request(method, path, body, request_headers)
        response = connection.getresponse()
        response.content = response.read()
        return response

    def stop(self):
        self.process.loop.post(messages.StopRequested())
        for server in self.process.servers:
            server.stop()
        self.process.loop.stop()
        for target in self.targets:
            target.stop()
        self.store.stop()


class _LogBuffer:
    """Collects log output in memory."""

    def __init__(self):
        self.text = ''

    def write(self, text):
        self.text += text

    def flush(self):
        pass
