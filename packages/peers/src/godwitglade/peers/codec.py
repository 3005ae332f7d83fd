"""Encodes messages between hosts as tagged JSON.

A message is an object ``{"kind", "body"}``, with ``sender`` in a request.
Records that messages contain in large numbers are written as lists in the
order of their fields. Extra items of a newer version are ignored, and
missing items of an older version get the defaults.
"""

import typing

import attrs
import cattrs
from cattrs.preconf import orjson as orjson_preset
import orjson

from godwitglade.common import errors as common_errors
from godwitglade.coordination import bodies
from godwitglade.coordination import hosts
from godwitglade.coordination import patches
from godwitglade.peers import errors

LIST_CLASSES = (
    hosts.HostId,
    bodies.MemberRecord,
    bodies.FactRecord,
    bodies.UsageRecord,
    bodies.Change,
    bodies.StoredDocument,
    patches.Patch,
    patches.Edit,
)

STRUCTURE_ERRORS = (
    cattrs.BaseValidationError,
    TypeError,
    ValueError,
    KeyError,
    AttributeError,
    RecursionError,
)
#: Larger numbers could not be added to or written in a message again.
MAX_NUMBER = 2**53 - 1


@attrs.frozen
class UnknownBody:
    """A body whose kind this version does not support."""

    kind: str
    body: typing.Any


@attrs.frozen
class Envelope:
    """A message between hosts; a reply has no ``sender``."""

    body: typing.Any
    sender: hosts.HostId | None = None


class Codec:
    """Encodes and decodes bodies by a registry of kinds."""

    def __init__(self, kinds: dict[str, type]) -> None:
        self._converter = _make_converter()
        self._classes: dict[str, type] = {}
        self._kinds: dict[type, str] = {}
        for kind, body_class in kinds.items():
            self.register(kind, body_class)

    def register(self, kind: str, body_class: type) -> None:
        """Register ``body_class`` under its name on the wire."""
        self._classes[kind] = body_class
        self._kinds[body_class] = kind

    def kind_of(self, body: typing.Any) -> str:
        """Return the kind of ``body``; raises UnknownKindError."""
        try:
            return self._kinds[type(body)]
        except KeyError as error:
            raise errors.UnknownKindError(type(body).__name__) from error

    def encode(self, envelope: Envelope) -> bytes:
        """Return ``envelope`` as JSON bytes."""
        plain = {
            'kind': self.kind_of(envelope.body),
            'body': self._converter.unstructure(envelope.body),
        }
        if envelope.sender is not None:
            plain['sender'] = self._converter.unstructure(envelope.sender)
        return orjson.dumps(plain)

    def decode(self, raw: bytes) -> Envelope:
        """Return the envelope in ``raw``; raises MalformedError."""
        try:
            return self._structure(orjson.loads(raw))
        except STRUCTURE_ERRORS as error:
            reason = f'{type(error).__name__}: {error}'
            raise common_errors.MalformedError('$', reason) from error

    def _structure(self, plain: typing.Any) -> Envelope:
        sender = plain.get('sender')
        if sender is not None:
            sender = self._converter.structure(sender, hosts.HostId)
        kind = plain['kind']
        body_class = self._classes.get(kind)
        if body_class is None:
            return Envelope(UnknownBody(kind, plain['body']), sender)
        body = self._converter.structure(plain['body'], body_class)
        return Envelope(body, sender)


def _make_converter() -> cattrs.Converter:
    converter = orjson_preset.make_converter(
        omit_if_default=True, forbid_extra_keys=False
    )
    for scalar in (str, int, bool):
        converter.register_structure_hook(scalar, _structure_scalar)
    converter.register_structure_hook(float, _structure_float)
    for list_class in LIST_CLASSES:
        _register_list(converter, list_class)
    return converter


def _structure_scalar(value: typing.Any, scalar_type: type) -> typing.Any:
    # bool is a subclass of int, but must not be accepted as one.
    if type(value) is not scalar_type:
        raise TypeError(f'expected {scalar_type.__name__}')
    if scalar_type is int:
        _check_range(value)
    return value


def _structure_float(value: typing.Any, _float_type: type) -> float:
    if type(value) not in (int, float):
        raise TypeError('expected float')
    _check_range(value)
    return float(value)


def _check_range(value: float) -> None:
    if not -MAX_NUMBER <= value <= MAX_NUMBER:
        raise ValueError('the number is out of range')


def _register_list(converter: cattrs.Converter, list_class: type) -> None:
    fields = attrs.fields(attrs.resolve_types(list_class))

    def unstructure(value: typing.Any) -> list:
        return [
            converter.unstructure(getattr(value, field.name), field.type)
            for field in fields
        ]

    def structure(plain: typing.Any, _list_type: type) -> typing.Any:
        if not isinstance(plain, list):
            raise TypeError(f'expected a list for {list_class.__name__}')
        return list_class(
            *(
                converter.structure(item, field.type)
                for item, field in zip(plain, fields)
            )
        )

    converter.register_unstructure_hook(list_class, unstructure)
    converter.register_structure_hook(list_class, structure)
