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
    return sorted(names, key=scorer(key), reverse=True)


def first(key: str, names: typing.Iterable[str]) -> str | None:
    """Return the first name in the order of `rank`, None without names."""
    return max(names, key=scorer(key), default=None)


def scorer(key: str) -> typing.Callable[[str], tuple[int, str]]:
    """Return the function of a name that `rank` sorts by."""
    seed = xxhash.xxh3_64_intdigest(key.encode())

    def score(name: str) -> tuple[int, str]:
        return xxhash.xxh3_64_intdigest(name.encode(), seed), name

    return score
