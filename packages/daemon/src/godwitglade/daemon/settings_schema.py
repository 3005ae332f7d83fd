"""Schema of the settings of a host."""

import ipaddress
import re

import attrs

from godwitglade.common import kinds
from godwitglade.common import validation
from godwitglade.daemon import settings_types
from godwitglade.operators import access

MAX_THREADS = 512
MAX_BODY_BYTES = 64 * 1_048_576
MAX_REQUESTS = 100_000
MAX_PORT = 65_535


@attrs.frozen
class Address:
    """An IP number and a port, like ``10.0.0.1:8080``."""


@kinds.describe.register
def _describe_address(kind: Address) -> str:
    return 'an IP number and port like 10.0.0.1:8080 or [fd00::1]:8080'


@validation.check.register
def _check_address(kind: Address, value, path, faults):
    if type(value) is str and _is_address(value):
        return value
    expected = kinds.describe(kind)
    reason = f'must be {expected}, not {validation.format_value(value)}'
    faults.append(validation.Fault(path, reason))
    return validation.INVALID


def _is_address(value: str) -> bool:
    match = re.fullmatch(r'(?:\[([^]]+)\]|([^:]+)):([0-9]{1,5})', value)
    if match is None or not 0 < int(match[3]) <= MAX_PORT:
        return False
    try:
        ip_address = ipaddress.ip_address(match[1] or match[2])
    except ValueError:
        return False
    return ip_address.version == (6 if match[1] else 4)


URL = kinds.Text(
    r'https?://[A-Za-z0-9.:\[\]_-]+(/[A-Za-z0-9._/-]*)?', 'an HTTP URL'
)
FILE_PATH = kinds.Text(description='the path of a file')
HASH = kinds.Text(r'[0-9a-f]{64}', '64 lower-case hexadecimal digits', 64)
VARIABLE = kinds.Text(
    r'[A-Za-z_][A-Za-z0-9_]*', 'the name of an environment variable', 64
)


def _threads(purpose: str) -> kinds.Field:
    kind = kinds.Number(1, MAX_THREADS, 'threads')
    return kinds.Field(kind, f'Threads that {purpose}.')


LISTENER = kinds.Object(
    settings_types.Listener,
    {
        'address': kinds.Field(Address(), 'Address to listen on.'),
        'certificate_path': kinds.Field(
            kinds.Optional(FILE_PATH),
            'PEM certificate chain; TLS is on when given.',
        ),
        'key_path': kinds.Field(kinds.Optional(FILE_PATH), 'PEM private key.'),
    },
)

PLATFORM = kinds.Object(
    settings_types.Platform,
    {
        'table_url': kinds.Field(URL, 'Base URL of the table service.'),
        'objects_url': kinds.Field(URL, 'Base URL of the object store.'),
        'host_list_url': kinds.Field(URL, 'Base URL of the host list.'),
        'spill_zones': kinds.Field(
            kinds.Items(kinds.NAME),
            'Other data centres whose targets may be used; the host list is '
            'read whole when none is named.',
        ),
    },
)

SECRET = kinds.Object(
    settings_types.Secret,
    {
        'path': kinds.Field(
            kinds.Optional(FILE_PATH), 'File that holds the secret.'
        ),
        'variable': kinds.Field(
            kinds.Optional(VARIABLE),
            'Environment variable that holds the secret.',
        ),
    },
)

TOKEN = kinds.Object(
    access.Token,
    {
        'name': kinds.Field(
            kinds.NAME, 'Name of the owner, as the audit trail shows it.'
        ),
        'role': kinds.Field(
            kinds.Choice(access.Role),
            'operator changes the documents of its team; monitor reads all.',
        ),
        'sha256': kinds.Field(HASH, 'SHA-256 of the token.'),
        'team': kinds.Field(kinds.NAME, 'Team of an operator.'),
    },
)

THREADS = kinds.Object(
    settings_types.Threads,
    {
        'callers': _threads('serve callers, one for each open request'),
        'operators': _threads('serve operators'),
        'peers': _threads('serve other hosts and call them'),
        'targets': _threads('call targets, one for each open call'),
        'platform': _threads('call the platform'),
    },
)

BOUNDS = kinds.Object(
    settings_types.Bounds,
    {
        'max_body_bytes': kinds.Field(
            kinds.Number(1_024, MAX_BODY_BYTES, 'bytes'),
            'Longest body accepted from a caller or an operator.',
        ),
        'max_in_flight': kinds.Field(
            kinds.Number(1, MAX_REQUESTS, 'requests'),
            'Requests that may run at the same time.',
        ),
        'max_queued': kinds.Field(
            kinds.Number(0, MAX_REQUESTS, 'requests'),
            'Requests that may wait; more are refused.',
        ),
        'drain_ms': kinds.Field(
            kinds.Number(0, 60_000, 'ms'),
            'Time from not ready to refusing requests in a planned stop; '
            'longer than the balancer needs to notice.',
        ),
    },
)

SETTINGS = kinds.Object(
    settings_types.Settings,
    {
        'host': kinds.Field(kinds.NAME, 'Name of the host, unique.'),
        'zone': kinds.Field(kinds.NAME, 'Name of its data centre.'),
        'callers': kinds.Field(LISTENER, 'Listener for callers.'),
        'operators': kinds.Field(LISTENER, 'Listener for operators.'),
        'peers': kinds.Field(LISTENER, 'Listener for other hosts.'),
        'platform': kinds.Field(PLATFORM, 'Services of the platform.'),
        'secret': kinds.Field(
            SECRET, 'Secret that hosts authenticate one another with.'
        ),
        'peers_ca_path': kinds.Field(
            kinds.Optional(FILE_PATH),
            'PEM file of the authorities that signed the certificates of the '
            "hosts; required when the peers' listener has TLS.",
        ),
        'tokens': kinds.Field(
            kinds.Items(TOKEN), 'Tokens of operators and the monitor.'
        ),
        'statsd_address': kinds.Field(
            kinds.Optional(Address()),
            'Address of the statsd server; null sends no metrics.',
        ),
        'log_level': kinds.Field(
            kinds.Choice(settings_types.LogLevel),
            'Least severe level that is logged.',
        ),
        'threads': kinds.Field(THREADS, 'Numbers of threads.'),
        'bounds': kinds.Field(BOUNDS, 'Bounds on what it takes in.'),
    },
)
