"""Pytest plugin: tests listed in KNOWN-RED.txt may fail, and are printed.

The listed tests still run. One that passes is printed as well, so that its
entry gets removed.
"""

import pathlib

import attrs
import pytest

PATH = pathlib.Path(__file__).parents[1] / 'KNOWN-RED.txt'
FIELDS = ('test', 'command', 'seen', 'issue')


class BadEntryError(ValueError):
    """An entry of the list has a missing field."""


@attrs.frozen
class Entry:
    """A test that fails because of a known, unfixed fault.

    ``command`` runs it, with its seed; ``seen`` is the failure observed.
    """

    test: str
    command: str
    seen: str
    issue: str


def parse(text: str) -> list[Entry]:
    """Return the entries in ``text``; raises BadEntryError."""
    entries: list[dict[str, str]] = []
    for line in text.splitlines():
        name, colon, value = line.partition(':')
        if not colon or name not in FIELDS:
            continue
        if name == 'test':
            entries.append({})
        elif not entries:
            raise BadEntryError(f'line {line!r} comes before the first test')
        entries[-1][name] = value.strip()
    return [_entry(fields) for fields in entries]


def _entry(fields: dict[str, str]) -> Entry:
    missing = [name for name in FIELDS if not fields.get(name)]
    if missing:
        raise BadEntryError(f'entry of {fields["test"]!r} has no {missing[0]}')
    return Entry(**fields)


class KnownRed:
    """Marks the listed tests, and prints their results."""

    def __init__(self, entries: list[Entry]) -> None:
        self._entries = {entry.test: entry for entry in entries}
        self._results: dict[str, str] = {}

    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        """Mark the listed tests as expected to fail."""
        for item in items:
            entry = self._entries.get(item.nodeid)
            if entry is not None:
                reason = f'issue {entry.issue}: {entry.seen}'
                item.add_marker(pytest.mark.xfail(reason=reason))

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Record the result of a listed test."""
        if report.when == 'call' and report.nodeid in self._entries:
            self._results[report.nodeid] = (
                'passes' if report.passed else 'fails'
            )

    def pytest_terminal_summary(self, terminalreporter: object) -> None:
        """Print the list with the result of each test."""
        for test, entry in self._entries.items():
            result = self._results.get(test, 'not run')
            terminalreporter.write_line(
                f'known red ({result}): {test}: {entry.seen} '
                f'[issue {entry.issue}; {entry.command}]'
            )


def pytest_configure(config: pytest.Config) -> None:
    """Register the plugin with the list at the repository root."""
    config.pluginmanager.register(KnownRed(parse(PATH.read_text())))
