"""Bodies without a length, by what the target does after their end."""

import contextlib
import socket
import threading
import time

import attrs
import pytest

from bench.standins import edge_platform
from bench.standins import server
from godwitglade.common import clock as clocks
from godwitglade.edge import headers
from godwitglade.routing import effects
from godwitglade.routing import messages
from godwitglade.targets import forwarding
from tests.routing import builders

FIELDS = {'X-Attempt-Id': 'a1', 'X-Server-Signature': 's'}
WHOLE = edge_platform.response(200, FIELDS, b'whole')
UNFRAMED = WHOLE.replace(b'Content-Length: 5\r\n', b'')
REPORT = edge_platform.response(200, {}, b'{"born": 1000}')
RESTARTED = edge_platform.response(200, {}, b'{"born": 2000}')
ODD = edge_platform.response(200, {}, b'{"born": "2000"}')
LEFT = edge_platform.response(200, {'Connection': 'close'}, b'{}')


@attrs.define
class Target:
    """Serves one script of responses on each connection, then nothing.

    A script of None resets its connection. ``is_listening`` says whether
    the listener accepts more connections after the scripts; if not, it is
    closed after ``closing_s``.
    """

    scripts: list
    is_listening: bool = True
    closing_s: float = 0.0
    paths: list = attrs.Factory(list)
    address: str = ''

    @contextlib.contextmanager
    def running(self):
        """Run the target for the ``with`` block."""
        with socket.create_server(('127.0.0.1', 0)) as listener:
            self.address = '127.0.0.1:%d' % listener.getsockname()[1]
            thread = threading.Thread(
                target=self._accept, args=(listener,), daemon=True
            )
            thread.start()
            yield self

    def _accept(self, listener):
        with contextlib.suppress(OSError):
            for script in self.scripts:
                connection, _ = listener.accept()
                if script is None:
                    server.reset_on_close(connection)
                    connection.close()
                    continue
                threading.Thread(
                    target=self._serve, args=(connection, script), daemon=True
                ).start()
            if not self.is_listening:
                time.sleep(self.closing_s)
                listener.close()

    def _serve(self, connection, script):
        with connection, connection.makefile('rb') as rfile:
            for raw in script:
                request = edge_platform.read_request(rfile)
                if request is None:
                    return
                self.paths.append(request.path)
                connection.sendall(raw)
                if raw is UNFRAMED:
                    return
            rfile.read()


@attrs.define
class Caller:
    """Keeps what a caller receives."""

    has_started: bool = False
    content: bytes = b''

    def start_response(self, status, headers_, size):
        self.has_started = True

    def write(self, chunk):
        self.content += chunk


@attrs.define
class Host:
    """Forwards requests to one target."""

    target: Target
    posted: list = attrs.Factory(list)
    forwarder: forwarding.Forwarder = None

    def __attrs_post_init__(self):
        codec = headers.HeaderCodec()
        self.forwarder = forwarding.Forwarder(
            clocks.Clock(), codec, self.posted.append
        )

    def forward(self, call=1, **fields):
        """Forward a request; return the message and the caller's content."""
        request = forwarding.CallerRequest('POST', '/x', {}, b'', 'a1')
        caller = Caller()
        context = forwarding.ForwardingContext(request, caller)
        listed = builders.listed('t', started_ms=1_000, **fields)
        listed = attrs.evolve(listed, address=self.target.address)
        effect = effects.Forward('r1', call, listed, 3_000)
        return self.forwarder.forward(context, effect), caller.content


def forward_once(scripts, is_listening=True, closing_s=0.0):
    with Target(scripts, is_listening, closing_s).running() as target:
        return Host(target).forward()


@pytest.mark.parametrize(
    'scripts',
    [
        [[UNFRAMED], [REPORT]],
        [[UNFRAMED], [ODD]],
        [[UNFRAMED], [LEFT]],
        [[UNFRAMED], None, None, None],
    ],
    ids=[
        'responds',
        'malformed',
        'responds and closes',
        'at its limit',
    ],
)
def test_body_ended_by_a_target_that_runs_is_whole(scripts):
    message, content = forward_once(scripts)
    assert isinstance(message, messages.ResponseCompleted)
    assert content == b'whole'


@pytest.mark.parametrize(
    ('scripts', 'is_listening', 'closing_s'),
    [
        ([[UNFRAMED]], False, 0.0),
        ([[UNFRAMED]], False, 0.05),
        ([[UNFRAMED], [RESTARTED]], True, 0.0),
        ([[UNFRAMED], []], True, 0.0),
    ],
    ids=['refuses', 'resets, then refuses', 'has started again', 'is silent'],
)
def test_body_ended_by_a_target_that_ended_is_lost(
    scripts, is_listening, closing_s
):
    message, content = forward_once(scripts, is_listening, closing_s)
    assert isinstance(message, messages.CallLost)
    assert content == b''


def test_late_second_response_to_a_check_is_given_to_no_request():
    scripts = [[UNFRAMED], [REPORT, REPORT + WHOLE], [WHOLE]]
    with Target(scripts).running() as target:
        host = Host(target)
        outcomes = [host.forward(call) for call in (1, 2)]
    assert [content for _, content in outcomes] == [b'whole', b'whole']


def test_body_ended_by_a_target_whose_machine_has_gone_is_lost():
    with contextlib.ExitStack() as stack:
        target = stack.enter_context(Target([[UNFRAMED]]).running())
        host = Host(target)
        pool = host.forwarder.pool(target.address)
        pool.release(pool.open(500))
        # The kernel does not answer on an address whose queue is full.
        silent = socket.create_server(('127.0.0.1', 0), backlog=0)
        pool.address = '127.0.0.1:%d' % silent.getsockname()[1]
        stack.enter_context(silent)
        for _ in range(3):
            opened = stack.enter_context(socket.socket())
            opened.setblocking(False)
            opened.connect_ex(silent.getsockname())
        message, content = host.forward()
    assert isinstance(message, messages.CallLost)
    assert content == b''


def test_body_without_a_length_from_a_host_is_lost_without_a_check():
    with Target([[UNFRAMED], [REPORT]]).running() as target:
        message, content = Host(target).forward(is_host=True)
    assert isinstance(message, messages.CallLost)
    assert (content, target.paths) == (b'', ['/x'])


INTERIM = edge_platform.response(103, FIELDS) + WHOLE


def test_interim_response_is_not_taken_for_the_response():
    message, content = forward_once([[INTERIM], [REPORT]])
    assert isinstance(message, messages.CallLost)
    assert content == b''


def test_body_ended_by_a_target_that_closes_its_listener_late_is_lost():
    message, content = forward_once([[UNFRAMED]], False, closing_s=0.6)
    assert isinstance(message, messages.CallLost)
    assert content == b''
