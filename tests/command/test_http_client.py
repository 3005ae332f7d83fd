"""Tests of the HTTP client over loopback: responses and lost answers."""

import contextlib
import socket
import threading

import pytest

from godwitglade.command import errors
from godwitglade.command import http_client

HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
PLAIN = b'HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}'


@contextlib.contextmanager
def server(*writes):
    """Serve one connection: read a request, send ``writes`` and close."""
    with socket.create_server(('127.0.0.1', 0)) as listening:
        thread = threading.Thread(target=serve, args=(listening, writes))
        thread.start()
        yield 'http://127.0.0.1:{}/x'.format(listening.getsockname()[1])
        thread.join()


def serve(listening, writes):
    connection, _ = listening.accept()
    with connection:
        connection.recv(65_536)
        for data in writes:
            connection.sendall(data)


def send(url):
    request = http_client.Request('PUT', url, {'A': 'b'}, b'{}')
    return http_client.Urllib3Client().send(request)


def test_complete_response_is_read():
    with server(PLAIN) as url:
        reply = send(url)
        assert (reply.status, reply.read()) == (409, b'{}')


def test_chunks_are_yielded_as_they_arrive():
    with server(HEAD, b'3\r\nabc\r\n', b'2\r\nde\r\n', b'0\r\n\r\n') as url:
        reply = send(url)
        assert next(reply.chunks).startswith(b'abc')


@pytest.mark.parametrize(
    'writes', [(), (PLAIN[:40],), (PLAIN[:-1],), (HEAD, b'3\r\nabc\r\n')]
)
def test_truncated_response_raises_answer_lost(writes):
    with server(*writes) as url:
        with pytest.raises(errors.AnswerLostError):
            send(url).read()


def test_refused_connection_raises_not_sent():
    with socket.create_server(('127.0.0.1', 0)) as listening:
        port = listening.getsockname()[1]
    with pytest.raises(errors.NotSentError):
        send(f'http://127.0.0.1:{port}/x')
