"""Notices of callers that close their connections."""

import os
import socket
import threading
import time

from godwitglade.callers import routed_exchanges


class _Epoll:
    """Calls ``on_event`` once, between an event and its return."""

    def __init__(self, epoll, on_event):
        self._epoll = epoll
        self._on_event = [on_event]

    def poll(self, timeout_s):
        events = self._epoll.poll(timeout_s)
        if events and self._on_event:
            self._on_event.pop()()
        return events

    def __getattr__(self, name):
        return getattr(self._epoll, name)


def run(watch):
    threading.Thread(target=watch.run, daemon=True).start()
    time.sleep(0.3)


def test_closed_connection_does_not_end_the_next_one_with_its_descriptor():
    posted = []
    watch = routed_exchanges.CallerDisconnectWatcher(posted.append)
    (first, caller), (second, other) = socket.socketpair(), socket.socketpair()

    def reuse_descriptor():
        watch.remove(first.fileno())
        os.dup2(second.fileno(), first.fileno())
        watch.add(first.fileno(), 'second')

    watch._epoll = _Epoll(watch._epoll, reuse_descriptor)
    watch.add(first.fileno(), 'first')
    caller.close()
    run(watch)
    assert not posted
    other.close()
    time.sleep(0.3)
    assert [message.request_id for message in posted] == ['second']
    watch.remove(first.fileno())
