"""Crowds of faulty clients against a real edge process.

Each crowd guards against a read or a wait whose length the client chooses.
The checks do not depend on the speed of the machine: the process lives, its
peak memory and its descriptors stay under a bound, and an ordinary request is
answered afterwards.
"""

import contextlib
import http.client
import itertools
import os
import pathlib
import socket
import threading
import time

import attrs
import pytest
import yaml

from bench import processes
from bench.standins import edge_document
from bench.standins import edge_platform
from tests.edge import deployment

CLIENTS = 6
CROWD_S = 4.0
#: Crowds that were contained from the start peak at 40 to 54 MB.
MAX_MEMORY_MB = 64
MAX_DESCRIPTORS = 200
ANSWER_TIMEOUT_S = 30
SETTINGS = {
    'limits': {'memoryMb': 160, 'maxFds': 400},
    'inputLimits': {
        'maxConnections': 64,
        'bodyMemoryBytes': 4 << 20,
        'bodyTimeoutMs': 1_000,
        'writeTimeoutMs': 1_000,
    },
}
DOCUMENT_LIMITS = {
    'maxHeaderBytes': 16_384,
    'maxBodyBytes': 4 << 20,
    'headerTimeoutMs': 1_000,
    'idleTimeoutMs': 1_500,
}
ANSWER_BYTES = 128 << 10


class Target(edge_platform.Target):
    """A target whose answers do not fit into the buffers of a socket."""

    def answer(self, request):
        if not request.path.startswith('/read/large'):
            return super().answer(request)
        body = bytes(ANSWER_BYTES)
        return edge_platform.response(200, self.headers(request), body)


def head(path, *lines, method='POST'):
    host = f'Host: {edge_document.HOST}'
    fields = (host, 'X-Attempt-Id: a1', 'Authorization: Bearer key-1', *lines)
    return '\r\n'.join((f'{method} {path} HTTP/1.1', *fields, '', '')).encode()


@attrs.frozen
class Crowd:
    """Clients that send ``first`` once and ``again`` for ever.

    A client reads nothing, has ``connections`` at a time, opens another for
    each one that was closed, and closes them itself with ``is_closing``.
    """

    first: bytes = b''
    again: bytes = b''
    pause_s: float = 0.001
    connections: int = 1
    listener: str = 'callers'
    is_closing: bool = False


LONG = b'a' * 65_536
CHUNKED = head('/read/x', 'Transfer-Encoding: chunked')
PEER_CHUNKED = head('/v1/peer', 'Transfer-Encoding: chunked')
BODY = head('/read/x', 'Content-Length: 4000000')
GET = head('/read/x', method='GET')
LARGE = head('/read/large', method='GET')
START = GET[:-2]
CROWDS = {
    'trailer line': Crowd(CHUNKED + b'0\r\nX-A: ', LONG),
    'trailers': Crowd(CHUNKED + b'0\r\n', b'X-A: b\r\n' * 4_096),
    'chunk extension': Crowd(CHUNKED + b'2;', LONG),
    'chunk extensions': Crowd(
        CHUNKED, (b'1;' + b'a' * 4_096 + b'\r\nb\r\n') * 16
    ),
    'size of a chunk': Crowd(CHUNKED, b'0' * 65_536),
    'huge chunk': Crowd(CHUNKED + b'ffffffff\r\n', LONG),
    'tiny chunks': Crowd(CHUNKED, b'1\r\na\r\n' * 4_096),
    'large bodies': Crowd(BODY, LONG, connections=8),
    'request line': Crowd(b'GET /', LONG),
    'head line': Crowd(START + b'X-A: ', LONG),
    'head lines': Crowd(START, b'X-A: b\r\n' * 4_096),
    'silent': Crowd(pause_s=0.2, connections=64),
    'idle after a request': Crowd(GET, pause_s=0.2, connections=64),
    'slow head': Crowd(START, b'a', pause_s=1.0, connections=24),
    'slow body': Crowd(BODY, b'a', pause_s=1.0, connections=24),
    'slow chunks': Crowd(CHUNKED, b'1', pause_s=1.0, connections=24),
    'unread answers': Crowd(b'', LARGE, connections=8),
    'pipelined': Crowd(b'', GET * 1_000),
    'churn': Crowd(b'G', is_closing=True, connections=8),
    'churn of requests': Crowd(GET, is_closing=True, connections=8),
    'peers: trailer line': Crowd(
        PEER_CHUNKED + b'0\r\nX-A: ', LONG, listener='peers'
    ),
    'peers: chunk extension': Crowd(
        PEER_CHUNKED + b'2;', LONG, listener='peers'
    ),
    'peers: huge chunk': Crowd(
        PEER_CHUNKED + b'ffffffff\r\n', LONG, listener='peers'
    ),
    'peers: silent': Crowd(pause_s=0.2, connections=64, listener='peers'),
    'taken: chunk extension': Crowd(CHUNKED + b'2;', LONG, listener='taken'),
    'taken: silent': Crowd(pause_s=0.2, connections=64, listener='taken'),
    'ready: head line': Crowd(START + b'X-A: ', LONG, listener='ready'),
    'ready: silent': Crowd(pause_s=0.2, connections=64, listener='ready'),
    'ready: slow head': Crowd(START, b'a', pause_s=1.0, listener='ready'),
    'metrics: huge chunk': Crowd(
        CHUNKED + b'ffffffff\r\n', LONG, listener='metrics'
    ),
}


