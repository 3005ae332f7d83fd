"""Listeners are bound all together or not at all."""

import socket
import threading

import pytest

from godwitglade.daemon import servers


def answer(environ, start_response):
    start_response('200 OK', [('Content-Length', '0')])
    return [b'']


@pytest.mark.parametrize('taken', [0, 1, 2])
def test_port_in_use_leaves_nothing_behind(taken):
    held = [socket.create_server(('127.0.0.1', 0)) for _ in range(3)]
    ports = [sock.getsockname()[1] for sock in held]
    free = [sock for number, sock in enumerate(held) if number != taken]
    for sock in free:
        sock.close()
    before = set(threading.enumerate())
    made = servers.Servers(
        servers.Listener('127.0.0.1', port, answer, 2) for port in ports
    )
    with pytest.raises(OSError):
        made.start()
    held[taken].close()
    left = [t for t in threading.enumerate() if t not in before]
    for thread in left:
        thread.join(20)
    # A worker that outlives the start keeps the process from ending.
    assert not [t for t in left if t.is_alive()]
    for port in ports:
        with pytest.raises(OSError):
            socket.create_connection(('127.0.0.1', port), timeout=5)
