"""Kinds of values that a schema is made of, and how they are described.

A schema is an `Object` that names an attrs class and a `Field` for each of
its attributes. Defaults come from the attrs class; a field without one is
required. `validation` checks plain data against it.
"""

import enum
import functools
import typing

import attrs


@attrs.frozen
class Number:
    """A whole number within bounds, both included."""

    minimum: int
    maximum: int
    unit: str = ''


@attrs.frozen
class Text:
    """A string; ``pattern`` has to match all of it."""

    pattern: str = r'[^\x00-\x1f\x7f]+'
    description: str = 'text on one line'
    max_chars: int = 256


@attrs.frozen
class Flag:
    """True or false."""


@attrs.frozen
class Choice:
    """One of the values of an enumeration."""

    options: type[enum.Enum]


@attrs.frozen
class Items:
    """A list of ``kind``, read as a tuple."""

    kind: typing.Any
    minimum: int = 0
    maximum: int = 1_000


@attrs.frozen
class Mapping:
    """A mapping from ``keys`` to ``values``."""

    keys: typing.Any
    values: typing.Any
    minimum: int = 1
    maximum: int = 100


@attrs.frozen
class Optional:
    """A value of ``kind`` or null."""

    kind: typing.Any


@attrs.frozen
class Field:
    """One attribute: what it may hold and a sentence of help."""

    kind: typing.Any
    help: str


@attrs.frozen
class Object:
    """An attrs class and a field for each of its attributes.

    ``required`` names the attributes that have no default.
    """

    result: type
    fields: dict[str, Field]
    required: frozenset[str] = attrs.field(init=False)

    @required.default
    def _find_required(self) -> frozenset[str]:
        attributes = attrs.fields(self.result)
        return frozenset(
            attribute.name
            for attribute in attributes
            if attribute.default is attrs.NOTHING
        )


#: A name as documents, settings and URLs hold it.
NAME = Text(
    r'[a-z0-9][a-z0-9._-]*',
    'lower-case letters, digits, dots, dashes and underscores',
    64,
)


def default_of(kind: Object, name: str) -> typing.Any:
    """Return the default of an attribute that is not required."""
    default = attrs.fields_dict(kind.result)[name].default
    if isinstance(default, attrs.Factory):
        return default.factory()
    return default


@functools.singledispatch
def describe(kind) -> str:
    """Return what a value of ``kind`` looks like, with its unit."""
    raise NotImplementedError(type(kind).__name__)


@describe.register
def _describe_number(kind: Number) -> str:
    return f'{kind.minimum}..{kind.maximum} {kind.unit}'.rstrip()


@describe.register
def _describe_text(kind: Text) -> str:
    return f'{kind.description} of at most {kind.max_chars} characters'


@describe.register
def _describe_flag(kind: Flag) -> str:
    return 'true or false'


@describe.register
def _describe_choice(kind: Choice) -> str:
    return 'one of ' + ', '.join(option.value for option in kind.options)


@describe.register
def _describe_items(kind: Items) -> str:
    return f'a list of {kind.minimum}..{kind.maximum} items'


@describe.register
def _describe_mapping(kind: Mapping) -> str:
    return f'a mapping of {describe(kind.keys)} to {describe(kind.values)}'


@describe.register
def _describe_optional(kind: Optional) -> str:
    return f'{describe(kind.kind)}, or null'


@describe.register
def _describe_object(kind: Object) -> str:
    return 'a mapping'
