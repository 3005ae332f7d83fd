"""Operator application over an in-memory host, called without sockets."""

import io
import itertools
from wsgiref import util

import attrs

from godwitglade.common import clock as clocks
from godwitglade.common import codec
from godwitglade.operators import access
from godwitglade.operators import app
from godwitglade.operators import gateway
from godwitglade.operators import parsing
from tests.operators import tables

TOKENS = (
    access.Token(
        'amina',
        access.Role.OPERATOR,
        access.hash_token('amina-token'),
        'onboarding',
    ),
    access.Token(
        'tomas',
        access.Role.OPERATOR,
        access.hash_token('tomas-token'),
        'touchline',
    ),
    access.Token(
        'watch', access.Role.MONITOR, access.hash_token('watch-token')
    ),
)

TEXT = """\
pipeline: checks
team: onboarding
deadline_ms: 5000
stages:
  - {name: encode, kind: encode, pool: encoders, budget_ms: 400}
workspaces:
  - {name: rabat}
"""


@attrs.frozen
class Response:
    """Status, headers and body of a response; JSON bodies as plain data."""

    status: int
    headers: dict
    data: bytes

    @property
    def body(self):
        return codec.parse_json(self.data)

    @property
    def error(self):
        return self.body['error']['code']


class FakeGateway:
    """Gateway that applies changes to an in-memory table synchronously."""

    def __init__(self, *script):
        self.host = tables.Host(tables.Table(*script))
        self.quarantined = {}
        self.hosts = ()
        self.refused = ()
        self.logged = []

    def apply(self, request):
        return self.host.finish(self.host.changes.submit('q', request, 0))

    def change(self, change_id):
        return self.host.look_up(change_id)

    def settle(self, change_id):
        return self.host.settle(change_id)

    def documents(self):
        rows = self.host.table.rows.items()
        return tuple(
            gateway.DocumentView(
                key.key,
                parsing.parse_document(row.value['text']).team,
                row.value['version'],
                row.value['sequence'],
                row.value['text'],
            )
            for key, row in sorted(rows, key=lambda item: item[0].key)
            if key.table == 'documents' and row.value['text'] is not None
        )

    def document(self, pipeline):
        matches = (v for v in self.documents() if v.pipeline == pipeline)
        return next(matches, None)

    def status(self, at_least=0):
        views = self.documents()
        sequence = max((view.sequence for view in views), default=0)
        versions = {view.pipeline: view.version for view in views}
        return gateway.StatusView(
            'e1', 'a', True, sequence, self.hosts, versions, self.refused
        )

    def audit(self, after, limit):
        records = self.host.table.audit()
        following = (r for r in records if r.sequence > after)
        return tuple(itertools.islice(following, limit))

    def quarantine(self):
        return tuple(self.quarantined.values())

    def clear_quarantine(self, fingerprint):
        return self.quarantined.pop(fingerprint, None) is not None

    def log(self, event, fields):
        self.logged.append((event, fields))


class Client:
    """Calls a WSGI application as an operator's HTTP client does."""

    def __init__(self, wsgi_app, token='amina-token'):
        self.wsgi_app = wsgi_app
        self.token = token

    def call(self, method, path, body=b'', **headers):
        path, _, query = path.partition('?')
        environ = {
            'REQUEST_METHOD': method,
            'PATH_INFO': path,
            'QUERY_STRING': query,
            'CONTENT_LENGTH': str(len(body)),
            'HTTP_AUTHORIZATION': f'Bearer {self.token}',
            'wsgi.input': io.BytesIO(body),
            'REMOTE_ADDR': '127.0.0.1',
            **headers,
        }
        util.setup_testing_defaults(environ)
        started = {}

        def start_response(status, pairs, exc_info=None):
            started.update(status=int(status.split()[0]), headers=dict(pairs))

        data = b''.join(self.wsgi_app(environ, start_response))
        return Response(started['status'], started['headers'], data)

    def put(self, text=TEXT, pipeline='checks', **fields):
        body = {
            'based_on': 0,
            'change_id': 'change-0123456789',
            'text': text,
            **fields,
        }
        path = f'/v1/documents/{pipeline}'
        return self.call('PUT', path, codec.to_json(body))


def make_app(fake):
    return app.make_app(fake, TOKENS, clocks.ManualClock(5))


def connect(fake, token='amina-token'):
    return Client(make_app(fake), token)
