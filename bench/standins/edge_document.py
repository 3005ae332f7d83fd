"""The edge program's document of routes, pools and workspaces."""

import typing

#: Value of the Host header of requests.
HOST = 'desk.example'


def route(
    name: str, kind: str, prefix: str, pool: str, **fields: typing.Any
) -> dict[str, typing.Any]:
    """Return a route in the document's format."""
    return {
        'name': name,
        'host': HOST,
        'prefix': prefix,
        'routeKind': kind,
        'timeoutMs': 1_500,
        'goalMs': 400,
        'priority': 0,
        'service': pool,
        'attempts': 2,
        'stages': [],
        'anonymous': False,
        'sticky': False,
        'resumable': False,
        **fields,
    }


STAGED = [{'service': 'encode', 'after': [], 'length': 100}]
STREAM = {'sticky': True, 'gapGoalMs': 200}
ROUTES = [
    route('once', 'non_idempotent', '/once/', 'app'),
    route('read', 'idempotent', '/read/', 'app'),
    route('open', 'idempotent', '/open/', 'app', anonymous=True),
    route('stream', 'streaming', '/stream/', 'engine', **STREAM),
    route(
        'resume', 'streaming', '/resume/', 'engine', resumable=True, **STREAM
    ),
    route('staged', 'streaming', '/staged/', 'engine', stages=STAGED),
]
BATCHING = {
    'slots': 1,
    'queue': 2,
    'batch': 4,
    'callMs': 5.0,
    'itemMs': 1.0,
    'headroomMb': 1.0,
    'handleTtlS': 4.0,
    'linkMbps': 100,
}


def document(
    version: int = 1,
    keys: typing.Iterable[str] = ('key-1',),
    routes: typing.Iterable[dict[str, typing.Any]] = ROUTES,
) -> dict[str, typing.Any]:
    """Return a document in the format that operators write."""
    pools = [
        {'name': 'app', 'healthPath': '/healthz', 'maxConnections': 9},
        {
            'name': 'engine',
            'healthPath': '/healthz',
            'maxConnections': 9,
            'engine': {'slots': 4, 'kvCapacityTokens': 1_000},
        },
        {'name': 'encode', 'maxConnections': 9, 'segments': BATCHING},
    ]
    return {
        'version': version,
        'routes': list(routes),
        'services': pools,
        'limits': {
            'maxHeaderBytes': 16_384,
            'maxBodyBytes': 10_000,
            'headerTimeoutMs': 3_000,
            'idleTimeoutMs': 15_000,
        },
        'tenants': [{'name': 'desk', 'apiKeys': list(keys), 'priority': 1}],
    }
