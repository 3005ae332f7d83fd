"""Entries that other programs wrote do not stop a host or its followers."""

import copy
import json
import threading
import time

import pytest

from bench.standins import edge_document
from bench.standins import edge_platform
from godwitglade.common import codec
from tests.edge import deployment


def nested(depth):
    return b'[' * depth + b']' * depth


SOUND = {'service': 'app', 'zone': 'z1', 'state': 'ready', 'version': '1'}
TARGET = {'address': '127.0.0.1:9', 'slots': 1, 'born': 1, 'sequence': 1}
TARGETS = [
    nested(1_000),
    b'{"slots":' + nested(1_015) + b'}',
    b'{"service":' + nested(1_015) + b'}',
    *(
        SOUND | TARGET | odd
        for odd in (
            {'slots': 1e308},
            {'slots': 2**63},
            {'born': 1e308},
            {'sequence': '1'},
            {'coldRemainingMs': 1e308},
            {'address': '127.0.0.1:0'},
            {'address': '127.0.0.1:65536'},
            {'address': '127.0.0.1:-1'},
            {'address': '127.0.0.1:x'},
            {'address': '127.0.0.1:' + '9' * 5_000},
            {'address': '127.0.0.1\r\n:80'},
            {'address': 'no.such.name:80'},
            {'address': '\u20ac' * 100 + ':80'},
            {'address': 'a' * 50_000 + ':80'},
            {'service': 'app' * 20_000},
            {'version': [[[]]]},
        )
    ),
]
HOST = {'zone': 'z1', 'address': '127.0.0.1:9'}
HOSTS = [
    nested(1_000),
    b'{"zone":' + nested(1_015) + b'}',
    [1],
    *(
        HOST | odd
        for odd in (
            {'address': 'no port'},
            {'address': ''},
            {'address': '127.0.0.1:99999'},
            {'address': 'a\r\nb:80'},
            {'address': '\u20ac' * 100 + ':80'},
            {'zone': 1},
            {'jobs_per_s': 'x'},
            {'jobs_per_s': -1e308},
            {'jobs_per_s': 1e308},
            {'hand_over_address': 'x'},
            {'hand_over_address': '127.0.0.1:65536'},
        )
    ),
]
QUARANTINE = [
    nested(1_000),
    b'{"crashes":[' + nested(985) + b']}',
    {'crashes': 5},
    {'crashes': [[1]]},
    {'crashes': ['a' * 8] * 5_000},
    {'crashes': {}},
]
STREAMS = [
    nested(1_000),
    b'{"at_ms":' + nested(1_015) + b'}',
    {'at_ms': 'x'},
    {'at_ms': 1e308},
    {'at_ms': -(2**63)},
    {'at_ms': 2**62, 'versions': {'app': ['a' * 50_000, ''] * 50}},
    {'at_ms': 2**62, 'streams': {'x' * 5_000: ['a', 'b', 'c'], 'y': ['a']}},
]


@pytest.fixture
def ended_threads(monkeypatch):
    """Return the exceptions that have ended threads."""
    ended = []
    monkeypatch.setattr(
        threading, 'excepthook', lambda args: ended.append(args.exc_value)
    )
    return ended


def faults_of_reads(edge):
    """Return why tables were lost, other than for a slow store."""
    lines = map(json.loads, edge.log.text.splitlines())
    reasons = [e['reason'] for e in lines if e['event'] == 'store_lost']
    is_slow = (': NoAnswer', ': NotSent')
    return [reason for reason in reasons if not reason.endswith(is_slow)]


@pytest.mark.parametrize(
    ('table', 'values', 'is_first'),
    [
        ('servers', TARGETS, True),
        ('servers', TARGETS, False),
        ('hosts', HOSTS, True),
        ('hosts', HOSTS, False),
        ('quarantine', QUARANTINE, True),
        ('quarantine', QUARANTINE, False),
        # Read once, after the start.
        ('streams', STREAMS, True),
    ],
)
def test_odd_entries_do_not_stop_a_host(
    ended_threads, table, values, is_first
):
    rows = [(table, f'odd-{n}', value) for n, value in enumerate(values)]
    edge = deployment.Deployment(rows=rows if is_first else ())
    try:
        if not is_first:
            for row in rows:
                edge.store.put(*row)
        edge.store.delete('servers', 'app-1')
        added = edge_platform.Target('app-9', 'app')
        edge.targets[0].stop()
        edge.targets[0] = added
        edge.store.put('servers', added.name, added.entry())
        edge.wait_for(edge.has_all_targets)
        edge.wait_for(
            lambda: edge.send_request('/read/x').status == 200 and added.runs
        )
        edge.wait_for(lambda: 'row_skipped' in edge.log.text)
        # Longer than the interval at which hosts try to reach one another.
        time.sleep(1.2)
        assert not ended_threads
        assert 'loop_fault' not in edge.log.text
        assert not faults_of_reads(edge)
    finally:
        edge.stop()


def change(path, value):
    """Return a document with one value replaced."""
    document = copy.deepcopy(edge_document.document())
    *parents, last = path
    holder = document
    for name in parents:
        holder = holder[name]
    holder[last] = value
    return document


