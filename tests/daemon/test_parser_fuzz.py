"""Random bytes for the parsers of requests and responses, with a fixed seed.

They guard against an exception that ends a thread, a read whose size the peer
chooses, and a parser that does not come to an end.
"""

import http.client
import io
import types

import hypothesis
from hypothesis import strategies
import pytest

from godwitglade.callers import request_reading
from godwitglade.common import body_reading
from godwitglade.common import input_limits
from godwitglade.common import whole_responses
from godwitglade.daemon import strict_headers
from godwitglade.targets import event_reader
from godwitglade.targets import http_exchange

EXAMPLES = 300
LIMITS = input_limits.InputLimits(
    line_bytes=200,
    head_lines=20,
    trailer_bytes=300,
    trailer_lines=10,
    framing_bytes=100,
    body_memory_bytes=2_000,
    free_body_bytes=100,
)
MAX_HEAD_BYTES = 400
MAX_BODY_BYTES = 1_000
#: Most that one read may ask for: a part of a body, or a line and one byte.
MAX_READ_BYTES = MAX_BODY_BYTES + 1

SHARED = (
    b'\r\n',
    b'\n',
    b'\r',
    b'Content-Length: 5\r\n',
    b'Content-Length: 99999999999\r\n',
    b'Content-Length: -1\r\n',
    b'Transfer-Encoding: chunked\r\n',
    b'Transfer-Encoding: chunked\r\n\r\n',
    b'5\r\nabcde\r\n',
    b'ffffffffff\r\n',
    b'-5\r\n',
    b'1;' + b'x' * 150 + b'\r\na\r\n',
    b'1;' + b'x' * 3_000,
    b'0\r\n\r\n',
    b'0\r\n',
    b'X-A: ' + b'b' * 3_000,
    b'X-A: b\r\n' * 30,
    b'abcde',
    b': \r\n',
    b' folded\r\n',
)
REQUESTS = (
    b'POST /x HTTP/1.1\r\nHost: h\r\n',
    b'GET / HTTP/1.0\r\n\r\n',
    b'GET //x:y/%zz#f HTTP/1.1\r\n\r\n',
    b'CONNECT h:1 HTTP/1.1\r\n',
    b'GET http://[::1/ HTTP/1.1\r\n',
    b'Expect: 100-continue\r\n',
    b'PUT /' + b'a' * 500 + b' HTTP/1.1\r\n',
)
RESPONSES = (
    b'HTTP/1.1 200 OK\r\n',
    b'HTTP/1.1 100 Continue\r\n\r\n' * 3,
    b'HTTP/1.1 100 Continue\r\n\r\n' * 500,
    b'HTTP/1.1 103 Early Hints\r\n\r\n',
    b'HTTP/1.1 204 No Content\r\n',
    b'HTTP/0.9 x\r\n',
    b'data: x\n\n',
    b'id: 7\n',
    b'Content-Encoding: gzip\r\n',
)


def byte_strings(*tokens):
    part = strategies.one_of(
        strategies.sampled_from(tokens), strategies.binary(max_size=20)
    )
    started = strategies.lists(part, max_size=14).map(b''.join)
    return strategies.tuples(
        strategies.sampled_from((*tokens[:1], b'')), started
    ).map(b''.join)


def fuzz(*tokens):
    def decorate(test):
        for wrap in (
            hypothesis.given(content=byte_strings(*tokens)),
            hypothesis.settings(
                max_examples=EXAMPLES,
                deadline=None,
                database=None,
                # They fail a test on a slow machine.
                suppress_health_check=list(hypothesis.HealthCheck),
            ),
            hypothesis.seed(20_261_206),
        ):
            test = wrap(test)
        return test

    return decorate


class Reader(io.BytesIO):
    """Bytes of a peer; no read may ask for an amount that the peer chose."""

    def read(self, size=-1):
        assert 0 <= size <= MAX_READ_BYTES
        return super().read(size)

    def readline(self, size=-1):
        assert 0 <= size <= MAX_READ_BYTES
        return super().readline(size)


