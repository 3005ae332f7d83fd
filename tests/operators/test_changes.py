"""Document changes: races, lost responses, delayed writes, audit log."""

import random

import attrs
import pytest

from godwitglade.common import codec
from godwitglade.coordination import audit
from godwitglade.coordination import change_results
from godwitglade.coordination import change_rows
from godwitglade.coordination import effects
from godwitglade.coordination import rows
from tests.operators import tables


def accepted(version=1, sequence=1, change_id='c1'):
    return change_results.ChangeAccepted(
        change_id, 'checks', version, sequence
    )


NOT_APPLIED = change_results.ChangeNotApplied('c1')
UNKNOWN = change_results.ChangeUnknown('c1')


def test_repeated_change_is_accepted_but_applied_once():
    host = tables.Host(tables.Table())
    assert host.apply() == accepted()
    assert host.apply() == accepted()
    assert len(host.table.audit()) == 1
    assert host.look_up() == accepted()


def test_reused_change_id_is_refused():
    host = tables.Host(tables.Table())
    host.apply()
    reused = change_results.ChangeIdReused('c1')
    assert host.apply(based_on=1, text='b: 1') == reused


def test_loser_of_a_race_gets_the_current_version():
    table = tables.Table()
    first, second = tables.Host(table, 1), tables.Host(table, 2)
    pending = first.run_effect(first.start()[0])
    assert second.apply(change_id='c2', text='b: 1') == accepted(
        change_id='c2'
    )
    conflict = change_results.ChangeConflict('checks', 0, 1, 'b: 1')
    assert first.finish(pending) == conflict
    assert len(table.audit()) == 1


def test_concurrent_changes_to_two_documents_are_both_accepted():
    table = tables.Table()
    first, second = tables.Host(table, 1), tables.Host(table, 2)
    pending = first.run_effect(first.start()[0])
    second.apply(change_id='c2', pipeline='papers')
    assert first.finish(pending) == accepted(sequence=2)
    assert audit.verify(table.audit()) is None


@pytest.mark.parametrize(
    'script, result',
    [
        (['lost'], accepted()),
        (['never'], NOT_APPLIED),
        (['late'], NOT_APPLIED),
        (['down'], change_results.ChangeUnavailable(7)),
        (['lost', 'down', 'ok'], accepted()),
        (['late', 'never', 'ok'], NOT_APPLIED),
        (['late', 'lost', 'ok'], NOT_APPLIED),
        (['late', *['down'] * 5], UNKNOWN),
        (['lost', *['never'] * 5], UNKNOWN),
    ],
)
def test_lost_response_is_settled_correctly(script, result):
    host = tables.Host(tables.Table(*script))
    assert host.apply() == result
    was_applied_late = rows.Committed() in host.table.apply_late()
    if result == NOT_APPLIED:
        assert not was_applied_late and host.table.audit() == []
    final = host.settle()
    assert final == (accepted() if host.table.audit() else NOT_APPLIED)
    assert host.look_up() == final


def test_look_up_does_not_settle_a_delayed_write():
    host = tables.Host(tables.Table('late', *['down'] * 5))
    host.apply()
    assert host.look_up() == change_results.ChangeAbsent('c1')
    host.table.apply_late()
    assert host.look_up() == accepted()


def test_unreadable_rows_prevent_the_change():
    host = tables.Host(tables.Table())
    host.table.is_readable = False
    assert isinstance(host.apply(), change_results.ChangeUnavailable)
    assert host.table.rows == {}


def test_malformed_rows_end_in_a_typed_result():
    host = tables.Host(tables.Table())
    key = change_rows.HEAD_KEY
    host.table.rows[key] = rows.Row(key, 1, {'sequence': 'x'})
    assert isinstance(host.apply(), change_results.ChangeUnavailable)


def test_document_belongs_to_its_team_until_it_is_removed():
    host = tables.Host(tables.Table())
    host.apply()
    other_team = {'based_on': 1, 'team': 'touchline', 'change_id': 'c2'}
    forbidden = change_results.ChangeForbidden('checks', 'onboarding')
    assert host.apply(**other_team) == forbidden
    assert host.apply(based_on=1, change_id='c3', text=None).version == 2
    other_team = {**other_team, 'based_on': 2}
    assert host.apply(**other_team).version == 3


def test_change_row_contains_a_patch_when_it_is_smaller():
    host = tables.Host(tables.Table())
    lines = [f'line {number}\n' for number in range(100)]
    host.apply(text=''.join(lines))
    lines[50] = 'changed\n'
    host.apply(text=''.join(lines), based_on=1, change_id='c2')
    key = change_rows.sequence_key('changes', 2)
    row = codec.from_plain(host.table.rows[key].value, change_rows.ChangeRow)
    assert row.text is None and row.patch.size_chars < 100


TAMPERINGS = [
    (lambda records: records[:1] + records[2:], 2, 'missing'),
    (lambda records: records[1:], 1, 'missing'),
    (lambda records: _replace(records, 1, author='x'), 2, 'altered'),
    (lambda records: _replace(records, 1, text_hash='x'), 2, 'altered'),
    (
        lambda records: _replace(records, 0, author='x', is_sealed=True),
        2,
        'follow',
    ),
]


def _replace(records, index, is_sealed=False, **fields):
    changed = attrs.evolve(records[index], **fields)
    sealed = audit.seal(changed) if is_sealed else changed
    return [*records[:index], sealed, *records[index + 1 :]]


@pytest.mark.parametrize('tamper, sequence, reason', TAMPERINGS)
def test_audit_verification_detects_tampering(tamper, sequence, reason):
    host = tables.Host(tables.Table())
    for version in range(3):
        host.apply(based_on=version, change_id=f'c{version}')
    records = host.table.audit()
    assert audit.verify(records) is None
    fault = audit.verify(tamper(records))
    assert fault.sequence == sequence and reason in fault.reason


def test_audit_log_can_be_verified_from_any_record():
    host = tables.Host(tables.Table())
    for version in range(3):
        host.apply(based_on=version, change_id=f'c{version}')
    first, *rest = host.table.audit()
    assert audit.verify(rest, first.hash, first.sequence) is None


@pytest.mark.parametrize('seed', range(30))
def test_results_match_the_audit_log_in_any_order_of_effects(seed):
    rng = random.Random(seed)
    words = ['ok', 'ok', 'ok', 'lost', 'late', 'never', 'down']
    table = tables.Table(*rng.choices(words, k=60))
    hosts = [tables.Host(table, number) for number in range(3)]
    runs = [
        [host, f'c{number}', host.start(**_random_change(rng, number))]
        for number, host in enumerate(hosts * 4)
    ]
    results = {}
    while runs:
        if rng.random() < 0.1:
            table.apply_late()
        run = rng.choice(runs)
        host, change_id, (effect, *rest) = run
        if isinstance(effect, effects.Deliver):
            results[change_id] = effect.message.result
        elif not isinstance(effect, effects.LogEvent):
            rest += host.run_effect(effect)
        run[2] = rest
        runs = [run for run in runs if run[2]]
    table.apply_late()
    records = table.audit()
    assert audit.verify(records) is None
    applied = [record.change_id for record in records]
    assert len(applied) == len(set(applied))
    for change_id, result in results.items():
        if isinstance(result, change_results.ChangeAccepted):
            assert change_id in applied
        elif not isinstance(result, change_results.ChangeUnknown):
            assert change_id not in applied


def _random_change(rng, number):
    return {
        'change_id': f'c{number}',
        'pipeline': rng.choice(['checks', 'papers']),
        'based_on': rng.randrange(3),
        'text': f'a: {number}\n',
    }
