"""Reads the settings of one host from a YAML file and validates them."""

import collections
import pathlib
import typing

import attrs

from godwitglade.common import errors
from godwitglade.common import validation
from godwitglade.common import yaml_text
from godwitglade.daemon import settings_schema
from godwitglade.daemon import settings_types
from godwitglade.operators import access

MIN_SECRET_BYTES = 16


@attrs.define(auto_exc=True, str=False)
class SettingsError(validation.FaultsError):
    """The settings are invalid; ``faults`` lists all faults."""

    code = 'settings_invalid'


@attrs.define(auto_exc=True, str=False)
class UnreadableFileError(errors.CodedError):
    """The settings file or a file named in it cannot be read."""

    code = 'file_unreadable'
    template = '{path}: {reason}'

    path: str
    reason: str


def load_settings(
    path: str | pathlib.Path, environ: typing.Mapping[str, str]
) -> settings_types.Settings:
    """Return the settings in the file at ``path``.

    Raises SettingsError with every fault, and UnreadableFileError when a
    file cannot be read.
    """
    settings = parse_settings(read_file(path).decode(errors='replace'))
    read_secret(settings.secret, environ)
    return settings


def parse_settings(text: str) -> settings_types.Settings:
    """Return the settings in ``text``; raises SettingsError."""
    try:
        plain = yaml_text.parse(text)
        settings = validation.read(settings_schema.SETTINGS, plain)
    except validation.FaultsError as error:
        raise SettingsError(error.faults) from error
    faults = tuple(find_conflicts(settings))
    if faults:
        raise SettingsError(faults)
    return settings


def read_secret(
    secret: settings_types.Secret, environ: typing.Mapping[str, str]
) -> bytes:
    """Return the secret that all hosts share.

    Raises SettingsError when it is missing or too short, and
    UnreadableFileError when its file cannot be read.
    """
    if secret.path is not None:
        field = 'secret.path'
        content = read_file(secret.path).strip()
    else:
        field = 'secret.variable'
        content = environ.get(secret.variable, '').encode().strip()
    if len(content) < MIN_SECRET_BYTES:
        reason = f'must hold at least {MIN_SECRET_BYTES} bytes'
        raise SettingsError((validation.Fault(field, reason),))
    return content


def read_file(path: str | pathlib.Path) -> bytes:
    """Return the bytes at ``path``; raises UnreadableFileError."""
    try:
        return pathlib.Path(path).read_bytes()
    except (OSError, ValueError) as error:
        reason = getattr(error, 'strerror', None) or str(error)
        raise UnreadableFileError(str(path), reason) from error


def find_conflicts(
    settings: settings_types.Settings,
) -> typing.Iterator[validation.Fault]:
    """Yield the conflicts between fields of ``settings``."""
    yield from _address_conflicts(settings)
    for name in ('callers', 'operators', 'peers'):
        yield from _tls_conflicts(name, getattr(settings, name))
    if settings.peers.has_tls and settings.peers_ca_path is None:
        reason = 'is required with peers.certificate_path'
        yield validation.Fault('peers_ca_path', reason)
    if (settings.secret.path is None) == (settings.secret.variable is None):
        yield validation.Fault('secret', 'must have either path or variable')
    yield from _token_conflicts(settings.tokens)


def _address_conflicts(
    settings: settings_types.Settings,
) -> typing.Iterator[validation.Fault]:
    owners_by_address = {}
    for name in ('callers', 'operators', 'peers'):
        address = getattr(settings, name).address
        if address in owners_by_address:
            reason = f'is also the address of {owners_by_address[address]}'
            yield validation.Fault(f'{name}.address', reason)
        owners_by_address[address] = name


def _tls_conflicts(
    name: str, listener: settings_types.Listener
) -> typing.Iterator[validation.Fault]:
    has_key = listener.key_path is not None
    if listener.has_tls and not has_key:
        reason = 'is required with certificate_path'
        yield validation.Fault(f'{name}.key_path', reason)
    if has_key and not listener.has_tls:
        reason = 'is required with key_path'
        yield validation.Fault(f'{name}.certificate_path', reason)


def _token_conflicts(
    tokens: tuple[access.Token, ...],
) -> typing.Iterator[validation.Fault]:
    names = collections.Counter()
    hashes = collections.Counter()
    for index, token in enumerate(tokens):
        names[token.name] += 1
        hashes[token.sha256] += 1
        path = f'tokens[{index}]'
        if names[token.name] > 1:
            yield validation.Fault(f'{path}.name', 'duplicate name')
        if hashes[token.sha256] > 1:
            yield validation.Fault(f'{path}.sha256', 'duplicate hash')
        if token.role is access.Role.OPERATOR and not token.team:
            yield validation.Fault(
                f'{path}.team', 'is required for an operator'
            )
        if token.role is access.Role.MONITOR and token.team:
            yield validation.Fault(
                f'{path}.team', 'is not accepted for a monitor'
            )
