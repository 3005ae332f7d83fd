"""Settings of a host: defaults, faults, secrets and typed errors."""

import pathlib

import hypothesis
from hypothesis import strategies
import pytest

from godwitglade.common import errors
from godwitglade.daemon import settings
from godwitglade.daemon import settings_types

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples' / 'settings'
TEXT = (EXAMPLES / 'complete.yaml').read_text()
SECRET = {'GODWITGLADE_SECRET': '0123456789abcdef'}


def faults_of(old, new):
    assert old in TEXT
    with pytest.raises(settings.SettingsError) as caught:
        settings.parse_settings(TEXT.replace(old, new, 1))
    return [str(fault) for fault in caught.value.faults]


def test_minimal_settings_use_defaults():
    path = EXAMPLES / 'minimal.yaml'
    loaded = settings.load_settings(path, SECRET)
    assert loaded.threads == settings_types.Threads()
    assert not loaded.callers.has_tls


def test_complete_settings_set_every_field():
    loaded = settings.parse_settings(TEXT)
    assert loaded.peers.address == '10.20.0.4:8445'
    assert [token.name for token in loaded.tokens] == [
        'amina',
        'tomas',
        'watch',
    ]
    assert loaded.tokens[0].sha256 not in repr(loaded)


@pytest.mark.parametrize(
    'old, new, fault',
    [
        ('10.20.0.4:8443', 'localhost:8443', 'must be an IP address and port'),
        ('10.20.0.4:8443', '10.20.0.4:0', 'must be an IP address and port'),
        ('10.20.0.4:8443', '10.20.0.4:70000', 'must be an IP address'),
        ('10.20.0.4:8444', '10.20.0.4:8443', 'is also the address of callers'),
        ('callers.key', 'callers.key\n  keypath: x', 'did you mean'),
        ('  key_path: /etc/godwitglade/callers.key\n', '', 'callers.key_path'),
        (
            '8445\n  certificate_path: null\n  key_path: null',
            '8445\n  certificate_path: c\n  key_path: k',
            'peers_ca_path: is required with peers.certificate_path',
        ),
        ('table_url: https', 'table_url: ftp', 'platform.table_url'),
        ('path: /run/secrets/godwitglade', '', 'either path or variable'),
        ('name: tomas', 'name: amina', 'tokens[1].name: duplicate name'),
        ('    team: touchline\n', '', 'tokens[1].team: is required'),
        ('role: monitor', 'role: monitor\n    team: x', 'not accepted for a'),
        ('log_level: info', 'log_level: loud', 'must be one of debug'),
        ('callers: 64', 'callers: 0', 'threads.callers: must be 1..512 thr'),
        ('max_queued: 1024', 'max_queued: x', 'must be 0..100000 requests'),
        ('zone: north-b', 'zome: north-b', "did you mean 'zone'?"),
    ],
)
def test_fault_is_reported(old, new, fault):
    assert any(fault in message for message in faults_of(old, new))


@pytest.mark.parametrize(
    'address, pair',
    [
        ('10.0.0.1:80', ('10.0.0.1', 80)),
        ('[fd00::1]:8080', ('fd00::1', 8080)),
    ],
)
def test_address_is_split_into_host_and_port(address, pair):
    text = TEXT.replace('10.20.0.4:8445', f"'{address}'")
    assert settings.parse_settings(text).peers.host_and_port == pair


@pytest.mark.parametrize('environ', [{}, {'GODWITGLADE_SECRET': 'short'}])
def test_missing_or_short_secret_is_rejected(environ):
    with pytest.raises(settings.SettingsError, match='secret.variable'):
        settings.load_settings(EXAMPLES / 'minimal.yaml', environ)


def test_missing_file_raises_typed_error(tmp_path):
    with pytest.raises(settings.UnreadableFileError):
        settings.load_settings(tmp_path / 'none.yaml', {})
    with pytest.raises(settings.UnreadableFileError):
        settings.load_settings(EXAMPLES / 'complete.yaml', {})


@hypothesis.given(strategies.data())
@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
def test_arbitrary_edits_raise_only_typed_errors(data):
    start = data.draw(strategies.integers(0, len(TEXT)))
    end = data.draw(strategies.integers(start, start + 40))
    inserted = data.draw(strategies.text(max_size=30))
    try:
        settings.parse_settings(TEXT[:start] + inserted + TEXT[end:])
    except errors.CodedError as error:
        assert error.faults
