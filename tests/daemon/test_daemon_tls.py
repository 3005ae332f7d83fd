"""A complete daemon with TLS on its listeners, and start-up faults."""

import contextlib
import io
import socket
import threading

import pytest
import urllib3

from godwitglade.coordination import bodies
from godwitglade.coordination import effects
from godwitglade.coordination import hosts
from godwitglade.daemon import assembly
from godwitglade.daemon import context
from godwitglade.daemon import core
from godwitglade.daemon import settings
from godwitglade.decisions import messages as decision_messages
from godwitglade.operators import access
from tests.daemon import certificates

SETTINGS_TEMPLATE = """\
host: entry-1
zone: north-a
callers: {{address: '127.0.0.1:{ports[0]}', {pair}}}
operators: {{address: '127.0.0.1:{ports[1]}', {pair}}}
peers: {{address: '127.0.0.1:{ports[2]}', {pair}}}
peers_ca_path: {folder}/c.pem
platform:
  table_url: http://127.0.0.1:9
  objects_url: http://127.0.0.1:9
  host_list_url: http://127.0.0.1:9
secret: {{variable: SECRET}}
tokens: [{{name: watch, role: monitor, sha256: {hash}}}]
"""


def write_settings(folder):
    with contextlib.ExitStack() as stack:
        sockets = [
            stack.enter_context(socket.create_server(('127.0.0.1', 0)))
            for _ in range(3)
        ]
        ports = [bound.getsockname()[1] for bound in sockets]
    pair = f'certificate_path: {folder}/c.pem, key_path: {folder}/k.pem'
    token_hash = access.hash_token('watch-token')
    text = SETTINGS_TEMPLATE.format(
        ports=ports, pair=pair, folder=folder, hash=token_hash
    )
    path = folder / 'host.yaml'
    path.write_text(text)
    return path


def make_environment():
    return context.Environment(
        stdout=io.StringIO(),
        stderr=io.StringIO(),
        variables={'SECRET': '0123456789abcdef'},
    )


@pytest.fixture(scope='module')
def running_daemon(tmp_path_factory):
    folder = tmp_path_factory.mktemp('served')
    certificates.write_pair(folder, 'entry-1')
    env = make_environment()
    loaded = settings.load_settings(write_settings(folder), env.variables)
    daemon = assembly.assemble(loaded, env)
    daemon.servers.start()
    thread = threading.Thread(target=daemon.loop.run)
    thread.start()
    yield loaded, daemon
    daemon.loop.post(decision_messages.StopRequested())
    thread.join()
    daemon.servers.stop()
    daemon.effect_runner.stop()


def test_each_listener_uses_tls(running_daemon):
    loaded, daemon = running_daemon
    pool = urllib3.PoolManager(
        ca_certs=loaded.peers_ca_path, assert_hostname=False, retries=False
    )
    health = pool.request('GET', f'https://{loaded.callers.address}/healthz')
    assert health.status == 200
    status = pool.request(
        'GET',
        f'https://{loaded.operators.address}/v1/status',
        headers={'Authorization': 'Bearer watch-token'},
    )
    assert status.json()['host'] == 'entry-1'
    with pytest.raises(urllib3.exceptions.HTTPError):
        pool.request('GET', f'http://{loaded.callers.address}/healthz')


def test_hosts_exchange_messages_over_tls(running_daemon):
    loaded, daemon = running_daemon
    other = hosts.HostId('entry-2', 'north-b', 1)
    client = assembly.make_peer_components(
        other, loaded, make_environment()
    ).client
    request = effects.SendPeer('t', loaded.peers.address, bodies.Ping(), 5_000)
    assert client.send(request).body == bodies.Pong()


@pytest.mark.parametrize(
    'args, status, expected_text',
    [
        (['--nothing'], 'USAGE', 'No such option'),
        ([], 'USAGE', 'Missing option'),
        (['--settings', 'SETTINGS'], 'SETTINGS', 'certificate_unusable'),
        (['--settings', '/nothing.yaml'], 'SETTINGS', 'file_unreadable'),
    ],
)
def test_start_up_fault_sets_exit_status(
    tmp_path, args, status, expected_text
):
    path = write_settings(tmp_path)
    args = [str(path) if arg == 'SETTINGS' else arg for arg in args]
    env = make_environment()
    assert core.main(args, env).name == status
    assert expected_text in env.stderr.getvalue()
