"""Which host owns a pool, as far as this host can tell.

Answers lost, silent and restarted hosts: one that does not confirm is
passed over, longer each time; one that has just started knows the others
from the store's table before it has met them.
"""

import typing

from godwitglade.coordination import hosts
from godwitglade.coordination import members
from godwitglade.coordination import membership as memberships
from godwitglade.routing import ownership

#: An owner that failed to confirm is passed over for this time, twice as
#: long each time in a row.
DISTRUST_MS = 1_500
LONGEST_DISTRUST_MS = 24_000


class Owners:
    """The hosts that may own pools."""

    def __init__(
        self, self_id: hosts.HostId, members_: memberships.Membership
    ) -> None:
        self._self_id = self_id
        self._members = members_
        self._listed: dict[str, str] = {}
        self._distrusted_ms: dict[str, int] = {}
        self._pauses_ms: dict[str, int] = {}
        self.is_leaving = False

    def listed(self, entries: typing.Iterable[members.HostEntry]) -> None:
        """Take in the hosts that are registered, met or not.

        A host that has just started would else take itself for the owner
        of every pool until it has met the others.
        """
        self._listed = {entry.name: entry.address for entry in entries}

    def owner_of(self, pool: str, now_ms: int) -> str:
        """Return the host that forms the calls of ``pool``."""
        names = self.candidates()
        trusted = [
            name
            for name in names
            if now_ms >= self._distrusted_ms.get(name, 0)
            and not (self.is_leaving and name == self._self_id.name)
        ]
        order = ownership.rank(pool, trusted)
        return order[0] if order else self._self_id.name

    def candidates(self) -> dict[str, str]:
        """Return the addresses of hosts that may own a pool, by name."""
        met = self._members.table.records
        strangers = {
            name: address
            for name, address in self._listed.items()
            if met.get(name) is None
        }
        live = {m.host.name: m.address for m in self._members.live()}
        return strangers | live

    def confirmed(self, name: str) -> None:
        """Note that a host answers."""
        self._pauses_ms.pop(name, None)

    def distrust(self, name: str, now_ms: int) -> None:
        """Pass a host over for a while that did not answer."""
        pause_ms = self._pauses_ms.get(name, DISTRUST_MS)
        self._distrusted_ms[name] = now_ms + pause_ms
        self._pauses_ms[name] = min(LONGEST_DISTRUST_MS, 2 * pause_ms)

    def pass_over(self, name: str, now_ms: int) -> None:
        """Pass a host over that hands its jobs on."""
        self._distrusted_ms[name] = now_ms + DISTRUST_MS
