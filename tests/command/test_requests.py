"""Tests of request and outcome."""

import pytest

from godwitglade.command import errors
from godwitglade.common import codec
from tests.command import commands

SEND = ('request', 'checks', '-w', 'rabat', '-d', '{"a": 1}')
STREAM = 'text/event-stream; charset=utf-8'


def outcome(code, **fields):
    return codec.to_json({'outcome': code, 'request_id': 'r1', **fields})


@pytest.mark.parametrize(
    'code, fields, status',
    [
        ('answered', {'results': {'verdict': 'yes'}}, 'OK'),
        ('refused_not_run', {'reason': 'overloaded'}, 'REFUSED'),
        ('failed', {'reason': 'deadline_exceeded'}, 'FAILED'),
        ('unknown', {'reason': 'target_lost'}, 'UNKNOWN'),
    ],
)
def test_exit_status_follows_the_outcome(code, fields, status):
    client = commands.FakeCallers(chunks=[outcome(code, **fields)])
    result = commands.run(*SEND, '-k', 'key-1', client=client)
    assert result.status == status
    shown = fields.get('reason') or '"yes"'
    assert shown in result.stdout
    (request,) = client.sent
    assert request.headers['X-Workspace'] == 'rabat'
    assert request.headers['Idempotency-Key'] == 'key-1'
    assert request.body == b'{"a": 1}'


@pytest.mark.parametrize(
    'error, status',
    [
        (errors.NotSentError('u', 'refused'), 'UNAVAILABLE'),
        (errors.AnswerLostError('u', 'reset'), 'UNKNOWN'),
    ],
)
def test_request_is_sent_once(error, status):
    client = commands.FakeCallers(error=error)
    assert commands.run(*SEND, client=client).status == status
    assert len(client.sent) == 1


PIECES = (
    b'event: piece\ndata: {"offset": 0, "text": "h\xc3',
    b'\xa9"}\r\n\r\nevent: piece\ndata: {"offset": 2, "text": "llo"}\n\n',
)
END = b'event: outcome\ndata: ' + outcome('answered', results={}) + b'\n\n'


@pytest.mark.parametrize(
    'chunks, status',
    [
        ((*PIECES, END), 'OK'),
        (PIECES, 'UNKNOWN'),
        ((*PIECES, END[:30]), 'UNKNOWN'),
        ((PIECES[1], END), 'UNKNOWN'),
        ((b'event: piece\ndata: [1]\n\n', END), 'UNKNOWN'),
        ((b'event: piece\ndata: {\n\n', END), 'UNKNOWN'),
    ],
)
def test_incomplete_stream_is_an_unknown_outcome(chunks, status):
    client = commands.FakeCallers(chunks=chunks, content_type=STREAM)
    result = commands.run(*SEND, '--stream', client=client)
    assert result.status == status
    if status == 'OK':
        assert result.stdout.startswith('h\u00e9llo\n')


@pytest.mark.parametrize(
    'state, status',
    [
        ('running', 'UNKNOWN'),
        ('unknown', 'UNKNOWN'),
        ('absent', 'NOT_FOUND'),
        ('unavailable', 'UNAVAILABLE'),
        ('settled', 'FAILED'),
    ],
)
def test_outcome_is_looked_up_by_key(state, status):
    settled = {'outcome': 'failed', 'reason': 'target_lost'}
    final = settled if state == 'settled' else None
    body = codec.to_json({'state': state, 'outcome': final})
    client = commands.FakeCallers(chunks=[body])
    args = ('outcome', 'checks', 'key/1', '-w', 'rabat')
    assert commands.run(*args, client=client).status == status
    assert client.sent[0].url.endswith('/outcomes/key%2F1')


def test_payload_that_is_not_json_is_not_sent():
    client = commands.FakeCallers()
    args = ('request', 'checks', '-w', 'rabat', '-d', '{')
    assert commands.run(*args, client=client).status == 'USAGE'
    assert client.sent == []
