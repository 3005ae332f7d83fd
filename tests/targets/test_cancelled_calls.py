"""Calls that are cancelled while the body of their response arrives."""

import threading
import types

import attrs
import pytest

from bench.standins import edge_platform
from godwitglade.common import clock as clocks
from godwitglade.edge import headers
from godwitglade.routing import effects
from godwitglade.routing import messages
from godwitglade.targets import forwarding
from tests.routing import builders


class Caller:
    """Records the parts of a response."""

    def __init__(self):
        self.has_started = False
        self.content = b''

    def start_response(self, status, headers_, size):
        self.has_started = True

    def write(self, chunk):
        self.content += chunk


@pytest.fixture
def target():
    running = edge_platform.Target('app-1', 'app')
    yield running
    running.stop()


def cancel_during_body(target, behaviour, is_stream):
    """Return the result of a call that is cancelled, and its caller."""
    has_begun = threading.Event()
    target.behaviours = [behaviour]
    parts = edge_platform.BEHAVIOURS[behaviour]

    def answer(request):
        for part in parts(target, request):
            yield part
            has_begun.set()

    target.answer = answer
    caller, posted = Caller(), []
    forwarder = forwarding.Forwarder(
        clocks.Clock(), headers.HeaderCodec(), posted.append
    )
    listed = attrs.evolve(
        builders.listed('app-1', 'app'), address=target.address
    )
    request = forwarding.CallerRequest('POST', '/once/x', {}, b'{}', 'a1')
    context = forwarding.ForwardingContext(
        attrs.evolve(request, headers={'X-Attempt-Id': 'a1'}), caller
    )
    effect = effects.Forward(
        'r1', 1, listed, timeout_ms=5_000, is_stream=is_stream
    )
    result = types.SimpleNamespace(message=None)

    def call():
        result.message = forwarder.forward(context, effect)

    thread = threading.Thread(target=call, daemon=True)
    thread.start()
    assert has_begun.wait(5)
    forwarder.cancel(effects.CancelCall('r1', 1))
    thread.join(5)
    return result.message, caller


def test_cancelled_call_does_not_end_a_body_without_length_as_whole(target):
    message, caller = cancel_during_body(target, 'unframed_slow', False)
    assert isinstance(message, messages.CallLost)
    assert not caller.has_started


def test_cancelled_call_does_not_end_a_stream_without_length_as_whole(target):
    message, _ = cancel_during_body(target, 'stream_unframed_slow', True)
    assert isinstance(message, messages.StreamBroken)
