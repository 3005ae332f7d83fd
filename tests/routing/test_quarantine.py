"""What a host keeps about traits that crash targets."""

import pytest

from godwitglade.coordination import messages as shared_messages
from godwitglade.routing import messages
from godwitglade.routing import quarantine


def make_quarantine():
    return quarantine.Quarantine('h1', lambda: ['h1'])


def report(number, value, origin='h2'):
    key = f'{number:08x}|0'
    return shared_messages.FactChanged('crash', key, value, origin)


def test_expired_reports_are_forgotten():
    made = make_quarantine()
    for number in range(3):
        made.handle(report(number, ['part:a']), 0)
    assert made.blocked == {'part:a'}
    for number in range(3):
        made.handle(report(number, None), 1)
    assert made.blocked == frozenset()
    assert not made._evidence._reports


@pytest.mark.parametrize(
    'value',
    [
        'part:a',
        {'part:a': 1},
        [7],
        ['other:a'],
        ['part:'],
        ['part:' + 'a' * 99],
        ['part:a'] * 99,
    ],
)
def test_malformed_report_of_a_peer_is_ignored(value):
    made = make_quarantine()
    for number in range(3):
        made.handle(report(number, value), 0)
    assert made.blocked == frozenset()


def test_row_of_the_store_blocks_until_it_is_deleted():
    made = make_quarantine()
    row = messages.QuarantineRow(
        'part:a', ('aaaa0000', 'aaaa0001', 'aaaa0002')
    )
    made.handle(messages.QuarantineRead((row,), (), True), 0)
    assert made.blocked == {'part:a'}
    published = made.handle(messages.QuarantineRead((), ('part:a',)), 1)
    assert made.blocked == frozenset()
    assert published


def test_row_that_the_store_lost_is_written_again():
    made = make_quarantine()
    row = messages.QuarantineRow(
        'part:a', ('aaaa0000', 'aaaa0001', 'aaaa0002')
    )
    made.handle(messages.QuarantineRead((row,), (), True), 0)
    assert not made.maintain(10)
    made.handle(messages.QuarantineRead((), (), True), 20)
    (written,) = made.maintain(30)
    assert (written.trait, written.crashes) == (row.trait, row.crashes)
