"""Fleet-wide workspace usage, estimated from samples of other hosts.

Every exchange carries the largest counts of its sender. A host stores the
latest samples of a bounded number of hosts and assumes their mean for all
other hosts. The cost does not grow with the fleet or with the number of
workspaces, and a partitioned host estimates from the hosts it still reaches.
"""

import collections
import heapq

import attrs

from godwitglade.common import clock
from godwitglade.coordination import bodies

#: Maximum number of counts in one exchange.
SAMPLE_SIZE = 16

#: Older samples are removed.
SAMPLE_TTL_MS = 15 * clock.SECOND_MS

#: Own counts expire unless they are published again.
OWN_COUNT_TTL_MS = 10 * clock.SECOND_MS

MAX_SAMPLED_HOSTS = 64


@attrs.frozen
class _Sample:
    received_ms: int
    counts: dict[str, int]


class UsageEstimator:
    """Estimates usage from own counts and samples of other hosts."""

    def __init__(self) -> None:
        self._own: dict[str, tuple[int, int]] = {}
        self._samples: dict[str, _Sample] = {}
        self._last_returned: dict[str, int] = {}

    def publish(self, workspace: str, count: int, now_ms: int) -> None:
        """Set the number of requests of ``workspace`` in flight here."""
        if count:
            self._own[workspace] = (count, now_ms)
        else:
            self._own.pop(workspace, None)

    def sample(self, now_ms: int) -> tuple[bodies.UsageRecord, ...]:
        """Return the largest counts of this host."""
        self._own = {
            name: (count, set_ms)
            for name, (count, set_ms) in self._own.items()
            if now_ms - set_ms < OWN_COUNT_TTL_MS
        }
        counts = ((count, name) for name, (count, _) in self._own.items())
        return tuple(
            bodies.UsageRecord(name, count)
            for count, name in heapq.nlargest(SAMPLE_SIZE, counts)
        )

    def receive(
        self,
        host_name: str,
        records: tuple[bodies.UsageRecord, ...],
        now_ms: int,
    ) -> None:
        """Store the sample of another host."""
        counts = {record.workspace: record.count for record in records}
        self._samples.pop(host_name, None)
        self._samples[host_name] = _Sample(now_ms, counts)
        if len(self._samples) > MAX_SAMPLED_HOSTS:
            del self._samples[next(iter(self._samples))]

    def estimate_other_hosts(
        self, host_count: int, now_ms: int
    ) -> dict[str, int]:
        """Estimate requests in flight on the other hosts, by workspace."""
        self._samples = {
            name: sample
            for name, sample in self._samples.items()
            if now_ms - sample.received_ms < SAMPLE_TTL_MS
        }
        if not self._samples:
            return {}
        sums: collections.Counter[str] = collections.Counter()
        for sample in self._samples.values():
            sums.update(sample.counts)
        factor = max(1.0, (host_count - 1) / len(self._samples))
        return {name: round(total * factor) for name, total in sums.items()}

    def changed_estimates(
        self, host_count: int, now_ms: int
    ) -> dict[str, int]:
        """Return the estimates that changed since the last call.

        A workspace without an estimate any more has 0.
        """
        estimates = self.estimate_other_hosts(host_count, now_ms)
        ended = dict.fromkeys(self._last_returned.keys() - estimates.keys(), 0)
        changed = {
            name: total
            for name, total in estimates.items()
            if self._last_returned.get(name) != total
        }
        self._last_returned = estimates
        return ended | changed
