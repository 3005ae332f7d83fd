"""The end of a planned stop of a complete daemon."""

import signal

import pytest
import urllib3

from godwitglade.daemon import assembly
from godwitglade.daemon import core
from godwitglade.daemon import settings
from godwitglade.decisions import messages
from tests.daemon import certificates
from tests.daemon import test_daemon_tls


@pytest.fixture
def keep_signals():
    numbers = (signal.SIGTERM, signal.SIGINT)
    handlers = [signal.getsignal(number) for number in numbers]
    yield
    for number, handler in zip(numbers, handlers, strict=True):
        signal.signal(number, handler)


def test_request_that_arrives_while_the_listeners_close_is_refused(
    tmp_path, keep_signals, monkeypatch
):
    certificates.write_pair(tmp_path, 'entry-1')
    env = test_daemon_tls.make_environment()
    path = test_daemon_tls.write_settings(tmp_path)
    loaded = settings.load_settings(path, env.variables)
    daemon = assembly.assemble(loaded, env)
    close_listeners = daemon.servers.stop
    replies = []

    def send_and_close():
        pool = urllib3.PoolManager(
            ca_certs=loaded.peers_ca_path, assert_hostname=False
        )
        url = f'https://{loaded.callers.address}/v1/pipelines/p/requests'
        headers = {'X-Workspace': 'w', 'X-Deadline-Ms': '300'}
        replies.append(pool.request('POST', url, json={}, headers=headers))
        close_listeners()

    monkeypatch.setattr(daemon.servers, 'stop', send_and_close)
    for _ in range(2):
        daemon.loop.post(messages.StopRequested())
    core._serve(daemon)
    (reply,) = replies
    assert reply.status == 503, reply.data