class BodyGateway:
    """Reads the body as the edge process does."""

    bodies = []

    def __init__(self, request):
        self.request = request

    def respond(self):
        memory = input_limits.BodyMemory(LIMITS)
        request = self.request
        reader = body_reading.BodyReader(memory)
        request.status = b'200 OK'
        request.outheaders = [(b'Content-Length', b'0')]
        try:
            body = request_reading.read_body(request, MAX_BODY_BYTES, reader)
            self.bodies.append(body)
        except request_reading.Rejection as rejection:
            request.status = b'%d Error' % rejection.status
        finally:
            reader.release()
        request.ensure_headers_sent()
        assert not memory.held_bytes


def make_connection(content):
    server = types.SimpleNamespace(
        ssl_adapter=None,
        max_request_header_size=MAX_HEAD_BYTES,
        max_request_body_size=0,
        header_timeout_ms=1_000,
        protocol='HTTP/1.1',
        server_name='s',
        timeout=1,
        can_add_keepalive_connection=True,
        gateway=BodyGateway,
    )
    sent = io.BytesIO()
    return types.SimpleNamespace(
        server=server,
        rfile=Reader(content),
        wfile=sent,
        limits=LIMITS,
        report=input_limits.ignore,
        limit_read_time=lambda bound, timeout_ms: None,
        set_reset_on_close=lambda is_reset: None,
    )


@fuzz(*REQUESTS, *SHARED)
def test_bytes_of_a_caller_end_as_requests_or_refusals(content):
    connection = make_connection(content)
    BodyGateway.bodies = []
    # Each request takes at least its end of line, so this is no endless loop.
    for _ in range(len(content) + 1):
        request = strict_headers.Request(connection.server, connection)
        request.parse_request()
        if not request.ready:
            break
        request.respond()
        if request.close_connection:
            break
    else:
        pytest.fail('the requests do not end')
    answered = connection.wfile.getvalue()
    assert not answered or answered.startswith(b'HTTP/1.1 ')
    assert all(len(body) <= MAX_BODY_BYTES for body in BodyGateway.bodies)


class Socket:
    """The socket of a connection whose peer sends ``content`` and closes."""

    def __init__(self, content):
        self._content = content

    def makefile(self, *_args, **_options):
        return io.BufferedReader(io.BytesIO(self._content))

    def sendall(self, content):
        pass

    def settimeout(self, timeout_s):
        pass

    def gettimeout(self):
        return 1.0

    def close(self):
        pass


def receive(content):
    """Return the response of urllib3 to a request that gets ``content``."""
    connection = whole_responses.HTTPConnection('127.0.0.1', 1)
    connection.sock = Socket(content)
    connection.request('GET', '/', preload_content=False, decode_content=False)
    return connection.getresponse()


def read_events(response):
    reader = event_reader.EventReader()
    while chunk := response.read1(64):
        reader.feed(chunk)


def read_parts(response):
    for _part in response.stream(64):
        pass


@pytest.mark.parametrize('read', [read_events, read_parts])
@fuzz(*RESPONSES, *SHARED)
def test_bytes_of_a_target_end_as_response_or_transport_error(read, content):
    try:
        read(receive(content))
    except (*http_exchange.TRANSPORT_ERRORS, event_reader.EventError):
        pass


CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'


@pytest.mark.parametrize('read', [read_events, read_parts])
@pytest.mark.parametrize(
    'content',
    [
        b'HTTP/1.1 100 Continue\r\n\r\n' * 2_000,
        b'HTTP/1.1 200 OK\r\nX-A: ' + b'a' * 2_000_000,
        CHUNKED + b'1;' + b'a' * 2_000_000,
        CHUNKED + (b'1;' + b'a' * 5_000 + b'\r\nb\r\n') * 100,
        CHUNKED + b'0\r\nX-A: ' + b'a' * 2_000_000,
        CHUNKED + b'0\r\n' + b'X-A: b\r\n' * 20_000,
        CHUNKED + b'0' * 2_000_000,
    ],
)
def test_response_with_endless_lines_is_not_read_to_its_end(read, content):
    ended = (http.client.HTTPException, http_exchange.TRANSPORT_ERRORS[1])
    with pytest.raises(ended):
        read(receive(content))