class Play:
    """A process with its store and targets."""

    def __init__(self, directory):
        self.store = edge_platform.Store()
        self.targets = [
            Target(f'{pool}-{number}', pool)
            for pool in ('app', 'engine', 'encode')
            for number in (1, 2)
        ]
        for target in self.targets:
            self.store.put('servers', target.name, target.entry(slots=64))
        routes = [r | {'timeoutMs': 20_000} for r in edge_document.ROUTES]
        document = edge_document.document(routes=routes)
        for pool in document['services']:
            pool['maxConnections'] = 200
        self.store.put('op', 'config', document | {'limits': DOCUMENT_LIMITS})
        ports = deployment.free_ports(4)
        names = ('callers', 'ready', 'peers', 'taken')
        self.addresses = {
            name: ('127.0.0.1', port) for name, port in zip(names, ports)
        }
        # The settings do not name this port, and a process binds it to `ip`.
        ip = f'127.0.{os.getpid() % 250 + 1}.{next(_NUMBERS) % 250 + 1}'
        self.addresses |= {
            'peers': (ip, ports[2]),
            'taken': (ip, ports[3]),
            'metrics': (ip, 9464),
        }
        settings = SETTINGS | {
            'nodeName': 'h1',
            'zone': 'z1',
            'ip': ip,
            'listen': {
                'frontend': f'127.0.0.1:{ports[0]}',
                'ready': f'127.0.0.1:{ports[1]}',
            },
            'platform': {'address': self.store.address},
            'internalPorts': [ports[2], ports[3]],
        }
        path = directory / 'settings.yaml'
        path.write_text(yaml.safe_dump(settings))
        self.process = processes.Process(
            'godwitglade.edge',
            environment=os.environ | {'GODWITGLADE_CONFIG': str(path)},
            log_path=directory / 'log',
        )

    def is_served(self):
        with contextlib.suppress(OSError, http.client.HTTPException):
            return self.status('callers', GET) == 200
        return False

    def status(self, listener, request):
        """Return the status of the answer to one request."""
        with socket.create_connection(
            self.addresses[listener], timeout=ANSWER_TIMEOUT_S
        ) as client:
            client.sendall(request)
            response = http.client.HTTPResponse(client)
            with contextlib.closing(response):
                response.begin()
                response.read()
                return response.status

    def peak_memory_mb(self):
        status = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        lines = dict(line.split(':', 1) for line in status.splitlines())
        return int(lines['VmHWM'].split()[0]) // 1_024

    def descriptors(self):
        return len(os.listdir(f'/proc/{self.process.pid}/fd'))

    def close(self):
        self.process.close()
        for target in self.targets:
            target.stop()
        self.store.stop()


_NUMBERS = itertools.count()


class Connection:
    """A connection of a faulty client."""

    def __init__(self, crowd, address):
        self._crowd = crowd
        self._address = address
        self._socket = None
        self._unsent = b''

    def send(self):
        """Open the connection, or send some more; never wait for the peer."""
        try:
            if self._socket is None:
                self._socket = socket.create_connection(self._address, 1)
                self._socket.setblocking(False)
                self._unsent = self._crowd.first
            self._unsent = self._unsent or self._crowd.again
            if self._is_ended():
                self.close()
            elif self._unsent:
                sent = self._socket.send(self._unsent)
                self._unsent = self._unsent[sent:]
            if self._crowd.is_closing:
                self.close()
        except BlockingIOError:
            return
        except OSError:
            self.close()

    def _is_ended(self):
        """Tell whether the peer has closed, without reading its answers."""
        try:
            return not self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False

    def close(self):
        if self._socket is not None:
            self._socket.close()
            self._socket = None


def run_client(crowd, address, until_s):
    connections = [
        Connection(crowd, address) for _ in range(crowd.connections)
    ]
    while time.monotonic() < until_s:
        for connection in connections:
            connection.send()
        time.sleep(crowd.pause_s)
    for connection in connections:
        connection.close()


@pytest.fixture
def play(tmp_path):
    started = Play(tmp_path)
    try:
        processes.await_condition(started.is_served, 'not ready')
        yield started
    finally:
        started.close()


@pytest.mark.parametrize('name', list(CROWDS))
def test_process_survives_crowd_and_answers_afterwards(play, name):
    crowd = CROWDS[name]
    until_s = time.monotonic() + CROWD_S
    arguments = (crowd, play.addresses[crowd.listener], until_s)
    clients = [
        threading.Thread(target=run_client, args=arguments)
        for _ in range(CLIENTS)
    ]
    for client in clients:
        client.start()
    descriptors = []
    while any(client.is_alive() for client in clients):
        descriptors.append(play.descriptors())
        time.sleep(0.05)
    assert play.process.is_running
    assert play.status('callers', GET) == 200
    assert play.status('ready', head('/api/readyz', method='GET')) == 200
    assert play.process.is_running
    seen = {'MB': play.peak_memory_mb(), 'descriptors': max(descriptors)}
    bounds = {'MB': MAX_MEMORY_MB, 'descriptors': MAX_DESCRIPTORS}
    print(name, seen)
    assert {kind: seen[kind] <= bounds[kind] for kind in seen} == {
        kind: True for kind in seen
    }, seen
