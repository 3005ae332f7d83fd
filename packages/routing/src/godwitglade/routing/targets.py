"""Targets as listed by the platform, with the state seen in their responses.

Covers targets that disappear without notice, entries that expire while the
store is unavailable, and names and addresses that are reused.
"""

import collections
import copy
import re
import reprlib
import typing

import attrs

from godwitglade.routing import cold_targets
from godwitglade.routing import home_regions

#: Entries that expired while the store was unavailable are renewed within
#: this time.
LAPSE_GRACE_MS = 2_000
#: Entries may expire in an outage of the store of at least this time: the
#: store drops targets after three missed check-ins, over a second apart.
MIN_LAPSE_OUTAGE_MS = 2_000
#: An entry is listed within this time after its target has started.
ENTRY_LAG_MS = 1_500
#: The transition of a target that started again under its name.
RESTARTED = 'restarted'
#: Targets that have gone, kept for a store that goes back.
MAX_GONE = 1_024
#: A decimal number of requests per second, and the highest that is used.
DECIMAL = re.compile(r'[0-9]{1,12}(\.[0-9]{0,12})?')
#: A number of requests at a target.
COUNT = re.compile('[0-9]{1,9}')
MAX_LIMIT_MILLI_PER_S = 1_000_000_000
#: Pace of a target that works as fast as usual.
USUAL_PACE_PERCENT = 100
#: Paces outside this range are taken as unknown; 70 to 425 were seen.
PACES_PERCENT = range(10, 5_001)
BUSY_STATUS = 503
#: Longest pause that a target can ask for.
MAX_PAUSE_MS = 60_000


@attrs.frozen
class TargetEntry:
    """One target of the list.

    ``name`` is unique to one incarnation of the target unless it restarts
    under its old name; ``started_ms`` (Unix time) then distinguishes them.
    ``sequence`` grows with what it reports of itself. ``version`` is that of
    its software, empty if unknown. With ``is_host`` it is another host, to
    which a request is handed over.
    """

    name: str
    pool: str
    zone: str
    address: str
    slots: int = 1
    is_leaving: bool = False
    warmup_ms: int = 0
    started_ms: int = 0
    sequence: int = 0
    version: str = ''
    is_host: bool = False


@attrs.frozen
class Load:
    """Load that a target reported in a response, None for unknown figures.

    Work takes ``pace_percent`` of its usual time at the target; without
    ``has_pace`` the target does not tell. ``malformed`` is the start of a
    header that is not as it should be, else empty.
    """

    running: int | None
    waiting: int | None
    slots: int | None
    pace_percent: int = USUAL_PACE_PERCENT
    has_pace: bool = attrs.field(default=False, eq=False)
    malformed: str = attrs.field(default='', eq=False)

    @property
    def requests(self) -> int:
        """Return the number of requests at the target, as far as known."""
        return (self.running or 0) + (self.waiting or 0)

    @property
    def is_known(self) -> bool:
        """Return whether any figure but that of the slots could be read."""
        return (
            self.running is not None
            or self.waiting is not None
            or self.pace_percent != USUAL_PACE_PERCENT
        )


@attrs.frozen
class NamedLimit:
    """Limit of the requests that a target takes from all hosts together.

    ``milli_per_s`` is in thousandths of a request per second, None if what
    the target named cannot be read. A limit that ``is_adaptive`` is that of
    the requests that the target may turn away: it takes what it has room for.
    """

    milli_per_s: int | None
    is_adaptive: bool = False


@attrs.frozen
class Notice:
    """What a target says of itself in a response.

    With ``is_leaving`` it wants no further requests; it wants none for
    ``pause_ms``, and few for ``cold_ms`` after a start.
    """

    is_leaving: bool = False
    pause_ms: int = 0
    cold_ms: int = 0


