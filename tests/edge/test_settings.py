"""Tests loading, rejecting and reloading the platform's settings file."""

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


def test_file_is_loaded_and_unknown_fields_are_ignored(tmp_path):
    loaded = settings.load(write(tmp_path / 's.yaml'))
    assert loaded.host == 'edge-1'
    assert loaded.peers_address == '10.1.0.41:7740'
    assert loaded.bounds.revoke_ms == 5_000
    assert loaded.bounds.retries.allowance == 58.0
    assert loaded.bounds.stop_limit_ms < 8_000


@pytest.mark.parametrize(
    ('bounds', 'change_bound_ms'),
    [
        ({}, 2_000),
        ({'configApplyMs': 3_000, 'drainMs': 1_500}, 1_500),
        ({'configApplyMs': 1_200, 'drainMs': 9_000}, 1_200),
    ],
)
def test_changes_are_in_force_within_the_shorter_bound(
    tmp_path, bounds, change_bound_ms
):
    loaded = settings.load(write(tmp_path / 's.yaml', bounds=bounds))
    assert loaded.bounds.change_bound_ms == change_bound_ms


@pytest.mark.parametrize(
    ('bounds', 'window_ms'),
    [
        ({}, None),
        ({'reuseWindowS': 7.5}, 7_500),
        ({'reuseWindowS': 7.5, 'weighsPrompts': False}, None),
    ],
)
def test_prompts_are_weighed_where_their_window_is_known(
    tmp_path, bounds, window_ms
):
    loaded = settings.load(write(tmp_path / 's.yaml', bounds=bounds))
    assert loaded.bounds.prompt_window_ms == window_ms


def test_capacity_follows_the_limits_of_the_machine(tmp_path):
    small = {'cpuShare': 0.516, 'cores': 1, 'linkMbps': 5.0}
    large = {'cpuShare': 0.717, 'cores': 3, 'linkMbps': 100.0}
    capacities = [
        settings.load(write(tmp_path / 's.yaml', limits=limits)).jobs_per_s
        for limits in (small, large)
    ]
    assert 0 < capacities[0] < capacities[1]


@pytest.mark.parametrize(
    ('bounds', 'revoke_ms'),
    [
        ({'revokeMs': 5000, 'failClosed': False}, None),
        ({'revokeMs': 5000}, None),
        ({}, None),
    ],
)
def test_key_age_is_unlimited_unless_configured(tmp_path, bounds, revoke_ms):
    loaded = settings.load(write(tmp_path / 's.yaml', bounds=bounds))
    assert loaded.bounds.revoke_ms is revoke_ms


@pytest.mark.parametrize(
    'changes',
    [
        {'zone': None},
        {'listen': {'frontend': '10.1.0.41:8625'}},
        {'internalPorts': 'many'},
        {'platform': 'not a table'},
    ],
)
def test_invalid_file_is_refused(tmp_path, changes):
    with pytest.raises(settings.SettingsError):
        settings.load(write(tmp_path / 's.yaml', **changes))


@pytest.mark.parametrize('text', [None, 'a: [', '- 1'])
def test_missing_or_malformed_file_is_refused(tmp_path, text):
    path = tmp_path / 's.yaml'
    if text is not None:
        path.write_text(text)
    with pytest.raises(settings.SettingsError):
        settings.load(str(path))


@pytest.mark.parametrize(
    ('change', 'is_reload_requested', 'applied_count', 'refused_count'),
    [
        ({}, False, 0, 0),
        ({}, True, 1, 0),
        ({'heartbeatMs': 900}, False, 1, 0),
        ({'zone': None}, False, 0, 1),
    ],
    ids=['same', 'same but signalled', 'changed', 'broken'],
)
def test_file_is_reloaded_on_change_or_request(
    tmp_path, change, is_reload_requested, applied_count, refused_count
):
    path = tmp_path / 's.yaml'
    write(path)
    applied, refusals = [], []
    watcher = settings_watch.SettingsWatcher(
        str(path), settings.load, applied.append, refusals.append
    )
    if change:
        write(path, **change, padding='so that the size differs')
    watcher.check(is_reload_requested)
    watcher.check(False)
    assert (len(applied), len(refusals)) == (applied_count, refused_count)
