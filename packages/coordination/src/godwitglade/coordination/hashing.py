"""Rendezvous hashing: hosts select the same names without coordination."""

import collections.abc
import heapq

import xxhash


def score(key: str, name: str) -> int:
    """Return the 64-bit weight of ``name`` for ``key``."""
    return xxhash.xxh3_64_intdigest(f'{key}\0{name}'.encode())


def choose(
    key: str, names: collections.abc.Iterable[str], count: int = 1
) -> tuple[str, ...]:
    """Return the ``count`` names of highest weight for ``key``.

    When a name is removed, only the keys assigned to it move.
    """
    return tuple(
        heapq.nlargest(count, names, key=lambda name: (score(key, name), name))
    )


def digest(text: str) -> int:
    """Return a non-cryptographic 64-bit digest of ``text``."""
    return xxhash.xxh3_64_intdigest(text.encode())
