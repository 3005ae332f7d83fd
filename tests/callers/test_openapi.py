"""Checks that the callers' interface matches docs/openapi.yaml exactly."""

import json
import pathlib
import re

import attrs
import jsonschema
import openapi_spec_validator
import pytest
import yaml

from godwitglade.callers import app
from godwitglade.callers import exchanges
from godwitglade.common import clock as clocks
from godwitglade.decisions import effects
from godwitglade.decisions import messages
from godwitglade.decisions import outcomes
from tests.operators import gateways

OPENAPI_PATH = pathlib.Path(__file__).parents[2] / 'docs' / 'openapi.yaml'
SPEC = yaml.safe_load(OPENAPI_PATH.read_text())
MAX_BODY_BYTES = 1_000
REQUEST = ('POST', '/v1/pipelines/{pipeline}/requests')
OUTCOME = ('GET', '/v1/pipelines/{pipeline}/outcomes/{key}')
REPORT = outcomes.StageReport('verdict', 'engine-1', 1, 30)
ANSWERED = outcomes.Answered({'verdict': 'yes'}, (REPORT,))
FAILED = outcomes.Failed('deadline_exceeded', ('scan',), 1_500)
UNKNOWN = outcomes.Unknown('target_lost', 'activation', ('activation',))
REASONS = [
    value for name, value in vars(outcomes.Refusal).items() if name.isupper()
]


@attrs.define
class Server:
    """The callers' application with a loop that returns set responses."""

    answer: object = ANSWERED
    pieces: tuple = ()
    is_ready: bool = True
    open_exchanges: object = attrs.Factory(lambda: exchanges.Exchanges('e1'))

    def post(self, message):
        if isinstance(message, messages.OutcomeRequested):
            event = effects.AnswerQuery(message.query_id, *self.answer)
            self.open_exchanges.deliver(message.query_id, event)
        if isinstance(message, messages.RequestArrived):
            identifier = message.request_id
            for offset, text in self.pieces:
                piece = effects.SendPiece(identifier, offset, text)
                self.open_exchanges.deliver(identifier, piece)
            end = effects.AnswerCaller(identifier, self.answer)
            self.open_exchanges.deliver(identifier, end)

    def call(self, method, path, body=b'{}', **headers):
        gateway = app.Gateway(
            self.post,
            self.open_exchanges,
            clocks.ManualClock(),
            lambda: self.is_ready,
            MAX_BODY_BYTES,
        )
        client = gateways.Client(app.make_app(gateway))
        return client.call(method, path, body, **headers)


@attrs.frozen
class Case:
    """A request and the documented operation that it calls."""

    operation: tuple
    status: int
    server: dict = attrs.Factory(dict)
    path: str = ''
    method: str = ''
    body: bytes = b'{}'
    headers: dict = attrs.Factory(dict)

    def run(self):
        method, template = self.operation
        path = self.path or template.format(pipeline='checks', key='key-1')
        headers = {'HTTP_X_WORKSPACE': 'rabat', **self.headers}
        server = Server(**self.server)
        return server.call(self.method or method, path, self.body, **headers)


def refused(reason):
    status = outcomes.RefusedNotRun(reason).http_status
    answer = outcomes.RefusedNotRun(reason, 1_200)
    return Case(REQUEST, status, {'answer': answer})


CASES = [
    *map(refused, REASONS),
    Case(REQUEST, 200),
    Case(REQUEST, 502, {'answer': UNKNOWN}),
    Case(REQUEST, 504, {'answer': FAILED}),
    Case(REQUEST, 400, body=b'{'),
    Case(REQUEST, 400, headers={'HTTP_X_WORKSPACE': 'a\r\nX-Evil: 1'}),
    Case(REQUEST, 400, headers={'HTTP_X_DEADLINE_MS': '-1'}),
    Case(REQUEST, 400, headers={'HTTP_X_DEADLINE_MS': '600001'}),
    Case(REQUEST, 400, headers={'HTTP_IDEMPOTENCY_KEY': 'k' * 201}),
    Case(REQUEST, 413, body=b'1' * 1_001),
    Case(REQUEST, 405, method='PUT'),
    Case(OUTCOME, 200, {'answer': ('settled', ANSWERED)}),
    Case(OUTCOME, 200, {'answer': ('settled', UNKNOWN)}),
    Case(OUTCOME, 200, {'answer': ('settled', FAILED)}),
    Case(OUTCOME, 200, {'answer': ('running',)}),
    Case(OUTCOME, 200, {'answer': ('unknown',)}),
    Case(OUTCOME, 200, {'answer': ('absent',)}),
    Case(OUTCOME, 200, {'answer': ('unavailable',)}),
    Case(OUTCOME, 400, headers={'HTTP_X_WORKSPACE': ''}),
    Case(OUTCOME, 405, method='DELETE'),
    Case(('GET', '/healthz'), 200),
    Case(('GET', '/readyz'), 200),
    Case(('GET', '/readyz'), 503, {'is_ready': False}),
]


def responses_of(operation):
    method, path = operation
    return SPEC['paths'][path][method.lower()]['responses']


def resolve(node):
    reference = node.get('$ref')
    if reference is None:
        return node
    node = SPEC
    for part in reference.removeprefix('#/').split('/'):
        node = node[part]
    return node


def check_schema(schema, value):
    complete = {'components': SPEC['components'], **schema}
    jsonschema.Draft202012Validator(complete).validate(value)


def test_document_is_valid_openapi():
    openapi_spec_validator.validate(SPEC)


@pytest.mark.parametrize('case', CASES)
def test_response_is_as_documented(case):
    response = case.run()
    assert response.status == case.status
    documented_response = resolve(
        responses_of(case.operation)[str(case.status)]
    )
    assert response.headers['Content-Type'] == 'application/json'
    schema = documented_response['content']['application/json']['schema']
    check_schema(schema, response.body)
    if 'Retry-After' in response.headers:
        retry_after = resolve(documented_response['headers']['Retry-After'])
        value = int(response.headers['Retry-After'])
        check_schema(retry_after['schema'], value)


def test_every_documented_response_is_tested():
    tested = {(case.operation, str(case.status)) for case in CASES}
    documented_responses = {
        ((method.upper(), path), status)
        for path, item in SPEC['paths'].items()
        for method, operation in item.items()
        if method != 'parameters'
        for status in operation['responses']
    }
    assert tested == documented_responses


def test_stream_is_as_documented():
    server = Server(pieces=((0, 'yes'), (3, ', valid')))
    response = server.call(
        *('POST', '/v1/pipelines/checks/requests'),
        HTTP_X_WORKSPACE='rabat',
        HTTP_ACCEPT='text/event-stream',
    )
    content = responses_of(REQUEST)['200']['content']
    assert response.headers['Content-Type'].split(';')[0] in content
    events = re.findall(
        r'event: (\w+)\ndata: (.*)\n\n', response.data.decode()
    )
    assert [kind for kind, _ in events] == ['piece', 'piece', 'outcome']
    for kind, data in events:
        name = kind.capitalize()
        reference = {'$ref': f'#/components/schemas/{name}'}
        check_schema(reference, json.loads(data))


def test_stream_example_matches_the_schemas():
    content = responses_of(REQUEST)['200']['content']['text/event-stream']
    events = re.findall(r'event: (\w+)\ndata: (.*)\n', content['example'])
    assert [kind for kind, _ in events] == ['piece', 'outcome']
    for kind, data in events:
        reference = {'$ref': f'#/components/schemas/{kind.capitalize()}'}
        check_schema(reference, json.loads(data))