@attrs.define(eq=False)
class Target:
    """A listed target and its state as seen by this host.

    With ``is_replaced`` it has started again since its entry was written.
    As far as it told, it is cold until ``cold_until_ms``.
    """

    listed: TargetEntry
    in_flight: int = 0
    load: Load | None = None
    load_ms: int = 0
    has_malformed_load: bool = False
    failures: int = 0
    suspended_until_ms: int = 0
    missing_since_ms: int | None = None
    unverified_until_ms: int = 0
    is_replaced: bool = False
    paused_until_ms: int = 0
    cold_until_ms: int = 0

    @property
    def name(self) -> str:
        """Return the target's name."""
        return self.listed.name

    def is_usable(self, now_ms: int) -> bool:
        """Return whether new work may be sent to the target."""
        return not self.listed.is_leaving and now_ms >= self.suspended_until_ms

    def version(self, now_ms: int) -> str:
        """Return the version of its software, empty if not known now."""
        is_known = not self.is_replaced and now_ms >= self.unverified_until_ms
        return self.listed.version if is_known else ''

    def record_process(self, started_ms: int) -> bool:
        """Record when the process at its address started, 0 if not known.

        Returns whether that is news of another one than that of the entry.
        """
        is_news = self.listed.started_ms < started_ms and not self.is_replaced
        if self.listed.started_ms and is_news:
            self.is_replaced = True
            return True
        return False

    def record_cold(self, remaining_ms: int, now_ms: int) -> None:
        """Record for how long the target is cold, as it tells now."""
        self.cold_until_ms = cold_targets.until_ms(
            self.cold_until_ms, remaining_ms, now_ms
        )

    def record_unreachable(self, now_ms: int) -> None:
        """Distrust the entry until one of a new process would be listed."""
        self.unverified_until_ms = now_ms + ENTRY_LAG_MS


@attrs.frozen
class _Gone:
    entry: TargetEntry
    era: int


