"""Tests of audit, quarantine, token, help and exit statuses."""

import attrs
import pytest

from godwitglade.command import definitions
from godwitglade.operators import access
from godwitglade.operators import gateway
from tests.command import commands
from tests.operators import gateways

COMMANDS = [command.name for command in definitions.app.registered_commands]


def make_gateway(changes=3):
    fake = gateways.FakeGateway()
    for version in range(changes):
        text = gateways.TEXT.replace('400', str(400 + version))
        commands.run('apply', '--overwrite', '-', fake=fake, stdin=text)
    return fake


def test_audit_prints_authors_and_versions():
    result = commands.run('audit', '--after', 1, fake=make_gateway())
    assert [line.split()[0] for line in result.stdout.splitlines()] == [
        'change',
        '2',
        '3',
    ]
    assert 'amina' in result.stdout and 'checks version 3' in result.stdout


def test_audit_verify_detects_an_altered_record():
    fake = make_gateway()
    assert '3 records verified' in verify(fake).stdout
    key, row = next(
        (key, row)
        for key, row in fake.host.table.rows.items()
        if key.table == 'audit' and row.value['sequence'] == 2
    )
    altered = {**row.value, 'author': 'nobody'}
    fake.host.table.rows[key] = attrs.evolve(row, value=altered)
    broken = verify(fake)
    assert broken.status == 'AUDIT_BROKEN'
    assert 'record 2: was altered' in broken.stdout


def verify(fake):
    return commands.run('audit', '--verify', fake=fake, token='watch')


def test_quarantine_is_listed_and_cleared():
    fake = make_gateway(1)
    view = gateway.QuarantineView('f1', 'crashed 2 targets', 90_000, 'checks')
    fake.quarantined = {'f1': view}
    listed = commands.run('quarantine', 'list', fake=fake).stdout
    assert 'crashed 2 targets' in listed and '90 s' in listed
    clear = ('quarantine', 'clear', 'f1')
    assert commands.run(*clear, fake=fake, token='tomas').status == 'FORBIDDEN'
    assert commands.run(*clear, fake=fake).status == 'OK'
    assert commands.run(*clear, fake=fake).status == 'NOT_FOUND'


@pytest.mark.parametrize(
    'args, token, status',
    [
        (['status'], 'nobody', 'FORBIDDEN'),
        (['apply', '-'], 'watch', 'FORBIDDEN'),
        (['apply', '-'], 'tomas', 'FORBIDDEN'),
        (['status'], 'watch', 'OK'),
        (['nothing'], 'amina', 'USAGE'),
        (['apply'], 'amina', 'USAGE'),
        (['audit', '--limit', '0'], 'amina', 'USAGE'),
        (['show', '\udc80/../x'], 'amina', 'NOT_FOUND'),
        (['apply', '/nothing/here.yaml'], 'amina', 'USAGE'),
    ],
)
def test_exit_status(args, token, status):
    result = commands.run(*args, token=token, stdin=gateways.TEXT)
    assert result.status == status


@pytest.mark.parametrize('name', COMMANDS)
def test_help_has_an_example(name):
    name = name or 'check'
    assert 'Example: godwitglade' in commands.run(name, '--help').stdout


def test_token_is_printed_with_its_hash():
    new_token = commands.run('token', '--json').json
    assert new_token['sha256'] == access.hash_token(new_token['token'])


@pytest.mark.parametrize(
    'body', [b'', b'[]', b'{}', b'{"records": [{"sequence": "x"}]}', b'\xff']
)
def test_malformed_response_is_a_typed_error(body):
    client = commands.FakeCallers(chunks=[body])
    result = commands.run('audit', client=client)
    assert result.status in ('ERROR', 'UNKNOWN')
    assert result.stderr.startswith('error: ')


def test_json_option_prints_errors_as_json():
    result = commands.run('show', 'x', '--json')
    assert result.json['error']['code'] == 'name_not_found'
