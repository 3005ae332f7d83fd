"""Types of values in a schema, and their descriptions.

A schema is an `Object` that names an attrs class and a `Field` for each of
its attributes. Defaults come from the attrs class; a field without a default
is required. `validation` checks plain data against a schema.
"""

import enum
import functools
import typing

import attrs


@attrs.frozen
class Number:
    """An integer between ``minimum`` and ``maximum``, both included."""

    minimum: int
    maximum: int
    unit: str = ''


@attrs.frozen
class Text:
    """A string; ``pattern`` must match the whole string."""

    pattern: str = r'[^\x00-\x1f\x7f]+'
    description: str = 'a single line of text'
    max_chars: int = 256


@attrs.frozen
class Flag:
    """A boolean."""


@attrs.frozen
class Choice:
    """A value of an enumeration."""

    options: type[enum.Enum]


@attrs.frozen
class Items:
    """A list of values of ``kind``, converted to a tuple."""

    kind: typing.Any
    minimum: int = 0
    maximum: int = 1_000


@attrs.frozen
class Mapping:
    """A mapping; ``keys`` and ``values`` are the kinds of its entries."""

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
    """The kind of an attribute and a help sentence."""

    kind: typing.Any
    help: str


@attrs.frozen
class Object:
    """An object; ``result`` is the attrs class that it is converted to.

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


#: A name in documents, settings and URLs.
NAME = Text(
    r'[a-z0-9][a-z0-9._-]*',
    'lowercase letters, digits, dots, dashes and underscores',
    64,
)


def default_of(kind: Object, name: str) -> typing.Any:
    """Return the default value of an attribute that is not required."""
    default = attrs.fields_dict(kind.result)[name].default
    if isinstance(default, attrs.Factory):
        return default.factory()
    return default


@functools.singledispatch
def describe(kind) -> str:
    """Return a description of the values of ``kind``, with their unit."""
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
