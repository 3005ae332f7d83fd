"""Hand-over of callers' requests by a host that reaches no target.

Hosts that are cut off tell the others. Such a host sends its callers'
requests to one that is not, as to a target, and relays the response. A
request is handed over once: the host that takes it sends it to targets or
refuses it. Hosts that are cut off do no work for others either.
"""

import random as randoms
import typing

from godwitglade.common import clock as clocks
from godwitglade.coordination import effects as shared_effects
from godwitglade.coordination import members
from godwitglade.coordination import membership as memberships
from godwitglade.coordination import messages as shared_messages
from godwitglade.routing import home_regions
from godwitglade.routing import targets

Effects = list[typing.Any]

FACT_KIND = 'cut_off'
#: A host tells the others at this interval that it is cut off.
REPEAT_MS = 2 * clocks.SECOND_MS
TTL_MS = 6 * clocks.SECOND_MS
#: Requests that a host hands over at a time, over all other hosts.
MAX_HANDED_OVER = 64
MAX_CUT_OFF = 4_096
#: Time for which it is remembered that a host was cut off.
MEMORY_MS = 30 * clocks.SECOND_MS


class CutOffHosts:
    """The hosts that reach no target, as they tell the others."""

    def __init__(self, self_name: str) -> None:
        self._self_name = self_name
        self._names: set[str] = set()
        self._last_ms: dict[str, int] = {}
        self._told_ms: int | None = None

    def __contains__(self, name: str) -> bool:
        return name in self._names

    def was_cut_off_since(self, name: str, since_ms: int) -> bool:
        """Return whether a host was cut off at any time since then."""
        return name in self._names or self._last_ms.get(name, -1) >= since_ms

    def record(
        self, message: shared_messages.FactChanged, now_ms: int
    ) -> bool:
        """Record what a host tells; return if another one is cut off now."""
        name = message.key
        if message.origin != name:
            return False
        if message.value is None:
            if name in self._names:
                self._names.discard(name)
                self._last_ms[name] = now_ms
            return False
        is_new = name not in self._names
        if is_new and len(self._names) < MAX_CUT_OFF:
            self._names.add(name)
            self._forget(now_ms)
        return is_new and name != self._self_name

    def refute(self, message: shared_messages.FactChanged) -> Effects:
        """Refute that this host is cut off, as a late message says.

        A message may be read long after it was sent, by a host that stood
        still, and its time to live starts anew there.
        """
        name = self._self_name
        is_said = message.key == message.origin == name
        if not is_said or message.value is None or self._told_ms is not None:
            return []
        return [
            shared_effects.PublishFact(FACT_KIND, name, None, TTL_MS, True)
        ]

    def _forget(self, now_ms: int) -> None:
        """Drop when hosts that reach targets again were last cut off."""
        self._last_ms = {
            name: last_ms
            for name, last_ms in self._last_ms.items()
            if now_ms - last_ms < MEMORY_MS
        }

    def tell(self, is_cut_off: bool, now_ms: int) -> Effects:
        """Tell the others whether this host is cut off, if that is due."""
        name = self._self_name
        if not is_cut_off:
            if self._told_ms is None:
                return []
            self._told_ms = None
            return [
                shared_effects.PublishFact(FACT_KIND, name, None, TTL_MS, True)
            ]
        if self._told_ms is not None and now_ms - self._told_ms < REPEAT_MS:
            return []
        self._told_ms = now_ms
        return [
            shared_effects.PublishFact(FACT_KIND, name, now_ms, TTL_MS, True)
        ]

    def reaching(self, names: typing.Iterable[str]) -> list[str]:
        """Return the hosts that reach targets, all if none does."""
        all_names = list(names)
        return [n for n in all_names if n not in self._names] or all_names


class HandOver:
    """The hosts to which this one hands requests over."""

    def __init__(
        self,
        self_name: str,
        members_: memberships.Membership,
        cut_off: CutOffHosts,
        random: randoms.Random,
        home: home_regions.HomeRegions | None = None,
    ) -> None:
        self._home = home or home_regions.HomeRegions({})
        self._self_name = self_name
        self._members = members_
        self._cut_off = cut_off
        self._random = random
        self._takers: dict[str, targets.Target] = {}

    def set_registered(
        self, entries: typing.Iterable[members.HostEntry]
    ) -> None:
        """Set the hosts that are registered in the store."""
        listed = {
            entry.name: targets.TargetEntry(
                name_of(entry.name),
                '',
                entry.zone,
                entry.hand_over_address,
                is_host=True,
            )
            for entry in entries
            if entry.hand_over_address and entry.name != self._self_name
        }
        self._takers = {
            name: (
                self._takers[name]
                if name in self._takers and self._takers[name].listed == entry
                else targets.Target(entry)
            )
            for name, entry in listed.items()
        }

    def choose(
        self,
        tried: typing.Collection[str],
        now_ms: int,
        regions: home_regions.Regions = None,
    ) -> targets.Target | None:
        """Return the host to hand a request to, None if there is none.

        Its body is sent to hosts in ``regions`` only.
        """
        handed_over = sum(t.in_flight for t in self._takers.values())
        if handed_over >= MAX_HANDED_OVER:
            return None
        serving = {record.host.name for record in self._members.serving()}
        able = [
            target
            for name, target in self._takers.items()
            if name in serving
            and name not in self._cut_off
            and target.name not in tried
            and self._home.is_home(target.listed.zone, regions)
        ]
        free = [t for t in able if t.is_usable(now_ms)] or able
        if not free:
            return None
        sampled = self._random.sample(free, min(2, len(free)))
        return min(sampled, key=lambda target: target.in_flight)


def name_of(host: str) -> str:
    """Return the name that a host has among the targets of a request."""
    return f'host:{host}'
