"""Tests that KNOWN-RED.txt lists fail without failing the run, and are named.

A pytest plugin. The tests run all the same; one that passes is named, too,
so that its entry goes.
"""

import pathlib

import attrs
import pytest

PATH = pathlib.Path(__file__).parents[1] / 'KNOWN-RED.txt'
FIELDS = ('test', 'command', 'seen', 'issue')


class BadEntryError(ValueError):
    """An entry of the list lacks a field."""


@attrs.frozen
class Entry:
    """A test that fails for a fault not yet mended.

    ``command`` plays it, with its seed; ``seen`` says what was seen.
    """

    test: str
    command: str
    seen: str
    issue: str


def parse(text: str) -> list[Entry]:
    """Return the entries in ``text``; raises BadEntryError."""
    found: list[dict[str, str]] = []
    for line in text.splitlines():
        name, colon, value = line.partition(':')
        if not colon or name not in FIELDS:
            continue
        if name == 'test':
            found.append({})
        elif not found:
            raise BadEntryError(f'line {line!r} stands before any test')
        found[-1][name] = value.strip()
    return [_entry(fields) for fields in found]


def _entry(fields: dict[str, str]) -> Entry:
    missing = [name for name in FIELDS if not fields.get(name)]
    if missing:
        raise BadEntryError(f'entry of {fields["test"]!r} has no {missing[0]}')
    return Entry(**fields)


class KnownRed:
    """Marks the tests listed, and prints how they ended."""

    def __init__(self, entries: list[Entry]) -> None:
        self._entries = {entry.test: entry for entry in entries}
        self._ends: dict[str, str] = {}

    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        """Expect the tests listed to fail."""
        for item in items:
            entry = self._entries.get(item.nodeid)
            if entry is not None:
                reason = f'issue {entry.issue}: {entry.seen}'
                item.add_marker(pytest.mark.xfail(reason=reason))

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Note how a test listed ended."""
        if report.when == 'call' and report.nodeid in self._entries:
            self._ends[report.nodeid] = 'passes' if report.passed else 'fails'

    def pytest_terminal_summary(self, terminalreporter: object) -> None:
        """Print the list, with how each test ended."""
        for test, entry in self._entries.items():
            end = self._ends.get(test, 'not run')
            terminalreporter.write_line(
                f'known red ({end}): {test}: {entry.seen} '
                f'[issue {entry.issue}; {entry.command}]'
            )


def pytest_configure(config: pytest.Config) -> None:
    """Register the plugin with the list at the root."""
    config.pluginmanager.register(KnownRed(parse(PATH.read_text())))
