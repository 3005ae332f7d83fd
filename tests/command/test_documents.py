"""Tests of check, apply, show, diff, remove, change and status."""

import pytest

from godwitglade.operators import gateway
from tests.command import commands
from tests.operators import gateways

TEXT = gateways.TEXT
OTHER = TEXT.replace('400', '300')


def apply(fake, text=TEXT, *args, **settings):
    return commands.run('apply', '-', *args, fake=fake, stdin=text, **settings)


def test_check_lists_every_fault_with_its_path(tmp_path):
    path = tmp_path / 'x.yaml'
    path.write_text(TEXT.replace('400', 'x').replace('5000', '0'))
    result = commands.run('check', path)
    assert result.status == 'INVALID'
    assert f'{path}: stages[0].budget_ms: must be' in result.stdout
    assert 'deadline_ms: must be' in result.stdout
    faults = commands.run('check', path, '--json').json['documents'][0]
    assert len(faults['faults']) == 2


def test_shown_text_is_applied_to_its_version():
    fake = gateways.FakeGateway()
    assert 'version 1 accepted' in apply(fake).stdout
    shown = commands.run('show', 'checks', fake=fake).stdout
    assert apply(fake, shown.replace('400', '300')).status == 'OK'
    assert fake.document('checks').text == OTHER
    conflict = apply(fake, shown)
    assert conflict.status == 'CONFLICT'
    assert 'is at version 2, not 1' in conflict.stderr
    assert apply(fake, TEXT, '--overwrite', '--json').json['version'] == 3


def test_document_with_faults_is_not_sent():
    client = commands.FakeOperators(gateways.FakeGateway())
    result = commands.run('apply', '-', client=client, stdin='a: 1')
    assert (result.status, client.sent) == ('INVALID', [])
    assert 'team: is required' in result.stderr


UNKNOWN = ['ok', *['lost_before'] * 4]


@pytest.mark.parametrize(
    'faults, script, status, version',
    [
        (['unsent', 'unsent'], [], 'OK', 1),
        (['lost_after'], [], 'OK', 1),
        (['lost_before'], [], 'OK', 1),
        (['garbled'], [], 'OK', 1),
        (['unsent'] * 5, [], 'UNAVAILABLE', None),
        (['lost_after'] * 5, [], 'UNKNOWN', 1),
        (['lost_before'] * 5, [], 'UNKNOWN', None),
        (['lost_after', *['unsent'] * 4], [], 'UNKNOWN', 1),
        ([], ['down'], 'OK', 1),
        ([], ['down'] * 5, 'UNAVAILABLE', None),
        ([], ['late'], 'OK', 1),
        ([], ['lost', *['never'] * 5], 'OK', 1),
        ([], ['late', *['never'] * 60], 'UNKNOWN', 1),
        (['lost_before'], ['down'] * 5, 'UNKNOWN', None),
    ],
)
def test_apply_reports_the_state_of_the_change(
    faults, script, status, version
):
    fake = gateways.FakeGateway(*script)
    result = apply(fake, faults=faults)
    fake.host.table.apply_late()
    view = fake.document('checks')
    assert result.status == status
    assert (view and view.version) == version
    if status == 'UNKNOWN':
        change_id = result.stdout.split()[-1]
        assert 'fail' not in result.stdout + result.stderr
        state = commands.run('change', change_id, fake=fake)
        assert state.status == ('OK' if version else 'NOT_FOUND')


def test_settled_change_is_never_applied():
    fake = gateways.FakeGateway('late', *['never'] * 60)
    result = apply(fake, TEXT, '--json')
    assert result.json['state'] == 'unknown'
    fake.host.table.script = iter(())
    change_id = result.json['change_id']
    settled = commands.run('change', change_id, '--settle', fake=fake)
    assert 'never will be' in settled.stdout
    fake.host.table.apply_late()
    assert fake.document('checks') is None


def test_apply_waits_for_every_live_host():
    fake = gateways.FakeGateway()
    behind = gateway.HostView('e2', 'b', 'x', 'live', 0, 5)
    gone = gateway.HostView('e3', 'b', 'x', 'gone', 0, None)
    fake.hosts = (behind, gone)
    result = apply(fake, TEXT, '--wait', '--wait-s', 2)
    assert result.status == 'NOT_IN_FORCE'
    assert 'in force on 1 of 2 live hosts; not heard' in result.stderr
    assert 'behind: e2' in result.stderr
    leaving = gateway.HostView('e4', 'b', 'x', 'leaving', 0, 5)
    fake.hosts = (gone, leaving)
    fake.refused = (gateway.RefusedView('papers', 2, 'unknown field'),)
    assert apply(fake, OTHER, '--overwrite', '--wait').status == 'OK'
    fake.refused = (gateway.RefusedView('checks', 2, 'unknown field'),)
    refused = apply(fake, TEXT, '--overwrite', '--wait', '--wait-s', 2)
    assert refused.status == 'NOT_IN_FORCE'
    shown = commands.run('status', fake=fake).stdout
    assert 'not heard from since' in shown and 'never' in shown
    assert '3 changes behind' in shown
    assert 'not in force on e1: checks version 2: unknown field' in shown


def test_diff_and_remove():
    fake = gateways.FakeGateway()
    apply(fake)
    shown = commands.run('diff', '-', fake=fake, stdin=OTHER).stdout
    assert '-  - {name: encode, kind: encode, pool: encoders, budg' in shown
    removed = commands.run('remove', 'checks', fake=fake)
    assert (removed.status, fake.documents()) == ('OK', ())
    assert commands.run('show', 'checks', fake=fake).status == 'NOT_FOUND'


def test_list_of_documents_is_a_table():
    fake = gateways.FakeGateway()
    apply(fake)
    header, row = commands.run('show', fake=fake).stdout.splitlines()
    assert header.split() == ['pipeline', 'team', 'version', 'change']
    assert row.split() == ['checks', 'onboarding', '1', '1']
