"""The platform's settings file: read, refused, read again."""

import pytest
import yaml

from godwitglade.daemon import settings_watch
from godwitglade.edge import settings

PLAIN = {
    'nodeName': 'edge-1',
    'zone': 'z1',
    'ip': '10.1.0.41',
    'listen': {'frontend': '10.1.0.41:8625', 'ready': '10.1.0.41:8621'},
    'internalPorts': [7740, 7755],
    'platform': {'address': '10.200.1.7:8624', 'newField': 1},
    'heartbeatMs': 1200,
    'bounds': {
        'retryBudgetRatio': 0.2,
        'retryAllowance': 58,
        'budgetWindowS': 10,
        'revokeMs': 5000,
        'failClosed': True,
        'graceS': 8,
    },
    'unknown': {'ignored': True},
}


def write(path, **changes):
    path.write_text(yaml.safe_dump(PLAIN | changes))
    return str(path)


def test_file_is_read_and_unknown_fields_are_ignored(tmp_path):
    found = settings.load(write(tmp_path / 's.yaml'))
    assert found.host == 'edge-1'
    assert found.peers_address == '10.1.0.41:7740'
    assert found.bounds.revoke_ms == 5_000
    assert found.bounds.repeats.allowance == 58.0
    assert found.bounds.stop_limit_ms < 8_000


@pytest.mark.parametrize(
    ('bounds', 'revoke_ms'),
    [
        ({'revokeMs': 5000, 'failClosed': False}, None),
        ({'revokeMs': 5000}, None),
        ({}, None),
    ],
)
def test_keys_are_not_bound_to_age_unless_asked(tmp_path, bounds, revoke_ms):
    found = settings.load(write(tmp_path / 's.yaml', bounds=bounds))
    assert found.bounds.revoke_ms is revoke_ms


@pytest.mark.parametrize(
    'changes',
    [
        {'zone': None},
        {'listen': {'frontend': '10.1.0.41:8625'}},
        {'internalPorts': 'many'},
        {'platform': 'down the hall'},
    ],
)
def test_unusable_file_is_refused(tmp_path, changes):
    with pytest.raises(settings.SettingsError):
        settings.load(write(tmp_path / 's.yaml', **changes))


@pytest.mark.parametrize('text', [None, 'a: [', '- 1'])
def test_file_that_is_missing_or_no_table_is_refused(tmp_path, text):
    path = tmp_path / 's.yaml'
    if text is not None:
        path.write_text(text)
    with pytest.raises(settings.SettingsError):
        settings.load(str(path))


@pytest.mark.parametrize(
    ('change', 'is_asked', 'taken', 'refused'),
    [
        ({}, False, 0, 0),
        ({}, True, 1, 0),
        ({'heartbeatMs': 900}, False, 1, 0),
        ({'zone': None}, False, 0, 1),
    ],
    ids=['same', 'same but signalled', 'changed', 'broken'],
)
def test_changed_file_is_read_again(
    tmp_path, change, is_asked, taken, refused
):
    path = tmp_path / 's.yaml'
    write(path)
    took, refusals = [], []
    watcher = settings_watch.SettingsWatcher(
        str(path), settings.load, took.append, refusals.append
    )
    if change:
        write(path, **change, padding='so that the size differs')
    watcher.check(is_asked)
    watcher.check(False)
    assert (len(took), len(refusals)) == (taken, refused)
