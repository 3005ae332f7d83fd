"""Renders reference tables in Markdown from the code."""

import enum
import functools
import importlib
import importlib.util
import logging
import pathlib
import pkgutil
import typing

import attrs

import godwitglade
from godwitglade.command import status
from godwitglade.common import errors
from godwitglade.common import events
from godwitglade.common import kinds
from godwitglade.common import validation
from godwitglade.daemon import settings_schema
from godwitglade.decisions import outcomes
from godwitglade.operators import schema

#: Occurs in the source of each module that defines errors.
ERROR_MARKER = 'auto_exc=True'


def errors_table() -> str:
    """Return a table of all error types outside the command."""
    _load_errors()
    rows = [
        (
            f'`{kind.code}`',
            kind.http_status,
            _yes_no(kind.is_retryable),
            f'`{kind.__module__.removeprefix("godwitglade.")}`',
            _summary(kind),
        )
        for kind in sorted(errors.all_error_types(), key=_error_order)
        if kind.__module__.startswith('godwitglade.')
        and not kind.__module__.startswith('godwitglade.command.')
    ]
    columns = ('Code', 'Status', 'Retryable', 'Raised in', 'Meaning')
    return table(columns, rows)


def outcomes_table() -> str:
    """Return a table of all outcomes."""
    rows = [
        (
            f'`{kind.code}`',
            _outcome_status(kind),
            _yes_no(kind.is_retryable),
            _summary(kind),
        )
        for kind in typing.get_args(outcomes.Outcome)
    ]
    return table(('Outcome', 'Status', 'Retryable', 'Meaning'), rows)


def refusals_table() -> str:
    """Return a table of the refusal reasons and their statuses."""
    rows = [
        (f'`{reason}`', outcomes.RefusedNotRun(reason).http_status)
        for reason in _constants(outcomes.Refusal)
    ]
    return table(('Reason', 'Status'), rows)


def failures_list() -> str:
    """Return a list of the reasons of failures and unknown outcomes."""
    reasons = (f'`{reason}`' for reason in _constants(outcomes.Failure))
    return ', '.join(reasons) + '.'


def events_table() -> str:
    """Return a table of all numbered log events."""
    sorted_events = sorted(events.Event, key=events.number_of)
    rows = [
        (
            event.value.number,
            f'`{event.name.lower()}`',
            logging.getLevelName(event.value.level).lower(),
            event.value.meaning,
        )
        for event in sorted_events
    ]
    return table(('Number', 'Event', 'Level', 'Meaning'), rows)


def exit_statuses_table() -> str:
    """Return a table of the command's exit statuses."""
    rows = [
        (item.value, item.name.lower(), status.MEANINGS[item])
        for item in status.ExitStatus
    ]
    return table(('Status', 'Name', 'Meaning'), rows)


def document_reference() -> str:
    """Return tables of a document's fields."""
    return _schema_sections('', schema.DOCUMENT)


def settings_reference() -> str:
    """Return tables of the fields of a host's settings."""
    return _schema_sections('', settings_schema.SETTINGS)


def table(
    columns: typing.Iterable[str],
    rows: typing.Iterable[typing.Iterable[typing.Any]],
) -> str:
    """Return a Markdown table."""
    columns = list(columns)
    lines = [columns, ['---'] * len(columns), *rows]
    return '\n'.join(
        '| ' + ' | '.join(str(cell) for cell in line) + ' |' for line in lines
    )


def _schema_sections(path: str, kind: kinds.Object) -> str:
    rows = [
        (
            f'`{name}`',
            _escape(describe(field.kind)),
            _escape(_default(kind, name)),
            field.help,
        )
        for name, field in kind.fields.items()
    ]
    title = f'### `{path}`\n\n' if path else ''
    section = title + table(('Field', 'Value', 'Default', 'Meaning'), rows)
    nested = [
        _schema_sections(validation.join(path, name) + suffix, inner)
        for name, field in kind.fields.items()
        for suffix, inner in _objects_in(field.kind)
    ]
    return '\n\n'.join([section, *nested])


@functools.singledispatch
def _objects_in(kind) -> list[tuple[str, kinds.Object]]:
    return []


@_objects_in.register
def _object(kind: kinds.Object) -> list[tuple[str, kinds.Object]]:
    return [('', kind)]


@_objects_in.register
def _optional(
    kind: kinds.Optional,
) -> list[tuple[str, kinds.Object]]:
    return _objects_in(kind.kind)


@_objects_in.register
def _items(kind: kinds.Items) -> list[tuple[str, kinds.Object]]:
    return [('[]' + suffix, inner) for suffix, inner in _objects_in(kind.kind)]


def describe(kind: typing.Any) -> str:
    """Return the values that ``kind`` allows, as error messages word it."""
    return kinds.describe(kind)


def _default(kind: kinds.Object, name: str) -> str:
    if name in kind.required:
        return 'required'
    return _show_default(kinds.default_of(kind, name))


def _show_default(value: typing.Any) -> str:
    if value is None:
        return 'null'
    if attrs.has(type(value)):
        return 'see below'
    if isinstance(value, enum.Enum):
        return f'`{value.value}`'
    if isinstance(value, bool):
        return f'`{str(value).lower()}`'
    return 'none' if value in ((), '') else f'`{value}`'


def _load_errors() -> None:
    modules = pkgutil.walk_packages(godwitglade.__path__, 'godwitglade.')
    for module in modules:
        source = importlib.util.find_spec(module.name).origin
        if ERROR_MARKER in pathlib.Path(source).read_text('utf-8'):
            importlib.import_module(module.name)


def _error_order(kind: type) -> tuple[str, str]:
    return (kind.code, kind.__module__)


def _outcome_status(kind: type) -> str:
    value = kind.http_status
    return str(value) if isinstance(value, int) else 'depends on reason'


def _constants(kind: type) -> list[str]:
    return [v for name, v in vars(kind).items() if name.isupper()]


def _summary(kind: type) -> str:
    return (kind.__doc__ or '').strip().splitlines()[0]


def _yes_no(value: bool) -> str:
    return 'yes' if value else 'no'


def _escape(text: str) -> str:
    return text.replace('|', '\\|')
