"""The hosts that may give out permits for cold targets.

Hosts that do not reach each other choose different ones, which do not know
of each other's permits. Each may give out a share of the bound, so there must
not be more of them than shares: a host takes part only while it sees most of
the hosts of its data centre. No two groups of hosts that are cut off from
each other both do, so there is one in each data centre at most.
"""

import typing

from godwitglade.common import clock as clocks
from godwitglade.coordination import members
from godwitglade.coordination import membership as memberships
from godwitglade.routing import hand_over
from godwitglade.routing import rendezvous

#: A host gives no permits for this time after it starts, stood still or lost
#: its majority, or after the host that gave them before has gone. Permits
#: of another host are given for at most a second ahead and end after
#: `cold_targets.WINDOW_MS`, and hosts learn within it who gives them.
TAKEOVER_MS = 3 * clocks.SECOND_MS
STANDSTILL_MS = clocks.SECOND_MS


class PermitHosts:
    """The hosts that give permits, as this one sees them."""

    def __init__(
        self, members_: memberships.Membership, cut_off: hand_over.CutOffHosts
    ) -> None:
        self._members = members_
        self._cut_off = cut_off
        self._names: dict[str, frozenset[str]] = {}
        self._eligible: frozenset[str] = frozenset()
        self._left_ms: dict[str, int] = {}
        self._checked_ms: int | None = None
        self._ready_ms = 0
        # Finding the first of 775 hosts takes 0.6 ms, too long to do it for
        # each request for permits.
        self._first_of: dict[str, bool] = {}

    @property
    def zones(self) -> typing.Collection[str]:
        """Return the data centres of the registered hosts."""
        return self._names.keys()

    def set_registered(
        self, entries: typing.Iterable[members.HostEntry]
    ) -> None:
        """Set the hosts that are registered in the store."""
        names: dict[str, set[str]] = {}
        for entry in entries:
            names.setdefault(entry.zone, set()).add(entry.name)
        self._names = {z: frozenset(listed) for z, listed in names.items()}

    def eligible(self, has_share: typing.Callable[[str], bool]) -> list[str]:
        """Return the hosts of zones with a share that may give permits."""
        hosts_ = [record.host for record in self._members.serving()]
        reaching = set(self._cut_off.reaching(host.name for host in hosts_))
        seen = {host.name for host in hosts_}
        zones = {
            zone
            for zone in {host.zone for host in hosts_}
            if self._is_majority(zone, seen) and has_share(zone)
        }
        return [
            host.name
            for host in hosts_
            if host.name in reaching and host.zone in zones
        ]

    def _is_majority(self, zone: str, seen: set[str]) -> bool:
        """Return whether most hosts of a zone are seen.

        Of two halves the one with the first name counts.
        """
        listed = self._names.get(zone, frozenset())
        twice = 2 * len(listed & seen)
        is_half = bool(listed) and twice == len(listed)
        return twice > len(listed) or (is_half and min(listed) in seen)

    def maintain(self, now_ms: int) -> None:
        """Record which hosts no longer take part."""
        eligible = frozenset(self.eligible(lambda _zone: True))
        own = self._members.table.own.host.name
        last_ms, self._checked_ms = self._checked_ms, now_ms
        has_stood_still = last_ms is None or now_ms - last_ms >= STANDSTILL_MS
        if has_stood_still or own not in eligible:
            self._ready_ms = now_ms + TAKEOVER_MS
        left = dict.fromkeys(self._eligible - eligible, now_ms)
        self._left_ms = {
            name: left_ms
            for name, left_ms in {**self._left_ms, **left}.items()
            if now_ms - left_ms < TAKEOVER_MS
        }
        self._eligible = eligible
        self._first_of.clear()

    def may_give(
        self,
        pool: str,
        has_share: typing.Callable[[str], bool],
        now_ms: int,
    ) -> bool:
        """Return whether this host gives the permits of a pool."""
        own = self._members.table.own.host.name
        is_checked = (
            self._checked_ms is not None
            and now_ms - self._checked_ms < STANDSTILL_MS
        )
        if not is_checked or now_ms < self._ready_ms:
            return False
        if pool not in self._first_of:
            eligible = self.eligible(has_share)
            names = {*eligible, *self._left_ms}
            is_first = rendezvous.first(pool, names) == own
            self._first_of[pool] = is_first and own in eligible
        return self._first_of[pool]
