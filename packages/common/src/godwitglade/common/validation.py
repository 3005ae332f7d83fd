"""Checks plain data against a schema and reports all faults with paths.

A schema is made of `kinds`. `read` returns the object or raises
`FaultsError`.
"""

import functools
import re
import typing

import attrs

from godwitglade.common import errors
from godwitglade.common import kinds
from godwitglade.common import suggestions

SHOWN_CHARS = 40


@attrs.frozen
class Fault:
    """A fault in a value; ``path`` is like ``stages[2].name``."""

    path: str
    reason: str

    def __str__(self) -> str:
        return f'{self.path}: {self.reason}'


@attrs.define(auto_exc=True, str=False)
class FaultsError(errors.CodedError):
    """The data does not match its schema; ``faults`` lists all faults."""

    code = 'invalid'
    http_status = 422
    template = 'invalid data'

    faults: tuple[Fault, ...]

    def __str__(self) -> str:
        return '; '.join(str(fault) for fault in self.faults)


#: Result of checking a value that has a fault.
INVALID = object()


def read(schema: kinds.Object, plain: typing.Any) -> typing.Any:
    """Return ``plain`` converted to the attrs class of ``schema``.

    Raises FaultsError with all faults.
    """
    faults: list[Fault] = []
    value = check(schema, plain, '', faults)
    if faults:
        raise FaultsError(tuple(faults))
    return value


@functools.singledispatch
def check(kind, value, path: str, faults: list[Fault]) -> typing.Any:
    """Return ``value`` converted to ``kind``; append faults to ``faults``.

    The result is `INVALID` if the value has a fault.
    """
    raise NotImplementedError(type(kind).__name__)


@check.register
def _check_number(kind: kinds.Number, value, path, faults):
    is_number = type(value) is int
    if is_number and kind.minimum <= value <= kind.maximum:
        return value
    return _reject(kinds.describe(kind), value, path, faults)


@check.register
def _check_text(kind: kinds.Text, value, path, faults):
    if type(value) is not str:
        hint = kinds.describe(kind)
        if value is not None and not isinstance(value, (dict, list)):
            hint += ' (quote it)'
        return _reject(hint, value, path, faults)
    is_short = len(value) <= kind.max_chars
    if is_short and re.fullmatch(kind.pattern, value):
        return value
    return _reject(kinds.describe(kind), value, path, faults)


@check.register
def _check_flag(kind: kinds.Flag, value, path, faults):
    if type(value) is bool:
        return value
    return _reject(kinds.describe(kind), value, path, faults)


@check.register
def _check_choice(kind: kinds.Choice, value, path, faults):
    for option in kind.options:
        if type(value) is str and option.value == value:
            return option
    return _reject(kinds.describe(kind), value, path, faults)


@check.register
def _check_items(kind: kinds.Items, value, path, faults):
    if type(value) is not list:
        return _reject(kinds.describe(kind), value, path, faults)
    if not kind.minimum <= len(value) <= kind.maximum:
        expected = f'{kind.minimum}..{kind.maximum} items'
        return _reject(expected, len(value), path, faults)
    items = [
        check(kind.kind, item, f'{path}[{index}]', faults)
        for index, item in enumerate(value)
    ]
    return INVALID if _has_fault(items) else tuple(items)


@check.register
def _check_mapping(kind: kinds.Mapping, value, path, faults):
    if type(value) is not dict:
        return _reject(kinds.describe(kind), value, path, faults)
    if not kind.minimum <= len(value) <= kind.maximum:
        expected = f'{kind.minimum}..{kind.maximum} entries'
        return _reject(expected, len(value), path, faults)
    pairs = [
        (
            check(kind.keys, key, f'{path} key', faults),
            check(kind.values, item, join(path, key), faults),
        )
        for key, item in value.items()
    ]
    checked = [part for pair in pairs for part in pair]
    return INVALID if _has_fault(checked) else dict(pairs)


@check.register
def _check_optional(kind: kinds.Optional, value, path, faults):
    if value is None:
        return None
    return check(kind.kind, value, path, faults)


@check.register
def _check_object(kind: kinds.Object, value, path, faults):
    if type(value) is not dict:
        return _reject(kinds.describe(kind), value, path or '$', faults)
    faults.extend(_unknown_keys(kind, value, path))
    checked = {
        name: _check_field(kind, name, value, path, faults)
        for name in kind.fields
        if name in value or name in kind.required
    }
    return INVALID if _has_fault(checked.values()) else kind.result(**checked)


def _check_field(kind: kinds.Object, name: str, value, path, faults):
    field_path = join(path, name)
    if name in value:
        return check(kind.fields[name].kind, value[name], field_path, faults)
    faults.append(Fault(field_path, 'is required'))
    return INVALID


def join(path: str, key: typing.Any) -> str:
    """Return the path of ``key`` below ``path``."""
    name = format_value(key) if type(key) is not str else key[:SHOWN_CHARS]
    return f'{path}.{name}' if path else name


def format_value(value: typing.Any) -> str:
    """Return a short representation of ``value`` for a message."""
    if isinstance(value, (dict, list)):
        return 'a mapping' if isinstance(value, dict) else 'a list'
    try:
        shown = repr(value)
    except ValueError:
        # Python does not convert integers of thousands of digits to text.
        return 'a very large number'
    is_long = len(shown) > SHOWN_CHARS
    return shown[:SHOWN_CHARS] + '...' if is_long else shown


def _unknown_keys(kind: kinds.Object, value: dict, path: str) -> list[Fault]:
    return [
        Fault(join(path, key), suggestions.unknown_key(key, kind.fields))
        for key in value
        if key not in kind.fields
    ]


def _reject(expected: str, value, path: str, faults: list[Fault]):
    faults.append(
        Fault(path, f'must be {expected}, not {format_value(value)}')
    )
    return INVALID


def _has_fault(checked: typing.Iterable) -> bool:
    return any(value is INVALID for value in checked)
