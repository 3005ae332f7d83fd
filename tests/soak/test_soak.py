"""A short soak with a fixed seed, and the links that it harms."""

import contextlib
import socket
import threading
import time

import pytest

from bench.soak import core
from bench.soak import proxy
from bench.soak import standstills

SHORT = core.Plan(hosts=3, callers=6, storm_s=4.0, planned_s=3.0)
SEED = 20_261_204


def test_short_soak_breaks_no_promise(tmp_path):
    assert core.play(SEED, SHORT, tmp_path).broken == []


@pytest.fixture
def echo():
    """A server that sends back what it gets, behind a link."""
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


def say(link):
    """Return what comes back within a short while."""
    host, port = link.address.split(':')
    with (
        contextlib.suppress(TimeoutError, ConnectionResetError),
        socket.create_connection((host, int(port)), timeout=0.5) as sock,
    ):
        sock.sendall(b'hello')
        return sock.recv(100)
    return None


@pytest.mark.parametrize(
    ('mode', 'heard'),
    [
        (proxy.Mode.PASS, b'hello'),
        (proxy.Mode.DELAY, None),
        (proxy.Mode.RESET, None),
        (proxy.Mode.CUT_TO, None),
        (proxy.Mode.CUT_BACK, None),
        (proxy.Mode.SILENT, None),
    ],
)
def test_link_that_is_healed_carries_bytes_again(echo, mode, heard):
    echo.mode = mode
    assert say(echo) == heard
    echo.mode = proxy.Mode.PASS
    assert say(echo) == b'hello'


def test_standstills_of_the_links_are_noted():
    watch = standstills.Watch()
    time.sleep(0.2)
    proxy.LOOP.call_soon_threadsafe(time.sleep, 0.4)
    time.sleep(0.6)
    watch.stop()
    assert max(s.until_s - s.from_s for s in watch.found) >= 0.4


def test_link_to_nobody_resets():
    with socket.create_server(('127.0.0.1', 0)) as gone:
        address = '127.0.0.1:%d' % gone.getsockname()[1]
    assert say(proxy.Link(address)) is None
