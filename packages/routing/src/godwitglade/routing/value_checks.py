"""Checks of values that other programs have written.

A value that is out of range here may fail only later: in a timer, in a
socket's timeout, in a header or in a message to another host.
"""

import graphlib
import reprlib
import socket
import typing

import attrs

from godwitglade.common import clock as clocks
from godwitglade.common import errors

#: Raised for a value with another structure, too large or nested too deeply.
ERRORS = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    ArithmeticError,
    RecursionError,
)
#: Integers up to this size have an exact value in any reader of JSON.
MAX_INTEGER = 2**53 - 1
#: Longest timeout; a socket takes no much longer one.
MAX_TIMEOUT_MS = 24 * 60 * clocks.MINUTE_MS
MAX_COUNT = 1_000_000
MAX_TEXT_LENGTH = 4_096
MAX_ADDRESS_LENGTH = 300
MAX_PORT = 65_535


@attrs.frozen
class Reporting:
    """A context in which a value that cannot be used is a MalformedError."""

    path: str

    def __enter__(self) -> None:
        """Do nothing."""

    def __exit__(self, _type: type, error: typing.Any, _trace: object) -> None:
        """Raise MalformedError for an error of `ERRORS`."""
        if isinstance(error, ERRORS):
            raise errors.MalformedError(self.path, repr(error)) from error


def integer(
    value: typing.Any, low: int = -MAX_INTEGER, high: int = MAX_INTEGER
) -> int:
    """Return a number without its fraction; raises ValueError."""
    if type(value) is int and low <= value <= high:
        return value
    return int(number(value, low, high))


def number(value: typing.Any, low: float, high: float) -> int | float:
    """Return a number of the range from ``low`` to ``high``.

    Raises ValueError.
    """
    if type(value) not in (int, float):
        raise ValueError(f'{reprlib.repr(value)} is not a number')
    if not low <= value <= high:
        raise ValueError(f'{value!r:.30} is not from {low} to {high}')
    return value


def text(value: typing.Any, max_length: int = MAX_TEXT_LENGTH) -> str:
    """Return a text; raises ValueError, without the value."""
    if not isinstance(value, str):
        raise ValueError(f'a {type(value).__name__} is not a text')
    if len(value) > max_length:
        raise ValueError(f'a text of {len(value)} characters is too long')
    return value


def line(value: typing.Any) -> str:
    """Return a text without control characters; raises ValueError."""
    if not text(value).isprintable():
        raise ValueError(f'{reprlib.repr(value)} has control characters')
    return value


def header_text(value: typing.Any) -> str:
    """Return a text that a header can contain; raises ValueError."""
    line(value).encode('latin-1')
    return value


def items(value: typing.Any) -> list[typing.Any]:
    """Return a list, empty for None; raises ValueError."""
    if value is None:
        return []
    if not isinstance(value, list):
        raise ValueError(f'a {type(value).__name__} is not a list')
    return value


def address(value: typing.Any) -> str:
    """Return an IP address with a port; raises ValueError.

    A name instead could block a call while it is looked up.
    """
    host, _, port = text(value, MAX_ADDRESS_LENGTH).rpartition(':')
    is_v6 = host.startswith('[') and host.endswith(']')
    family = socket.AF_INET6 if is_v6 else socket.AF_INET
    try:
        socket.inet_pton(family, host[1:-1] if is_v6 else host)
    except OSError as error:
        raise ValueError(f'{reprlib.repr(value)} has no IP address') from error
    is_number = port.isascii() and port.isdecimal() and len(port) <= 5
    if not (is_number and 0 < int(port) <= MAX_PORT):
        raise ValueError(f'{reprlib.repr(value)} has no valid port')
    return value


def stage_order(after: typing.Sequence[typing.Iterable[int]]) -> None:
    """Check that stages come after others of them, without a cycle.

    Raises ValueError.
    """
    for predecessors in after:
        for predecessor in predecessors:
            integer(predecessor, 0, len(after) - 1)
    graphlib.TopologicalSorter(dict(enumerate(after))).prepare()


def field(
    low: float = -MAX_INTEGER,
    high: float = MAX_INTEGER,
    default: typing.Any = attrs.NOTHING,
) -> typing.Any:
    """Return a field of an attrs class for a number of a range."""
    return attrs.field(
        default=default,
        validator=lambda _instance, _field, value: number(value, low, high),
    )


def text_field(**options: typing.Any) -> typing.Any:
    """Return a field of an attrs class for a text."""
    return attrs.field(
        validator=lambda _instance, _field, value: text(value), **options
    )
