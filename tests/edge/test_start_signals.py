"""Signals in the first moments of an edge process."""

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


@pytest.fixture
def process(tmp_path):
    """Return an edge process whose first handler has just been set."""
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
        wait_for(lambda: handles_reload(started.pid))
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
    assert not has_loaded(process.pid, 'orjson')
    process.send_signal(signal.SIGHUP)
    events = (json.loads(line)['event'] for line in process.stdout)
    assert 'settings_reloaded' in events


def test_stop_requested_before_the_start_ends_the_process(process):
    assert not has_loaded(process.pid, 'orjson')
    process.send_signal(signal.SIGTERM)
    assert process.wait(WAIT_S) == 0
