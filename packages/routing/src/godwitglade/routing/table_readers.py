"""Which hosts of a data centre read the tables of the store for others."""

import typing

import attrs

from godwitglade.common import clock as clocks
from godwitglade.coordination import hosts
from godwitglade.coordination import members
from godwitglade.coordination import membership as memberships
from godwitglade.routing import rendezvous

#: Readers of a data centre, and hosts that replace those that the store
#: turns away.
READERS = 2
SUBSTITUTES = 4
#: A data centre of fewer hosts saves no calls by sharing.
MIN_HOSTS = 5
#: Time for which a reader that did not answer well is passed over.
AVOID_MS = 2 * clocks.SECOND_MS
#: Time after its start within which a host also asks registered hosts that
#: membership does not know yet.
JOINING_MS = 20 * clocks.SECOND_MS


@attrs.frozen
class Role:
    """The part of a host in the sharing of the tables.

    A reader always follows the tables, a substitute while none of the hosts
    before it answers well; then other hosts may ask it (``is_candidate``).
    ``asked`` has the addresses of the hosts that this one may ask, in order.
    """

    is_reader: bool
    is_candidate: bool = False
    asked: typing.Mapping[str, str] = attrs.Factory(dict)


class Readers:
    """Ranks the hosts of the data centre; the first ones are the readers.

    No host asks one that ranks after it, so no two rely on each other.
    """

    def __init__(
        self, self_id: hosts.HostId, membership: memberships.Membership
    ) -> None:
        self._self_id = self_id
        self._members = membership
        self._registered: dict[str, str] = {}
        self._joining_until_ms = 0
        self._avoided_until_ms: dict[str, int] = {}
        self._cached: typing.Any = ((None, None), None)

    def start(self, now_ms: int) -> None:
        """Record when this host has started."""
        self._joining_until_ms = now_ms + JOINING_MS

    def set_registered(
        self, entries: typing.Iterable[members.HostEntry]
    ) -> None:
        """Set the hosts that the store lists."""
        self._registered = {
            entry.name: entry.address
            for entry in entries
            if entry.zone == self._self_id.zone
        }

    def role(self, now_ms: int) -> Role:
        """Return the part of this host; it is kept until hosts change."""
        serving = self._members.serving()
        registered = {}
        if now_ms < self._joining_until_ms:
            registered = self._registered
        (before, kept), role = self._cached
        if role is None or serving is not before or registered != kept:
            role = self._decide(serving, registered)
            self._cached = ((serving, registered), role)
        return role

    def _decide(
        self,
        serving: typing.Iterable[typing.Any],
        registered: dict[str, str],
    ) -> Role:
        zone, self_name = self._self_id.zone, self._self_id.name
        known = registered | {
            record.host.name: record.address
            for record in serving
            if record.host.zone == zone
        }
        if len(known) < MIN_HOSTS:
            return Role(is_reader=True)
        ranked = rendezvous.rank('tables', known)[: READERS + SUBSTITUTES]
        place = ranked.index(self_name) if self_name in ranked else None
        return Role(
            is_reader=place is not None and place < READERS,
            is_candidate=place is not None,
            asked={name: known[name] for name in ranked[:place]},
        )

    def avoid(self, name: str, now_ms: int) -> None:
        """Pass over a host that did not answer well, for a while."""
        self._avoided_until_ms[name] = now_ms + AVOID_MS

    def choose(self, role: Role, now_ms: int) -> str | None:
        """Return the host to ask, None if there is none."""
        usable = [
            name
            for name in role.asked
            if self._avoided_until_ms.get(name, 0) <= now_ms
        ]
        return rendezvous.first(self._self_id.name, usable[:READERS])
