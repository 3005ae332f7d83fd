"""Operators' HTTP interface: access, responses and typed errors."""

import json
import logging

import hypothesis
from hypothesis import strategies
import pytest

from godwitglade.common import events
from godwitglade.operators import gateway
from tests.operators import gateways

ID = 'change-0123456789'


def test_applied_change_is_visible():
    client = gateways.connect(gateways.FakeGateway())
    assert client.put().body == {
        'state': 'applied',
        'change_id': ID,
        'pipeline': 'checks',
        'version': 1,
        'sequence': 1,
    }
    assert client.call('GET', '/v1/documents/checks').body['version'] == 1
    listed = client.call('GET', '/v1/documents').body['documents']
    assert [view['pipeline'] for view in listed] == ['checks']
    assert client.call('GET', '/v1/status').body['documents'] == {'checks': 1}
    (record,) = client.call('GET', '/v1/audit').body['records']
    assert record['author'] == 'amina' and record['at_ms'] == 5


def test_conflict_returns_the_current_version():
    client = gateways.connect(gateways.FakeGateway())
    client.put()
    response = client.put(change_id='another-0123456789', based_on=0)
    assert response.status == 409
    error = response.body['error']
    assert error['version'] == 1 and error['text'] == gateways.TEXT


@pytest.mark.parametrize(
    'script, status, state, settled',
    [
        (['lost'], 200, 'applied', 200),
        (['lost', *['never'] * 5], 202, 'unknown', 200),
        (['late', *['never'] * 5], 202, 'unknown', 503),
        (['late'], 503, 'change_not_applied', 503),
        (['down'], 503, 'store_unavailable', 503),
    ],
)
def test_lost_response_is_reported_correctly(script, status, state, settled):
    client = gateways.connect(gateways.FakeGateway(*script))
    response = client.put()
    assert response.status == status
    assert state in (response.body.get('state') or response.error)
    assert client.call('DELETE', f'/v1/changes/{ID}').status == settled
    looked_up = client.call('GET', f'/v1/changes/{ID}')
    assert looked_up.status == settled


def test_look_up_does_not_settle_a_change():
    client = gateways.connect(gateways.FakeGateway())
    looked_up = client.call('GET', f'/v1/changes/{ID}')
    assert looked_up.body == {'state': 'absent', 'change_id': ID}
    assert client.put().status == 200


PUT = ('PUT', '/v1/documents/checks')


@pytest.mark.parametrize(
    'token, method, path, status',
    [
        ('', 'GET', '/v1/status', 401),
        ('wrong', 'GET', '/v1/status', 401),
        ('watch-token', 'GET', '/v1/documents/checks', 200),
        ('watch-token', 'GET', '/v1/audit', 200),
        ('watch-token', *PUT, 403),
        ('watch-token', 'DELETE', f'/v1/changes/{ID}', 403),
        ('watch-token', 'DELETE', '/v1/quarantine/f1', 403),
        ('tomas-token', 'GET', '/v1/documents/checks', 403),
        ('tomas-token', *PUT, 403),
        ('tomas-token', 'DELETE', '/v1/quarantine/f1', 403),
        ('amina-token', 'DELETE', '/v1/quarantine/f1', 200),
        ('amina-token', 'DELETE', '/v1/quarantine/f2', 404),
    ],
)
def test_access_by_role_and_team(token, method, path, status):
    fake = gateways.FakeGateway()
    gateways.connect(fake).put()
    view = gateway.QuarantineView('f1', 'crashed', 9, 'checks')
    fake.quarantined = {'f1': view}
    client = gateways.connect(fake, token)
    is_put = method == 'PUT'
    change = {'change_id': 'other-0123456789', 'based_on': 1}
    response = client.put(**change) if is_put else client.call(method, path)
    assert response.status == status
    is_logged = events.Event.OPERATOR_REFUSED in [e for e, _ in fake.logged]
    assert is_logged == (status in (401, 403))
    assert ('f1' in fake.quarantined) == (response.body.get('state') is None)
    assert len(fake.host.table.audit()) == 1


