"""Rendezvous hashing, which selects the owner of a pool among the hosts.

One host batches the items of all hosts for a pool, so that calls are full.
Hosts that see the same members select the same owner without messages; a
partitioned host selects an owner among those that it still reaches.
"""

import typing

import xxhash


def rank(key: str, names: typing.Iterable[str]) -> list[str]:
    """Return ``names`` in the order of preference for ``key``.

    Adding or removing a name moves only the keys for which it ranks first.
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
