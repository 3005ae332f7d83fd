"""Tests the callers' interface over HTTP with a scripted loop."""

import functools
import json
import select
import socket
import threading

import attrs
import pytest
import urllib3

from godwitglade.callers import app as callers_app
from godwitglade.callers import exchanges
from godwitglade.common import clock
from godwitglade.daemon import connections
from godwitglade.daemon import servers
from godwitglade.decisions import effects
from godwitglade.decisions import messages
from godwitglade.decisions import outcomes

MAX_BODY_BYTES = 2_000
PATH = '/v1/pipelines/papers/requests'
HEADERS = {'X-Workspace': 'rabat-desk'}


@attrs.define
class ScriptedLoop:
    """Replies to each request with the effects of ``script``."""

    open_exchanges: exchanges.Exchanges
    script: list = attrs.Factory(list)
    arrivals: list = attrs.Factory(list)
    disconnected: threading.Event = attrs.Factory(threading.Event)

    def post(self, message):
        if isinstance(message, messages.CallerDisconnected):
            self.disconnected.set()
            return
        self.arrivals.append(message)
        identifier = getattr(message, 'request_id', None) or message.query_id
        for make in self.script:
            self.open_exchanges.deliver(identifier, make(identifier))


def answer(outcome):
    return lambda request_id: effects.AnswerCaller(request_id, outcome)


def piece(offset, text):
    return lambda request_id: effects.SendPiece(request_id, offset, text)


@attrs.define
class Response:
    """An HTTP response with a JSON body or stream events."""

    status: int
    headers: dict
    text: str

    @property
    def json(self):
        return json.loads(self.text)

    @property
    def events(self):
        blocks = [block for block in self.text.split('\n\n') if block]
        pairs = (block.split('\n') for block in blocks)
        return [(k[7:], json.loads(data[6:])) for k, data in pairs]


def http(port, method, path, body=None, **headers):
    pool = urllib3.PoolManager(retries=False)
    raw = json.dumps(body).encode() if not isinstance(body, bytes) else body
    response = pool.request(
        method,
        f'http://127.0.0.1:{port}{path}',
        body=raw if body is not None else None,
        headers=headers,
        timeout=10,
    )
    return Response(
        response.status, dict(response.headers), response.data.decode()
    )


@pytest.fixture
def served():
    open_exchanges = exchanges.Exchanges('host-1#1')
    loop = ScriptedLoop(open_exchanges)
    app = callers_app.make_app(
        callers_app.Gateway(
            loop.post,
            open_exchanges,
            clock.Clock(),
            lambda: True,
            MAX_BODY_BYTES,
        )
    )
    with socket.create_server(('127.0.0.1', 0)) as probe:
        port = probe.getsockname()[1]
    listener = servers.Listener(
        '127.0.0.1', port, app, 4, connection_class=ShortTimeoutConnection
    )
    running = servers.Servers([listener])
    running.start()
    yield loop, functools.partial(http, port)
    running.stop()


@pytest.mark.parametrize(
    'outcome, status, code, retry_after',
    [
        (outcomes.Answered({'read': 1}), 200, 'answered', None),
        (
            outcomes.RefusedNotRun('overloaded', 1_200),
            429,
            'refused_not_run',
            '2',
        ),
        (outcomes.Failed('target_lost', ('read',)), 504, 'failed', None),
        (outcomes.Unknown('target_lost', 'send'), 502, 'unknown', None),
    ],
)
def test_status_of_each_outcome(served, outcome, status, code, retry_after):
    loop, call = served
    loop.script = [answer(outcome)]
    response = call('POST', PATH, {'a': 1}, **HEADERS)
    assert response.status == status
    assert response.json['outcome'] == code
    assert response.headers.get('Retry-After') == retry_after
    assert loop.arrivals[0].payload == {'a': 1}


def test_stream_sends_pieces_then_the_outcome(served):
    loop, call = served
    loop.script = [
        piece(0, 'ab'),
        piece(2, 'c'),
        answer(outcomes.Answered({'write': 'abc'})),
    ]
    response = call('POST', PATH, {}, Accept='text/event-stream', **HEADERS)
    kinds = [kind for kind, _ in response.events]
    assert kinds == ['piece', 'piece', 'outcome']
    assert response.events[1][1] == {'offset': 2, 'text': 'c'}
    assert response.events[2][1]['results'] == {'write': 'abc'}
    assert not loop.disconnected.is_set()


