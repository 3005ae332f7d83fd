"""Responses to requests whose body the server does not read."""

import socket

import pytest

from godwitglade.daemon import servers
from tests.operators import gateways

HEAD = (
    'PUT /v1/documents/checks HTTP/1.1\r\nHost: x\r\n'
    'Authorization: Bearer {}-token\r\n{}\r\n\r\n'
)
LONG_BODY = 'Content-Length: 10000000000'


@pytest.fixture
def address():
    with socket.create_server(('127.0.0.1', 0)) as probe:
        bound_address = probe.getsockname()
    app = gateways.make_app(gateways.FakeGateway())
    running = servers.Servers([servers.Listener(*bound_address, app, 2)])
    running.start()
    yield bound_address
    running.stop()


def open_request(address, *head):
    client = socket.create_connection(address, 10)
    client.sendall(HEAD.format(*head).encode())
    return client


def read_until_closed(client):
    chunks = iter(lambda: client.recv(65_536), b'')
    return b''.join(chunks).decode()


@pytest.mark.parametrize(
    'token, length, status',
    [
        ('nobody', LONG_BODY, '401'),
        ('watch', LONG_BODY, '403'),
        ('amina', LONG_BODY, '413'),
        ('nobody', 'Transfer-Encoding: chunked', '401'),
    ],
)
def test_unread_body_closes_connection(address, token, length, status):
    with open_request(address, token, length) as client:
        client.sendall(b'5\r\nabcde\r\n')
        answer = read_until_closed(client)
    assert answer.startswith(f'HTTP/1.1 {status} ')
    assert 'Connection: close' in answer
    assert '"error"' in answer


def test_fully_read_chunked_body_keeps_connection_open(address):
    with open_request(
        address, 'amina', 'Transfer-Encoding: chunked'
    ) as client:
        client.sendall(b'2\r\n{}\r\n0\r\n\r\n')
        answer = client.recv(65_536).decode()
    assert answer.startswith('HTTP/1.1 422 ')
    assert 'Connection: close' not in answer
