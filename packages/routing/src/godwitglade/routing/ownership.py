"""Which host forms the calls of a pool: rendezvous hashing.

Items of all hosts meet at one host for each pool, so that calls are full.
Hosts that see the same fleet find the same owner without talking; one that
is cut off finds an owner among those it still reaches.
"""

import typing

import xxhash


def rank(key: str, names: typing.Iterable[str]) -> list[str]:
    """Return ``names`` in the order of preference for ``key``.

    A name that is added or removed moves only the keys it ranks first for.
    """
    seed = xxhash.xxh3_64_intdigest(key.encode())
    return sorted(
        names,
        key=lambda name: (
            xxhash.xxh3_64_intdigest(name.encode(), seed),
            name,
        ),
        reverse=True,
    )