class Directory:
    """All known targets."""

    def __init__(self, home: home_regions.HomeRegions | None = None) -> None:
        self._home = home or home_regions.HomeRegions({})
        self._targets: dict[str, Target] = {}
        self._store_returned_ms: int | None = None
        self._gone: collections.OrderedDict[str, _Gone] = (
            collections.OrderedDict()
        )
        self._era = 0
        self.version = 0
        #: Zones to whose targets nothing new is sent.
        self.evacuated: frozenset[str] = frozenset()
        self.names_version = 0

    def __len__(self) -> int:
        return len(self._targets)

    def find(self, name: str) -> Target | None:
        """Return the target called ``name``."""
        return self._targets.get(name)

    def pool(self, name: str) -> list[Target]:
        """Return the targets of a pool, leaving ones included."""
        return [t for t in self._targets.values() if t.listed.pool == name]

    def subset(self, names: typing.Iterable[str]) -> 'Directory':
        """Return a view of some targets, to which the same rules apply.

        Questions about a few targets then take no time for all others.
        """
        view = copy.copy(self)
        view._targets = {
            name: self._targets[name]
            for name in names
            if name in self._targets
        }
        return view

    def all(self) -> list[Target]:
        """Return all known targets."""
        return list(self._targets.values())

    def versions(self, pool: str) -> frozenset[str]:
        """Return the versions of the targets of a pool."""
        return frozenset(t.listed.version for t in self.pool(pool))

    def has_version(self, pool: str, version: str) -> bool:
        """Return whether a target of a version stays, evacuated or not."""
        return bool(self._staying(pool, version))

    def is_open(
        self, target: Target, regions: home_regions.Regions = None
    ) -> bool:
        """Return whether new work of ``regions`` may go to a target's zone."""
        zone = target.listed.zone
        is_home = self._home.is_home(zone, regions)
        return is_home and zone not in self.evacuated

    def can_serve(
        self, pool: str, regions: home_regions.Regions = None
    ) -> bool:
        """Return whether a target of a pool is open and not leaving."""
        return bool(self._serving(pool, None, regions))

    def probed(self) -> list[Target]:
        """Return the targets to probe: open ones while there are any."""
        known = self.all()
        return [t for t in known if self.is_open(t)] or known

    def zones(self) -> set[str]:
        """Return the zones that have targets."""
        return {target.listed.zone for target in self._targets.values()}

    def _serving(
        self,
        pool: str,
        version: str | None,
        regions: home_regions.Regions = None,
    ) -> list[Target]:
        staying = self._staying(pool, version)
        if regions is None and not self.evacuated:
            return staying
        return [target for target in staying if self.is_open(target, regions)]

    def _staying(self, pool: str, version: str | None) -> list[Target]:
        listed = self.pool(pool)
        if version == '' and any(t.listed.version for t in listed):
            # Targets that name no version may have different ones.
            return []
        return [
            target
            for target in listed
            if not target.listed.is_leaving
            and (
                version is None
                or (
                    not target.is_replaced and version == target.listed.version
                )
            )
        ]

    def pause_left_ms(
        self, pool: str, now_ms: int, regions: home_regions.Regions = None
    ) -> int:
        """Return the time until a target of a pool wants requests again.

        It is 0 if one wants them now, or if there is none.
        """
        left = (
            target.paused_until_ms - now_ms
            for target in self._serving(pool, None, regions)
        )
        return max(0, min(left, default=0))

    def usable(
        self,
        pool: str,
        now_ms: int,
        version: str | None = None,
        regions: home_regions.Regions = None,
    ) -> list[Target]:
        """Return the targets of a pool that accept new work.

        With ``version`` only targets of that version are included, with
        ``regions`` only those of zones in these. Suspended
        ones are included only if no other one is left, and those that asked
        for a pause never.
        """
        serving = [
            target
            for target in self._serving(pool, version, regions)
            if now_ms >= target.paused_until_ms
            and (version is None or target.version(now_ms) == version)
        ]
        free = [t for t in serving if t.is_usable(now_ms)]
        return free or serving

    def addresses(self) -> set[str]:
        """Return the addresses of all known targets."""
        return {target.listed.address for target in self._targets.values()}

    def replace(
        self,
        listed: typing.Iterable[TargetEntry],
        version: int,
        now_ms: int,
        outage_ms: int = 0,
        era: int = 0,
    ) -> list['Change']:
        """Apply the complete list as read now; return the changes.

        ``outage_ms`` is how long the store did not answer before this read.
        Entries missing after a long outage may have expired during it, and
        are retained for LAPSE_GRACE_MS.
        """
        if (era, version) < (self._era, self.version):
            return []
        if outage_ms >= MIN_LAPSE_OUTAGE_MS or era > self._era > 0:
            self._store_returned_ms = now_ms
        self._era, self.version = era, version
        entries = {entry.name: entry for entry in listed}
        changes = [
            self._apply_entry(entry, now_ms) for entry in entries.values()
        ]
        missing = [n for n in self._targets if n not in entries]
        changes += [self._remove_missing(name, now_ms) for name in missing]
        return [change for change in changes if change is not None]

    def update(
        self,
        present: typing.Iterable[TargetEntry],
        removed: typing.Iterable[str],
        version: int,
        now_ms: int,
        era: int = 0,
    ) -> list['Change']:
        """Apply changed entries of a newer version; return the changes."""
        if (era, version) < (self._era, self.version):
            return []
        self._era, self.version = era, version
        changes = [self._apply_entry(entry, now_ms) for entry in present]
        changes += [
            self._remove_missing(n, now_ms) for n in removed if self.find(n)
        ]
        return [change for change in changes if change is not None]

    def _apply_entry(self, entry: TargetEntry, now_ms: int) -> 'Change | None':
        if self._is_outdated(entry):
            return None
        target = self._targets.get(entry.name)
        if target is None:
            self._add(entry, now_ms)
            return Change(entry, 'joined')
        if (target.listed.started_ms, target.listed.version) != (
            entry.started_ms,
            entry.version,
        ):
            self._add(entry, now_ms)
            return Change(entry, RESTARTED)
        if (target.listed.sequence, target.listed.warmup_ms) != (
            entry.sequence,
            entry.warmup_ms,
        ):
            # An entry that is read again tells nothing new.
            target.record_cold(entry.warmup_ms, now_ms)
        target.missing_since_ms = None
        if target.listed.is_leaving and not entry.is_leaving:
            # A leaving target does not return in the same incarnation.
            entry = attrs.evolve(entry, is_leaving=True)
        is_newly_leaving = entry.is_leaving and not target.listed.is_leaving
        target.listed = entry
        return Change(entry, 'leaving') if is_newly_leaving else None

    def _add(self, entry: TargetEntry, now_ms: int) -> None:
        target = self._targets[entry.name] = Target(entry)
        self.names_version += 1
        target.record_cold(entry.warmup_ms, now_ms)

    def apply_notice(
        self, target: Target, notice: Notice, now_ms: int
    ) -> list['Change']:
        """Apply what a target says of itself; return the changes."""
        until_ms = now_ms + notice.pause_ms
        target.paused_until_ms = max(target.paused_until_ms, until_ms)
        target.record_cold(notice.cold_ms, now_ms)
        if not notice.is_leaving or target.listed.is_leaving:
            return []
        target.listed = attrs.evolve(target.listed, is_leaving=True)
        is_listed = self.find(target.name) is target
        return [Change(target.listed, 'leaving')] if is_listed else []

    def _is_outdated(self, entry: TargetEntry) -> bool:
        """Return whether an entry is one that the store went back to.

        A target that had gone before is used only if it has reported since.
        """
        gone = self._gone.get(entry.name)
        return (
            gone is not None
            and self._era > gone.era
            and entry.started_ms == gone.entry.started_ms
            and entry.sequence <= gone.entry.sequence
        )

    def _record_gone(self, entry: TargetEntry) -> None:
        self._gone[entry.name] = _Gone(entry, self._era)
        self._gone.move_to_end(entry.name)
        if len(self._gone) > MAX_GONE:
            self._gone.popitem(last=False)

    def _remove_missing(self, name: str, now_ms: int) -> 'Change | None':
        target = self._targets[name]
        may_have_lapsed = (
            self._store_returned_ms is not None
            and now_ms - self._store_returned_ms < LAPSE_GRACE_MS
            and not target.listed.is_leaving
        )
        if may_have_lapsed:
            target.missing_since_ms = target.missing_since_ms or now_ms
            return None
        del self._targets[name]
        self.names_version += 1
        self._record_gone(target.listed)
        return Change(target.listed, 'gone')

    def remove_expired(self, now_ms: int) -> list['Change']:
        """Remove entries still missing when their grace period ends."""
        expired = [
            name
            for name, target in self._targets.items()
            if target.missing_since_ms is not None
            and now_ms - target.missing_since_ms >= LAPSE_GRACE_MS
        ]
        removed = [self._targets.pop(name).listed for name in expired]
        for entry in removed:
            self.names_version += 1
            self._record_gone(entry)
        return [Change(entry, 'gone') for entry in removed]


