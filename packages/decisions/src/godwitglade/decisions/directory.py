"""The targets that a host knows, by pool, and whether they take work."""

import typing

import attrs

from godwitglade.common import clock
from godwitglade.decisions import targets

DAY_MS = clock.DAY_MS

#: In-flight limit of a target before anything was measured.
INITIAL_LIMIT = 2.0


@attrs.define(eq=False, slots=True)
class TrackedTarget:
    """A target with what this host knows of it.

    ``limit`` bounds this host's own calls in flight. ``told_out`` is when
    other hosts said that they ejected it. ``failures`` counts calls that
    failed one after another, ``overdue`` recent calls that took far too
    long; ``slowness`` is the mean of ``samples`` times over what their
    stage usually takes. While ejected, the target is probed from
    ``probe_at_ms`` on, and then takes one call at a time on trial.
    ``is_suspect`` asks for its open connections to be dropped once a probe
    on a new one succeeds.
    """

    target: targets.Target
    in_flight: int = 0
    limit: float = INITIAL_LIMIT
    load: targets.Load | None = None
    load_ms: int = 0
    is_listed: bool = True
    is_listed_leaving: bool = False
    told_leaving_until_ms: int | None = None
    busy_until_ms: int = 0
    is_ejected: bool = False
    is_on_trial: bool = False
    last_ejected_ms: int = -DAY_MS
    out_ms: int = 0
    probe_at_ms: int = 0
    probe_sent_ms: int | None = None
    is_suspect: bool = False
    failures: int = 0
    overdue: float = 0.0
    told_out: dict[str, int] = attrs.Factory(dict)
    slowness: float = 1.0
    samples: int = 0

    @property
    def name(self) -> str:
        """Return the target's name."""
        return self.target.name

    def has_room(self, now_ms: int) -> bool:
        """Tell whether this host may have one more call in flight."""
        is_paused = now_ms < self.busy_until_ms
        limit = 1.0 if self.is_on_trial else self.limit
        return not is_paused and self.in_flight < limit

    def is_leaving(self, now_ms: int) -> bool:
        """Tell whether any sign says that the target takes no new work."""
        if self.is_listed_leaving or not self.is_listed:
            return True
        until_ms = self.told_leaving_until_ms
        return until_ms is not None and now_ms < until_ms

    def takes_work(self, now_ms: int) -> bool:
        """Tell whether new work may go to the target."""
        return not self.is_leaving(now_ms) and not self.is_ejected


Narrowing = typing.Callable[[list[TrackedTarget]], list[TrackedTarget]]


@attrs.define(eq=False)
class Directory:
    """Every known target by name and by pool."""

    by_name: dict[str, TrackedTarget] = attrs.Factory(dict)
    _pools: dict[str, list[TrackedTarget]] = attrs.Factory(dict)

    def pool(self, name: str) -> list[TrackedTarget]:
        """Return the targets of a pool, leaving ones included."""
        return self._pools.get(name, [])

    def pools(self) -> dict[str, list[TrackedTarget]]:
        """Return every pool that has targets."""
        return self._pools

    def narrow(self, choose: Narrowing) -> None:
        """Keep of each pool only the targets that ``choose`` returns.

        Targets with calls in flight stay known by name.
        """
        for name, pool in self._pools.items():
            working = [t for t in pool if not t.is_listed_leaving]
            self._pools[name] = choose(working) or pool

    def replace(self, listed: tuple[targets.Target, ...]) -> None:
        """Take a new host list; targets with calls in flight stay known."""
        names = {target.name for target in listed}
        for tracked in self.by_name.values():
            tracked.is_listed = tracked.name in names
        for target in listed:
            self._take(target)
        self._forget_gone()
        self._pools = {}
        for tracked in self.by_name.values():
            self._pools.setdefault(tracked.target.pool, []).append(tracked)

    def tell_load(self, name: str, load: targets.Load, now_ms: int) -> None:
        """Record a load that a target reported."""
        tracked = self.by_name.get(name)
        measured_ms = now_ms - load.age_ms
        if tracked is None or measured_ms < tracked.load_ms:
            return
        tracked.load = load
        tracked.load_ms = measured_ms
        if not load.is_leaving:
            tracked.told_leaving_until_ms = None

    def _take(self, target: targets.Target) -> None:
        tracked = self.by_name.get(target.name)
        if tracked is None or tracked.target.address != target.address:
            tracked = TrackedTarget(target)
            self.by_name[target.name] = tracked
        tracked.target = target
        tracked.is_listed_leaving = target.state is targets.TargetState.LEAVING

    def _forget_gone(self) -> None:
        self.by_name = {
            name: tracked
            for name, tracked in self.by_name.items()
            if tracked.is_listed or tracked.in_flight
        }
