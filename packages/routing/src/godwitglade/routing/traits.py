"""What a request may have in common with others that crash targets.

These are the parts of its prompt, and its fingerprint: copies have the same
path, workspace and body. API keys are replaced and do not count.
"""

import typing

import xxhash

from godwitglade.routing import messages

PART = 'part'
REQUEST = 'request'
#: Prompt parts of a request that are considered.
MAX_PARTS = 32
#: Longer names, and those with other characters, are hashed.
MAX_NAME_LENGTH = 24


def traits_of(
    arrived: messages.RequestArrived, workspace_name: str, has_prompt: bool
) -> tuple[str, ...]:
    """Return the traits of a request, each a short text.

    The last part of a prompt belongs to the request itself.
    """
    shared = arrived.prompt[:-1][:MAX_PARTS] if has_prompt else ()
    names = dict.fromkeys(part.name for part in shared)
    parts = tuple(f'{PART}:{_short(name)}' for name in names)
    if not arrived.body_digest:
        return parts
    return (*parts, f'{REQUEST}:{_fingerprint(arrived, workspace_name)}')


def is_part(trait: str) -> bool:
    """Return whether a trait is a part of a prompt."""
    return trait.startswith(f'{PART}:')


def is_request(trait: str) -> bool:
    """Return whether a trait is the fingerprint of a request."""
    return trait.startswith(f'{REQUEST}:')


def is_trait(value: typing.Any) -> bool:
    """Return whether a value from outside has the form of a trait."""
    if not isinstance(value, str):
        return False
    kind, _, name = value.partition(':')
    return kind in (PART, REQUEST) and name == _short(name) != ''


def _short(name: str) -> str:
    is_plain = name.isascii() and name.isalnum()
    if is_plain and len(name) <= MAX_NAME_LENGTH:
        return name
    return xxhash.xxh3_64_hexdigest(name.encode())


def _fingerprint(arrived: messages.RequestArrived, workspace_name: str) -> str:
    """Return what copies of a request have in common, in hexadecimal."""
    content = '\n'.join((arrived.path, workspace_name, arrived.body_digest))
    return xxhash.xxh3_64_hexdigest(content.encode())