ROUTE, BATCHING = ('routes', 0), ('services', 2, 'segments')
ODD_VALUES = [
    (('version',), ['2', 2**63, 1e300, None]),
    (('tenants',), [5, {}]),
    (('limits',), [[1]]),
    (('limits', 'idleTimeoutMs'), ['x', None, -1, 0, 10**18, 1e300]),
    (('limits', 'headerTimeoutMs'), ['x', 10**18]),
    (('limits', 'maxHeaderBytes'), ['x', -1]),
    (('limits', 'maxBodyBytes'), [[], -1]),
    ((*ROUTE, 'name'), [[1]]),
    ((*ROUTE, 'host'), [7]),
    ((*ROUTE, 'prefix'), [7, None]),
    ((*ROUTE, 'service'), [[1], None]),
    ((*ROUTE, 'timeoutMs'), ['x', -1, 1e300, 10**15]),
    ((*ROUTE, 'goalMs'), [1e300]),
    ((*ROUTE, 'priority'), ['x', 10**18]),
    ((*ROUTE, 'attempts'), [1e300]),
    ((*ROUTE, 'split'), [[{'service': 'app', 'weight': -1}]]),
    ((*ROUTE, 'split'), [[{'service': 'app', 'weight': 'nan'}]]),
    ((*ROUTE, 'stages'), [[{'service': 'encode', 'after': [0]}]]),
    ((*ROUTE, 'stages'), [[{'service': 'encode', 'after': [7]}]]),
    ((*ROUTE, 'stages'), [[{'service': 'encode', 'after': ['x']}]]),
    ((*BATCHING, 'batch'), ['4', 0, 1e300]),
    ((*BATCHING, 'callMs'), [-5, 'nan', 1e300]),
    ((*BATCHING, 'slots'), ['x', 10**15]),
    ((*BATCHING, 'headroomMb'), [1e305, 'x', [1]]),
    ((*BATCHING, 'handleTtlS'), [1e306]),
    (('services', 0, 'maxConnections'), ['x', -3]),
    (('services', 0, 'name'), [[1]]),
    (('services', 1, 'engine', 'slots'), ['x', 0]),
    (('tenants', 0, 'apiKeys'), ['key-1', [1], [[1]]]),
    (('tenants', 0, 'name'), [[1], 'a\r\nX-Other: b']),
    (('tenants', 0, 'priority'), ['x']),
]
ODD_DOCUMENTS = [
    nested(1_000),
    b'{"version":' + nested(1_015) + b'}',
    *(
        change(path, value) | ({} if path == ('version',) else {'version': 2})
        for path, values in ODD_VALUES
        for value in values
    ),
]


def test_invalid_document_leaves_the_one_before_in_force(ended_threads):
    edge = deployment.Deployment()
    try:
        for count, document in enumerate(ODD_DOCUMENTS, 1):
            edge.store.put('op', 'config', document)
            edge.wait_for(lambda: edge.log.text.count('row_skipped') >= count)
        assert edge.send_request('/once/x').status == 200
        edge.store.put('op', 'config', edge_document.document(3, ['key-2']))
        edge.wait_for(
            lambda: edge.send_request('/once/x', key='key-2').status == 200
        )
        assert not ended_threads
        assert 'loop_fault' not in edge.log.text
        assert not faults_of_reads(edge)
    finally:
        edge.stop()


ODD_RESPONSES = [
    ({'rows': [], 'schemaVersion': 1}, '9' * 5_000),
    *(
        (plain, '1')
        for plain in (
            [],
            {},
            {'rows': [], 'schemaVersion': 1, 'hasMore': True},
            {'rows': [{}], 'schemaVersion': 1, 'hasMore': True},
            {'rows': 5, 'schemaVersion': 1},
            {'rows': {}, 'schemaVersion': 1},
            {'rows': []},
            {'rows': [], 'schemaVersion': None},
            {'rows': [], 'schemaVersion': 'x'},
            {'rows': [], 'schemaVersion': 1.5},
            {'rows': [], 'schemaVersion': 2**53},
        )
    ),
]


@pytest.mark.parametrize('table', ['op', 'servers', 'hosts', 'quarantine'])
def test_odd_responses_of_the_store_do_not_end_a_follower(
    ended_threads, table
):
    edge = deployment.Deployment()
    try:
        odd = [
            edge_platform.response(
                200, {'Store-Era': era}, codec.to_json(plain)
            )
            for plain, era in ODD_RESPONSES
        ]
        answer = edge.store.answer

        def answer_oddly(request):
            if request.query.get('table') == table and odd:
                return odd.pop()
            return answer(request)

        edge.store.answer = answer_oddly
        # Ends the feed that waits.
        edge.store.put(table, 'other', {})
        # A follower pauses for 250 ms after each, and hosts for 2 s before.
        edge.wait_for(lambda: len(odd) < len(ODD_RESPONSES) - 3)
        edge.wait_for(lambda: not odd)
        edge.wait_for(lambda: 'store_regained' in edge.log.text)
        assert not ended_threads
        assert edge.send_request('/once/x').status == 200
    finally:
        edge.stop()
