"""A planned stop of a real edge process, as its callers see it."""

import contextlib
import http.client
import os
import signal
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

GRACE_S = 8.0
#: Longest time for a refusal of a request that is not to be queued.
AT_ONCE_S = 1.0
#: Longest time for which a connection that closes may hold a request.
LOSS_SLACK_S = 0.2
TIMEOUT_MS = 20_000
LONG = 20
ROUTES = [route | {'timeoutMs': TIMEOUT_MS} for route in edge_document.ROUTES]


class Target(edge_platform.Target):
    """A target that works for the seconds that end a request's path."""

    def answer(self, request):
        if request.path == '/api/stage-run':
            time.sleep(LONG)
        if request.path.startswith('/api/') or request.path == '/healthz':
            return super().answer(request)
        work_s = float(request.path.rpartition('/')[2])
        if self.pool == 'engine':
            return self._stream(request, work_s)
        time.sleep(work_s)
        return edge_platform.response(200, self.headers(request), b'whole')

    def _stream(self, request, work_s):
        yield edge_platform.head_of_stream(self, request)
        for number in range(1, int(work_s / 0.1) + 2):
            yield edge_platform.chunk(edge_platform.event(number))
            time.sleep(0.1)
        yield b'0\r\n\r\n'


@attrs.frozen
class Seen:
    """What a caller saw: times are seconds after SIGTERM."""

    status: int | None
    is_complete: bool
    was_passed_on: bool
    sent_s: float
    ended_s: float


class Play:
    """A process and its callers; SIGTERM is sent at ``start_s``."""

    def __init__(self, directory):
        self.store = edge_platform.Store()
        self.targets = [
            Target(f'{pool}-{number}', pool)
            for pool in ('app', 'engine', 'encode')
            for number in (1, 2)
        ]
        for target in self.targets:
            self.store.put('servers', target.name, target.entry(slots=64))
        self.put_document(1)
        ip, ports = '127.0.0.1', deployment.free_ports(4)
        self.callers, self.ready, self.peers, self.taken = (
            f'{ip}:{port}' for port in ports
        )
        settings = {
            'nodeName': 'h1',
            'zone': 'z1',
            'ip': ip,
            'listen': {'frontend': self.callers, 'ready': self.ready},
            'platform': {'address': self.store.address},
            'internalPorts': [ports[2], ports[3]],
            'bounds': {'graceS': GRACE_S},
        }
        path = directory / 'settings.yaml'
        path.write_text(yaml.safe_dump(settings))
        environment = os.environ | {'GODWITGLADE_CONFIG': str(path)}
        self.process = processes.Process(
            'godwitglade.edge',
            environment=environment,
            log_path=directory / 'log',
        )
        self.start_s = 0.0
        self.seen = {}

    def put_document(self, version):
        document = edge_document.document(version, routes=ROUTES)
        for pool in document['services']:
            pool['maxConnections'] = 200
        self.store.put('op', 'config', document)

    def await_ready(self):
        processes.await_condition(self.serves_all, 'the process is not ready')

    def serves_all(self):
        with contextlib.suppress(OSError, http.client.HTTPException):
            return all(
                self.call(path, f'first{path}') == (200, True)
                for path in ('/once/0', '/stream/0')
            )

    def call(self, path, name):
        with connect(self.callers) as caller:
            caller.sendall(request_bytes(path, name))
            return read_response(caller)[:2]

    def at(self, seconds):
        time.sleep(max(0, self.start_s + seconds - time.monotonic()))

    def elapsed_s(self):
        return time.monotonic() - self.start_s

    def has_passed_on(self, name):
        return any(
            run.attempt_id == name
            for target in self.targets
            for run in target.requests
        )

    def send(self, name, path, parts, address, **headers):
        """Send the parts of a request at their times; record the end."""
        content = request_bytes(path, name, **headers)
        self.at(parts[0][0])
        with connect(address) as caller:
            for part_s, first, last in parts:
                self.at(part_s)
                caller.sendall(content[first:last])
            sent_s = self.elapsed_s()
            status, is_complete, _ = read_response(caller)
        ended_s = self.elapsed_s()
        self.seen[name] = Seen(
            status, is_complete, self.has_passed_on(name), sent_s, ended_s
        )

    def send_repeatedly(self, number, is_over):
        """Use connections until the process is gone; record each request."""
        caller = None
        for count in range(10_000):
            if is_over.is_set():
                return
            name = f'kept-{number}-{count}'
            kind = ('once', 'read', 'stream')[count % 3]
            content = request_bytes(f'/{kind}/0.0{count % 7}', name)
            sent_s, status, is_complete, is_kept = 0.0, None, False, False
            with contextlib.suppress(OSError):
                caller = caller or connect(self.callers)
                caller.sendall(content[:-1])
                time.sleep(0.03 * (count % 5 == 0))
                sent_s = self.elapsed_s()
                caller.sendall(content[-1:])
                status, is_complete, is_kept = read_response(caller)
            ended_s = self.elapsed_s()
            if sent_s:
                self.seen[name] = Seen(
                    status,
                    is_complete,
                    self.has_passed_on(name),
                    sent_s,
                    ended_s,
                )
            if caller and not is_kept:
                caller.close()
                caller = None
            time.sleep(0.01)

    def close(self):
        self.process.close()
        for target in self.targets:
            target.stop()
        self.store.stop()


