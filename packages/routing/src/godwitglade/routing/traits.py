"""What a request may have in common with others that crash targets."""

import typing

import xxhash

from godwitglade.routing import messages

#: Prompt parts of a request that are considered.
MAX_PARTS = 32
#: Longer names, and those with other characters, are hashed.
MAX_NAME_LENGTH = 24


def traits_of(arrived: messages.RequestArrived) -> tuple[str, ...]:
    """Return the traits of a request, each a short text.

    The last part of a prompt belongs to the request itself.
    """
    parts = (part.name for part in arrived.prompt[:-1][:MAX_PARTS])
    return tuple(f'part:{_short(name)}' for name in dict.fromkeys(parts))


def is_trait(value: typing.Any) -> bool:
    """Return whether a value from outside has the form of a trait."""
    if not isinstance(value, str):
        return False
    kind, _, name = value.partition(':')
    return kind == 'part' and name == _short(name) != ''


def _short(name: str) -> str:
    is_plain = name.isascii() and name.isalnum()
    if is_plain and len(name) <= MAX_NAME_LENGTH:
        return name
    return xxhash.xxh3_64_hexdigest(name.encode())
