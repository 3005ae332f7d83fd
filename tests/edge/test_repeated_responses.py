"""Targets that send a response once more where the next one is due."""

import contextlib
import socket
import threading

import attrs
import pytest

from bench.standins import edge_platform
from godwitglade.common import clock as clocks
from godwitglade.common import codec
from godwitglade.edge import headers
from godwitglade.edge import stage_calls
from godwitglade.routing import effects
from godwitglade.routing import messages
from godwitglade.targets import forwarding
from tests.routing import builders


def results(*handles):
    """Return a response with one result for each handle."""
    entries = [{'handle': handle} for handle in handles]
    body = codec.to_json({'entries': entries})
    return edge_platform.response(200, {}, body)


REFUSAL = edge_platform.response(503, {'X-Not-Executed': '1'})
FIRST = results('t/1')
SECOND = results('t/2')
FREED = edge_platform.response(200, {}, b'{}')
SHORT = results()
FAILED = results('')


@contextlib.contextmanager
def answering(*scripts):
    """Serve connections, each with a script of responses; yield the address.

    A script has the responses to each request of its connection. The last
    connection answers all further requests with SECOND.
    """
    listener = socket.create_server(('127.0.0.1', 0))

    def serve(connection, script):
        with connection, connection.makefile('rb') as rfile:
            for responses in script:
                if edge_platform.read_request(rfile) is None:
                    return
                connection.sendall(responses)
            while edge_platform.read_request(rfile) is not None:
                connection.sendall(SECOND)

    def accept():
        for script in (*scripts, ()):
            with contextlib.suppress(OSError):
                connection, _ = listener.accept()
                thread = threading.Thread(
                    target=serve, args=(connection, script), daemon=True
                )
                thread.start()

    threading.Thread(target=accept, daemon=True).start()
    with listener:
        yield '127.0.0.1:%d' % listener.getsockname()[1]


def run_twice(address, frees=False):
    """Make two stage calls; return the outcomes."""
    clock = clocks.Clock()
    forwarder = forwarding.Forwarder(clock, headers.HeaderCodec(), print)
    client = stage_calls.StageClient(clock, forwarder)
    listed = builders.listed('t', 'encode')
    target = attrs.evolve(listed, address=address)
    item = effects.BatchItem('a1', 0, 0, 900, 'k', ())
    outcomes = []
    for call_id in ('c1', 'c2'):
        batch = effects.RunBatch(call_id, target, (item,), 1_000)
        outcomes.append(client.run(batch))
        if frees:
            client.free(effects.FreeResults((f'{address}/1',)))
    return outcomes


LOST = messages.BatchLost
ENDED = messages.BatchEnded
NOT_RUN = messages.BatchNotRun


@pytest.mark.parametrize(
    ('script', 'expected'),
    [
        ([FIRST, SECOND], (ENDED, ENDED)),
        ([FIRST, FIRST + SECOND], (ENDED, LOST)),
        ([REFUSAL, REFUSAL + FIRST], (NOT_RUN, ENDED)),
        ([SHORT, FIRST], (LOST, ENDED)),
        ([FAILED, FAILED + FIRST], (ENDED, ENDED)),
    ],
)
def test_stage_call_is_not_given_an_earlier_response(script, expected):
    with answering(script) as address:
        outcomes = run_twice(address)
    assert tuple(map(type, outcomes)) == expected
    ended = [o for o in outcomes if isinstance(o, ENDED)]
    handles = [r.handle for o in ended for r in o.results if r.handle]
    assert len(set(handles)) == len(handles)
    if isinstance(outcomes[1], ENDED):
        assert handles[-1] == 't/2'


def test_frees_on_a_kept_connection_are_not_taken_for_repeated():
    script = [FIRST, FREED, SECOND, FREED]
    with answering(script) as address:
        outcomes = run_twice(address, frees=True)
    assert tuple(map(type, outcomes)) == (ENDED, ENDED)