def test_only_the_owning_team_may_remove_a_document():
    fake = gateways.FakeGateway()
    gateways.connect(fake).put()
    other_team = gateways.connect(fake, 'tomas-token')
    change = {'change_id': 'other-0123456789', 'based_on': 1, 'text': None}
    assert other_team.put(**change).status == 403
    assert gateways.connect(fake).put(**change).status == 200
    assert fake.documents() == ()


@pytest.mark.parametrize(
    'fields, code, fault_path',
    [
        ({'text': 'a: ['}, 'document_invalid', '$'),
        ({'text': 5}, 'invalid', 'text'),
        ({'based_on': True}, 'invalid', 'based_on'),
        ({'based_on': -1}, 'invalid', 'based_on'),
        ({'change_id': 'short'}, 'invalid', 'change_id'),
        ({'extra': 1}, 'invalid', 'extra'),
        ({'pipeline': 'papers'}, 'document_invalid', 'pipeline'),
    ],
)
def test_change_with_faults_is_refused(fields, code, fault_path):
    fake = gateways.FakeGateway()
    response = gateways.connect(fake).put(**fields)
    assert (response.status, response.error) == (422, code)
    faults = response.body['error']['faults']
    assert fault_path in [fault['path'] for fault in faults]
    assert fake.host.table.rows == {}


@pytest.mark.parametrize(
    'method, path, body, status',
    [
        ('GET', '/', b'', 404),
        ('GET', '/v2/documents', b'', 404),
        ('GET', '/v1/documents/nothing', b'', 404),
        ('POST', '/v1/documents', b'', 405),
        ('PUT', '/v1/documents/checks', b'{', 400),
        ('PUT', '/v1/documents/checks', b'x' * 2_100_000, 413),
        ('GET', '/v1/audit?after=x', b'', 422),
        ('GET', '/v1/audit?limit=0', b'', 422),
        ('GET', '/v1/audit?limit=%F0%9F%98%80', b'', 422),
        ('GET', '/v1/changes/x', b'', 422),
        ('GET', '/v1/documents/\xff\xfe', b'', 404),
    ],
)
def test_bad_request_gets_a_typed_error(method, path, body, status):
    response = gateways.connect(gateways.FakeGateway()).call(
        method, path, body
    )
    assert response.status == status
    assert response.headers['Content-Type'] == 'application/json'
    assert not response.body['error']['is_retryable']


def test_internal_error_gets_a_typed_response():
    fake = gateways.FakeGateway()
    fake.status = None
    response = gateways.connect(fake).call('GET', '/v1/status')
    assert (response.status, response.error) == (500, 'internal')


def test_requests_write_no_access_log(caplog):
    caplog.set_level(logging.INFO)
    gateways.connect(gateways.FakeGateway()).call('GET', '/v1/status')
    assert caplog.records == []


def to_json_bytes(plain):
    return json.dumps(plain).encode()


@hypothesis.given(
    strategies.sampled_from(['GET', 'PUT', 'DELETE', 'POST', 'PATCH']),
    strategies.sampled_from(
        ['documents/', 'changes/', 'audit?after=', 'quarantine/', '', 'x']
    ),
    strategies.text(max_size=20),
    strategies.binary(max_size=40)
    | strategies.dictionaries(
        strategies.sampled_from(['based_on', 'change_id', 'text', 'x']),
        strategies.none() | strategies.integers() | strategies.text(),
    ).map(to_json_bytes),
)
@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
def test_any_request_gets_a_typed_response(method, resource, text, body):
    client = gateways.connect(gateways.FakeGateway())
    path = '/v1/' + resource + text.encode().decode('latin-1')
    response = client.call(method, path, body)
    assert response.status < 500
    assert isinstance(response.body, dict)