def connect(address):
    ip, port = address.split(':')
    return socket.create_connection((ip, int(port)), timeout=12)


def request_bytes(path, name, **headers):
    lines = [f'{n.replace("_", "-")}: {v}\r\n' for n, v in headers.items()]
    return (
        f'POST {path} HTTP/1.1\r\nHost: {edge_document.HOST}\r\n'
        f'X-Attempt-Id: {name}\r\nAuthorization: Bearer key-1\r\n'
        f'{"".join(lines)}Content-Length: 2\r\n\r\n{{}}'
    ).encode()


def read_response(caller):
    """Return status, whether it is complete, and if the connection stays."""
    with contextlib.closing(http.client.HTTPResponse(caller)) as response:
        status = None
        try:
            response.begin()
            status = response.status
            response.read()
        except (http.client.HTTPException, OSError):
            return status, False, False
        return status, True, not response.will_close


def whole(second):
    return ((second, 0, None),)


def in_parts(first_s, last_s, size=-1):
    return ((first_s, 0, size), (last_s, size, None))


STAGED = {'X_Chunks': '2', 'X_Chunk_Key': 'k1'}
IN_TIME = {'X_Deadline_Ms': '1000'}
#: Path, times of the parts, headers, and the expected status, whether the
#: response is complete, and whether a target got the request.
CASES = {
    'open before': ('/once/20', whole(-0.5), {}, (502, True, True)),
    'once': ('/once/20', whole(1), {}, (502, True, True)),
    'read': ('/read/20', whole(1), {}, (502, True, True)),
    'ends in time': ('/once/3', whole(1), {}, (200, True, True)),
    'stream before': ('/stream/20', whole(-0.5), {}, (200, False, True)),
    'stream': ('/resume/20', whole(1), {}, (200, False, True)),
    'late body': ('/once/2', in_parts(1, 5), {}, (503, True, False)),
    'last body': ('/once/1', in_parts(2, 7), {}, (503, True, False)),
    'late head': ('/once/4', in_parts(2, 4, 40), {}, (503, True, False)),
    'late, in time': ('/once/0', in_parts(1, 4), IN_TIME, (200, True, True)),
    'at a stage': ('/staged/0', whole(1), STAGED, (503, True, False)),
}


@pytest.fixture(scope='module')
def stopped(tmp_path_factory):
    """A process that was stopped while callers went on using it."""
    play = Play(tmp_path_factory.mktemp('stop'))
    try:
        play.await_ready()
        run(play)
        yield play
    finally:
        play.close()


def run(play):
    play.start_s = time.monotonic() + 1
    is_over = threading.Event()
    senders = [
        threading.Thread(
            target=play.send,
            args=(name, path, parts, play.callers),
            kwargs=headers,
        )
        for name, (path, parts, headers, _) in CASES.items()
    ]
    taken = ('handed over', '/once/20', whole(1), play.taken)
    senders.append(threading.Thread(target=play.send, args=taken))
    kept = [
        threading.Thread(target=play.send_repeatedly, args=(n, is_over))
        for n in range(12)
    ]
    for thread in [*senders, *kept]:
        thread.start()
    play.at(0)
    play.process.terminate()
    play.at(0.7)
    play.put_document(2)
    play.at(1.5)
    play.process.terminate()
    os.kill(play.process.pid, signal.SIGHUP)
    play.at(2.3)
    play.put_document(3)
    play.status = play.process.wait(GRACE_S)
    play.ended_s = play.elapsed_s()
    is_over.set()
    for thread in [*senders, *kept]:
        thread.join()


@pytest.mark.parametrize('name', list(CASES))
def test_request_open_or_read_in_a_planned_stop_gets_its_answer(stopped, name):
    seen, expected = stopped.seen[name], CASES[name][-1]
    assert (seen.status, seen.is_complete, seen.was_passed_on) == expected
    if seen.status == 503 and name != 'at a stage':
        assert seen.ended_s - seen.sent_s < AT_ONCE_S


def test_handed_over_request_open_in_a_planned_stop_is_answered(stopped):
    seen = stopped.seen['handed over']
    assert (seen.status, seen.is_complete) == (502, True)


def test_connections_used_until_the_process_is_gone_lose_no_request(stopped):
    kept = [s for name, s in stopped.seen.items() if name.startswith('kept')]
    lost = [
        seen
        for seen in kept
        if not seen.is_complete
        and (seen.was_passed_on or seen.ended_s - seen.sent_s > LOSS_SLACK_S)
    ]
    assert not lost
    assert any(seen.status == 200 and seen.sent_s > 1 for seen in kept)


def test_process_ends_by_itself_within_the_grace_period(stopped):
    assert stopped.status == 0
    assert stopped.ended_s < GRACE_S
