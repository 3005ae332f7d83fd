"""Owners of pools as seen by this host.

All jobs of a pool pass through its owner, so hosts with little processor
time or a narrow link own none while larger ones are available. A host that
does not confirm a message is skipped, for twice as long each time in a row.
A host that has just started takes the others from the store's table of
registered hosts until it has exchanged messages with them.
"""

import typing

from godwitglade.coordination import hosts
from godwitglade.coordination import members
from godwitglade.coordination import membership as memberships
from godwitglade.routing import hand_over
from godwitglade.routing import rendezvous

#: An owner that failed to confirm is skipped for this time, twice as long
#: each time in a row.
OWNER_SUSPENSION_MS = 1_500
MAX_OWNER_SUSPENSION_MS = 24_000
#: Hosts with less than this share of the largest capacity own no pool while
#: the larger ones are available.
MIN_CAPACITY_SHARE = 0.5
#: Processor time and transferred data of a job at the owner of its pool.
JOB_CPU_MS = 5.0
JOB_KBIT = 34.0


def jobs_per_s(cores: float, link_mbps: float) -> float:
    """Return how many jobs a host can batch in a second.

    ``cores`` is its processor time relative to one core.
    """
    by_cpu = cores * 1_000 / JOB_CPU_MS
    by_link = link_mbps * 1_000 / JOB_KBIT
    return min(by_cpu, by_link)


class Owners:
    """The hosts that may own pools."""

    def __init__(
        self,
        self_id: hosts.HostId,
        members_: memberships.Membership,
        cut_off: hand_over.CutOffHosts,
    ) -> None:
        self._self_id = self_id
        self._members = members_
        self._cut_off = cut_off
        self._registered: dict[str, members.HostEntry] = {}
        self._suspended_until_ms: dict[str, int] = {}
        self._suspensions_ms: dict[str, int] = {}
        self.is_stopping = False

    @property
    def is_leaving(self) -> bool:
        """Return whether this host is to own no pool."""
        return self.is_stopping or self._self_id.name in self._cut_off

    def set_registered(
        self, entries: typing.Iterable[members.HostEntry]
    ) -> None:
        """Set the hosts that are registered in the store.

        Without them, a host that has just started would consider itself
        the owner of every pool until it has exchanged messages with the
        others.
        """
        self._registered = {entry.name: entry for entry in entries}

    def owner_of(self, pool: str, now_ms: int) -> str:
        """Return the host that batches the calls of ``pool``."""
        names = self.candidates()
        available = [
            name
            for name in names
            if now_ms >= self._suspended_until_ms.get(name, 0)
            and not (self.is_leaving and name == self._self_id.name)
        ]
        reaching = self._cut_off.reaching(available)
        large = self._with_large_capacity(reaching)
        return rendezvous.first(pool, large) or self._self_id.name

    def _with_large_capacity(self, names: list[str]) -> list[str]:
        capacities = {
            name: entry.jobs_per_s if entry is not None else 0.0
            for name in names
            for entry in (self._registered.get(name),)
        }
        limit = MIN_CAPACITY_SHARE * max(capacities.values(), default=0.0)
        return [name for name in names if capacities[name] >= limit]

    def candidates(self) -> dict[str, str]:
        """Return the addresses of hosts that may own a pool, by name."""
        records = self._members.table.records
        registered_only = {
            name: entry.address
            for name, entry in self._registered.items()
            if records.get(name) is None
        }
        live = {m.host.name: m.address for m in self._members.live()}
        return registered_only | live

    def record_reply(self, name: str) -> None:
        """Record a reply of a host, which ends its series of failures."""
        self._suspensions_ms.pop(name, None)

    def suspend(self, name: str, now_ms: int) -> None:
        """Skip a host that did not reply, longer each time in a row.

        Further messages that were under way to it count as the same failure.
        """
        if now_ms < self._suspended_until_ms.get(name, 0):
            return
        pause_ms = self._suspensions_ms.get(name, OWNER_SUSPENSION_MS)
        self._suspended_until_ms[name] = now_ms + pause_ms
        self._suspensions_ms[name] = min(MAX_OWNER_SUSPENSION_MS, 2 * pause_ms)

    def skip(self, name: str, now_ms: int) -> None:
        """Skip a host that returns its jobs, for a fixed time."""
        self._suspended_until_ms[name] = now_ms + OWNER_SUSPENSION_MS
