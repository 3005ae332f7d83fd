"""Reads the platform's host list by zone, each zone at its own interval.

Targets of the host's own zone are read most often, then those of the zones
to spill into. Hosts of this system are read least often, since membership
receives them from peers. Without zones to spill into, the whole list is
read at once.
"""

import random as randoms
import typing

import attrs

from godwitglade.common import clock
from godwitglade.coordination import effects as shared_effects
from godwitglade.coordination import members
from godwitglade.coordination import messages as shared_messages
from godwitglade.decisions import effects
from godwitglade.decisions import messages
from godwitglade.decisions import targets

Effects = list[typing.Any]

OWN_ZONE_INTERVAL_MS = 2 * clock.SECOND_MS
SPILL_ZONE_INTERVAL_MS = 10 * clock.SECOND_MS
ENTRY_HOSTS_INTERVAL_MS = 5 * clock.MINUTE_MS
#: Interval until the list contains an entry host.
NO_ENTRY_HOSTS_INTERVAL_MS = 5 * clock.SECOND_MS
ENTRY_ROLE = 'entry'
TARGET_ROLE = 'target'


@attrs.define
class _PeriodicRead:
    query: effects.ReadHostList
    interval_ms: int
    listed: tuple[targets.Target, ...] = ()
    entries: tuple[members.HostEntry, ...] = ()


class HostListReader:
    """Reads the host list of the zones that this host uses."""

    def __init__(
        self,
        zone: str,
        spill_zones: tuple[str, ...],
        random: randoms.Random,
    ) -> None:
        self._random = random
        self._reads = {
            f'listing:{number}': periodic
            for number, periodic in enumerate(_plan_reads(zone, spill_zones))
        }

    def start(self, now_ms: int) -> Effects:
        """Read each part of the list once and start the timers."""
        return [
            effect
            for token in self._reads
            for effect in self._read(token, now_ms)
        ]

    def handle(self, message: typing.Any, now_ms: int) -> Effects:
        """Handle a message; ignore those for other components."""
        if isinstance(message, shared_messages.TimerFired):
            return self._read(message.token, now_ms)
        if isinstance(message, messages.HostListRead):
            return self._apply(message)
        return []

    def _read(self, token: str, now_ms: int) -> Effects:
        periodic = self._reads[token]
        interval_ms = periodic.interval_ms
        if periodic.query.role == ENTRY_ROLE and not periodic.entries:
            interval_ms = NO_ENTRY_HOSTS_INTERVAL_MS
        jitter_ms = self._random.randrange(interval_ms // 5)
        due_ms = now_ms + interval_ms - jitter_ms
        return [periodic.query, shared_effects.StartTimer(token, due_ms)]

    def _apply(self, message: messages.HostListRead) -> Effects:
        for periodic in self._reads.values():
            if periodic.query == message.query:
                periodic.listed = message.targets
                periodic.entries = message.entries
        entries = messages.EntryHostsListed(message.entries)
        listed = messages.TargetsListed(self._all_targets())
        return [shared_effects.Deliver(m) for m in (entries, listed)]

    def _all_targets(self) -> tuple[targets.Target, ...]:
        # A service that ignores the filters lists a target in several reads.
        by_name = {
            target.name: target
            for periodic in self._reads.values()
            for target in periodic.listed
        }
        return tuple(by_name.values())


def _plan_reads(
    zone: str, spill_zones: tuple[str, ...]
) -> list[_PeriodicRead]:
    if not spill_zones:
        return [_PeriodicRead(effects.ReadHostList(), OWN_ZONE_INTERVAL_MS)]
    spill = [
        _PeriodicRead(
            effects.ReadHostList(name, TARGET_ROLE), SPILL_ZONE_INTERVAL_MS
        )
        for name in spill_zones
        if name != zone
    ]
    own = _PeriodicRead(
        effects.ReadHostList(zone, TARGET_ROLE), OWN_ZONE_INTERVAL_MS
    )
    entries = effects.ReadHostList('', ENTRY_ROLE)
    return [*spill, _PeriodicRead(entries, ENTRY_HOSTS_INTERVAL_MS), own]
