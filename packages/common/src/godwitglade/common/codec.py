"""Converts attrs objects to and from JSON, with typed errors."""

import typing

import attrs
import cattrs
from cattrs.preconf import orjson as orjson_preset
import orjson

from godwitglade.common import errors

T = typing.TypeVar('T')

_converter = orjson_preset.make_converter(forbid_extra_keys=False)


def _structure_scalar(value: typing.Any, kind: type[T]) -> T:
    # bool is a subclass of int but must not be accepted as one.
    if type(value) is not kind:
        raise TypeError(f'expected {kind.__name__}')
    return value


def _structure_float(value: typing.Any, _kind: type) -> float:
    if type(value) not in (int, float):
        raise TypeError('expected float')
    return float(value)


for _scalar in (str, int, bool):
    _converter.register_structure_hook(_scalar, _structure_scalar)
_converter.register_structure_hook(float, _structure_float)


def to_json(value: object) -> bytes:
    """Return ``value``, an attrs object or plain data, as JSON bytes."""
    return orjson.dumps(_converter.unstructure(value))


def to_plain(value: object) -> typing.Any:
    """Return ``value`` as dicts, lists and scalars."""
    return _converter.unstructure(value)


def parse_json(raw: bytes) -> typing.Any:
    """Return ``raw`` parsed into dicts, lists and scalars.

    Raises MalformedError if ``raw`` is not JSON.
    """
    try:
        return orjson.loads(raw)
    except orjson.JSONDecodeError as error:
        raise errors.MalformedError('$', str(error)) from error


def from_plain(plain: typing.Any, kind: type[T]) -> T:
    """Return plain data as a ``kind``; raises MalformedError."""
    try:
        return _converter.structure(plain, kind)
    except (cattrs.BaseValidationError, *_STRUCTURE_ERRORS) as error:
        raise errors.MalformedError('$', _describe_fault(error)) from error


def from_json(raw: bytes, kind: type[T]) -> T:
    """Return JSON bytes as a ``kind``; raises MalformedError."""
    return from_plain(parse_json(raw), kind)


def replace(value: T, **changes: typing.Any) -> T:
    """Return a copy of the attrs object ``value`` with ``changes``."""
    return attrs.evolve(value, **changes)


_STRUCTURE_ERRORS = (TypeError, ValueError, KeyError, AttributeError)


def _describe_fault(error: BaseException) -> str:
    if not isinstance(error, cattrs.BaseValidationError):
        return f'{type(error).__name__}: {error}'
    return '; '.join(cattrs.transform_error(error)[:3])
