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
    """An IP address and a port, like ``10.0.0.1:8080``."""


@kinds.describe.register
def _describe_address(kind: Address) -> str:
    return 'an IP address and port like 10.0.0.1:8080 or [fd00::1]:8080'


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
FILE_PATH = kinds.Text(description='a file path')
HASH = kinds.Text(r'[0-9a-f]{64}', '64 lowercase hexadecimal digits', 64)
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
            'File with the PEM certificate chain; enables TLS.',
        ),
        'key_path': kinds.Field(
            kinds.Optional(FILE_PATH), 'File with the PEM private key.'
        ),
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
            'Other data centres whose targets may be used; the complete '
            'host list is read if empty.',
        ),
    },
)

SECRET = kinds.Object(
    settings_types.Secret,
    {
        'path': kinds.Field(
            kinds.Optional(FILE_PATH), 'File that contains the secret.'
        ),
        'variable': kinds.Field(
            kinds.Optional(VARIABLE),
            'Environment variable that contains the secret.',
        ),
    },
)

TOKEN = kinds.Object(
    access.Token,
    {
        'name': kinds.Field(
            kinds.NAME, 'Name of the owner in the audit trail.'
        ),
        'role': kinds.Field(
            kinds.Choice(access.Role),
            'operator may change documents of its team; monitor may read '
            'all documents.',
        ),
        'sha256': kinds.Field(HASH, 'SHA-256 of the token.'),
        'team': kinds.Field(kinds.NAME, 'Team of an operator.'),
    },
)

THREADS = kinds.Object(
    settings_types.Threads,
    {
        'callers': _threads('serve callers, one per open request'),
        'operators': _threads('serve operators'),
        'peers': _threads('serve other hosts and call them'),
        'targets': _threads('call targets, one per open call'),
        'platform': _threads('call platform services'),
    },
)

BOUNDS = kinds.Object(
    settings_types.Bounds,
    {
        'max_body_bytes': kinds.Field(
            kinds.Number(1_024, MAX_BODY_BYTES, 'bytes'),
            'Maximum size of a request body from a caller or operator.',
        ),
        'max_in_flight': kinds.Field(
            kinds.Number(1, MAX_REQUESTS, 'requests'),
            'Maximum number of requests that run concurrently.',
        ),
        'max_queued': kinds.Field(
            kinds.Number(0, MAX_REQUESTS, 'requests'),
            'Maximum number of waiting requests; more are refused.',
        ),
        'drain_ms': kinds.Field(
            kinds.Number(0, 60_000, 'ms'),
            'Time between reporting not ready and refusing requests in a '
            'planned stop; must be longer than the load balancer takes to '
            'react.',
        ),
    },
)

SETTINGS = kinds.Object(
    settings_types.Settings,
    {
        'host': kinds.Field(kinds.NAME, 'Unique name of the host.'),
        'zone': kinds.Field(kinds.NAME, 'Data centre of the host.'),
        'callers': kinds.Field(LISTENER, 'Listener for callers.'),
        'operators': kinds.Field(LISTENER, 'Listener for operators.'),
        'peers': kinds.Field(LISTENER, 'Listener for other hosts.'),
        'platform': kinds.Field(PLATFORM, 'Services of the platform.'),
        'secret': kinds.Field(
            SECRET, 'Shared secret that authenticates hosts to each other.'
        ),
        'peers_ca_path': kinds.Field(
            kinds.Optional(FILE_PATH),
            'PEM file of the authorities that signed the certificates of '
            "hosts; required when the peers' listener uses TLS.",
        ),
        'tokens': kinds.Field(
            kinds.Items(TOKEN), 'Tokens of operators and monitors.'
        ),
        'statsd_address': kinds.Field(
            kinds.Optional(Address()),
            'Address of the StatsD server; null disables metrics.',
        ),
        'log_level': kinds.Field(
            kinds.Choice(settings_types.LogLevel),
            'Minimum level of logged events.',
        ),
        'threads': kinds.Field(THREADS, 'Thread counts by purpose.'),
        'bounds': kinds.Field(BOUNDS, 'Request limits and the drain time.'),
    },
)
