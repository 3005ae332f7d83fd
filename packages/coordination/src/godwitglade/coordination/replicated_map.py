"""Versioned records replicated by gossip: deltas, digests and repair.

A record of a higher version replaces one of a lower version, so records may
arrive late, twice or out of order. The number of times that a change is sent
grows with the logarithm of the fleet size. A digest of all records reveals
changes that the deltas missed, and digests of buckets limit what is sent
again.
"""

import collections.abc
import heapq
import math
import typing

from godwitglade.coordination import hashing

BUCKET_COUNT = 32

#: Short, since digests are sent often and a collision only delays a repair.
DIGEST_MASK = 0xFFFF_FFFF

#: A change is sent about this number times log2 of the number of hosts.
SEND_FACTOR = 1.5


class ReplicatedMap:
    """Records by key, with the changes still to be sent to other hosts.

    ``version_of`` returns a value that orders records of one key.
    """

    def __init__(self, version_of: collections.abc.Callable) -> None:
        self._version_of = version_of
        self._records: dict[str, typing.Any] = {}
        self._send_counts: dict[str, int] = {}
        self._buckets = [0] * BUCKET_COUNT

    def __len__(self) -> int:
        return len(self._records)

    def __iter__(self) -> collections.abc.Iterator:
        return iter(self._records.values())

    def get(self, key: str) -> typing.Any:
        """Return the record at ``key``, None if there is none."""
        return self._records.get(key)

    def merge(
        self, key: str, record: typing.Any, is_forwarded: bool = True
    ) -> bool:
        """Store ``record`` if it is newer; return whether it was.

        With ``is_forwarded`` other hosts receive it as a delta.
        """
        current = self._records.get(key)
        if current is not None and not self._is_newer(record, current):
            return False
        self.discard(key)
        self._records[key] = record
        self._update_digest(key, record)
        if is_forwarded:
            self._send_counts[key] = 0
        return True

    def discard(self, key: str) -> None:
        """Remove the record at ``key``, if any."""
        current = self._records.pop(key, None)
        self._send_counts.pop(key, None)
        if current is not None:
            self._update_digest(key, current)

    def next_deltas(self, limit: int, host_count: int) -> tuple:
        """Return at most ``limit`` records to send, least sent first.

        Each is counted as sent.
        """
        max_sends = SEND_FACTOR * math.log2(host_count + 1)
        newest_first = reversed(self._send_counts)
        keys = heapq.nsmallest(
            limit, newest_first, key=self._send_counts.__getitem__
        )
        for key in keys:
            self._count_send(key, max_sends)
        return tuple(self._records[key] for key in keys)

    @property
    def has_deltas(self) -> bool:
        """Return whether changes are still being sent."""
        return bool(self._send_counts)

    @property
    def digest(self) -> int:
        """Return a digest of all records, equal for equal maps."""
        combined = 0
        for bucket in self._buckets:
            combined ^= bucket
        return combined

    @property
    def buckets(self) -> tuple[int, ...]:
        """Return the digest of each bucket."""
        return tuple(self._buckets)

    def differing_records(
        self, peer_buckets: tuple[int, ...], limit: int
    ) -> tuple:
        """Return at most ``limit`` records of buckets with another digest."""
        differing_buckets = {
            index
            for index, (own_digest, peer_digest) in enumerate(
                zip(self._buckets, peer_buckets)
            )
            if own_digest != peer_digest
        }
        # In order of buckets, so that the next comparison omits complete ones.
        keys = sorted(
            (
                key
                for key in self._records
                if _bucket_of(key) in differing_buckets
            ),
            key=_bucket_of,
        )
        return tuple(self._records[key] for key in keys[:limit])

    def _is_newer(self, record: typing.Any, current: typing.Any) -> bool:
        return self._version_of(record) > self._version_of(current)

    def _count_send(self, key: str, max_sends: float) -> None:
        self._send_counts[key] += 1
        if self._send_counts[key] >= max_sends:
            del self._send_counts[key]

    def _update_digest(self, key: str, record: typing.Any) -> None:
        record_digest = hashing.digest(f'{key}\0{self._version_of(record)}')
        self._buckets[_bucket_of(key)] ^= record_digest & DIGEST_MASK


def _bucket_of(key: str) -> int:
    return hashing.digest(key) % BUCKET_COUNT