@attrs.frozen
class Change:
    """A target joined, restarted, is leaving, or is gone."""

    listed: TargetEntry
    transition: str


def parse_limit(
    value: str | None, brittle: str | None = None
) -> NamedLimit | None:
    """Return the limit that a target names in a response, None for none.

    ``brittle`` is how many requests it may turn away in a second.
    """
    if value is None:
        if brittle is None:
            return None
        return attrs.evolve(parse_limit(brittle), is_adaptive=True)
    if not DECIMAL.fullmatch(value.strip()):
        return NamedLimit(None)
    milli_per_s = int(float(value) * 1_000)
    return NamedLimit(min(milli_per_s, MAX_LIMIT_MILLI_PER_S))


def parse_notice(
    status: int,
    leaving: str | None,
    retry_after_s: str | None,
    cold_ms: str | None = None,
) -> Notice:
    """Return what a target says of itself in a response of ``status``.

    Only a target that turns a request away asks for a pause.
    """
    is_leaving = (leaving or '').strip() == '1'
    text = (retry_after_s or '').strip()
    pause_ms = 0
    if status == BUSY_STATUS and DECIMAL.fullmatch(text):
        pause_ms = min(int(float(text) * 1_000), MAX_PAUSE_MS)
    text = (cold_ms or '').strip()
    is_cold = COUNT.fullmatch(text) is not None
    return Notice(
        is_leaving, pause_ms, min(int(text), MAX_PAUSE_MS) if is_cold else 0
    )


def parse_load(value: str | None) -> Load | None:
    """Return the load that a target reports, None if it reports none.

    Targets report three or four figures. Those that cannot be read, and a
    pace outside of `PACES_PERCENT`, are unknown.
    """
    if value is None:
        return None
    parts = value.split(',', 5)
    figures = [
        int(part) if COUNT.fullmatch(part.strip()) else None for part in parts
    ]
    running, waiting, slots, pace = (figures + 4 * [None])[:4]
    is_pace_valid = pace in PACES_PERCENT
    is_malformed = (
        len(parts) not in (3, 4)
        or None in figures
        or (pace is not None and not is_pace_valid)
    )
    return Load(
        running,
        waiting,
        slots,
        pace if is_pace_valid else USUAL_PACE_PERCENT,
        is_pace_valid,
        reprlib.repr(value) if is_malformed else '',
    )
