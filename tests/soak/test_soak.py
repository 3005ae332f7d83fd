"""A short soak test with a fixed seed, and the links that it impairs."""

import contextlib
import socket
import threading
import time

import pytest

from bench.soak import core
from bench.soak import proxy
from bench.soak import stalls

SHORT = core.Plan(
    hosts=3,
    callers=6,
    crash_s=6.0,
    limit_s=7.0,
    cut_s=6.0,
    streams_s=4.0,
    answers_s=6.0,
    faults_s=4.0,
    planned_s=3.0,
)
SEED = 20_261_204


def test_short_soak_violates_no_guarantee(tmp_path):
    assert core.run(SEED, SHORT, tmp_path).violations == []


@pytest.fixture
def echo():
    """Return a link to an echo server."""
    listener = socket.create_server(('127.0.0.1', 0))

    def serve():
        while True:
            with contextlib.suppress(OSError):
                connection, _ = listener.accept()
                with connection:
                    while part := connection.recv(100):
                        connection.sendall(part)

    threading.Thread(target=serve, daemon=True).start()
    return proxy.Link('127.0.0.1:%d' % listener.getsockname()[1])


def send_and_receive(link):
    """Return the echoed bytes, or None without a reply in time."""
    host, port = link.address.split(':')
    with (
        contextlib.suppress(TimeoutError, ConnectionResetError),
        socket.create_connection((host, int(port)), timeout=0.5) as sock,
    ):
        sock.sendall(b'hello')
        return sock.recv(100)
    return None


@pytest.mark.parametrize(
    ('mode', 'expected'),
    [
        (proxy.Mode.PASS, b'hello'),
        (proxy.Mode.DELAY, None),
        (proxy.Mode.RESET, None),
        (proxy.Mode.BLOCK_TO_SERVER, None),
        (proxy.Mode.BLOCK_FROM_SERVER, None),
        (proxy.Mode.BLOCK_BOTH, None),
    ],
)
def test_repaired_link_forwards_bytes_again(echo, mode, expected):
    echo.mode = mode
    assert send_and_receive(echo) == expected
    echo.mode = proxy.Mode.PASS
    assert send_and_receive(echo) == b'hello'


def test_stalls_of_the_links_are_recorded():
    detector = stalls.StallDetector()
    time.sleep(0.2)
    proxy.LOOP.call_soon_threadsafe(time.sleep, 0.4)
    time.sleep(0.6)
    detector.stop()
    assert max(s.until_s - s.from_s for s in detector.stalls) >= 0.4


def test_link_without_a_server_resets():
    with socket.create_server(('127.0.0.1', 0)) as closed:
        address = '127.0.0.1:%d' % closed.getsockname()[1]
    assert send_and_receive(proxy.Link(address)) is None
