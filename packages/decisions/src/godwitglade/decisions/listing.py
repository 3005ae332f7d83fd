"""Reads the platform's host list by zone, as often as its use asks for.

Targets of the own zone are read often, those of zones to spill into seldom,
hosts of this system rarely, since membership learns of them from peers. The
list is read whole when no zones to spill into are named.
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

OWN_ZONE_MS = 2 * clock.SECOND_MS
SPILL_ZONE_MS = 10 * clock.SECOND_MS
ENTRY_HOSTS_MS = 5 * clock.MINUTE_MS
#: Entry hosts are read this often until one was found.
ALONE_MS = 5 * clock.SECOND_MS
ENTRY_ROLE = 'entry'
TARGET_ROLE = 'target'


@attrs.define
class _Reading:
    query: effects.ReadHostList
    interval_ms: int
    listed: tuple[targets.Target, ...] = ()
    entries: tuple[members.HostEntry, ...] = ()


class Listing:
    """Keeps the host list of the zones that this host uses."""

    def __init__(
        self,
        zone: str,
        spill_zones: tuple[str, ...],
        random: randoms.Random,
    ) -> None:
        self._random = random
        self._readings = {
            f'listing:{number}': reading
            for number, reading in enumerate(_plan(zone, spill_zones))
        }

    def start(self, now_ms: int) -> Effects:
        """Read everything once and start the timers."""
        return [
            effect
            for token in self._readings
            for effect in self._read(token, now_ms)
        ]

    def handle(self, message: typing.Any, now_ms: int) -> Effects:
        """Take in a message; those of other parts are ignored."""
        if isinstance(message, shared_messages.TimerFired):
            return self._read(message.token, now_ms)
        if isinstance(message, messages.HostListRead):
            return self._take(message)
        return []

    def _read(self, token: str, now_ms: int) -> Effects:
        reading = self._readings[token]
        interval_ms = reading.interval_ms
        if reading.query.role == ENTRY_ROLE and not reading.entries:
            interval_ms = ALONE_MS
        jitter_ms = self._random.randrange(interval_ms // 5)
        due_ms = now_ms + interval_ms - jitter_ms
        return [reading.query, shared_effects.StartTimer(token, due_ms)]

    def _take(self, message: messages.HostListRead) -> Effects:
        for reading in self._readings.values():
            if reading.query == message.query:
                reading.listed = message.targets
                reading.entries = message.entries
        entries = messages.EntryHostsListed(message.entries)
        listed = messages.TargetsListed(self._all_targets())
        return [shared_effects.Deliver(m) for m in (entries, listed)]

    def _all_targets(self) -> tuple[targets.Target, ...]:
        # A service that does not narrow gives a target in several readings.
        found = {
            target.name: target
            for reading in self._readings.values()
            for target in reading.listed
        }
        return tuple(found.values())


def _plan(zone: str, spill_zones: tuple[str, ...]) -> list[_Reading]:
    if not spill_zones:
        return [_Reading(effects.ReadHostList(), OWN_ZONE_MS)]
    spill = [
        _Reading(effects.ReadHostList(name, TARGET_ROLE), SPILL_ZONE_MS)
        for name in spill_zones
        if name != zone
    ]
    own = _Reading(effects.ReadHostList(zone, TARGET_ROLE), OWN_ZONE_MS)
    entries = effects.ReadHostList('', ENTRY_ROLE)
    return [*spill, _Reading(entries, ENTRY_HOSTS_MS), own]
