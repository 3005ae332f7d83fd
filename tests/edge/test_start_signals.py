"""Signals in the first moments of an edge process."""

import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import time

import pytest
import yaml

from tests.edge import deployment
from tests.edge import test_settings

WAIT_S = 20.0
#: Processes that are started until one is seen early enough.
STARTS = 20


@pytest.fixture
def process(tmp_path):
    """Return an edge process whose first handler has just been set."""
    for _ in range(STARTS):
        with start(tmp_path) as started:
            wait_for(lambda: handles_reload(started.pid))
            if not has_loaded(started.pid, 'orjson'):
                yield started
                return
    pytest.fail('no process was seen before it had loaded its libraries')


@contextlib.contextmanager
def start(tmp_path):
    """Run an edge process for the ``with`` block."""
    ports = deployment.free_ports(4)
    callers, ready, *internal = ports
    changes = {
        'ip': '127.0.0.1',
        'listen': {
            'frontend': f'127.0.0.1:{callers}',
            'ready': f'127.0.0.1:{ready}',
        },
        'internalPorts': internal,
        'platform': {'address': '127.0.0.1:9'},
    }
    settings = tmp_path / 'settings.yaml'
    settings.write_text(yaml.safe_dump(test_settings.PLAIN | changes))
    with subprocess.Popen(
        [sys.executable, '-m', 'godwitglade.edge'],
        env=os.environ | {'GODWITGLADE_CONFIG': str(settings)},
        stdout=subprocess.PIPE,
        text=True,
    ) as started:
        yield started
        started.kill()


def wait_for(condition):
    deadline_s = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline_s, 'condition not met in time'
        time.sleep(0.001)


def handles_reload(pid):
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    (caught,) = [
        int(line.split()[1], 16)
        for line in status.splitlines()
        if line.startswith('SigCgt:')
    ]
    return bool(caught >> (signal.SIGHUP - 1) & 1)


def has_loaded(pid, library):
    return library in pathlib.Path(f'/proc/{pid}/maps').read_text()


def test_reload_requested_before_the_start_is_done_after_it(process):
    process.send_signal(signal.SIGHUP)
    lines = []
    for line in process.stdout:
        lines.append(json.loads(line))
        if lines[-1]['event'] == 'settings_reloaded':
            return
    # What the process told before it ended.
    pytest.fail(f'no settings_reloaded in {lines}')


def test_stop_requested_before_the_start_ends_the_process(process):
    process.send_signal(signal.SIGTERM)
    assert process.wait(WAIT_S) == 0
