"""Targets of the soak cut, copy and frame their answers as real ones do."""

import random
import socket
import time

import pytest

from bench.soak import answers
from bench.soak import proxy
from bench.soak import standins
from bench.standins import edge_platform

REQUEST = b'POST /%b/x HTTP/1.1\r\nX-Attempt-Id: a1\r\n\r\n'
WHOLE = standins.response_body('a1')


@pytest.fixture
def target():
    running = standins.Target('app-1', 'app', 'z1')
    yield running
    if not running.is_down:
        running.stop()


def connect(target):
    host, _, port = target.link.address.rpartition(':')
    return socket.create_connection((host, int(port)), timeout=2)


def receive_all(sock, wait_s):
    """Return what arrives until the end or until nothing more comes."""
    sock.settimeout(wait_s)
    received = b''
    try:
        while part := sock.recv(4_096):
            received += part
    except TimeoutError:
        pass
    return received


def answer_with(target, **fields):
    def answer(request):
        values = {
            'headers': target.headers(request),
            'parts': answers.to_parts(WHOLE),
            'framing': 'length',
            'rng': random.Random(1),
            **fields,
        }
        return answers.Answer(**values)

    target.answer = answer


@pytest.mark.parametrize(
    ('framing', 'encoded'),
    [
        ('length', WHOLE),
        ('chunks', edge_platform.chunk(WHOLE[-60:]) + b'0\r\n\r\n'),
        ('connection', WHOLE),
    ],
)
@pytest.mark.parametrize('pause_s', [0, 0.02])
def test_answer_is_sent_whole(target, framing, encoded, pause_s):
    answer_with(target, framing=framing, pause_s=pause_s)
    with connect(target) as sock:
        sock.sendall(REQUEST % b'read')
        received = receive_all(sock, 0.5)
    assert received.endswith(encoded)
    assert (b'Content-Length' in received) == (framing == 'length')


def test_second_copy_comes_late_between_answers(target):
    answer_with(target, is_copied=True)
    with connect(target) as sock:
        sock.sendall(REQUEST % b'read')
        first = receive_all(sock, 1.0)
        assert first.count(WHOLE) == 2
        assert len(first) == 2 * (first.index(WHOLE) + len(WHOLE))


def test_target_that_ends_closes_its_connections_and_is_refused(target):
    answer_with(target, framing='connection', pause_s=0.1)
    with connect(target) as sock:
        sock.sendall(REQUEST % b'read')
        time.sleep(0.25)
        target.end()
        with pytest.raises(ConnectionRefusedError):
            connect(target)
        # The end of the connection, not a reset.
        received = receive_all(sock, 2.0)
    _, _, body = received.partition(b'\r\n\r\n')
    assert WHOLE.startswith(body) and len(body) < len(WHOLE)


def test_target_comes_back_at_the_same_address(target):
    standins.LINKS_BY_TARGET[target.link.address].append(
        proxy.Link(target.link.address)
    )
    target.end()
    target.come_back()
    with connect(target) as sock:
        sock.sendall(REQUEST % b'read')
        assert receive_all(sock, 0.5).startswith(b'HTTP/1.1 200 OK')


def test_second_copy_does_not_come_after_a_body_without_length(target):
    answer_with(target, is_copied=True)
    with connect(target) as sock:
        sock.sendall(REQUEST % b'read')
        sock.recv(4_096)
        answer_with(target, framing='connection', pause_s=0.1)
        sock.sendall(REQUEST % b'read')
        received = receive_all(sock, 1.5)
    assert received.endswith(WHOLE)
    assert received.count(b'HTTP/1.1') <= 2
