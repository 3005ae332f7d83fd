"""Versioned records spread by exchange: deltas, digests and repair.

A record of a higher version takes the place of a lower one, so records may
arrive late, twice or out of order. Each change is sent a number of times
that grows with the logarithm of the fleet; a digest of all records shows
what the deltas missed, and buckets narrow down what to send again.
"""

import collections.abc
import heapq
import math
import typing

from godwitglade.coordination import hashing

BUCKET_COUNT = 32

#: Digests are short: they travel often, and a miss only delays a repair.
DIGEST_MASK = 0xFFFF_FFFF

#: Sends of one change are this times log2 of the number of hosts.
SEND_FACTOR = 1.5


class Replicas:
    """Records by key, with what is still to be sent to others.

    ``version_of`` returns a value that orders records of one key.
    """

    def __init__(self, version_of: collections.abc.Callable) -> None:
        self._version_of = version_of
        self._records: dict[str, typing.Any] = {}
        self._sends: dict[str, int] = {}
        self._buckets = [0] * BUCKET_COUNT

    def __len__(self) -> int:
        return len(self._records)

    def __iter__(self) -> collections.abc.Iterator:
        return iter(self._records.values())

    def get(self, key: str) -> typing.Any:
        """Return the record at ``key``, None when there is none."""
        return self._records.get(key)

    def merge(
        self, key: str, record: typing.Any, is_news: bool = True
    ) -> bool:
        """Take ``record`` when it is newer; tell whether it was.

        With ``is_news`` it is passed on to others as a delta.
        """
        held = self._records.get(key)
        if held is not None and not self._is_newer(record, held):
            return False
        self.discard(key)
        self._records[key] = record
        self._toggle(key, record)
        if is_news:
            self._sends[key] = 0
        return True

    def discard(self, key: str) -> None:
        """Forget the record at ``key``, if any."""
        held = self._records.pop(key, None)
        self._sends.pop(key, None)
        if held is not None:
            self._toggle(key, held)

    def take_deltas(self, limit: int, host_count: int) -> tuple:
        """Return at most ``limit`` records to send, least sent first."""
        most_sends = SEND_FACTOR * math.log2(host_count + 1)
        newest_first = reversed(self._sends)
        keys = heapq.nsmallest(
            limit, newest_first, key=self._sends.__getitem__
        )
        for key in keys:
            self._count_send(key, most_sends)
        return tuple(self._records[key] for key in keys)

    @property
    def has_deltas(self) -> bool:
        """Tell whether changes are still being sent."""
        return bool(self._sends)

    @property
    def digest(self) -> int:
        """Return a digest of all records, equal for equal tables."""
        combined = 0
        for bucket in self._buckets:
            combined ^= bucket
        return combined

    @property
    def buckets(self) -> tuple[int, ...]:
        """Return the digest of each bucket."""
        return tuple(self._buckets)

    def differing(self, theirs: tuple[int, ...], limit: int) -> tuple:
        """Return at most ``limit`` records of buckets unlike ``theirs``."""
        unlike = {
            index
            for index, (ours, other) in enumerate(zip(self._buckets, theirs))
            if ours != other
        }
        # Whole buckets come first, so that the next comparison omits them.
        keys = sorted(
            (key for key in self._records if _bucket_of(key) in unlike),
            key=_bucket_of,
        )
        return tuple(self._records[key] for key in keys[:limit])

    def _is_newer(self, record: typing.Any, held: typing.Any) -> bool:
        return self._version_of(record) > self._version_of(held)

    def _count_send(self, key: str, most_sends: float) -> None:
        self._sends[key] += 1
        if self._sends[key] >= most_sends:
            del self._sends[key]

    def _toggle(self, key: str, record: typing.Any) -> None:
        mark = hashing.digest(f'{key}\0{self._version_of(record)}')
        self._buckets[_bucket_of(key)] ^= mark & DIGEST_MASK


def _bucket_of(key: str) -> int:
    return hashing.digest(key) % BUCKET_COUNT
