"""Fleet-wide use of workspaces, estimated from samples of other hosts.

Every exchange carries the sender's largest counts. A host keeps the latest
sample of each host heard lately, and takes their mean for the hosts that it
has not heard: the cost does not grow with the fleet or with the number of
workspaces, and a cut-off host falls back to what it hears.
"""

import collections
import heapq

import attrs

from godwitglade.common import clock
from godwitglade.coordination import bodies

#: Largest counts that one exchange carries.
SAMPLE_SIZE = 16

#: Samples older than this no longer count.
SAMPLE_AGE_MS = 15 * clock.SECOND_MS

#: Own counts lapse unless they are published again.
OWN_AGE_MS = 10 * clock.SECOND_MS

#: Hosts whose samples are kept.
SAMPLE_LIMIT = 64


@attrs.frozen
class _Sample:
    heard_ms: int
    counts: dict[str, int]


class Usage:
    """Own counts and the latest samples of other hosts."""

    def __init__(self) -> None:
        self._own: dict[str, tuple[int, int]] = {}
        self._samples: dict[str, _Sample] = {}
        self._told: dict[str, int] = {}

    def publish(self, workspace: str, count: int, now_ms: int) -> None:
        """Set this host's requests in flight of ``workspace``."""
        if count:
            self._own[workspace] = (count, now_ms)
        else:
            self._own.pop(workspace, None)

    def sample(self, now_ms: int) -> tuple[bodies.UsageRecord, ...]:
        """Return the largest own counts."""
        self._own = {
            name: (count, set_ms)
            for name, (count, set_ms) in self._own.items()
            if now_ms - set_ms < OWN_AGE_MS
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
        """Take the sample of another host."""
        counts = {record.workspace: record.count for record in records}
        self._samples.pop(host_name, None)
        self._samples[host_name] = _Sample(now_ms, counts)
        if len(self._samples) > SAMPLE_LIMIT:
            del self._samples[next(iter(self._samples))]

    def elsewhere(self, host_count: int, now_ms: int) -> dict[str, int]:
        """Estimate the requests in flight on the other hosts."""
        self._samples = {
            name: sample
            for name, sample in self._samples.items()
            if now_ms - sample.heard_ms < SAMPLE_AGE_MS
        }
        if not self._samples:
            return {}
        sums: collections.Counter[str] = collections.Counter()
        for sample in self._samples.values():
            sums.update(sample.counts)
        factor = max(1.0, (host_count - 1) / len(self._samples))
        return {name: round(total * factor) for name, total in sums.items()}

    def news(self, host_count: int, now_ms: int) -> dict[str, int]:
        """Return the estimates that changed since the last call."""
        found = self.elsewhere(host_count, now_ms)
        ended = dict.fromkeys(self._told.keys() - found.keys(), 0)
        changed = {
            name: total
            for name, total in found.items()
            if self._told.get(name) != total
        }
        self._told = found
        return ended | changed