def test_refused_stream_has_the_status_of_its_outcome(served):
    loop, call = served
    loop.script = [answer(outcomes.RefusedNotRun('no_target'))]
    response = call('POST', PATH, {}, Accept='text/event-stream', **HEADERS)
    assert response.status == 503
    assert response.json['reason'] == 'no_target'


def test_disconnected_caller_is_reported_to_the_loop(served):
    loop, call = served
    loop.script = [piece(n, 'x' * 100_000) for n in range(60)]
    pool = urllib3.PoolManager(retries=False)
    port = call.args[0]
    response = pool.request(
        'POST',
        f'http://127.0.0.1:{port}{PATH}',
        body=b'{}',
        headers={**HEADERS, 'Accept': 'text/event-stream'},
        preload_content=False,
    )
    response.read(1)
    response.close()
    pool.clear()
    assert loop.disconnected.wait(20)


@pytest.mark.parametrize(
    'method, path, body, headers, status, reason',
    [
        ('POST', PATH, b'{', HEADERS, 400, 'malformed'),
        ('POST', PATH, b'', HEADERS, 400, 'malformed'),
        ('POST', PATH, {}, {}, 400, 'bad_header'),
        ('POST', PATH, {}, {'X-Workspace': 'a b'}, 400, 'bad_header'),
        *(
            (
                'POST',
                PATH,
                {},
                {**HEADERS, 'X-Deadline-Ms': value},
                400,
                'bad_header',
            )
            for value in ('0', '-5', 'soon', '1.5', '99999999')
        ),
        (
            'POST',
            PATH,
            {},
            {**HEADERS, 'Idempotency-Key': 'k' * 201},
            400,
            'bad_header',
        ),
        ('POST', PATH, b'x' * 2_001, HEADERS, 413, 'body_too_large'),
        ('GET', PATH, None, HEADERS, 405, 'method_not_allowed'),
        ('POST', '/v1/nowhere', {}, HEADERS, 404, 'not_found'),
    ],
)
def test_invalid_request_is_refused_with_a_reason(
    served, method, path, body, headers, status, reason
):
    loop, call = served
    response = call(method, path, body, **headers)
    assert response.status == status
    assert response.json['reason'] == reason
    assert response.json['outcome'] == 'refused_not_run'
    assert loop.arrivals == []
    loop.script = [answer(outcomes.Answered({}))]
    assert call('POST', PATH, {}, **HEADERS).status == 200


class ShortTimeoutConnection(connections.BoundedConnection):
    """Times out if a request has not arrived after 300 ms."""

    read_timeout_ms = 300


def send_slowly(port, head, gap_s, count, is_half_closed=False):
    """Send ``head``, then single bytes; return the complete response."""
    with socket.create_connection(('127.0.0.1', port), timeout=20) as sock:
        sock.sendall(head)
        for _ in range(count):
            if select.select([sock], [], [], gap_s)[0]:
                break
            sock.sendall(b'1')
        if is_half_closed:
            sock.shutdown(socket.SHUT_WR)
        return b''.join(iter(lambda: sock.recv(65_536), b'')).decode()


HEAD = (
    f'POST {PATH} HTTP/1.1\r\nHost: a\r\nX-Workspace: a\r\n'
    'Content-Length: 50\r\n'
).encode()


@pytest.mark.parametrize(
    'head, is_half_closed, status, reason',
    [
        (HEAD + b'\r\n', False, '408', 'body_too_slow'),
        (HEAD + b'\r\n123', True, '400', 'body_incomplete'),
        (HEAD + b'X-Slow: ', False, '408', ''),
    ],
    ids=['body', 'cut body', 'head'],
)
def test_incomplete_request_is_ended_with_an_error(
    served, head, is_half_closed, status, reason
):
    loop, call = served
    count = 0 if is_half_closed else 1_000
    response = send_slowly(call.args[0], head, 0.05, count, is_half_closed)
    assert response.startswith(f'HTTP/1.1 {status}')
    assert reason in response
    assert loop.arrivals == []


@pytest.mark.parametrize('path, status', [('healthz', 200), ('readyz', 200)])
def test_health(served, path, status):
    assert served[1]('GET', f'/{path}').status == status


def test_outcome_query(served):
    loop, call = served
    loop.script = [
        lambda query_id: effects.AnswerQuery(
            query_id, 'settled', outcomes.Answered({'a': 1})
        )
    ]
    path = '/v1/pipelines/papers/outcomes/key-1'
    response = call('GET', path, **HEADERS)
    assert response.json['state'] == 'settled'
    assert response.json['outcome']['results'] == {'a': 1}
    assert loop.arrivals[0].idempotency_key == 'key-1'
