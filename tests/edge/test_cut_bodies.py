"""Bodies without a length that end early."""

import concurrent.futures
import contextlib
import http.client
import socket
import time
from unittest import mock

import pytest

from bench.standins import edge_document
from bench.standins import edge_platform
from godwitglade.routing import messages
from tests.edge import deployment

EVENTS = b''.join(edge_platform.event(n) for n in range(1, 7))
#: A call of 600 ms that may be repeated is cancelled after 0.6 of that.
SHORT = {'X_Deadline_Ms': '600'}
#: The deadline and the time limit of the reads come at the same moment.
FAILURES = (502, 504)


@pytest.fixture
def edge():
    running = deployment.Deployment()
    yield running
    running.stop()


@pytest.mark.parametrize(
    ('path', 'behaviours', 'statuses', 'content'),
    [
        ('/once/x', ['unframed_slow'], FAILURES, None),
        ('/read/x', ['unframed_slow', 'ok'], (200,), b'whole'),
        ('/read/x', ['unframed_slow'], FAILURES, None),
        ('/read/x', ['error_unframed_slow', 'ok'], (200,), b'whole'),
        ('/once/x', ['error_unframed_slow'], FAILURES, None),
    ],
)
def test_body_cut_by_a_cancelled_call_is_not_whole(
    edge, path, behaviours, statuses, content
):
    edge.set_behaviours('app', *behaviours)
    response = edge.send_request(path, **SHORT)
    assert response.status in statuses
    assert content in (None, response.content)


@pytest.mark.parametrize(
    ('path', 'behaviours', 'status', 'content'),
    [
        ('/once/x', ['unframed_exit'], 502, None),
        ('/read/x', ['unframed_exit', 'ok'], 200, b'whole'),
        ('/read/x', ['unframed_exit', 'unframed'], 200, b'whole'),
        ('/once/x', ['unframed_exit_late'], 502, None),
        ('/read/x', ['unframed_exit_late', 'ok'], 200, b'whole'),
    ],
)
def test_body_cut_by_the_end_of_its_target_is_not_whole(
    edge, path, behaviours, status, content
):
    edge.set_behaviours('app', *behaviours)
    response = edge.send_request(path)
    assert response.status == status
    assert content in (None, response.content)


@pytest.mark.parametrize(
    ('behaviour', 'fields'),
    [('stream_unframed_slow', SHORT), ('stream_unframed_exit', {})],
)
def test_stream_that_was_cut_does_not_end_as_complete(edge, behaviour, fields):
    edge.set_behaviours('engine', behaviour)
    with pytest.raises(http.client.IncompleteRead) as caught:
        edge.send_request('/stream/x', **fields)
    assert caught.value.partial.startswith(edge_platform.event(1))


@pytest.mark.parametrize(
    ('behaviour', 'is_cut'),
    [('stream_unframed', False), ('stream_unframed_exit', True)],
)
def test_cut_stream_to_a_caller_without_chunks_is_reset(
    edge, behaviour, is_cut
):
    edge.set_behaviours('engine', behaviour)
    host, _, port = edge.address.rpartition(':')
    head = [
        'POST /stream/x HTTP/1.0',
        f'Host: {edge_document.HOST}',
        'X-Attempt-Id: a1',
        'X-Deadline-Ms: 1500',
        'Authorization: Bearer key-1',
    ]
    received, is_reset = b'', False
    with socket.create_connection((host, int(port)), 5) as connection:
        connection.sendall('\r\n'.join([*head, '', '']).encode())
        try:
            while chunk := connection.recv(1_000):
                received += chunk
        except ConnectionResetError:
            is_reset = True
    assert edge_platform.event(2) in received
    assert is_reset is is_cut


def test_stream_cut_by_the_end_of_its_target_goes_on_at_another(edge):
    edge.set_behaviours('engine', 'stream_unframed_exit', 'stream_unframed')
    response = edge.send_request('/resume/x')
    assert (response.status, response.content) == (200, EVENTS)
    assert len(edge.runs('engine')) == 2


def test_body_cut_by_a_host_that_leaves_its_targets_is_not_whole(edge):
    edge.set_behaviours('app', 'unframed_slow', 'ok')
    requests = edge.process.loop.host.components.requests
    reachability = edge.process.loop.host.components.reachability
    with concurrent.futures.ThreadPoolExecutor() as threads:
        sent = threads.submit(edge.send_request, '/read/x')
        edge.wait_for(lambda: edge.runs('app'))
        time.sleep(0.1)
        with mock.patch.object(reachability, 'is_silent', lambda now_ms: True):
            edge.process.loop.post(messages.ReachabilityKnown(True, True))
            edge.wait_for(lambda: '"cut_off"' in edge.log.text)
        response = sent.result()
    edge.wait_for(lambda: not len(requests))
    assert response.content == b'whole' or response.status != 200


@pytest.mark.parametrize(
    ('path', 'behaviour', 'fields', 'logged'),
    [
        (
            '/once/x',
            'unframed',
            {},
            ['"end": "closed", "cancelled": false, "confirmed": true'],
        ),
        (
            '/once/x',
            'unframed_exit',
            {},
            ['"end": "closed", "cancelled": false, "confirmed": false'],
        ),
        (
            '/read/x',
            'unframed_slow',
            SHORT,
            ['"reason": "slow"', '"cancelled": true, "confirmed": false'],
        ),
        (
            '/once/x',
            'unframed_slow',
            SHORT,
            ['"framing": "connection"', '"confirmed": false'],
        ),
        ('/once/x', 'short', {}, ['"framing": "length", "received_bytes": 3']),
    ],
)
def test_log_tells_how_a_body_ended(edge, path, behaviour, fields, logged):
    edge.set_behaviours('app', behaviour)
    with contextlib.suppress(http.client.HTTPException, OSError):
        edge.send_request(path, **fields)
    edge.wait_for(lambda: '"body_ended"' in edge.log.text)
    edge.wait_for(lambda: all(text in edge.log.text for text in logged))
