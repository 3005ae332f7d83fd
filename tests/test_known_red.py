"""Tests listed as known to fail do not fail a run but are printed."""

import pytest

from bench import known_red

pytest_plugins = ['pytester']

ENTRY = """\
test: test_it.py::test_listed
command: pytest test_it.py
seen: one is not two
issue: 7
"""
PLUGIN = """
from bench import known_red

def pytest_configure(config):
    entries = known_red.parse({text!r})
    config.pluginmanager.register(known_red.KnownRed(entries))
"""


@pytest.mark.parametrize(
    ('listed', 'other', 'status', 'printed'),
    [
        ('assert 1 == 2', 'pass', 0, 'known red (fails): test_it.py'),
        ('pass', 'pass', 0, 'known red (passes): test_it.py'),
        ('assert 1 == 2', 'assert 0', 1, 'known red (fails): test_it.py'),
    ],
)
def test_only_listed_tests_may_fail(pytester, listed, other, status, printed):
    pytester.makeconftest(PLUGIN.format(text=ENTRY))
    pytester.makepyfile(
        test_it=f'def test_listed(): {listed}\ndef test_other(): {other}\n'
    )
    result = pytester.runpytest('-p', 'no:cacheprovider')
    assert result.ret == status
    assert printed in result.stdout.str()
    assert 'one is not two [issue 7; pytest test_it.py]' in str(result.stdout)


@pytest.mark.parametrize(
    'text', ['seen: nothing\n', 'test: a\nseen: b\nissue: 1\n']
)
def test_entry_with_a_missing_field_is_refused(text):
    with pytest.raises(known_red.BadEntryError):
        known_red.parse(text)


def test_text_around_the_entries_is_ignored():
    assert known_red.parse('Tests that fail: see below.\n\nNone.\n') == []
