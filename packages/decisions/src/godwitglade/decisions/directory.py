"""The targets known to a host, by pool, and whether they accept work."""

import typing

import attrs

from godwitglade.common import clock
from godwitglade.decisions import targets

DAY_MS = clock.DAY_MS

#: In-flight limit of a target before its first load report.
INITIAL_LIMIT = 2.0


@attrs.define(eq=False, slots=True)
class TrackedTarget:
    """A target with this host's view of its load and health.

    ``limit`` bounds the calls that this host has in flight.
    ``peer_ejections_ms`` maps another host to the time at which it
    reported that it ejected the target. ``failures`` counts consecutive
    failed calls. ``overdue_calls`` is a decaying count of calls that took
    far too long. ``slowness`` is the mean ratio of a call's time to its
    stage's usual time, over ``samples`` calls. An ejected target is probed
    from ``probe_at_ms`` on; after that it serves one call at a time on
    trial. ``is_suspect`` means that its open connections are closed once a
    probe on a new connection succeeds.
    """

    target: targets.Target
    in_flight: int = 0
    limit: float = INITIAL_LIMIT
    load: targets.Load | None = None
    load_ms: int = 0
    is_listed: bool = True
    is_listed_leaving: bool = False
    leaving_until_ms: int | None = None
    busy_until_ms: int = 0
    is_ejected: bool = False
    is_on_trial: bool = False
    last_ejected_ms: int = -DAY_MS
    ejection_ms: int = 0
    probe_at_ms: int = 0
    probe_sent_ms: int | None = None
    is_suspect: bool = False
    failures: int = 0
    overdue_calls: float = 0.0
    peer_ejections_ms: dict[str, int] = attrs.Factory(dict)
    slowness: float = 1.0
    samples: int = 0

    @property
    def name(self) -> str:
        """Return the name of the target."""
        return self.target.name

    def has_capacity(self, now_ms: int) -> bool:
        """Tell whether this host may send the target one more call."""
        is_paused = now_ms < self.busy_until_ms
        limit = 1.0 if self.is_on_trial else self.limit
        return not is_paused and self.in_flight < limit

    def is_leaving(self, now_ms: int) -> bool:
        """Tell whether the target is known to accept no new work."""
        if self.is_listed_leaving or not self.is_listed:
            return True
        until_ms = self.leaving_until_ms
        return until_ms is not None and now_ms < until_ms

    def accepts_work(self, now_ms: int) -> bool:
        """Tell whether new work may be sent to the target."""
        return not self.is_leaving(now_ms) and not self.is_ejected


Selection = typing.Callable[[list[TrackedTarget]], list[TrackedTarget]]


@attrs.define(eq=False)
class Directory:
    """Every known target by name and by pool."""

    by_name: dict[str, TrackedTarget] = attrs.Factory(dict)
    _pools: dict[str, list[TrackedTarget]] = attrs.Factory(dict)

    def pool(self, name: str) -> list[TrackedTarget]:
        """Return the targets of a pool, including those that are leaving."""
        return self._pools.get(name, [])

    def pools(self) -> dict[str, list[TrackedTarget]]:
        """Return the targets of each pool that has any."""
        return self._pools

    def narrow(self, choose: Selection) -> None:
        """Reduce each pool to the targets that ``choose`` returns.

        ``by_name`` still holds the targets that are left out.
        """
        for name, pool in self._pools.items():
            working = [t for t in pool if not t.is_listed_leaving]
            self._pools[name] = choose(working) or pool

    def replace(self, listed: tuple[targets.Target, ...]) -> None:
        """Apply a new host list; keep targets with calls in flight."""
        names = {target.name for target in listed}
        for tracked in self.by_name.values():
            tracked.is_listed = tracked.name in names
        for target in listed:
            self._list_target(target)
        self._remove_unlisted()
        self._pools = {}
        for tracked in self.by_name.values():
            self._pools.setdefault(tracked.target.pool, []).append(tracked)

    def record_load(self, name: str, load: targets.Load, now_ms: int) -> None:
        """Record a load report unless a newer one is recorded."""
        tracked = self.by_name.get(name)
        measured_ms = now_ms - load.age_ms
        if tracked is None or measured_ms < tracked.load_ms:
            return
        tracked.load = load
        tracked.load_ms = measured_ms
        if not load.is_leaving:
            tracked.leaving_until_ms = None

    def _list_target(self, target: targets.Target) -> None:
        tracked = self.by_name.get(target.name)
        if tracked is None or tracked.target.address != target.address:
            tracked = TrackedTarget(target)
            self.by_name[target.name] = tracked
        tracked.target = target
        tracked.is_listed_leaving = target.state is targets.TargetState.LEAVING

    def _remove_unlisted(self) -> None:
        self.by_name = {
            name: tracked
            for name, tracked in self.by_name.items()
            if tracked.is_listed or tracked.in_flight
        }
