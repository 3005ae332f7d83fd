"""Bodies without a length whose target has started again already."""

import threading
import time
import types

import attrs
import pytest

from bench.standins import edge_platform
from godwitglade.common import clock as clocks
from godwitglade.edge import headers
from godwitglade.routing import effects
from godwitglade.routing import messages
from godwitglade.targets import forwarding
from godwitglade.targets import processes
from tests.routing import builders


class PausedClock(clocks.Clock):
    """A clock that stops a thread that reads it, as SIGSTOP would."""

    def __init__(self):
        self.is_running = threading.Event()
        self.is_running.set()

    def monotonic_ms(self):
        self.is_running.wait(5)
        return super().monotonic_ms()


class Caller:
    """Drops the response."""

    has_started = False

    def start_response(self, status, headers_, size):
        self.has_started = True

    def write(self, chunk):
        """Drop a chunk."""


@pytest.mark.parametrize(
    ('behaviour', 'is_stream', 'expected'),
    [
        ('unframed', False, messages.ResponseCompleted),
        ('stream_unframed', True, messages.ResponseCompleted),
        ('unframed_exit', False, messages.CallLost),
        ('stream_unframed_exit', True, messages.StreamBroken),
    ],
)
def test_body_that_a_paused_host_reads_after_a_restart_is_not_whole(
    behaviour, is_stream, expected
):
    target = edge_platform.Target('app-1', 'app')
    clock = PausedClock()
    parts = edge_platform.BEHAVIOURS[behaviour]
    has_ended = threading.Event()

    def answer(request):
        if request.path == '/api/report':
            yield report(request)
            return
        for number, part in enumerate(parts(target, request)):
            yield part
            if not number:
                clock.is_running.clear()

    def restart():
        exit_process()
        target.restart()
        time.sleep(0.1)
        has_ended.set()

    exit_process, target.exit = target.exit, restart
    report = target.answer
    target.answer = answer
    forwarder = forwarding.Forwarder(
        clock, headers.HeaderCodec(), lambda message: None
    )
    listed = attrs.evolve(
        builders.listed('app-1', 'app', started_ms=target.born),
        address=target.address,
    )
    request = forwarding.CallerRequest(
        'POST', '/once/x', {'X-Attempt-Id': 'a1'}, b'{}', 'a1'
    )
    context = forwarding.ForwardingContext(request, Caller())
    effect = effects.Forward(
        'r1', 1, listed, timeout_ms=5_000, is_stream=is_stream
    )
    result = types.SimpleNamespace(message=None)

    def call():
        result.message = forwarder.forward(context, effect)

    thread = threading.Thread(target=call, daemon=True)
    thread.start()
    has_ended.wait(5 if behaviour.endswith('exit') else 0.3)
    clock.is_running.set()
    thread.join(5)
    target.stop()
    assert isinstance(result.message, expected)


@pytest.mark.parametrize(
    ('report', 'expected'),
    [
        (b'{"born": 17}', 17),
        (b'{"born": "17"}', 0),
        (b'{"born": 17.5}', 0),
        (b'{"born": true}', 0),
        (b'{}', 0),
        (b'[17]', 0),
        (b'{"born"', 0),
        (b'[' * 10_000, 0),
        (b'', 0),
    ],
)
def test_start_in_a_report_that_cannot_be_read_is_unknown(report, expected):
    assert processes.parse_start(report, 'born') == expected
