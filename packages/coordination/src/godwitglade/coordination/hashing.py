"""Rendezvous hashing: every host picks the same names without talking."""

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

    A name that leaves moves only the keys that it held.
    """
    return tuple(
        heapq.nlargest(count, names, key=lambda name: (score(key, name), name))
    )


def digest(text: str) -> int:
    """Return a 64-bit digest of ``text``; not for security."""
    return xxhash.xxh3_64_intdigest(text.encode())
