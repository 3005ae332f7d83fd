"""Software versions that the targets of each pool have, or had lately.

A stream can outlive the targets of its version by the time that its caller
waits, so a version is remembered for longer than that.
"""

import typing

from godwitglade.common import clock as clocks

#: A version is remembered for this time after its last target has gone.
KEPT_MS = clocks.MINUTE_MS
MAX_VERSIONS = 32
MAX_POOLS = 1_024


class PoolVersions:
    """The versions known to this host, by pool.

    ``is_complete`` means that this host has also read what the hosts knew
    before it started. ``confirmed_ms`` is the start of the last read of the
    list of targets from the store. What this host knew before
    ``awake_since_ms`` may be outdated, since it did not run until then.
    """

    def __init__(self) -> None:
        self._listed: dict[str, frozenset[str]] = {}
        self._past_ms: dict[str, dict[str, int]] = {}
        self.is_complete = False
        self.confirmed_ms: int | None = None
        self.awake_since_ms: int | None = None

    def confirm(self, read_from_ms: int | None) -> None:
        """Record that a read that started then returned the list."""
        if read_from_ms is not None:
            self.confirmed_ms = max(self.confirmed_ms or 0, read_from_ms)

    @property
    def is_list_current(self) -> bool:
        """Return whether the list was read since this host stood still."""
        awake_ms = self.awake_since_ms
        return awake_ms is None or self.is_confirmed_since(awake_ms)

    def is_confirmed_since(self, ms: int) -> bool:
        """Return whether the list was read after a time."""
        return self.confirmed_ms is not None and self.confirmed_ms >= ms

    def set_listed(
        self, pool: str, versions: frozenset[str], now_ms: int
    ) -> None:
        """Set the versions of the listed targets of a pool."""
        for version in self._listed.get(pool, frozenset()) - versions:
            self._remember(pool, version, now_ms)
        self._listed[pool] = versions

    def record(
        self, pool: str, version: str, now_ms: int, age_ms: int = 0
    ) -> None:
        """Record a version of which another host has told.

        It was listed or seen there ``age_ms`` ago.
        """
        if version not in self._listed.get(pool, ()):
            known_ms = self._past_ms.get(pool, {}).get(version)
            seen_ms = now_ms - age_ms
            if known_ms is None or known_ms < seen_ms:
                self._remember(pool, version, seen_ms)

    def ages_ms(
        self, pool: str, versions: typing.Iterable[str], now_ms: int
    ) -> tuple[int, ...]:
        """Return how long ago each version of a pool was listed or seen."""
        listed = self._listed.get(pool, frozenset())
        past = self._past_ms.get(pool, {})
        return tuple(
            0 if version in listed else max(0, now_ms - past[version])
            for version in versions
        )

    def known(self, pool: str, now_ms: int) -> frozenset[str]:
        """Return the versions that the targets of a pool have or had."""
        past = self._past_ms.get(pool)
        listed = self._listed.get(pool, frozenset())
        if not past:
            return listed
        return listed.union(
            version for version, ms in past.items() if now_ms - ms < KEPT_MS
        )

    def is_mixed(self, pools: typing.Iterable[str], now_ms: int) -> bool:
        """Return whether the pools have or had more than one version."""
        return len(self.known_of(pools, now_ms)) > 1

    def known_of(
        self, pools: typing.Iterable[str], now_ms: int
    ) -> frozenset[str]:
        """Return the versions that targets of any of the pools have or had."""
        return frozenset().union(*(self.known(p, now_ms) for p in pools))

    def mixed(self, now_ms: int) -> dict[str, tuple[str, ...]]:
        """Return the versions of each pool that has or had several."""
        known = {
            pool: self.known(pool, now_ms)
            for pool in self._listed.keys() | self._past_ms.keys()
        }
        return {
            pool: tuple(sorted(versions))
            for pool, versions in sorted(known.items())
            if len(versions) > 1
        }

    def maintain(self, now_ms: int) -> None:
        """Forget versions whose last target has gone long ago."""
        self._past_ms = {
            pool: kept
            for pool, past in self._past_ms.items()
            if (
                kept := {v: t for v, t in past.items() if now_ms - t < KEPT_MS}
            )
        }

    def _remember(self, pool: str, version: str, now_ms: int) -> None:
        if pool not in self._past_ms and len(self._past_ms) >= MAX_POOLS:
            return
        past = self._past_ms.setdefault(pool, {})
        past.pop(version, None)
        past[version] = now_ms
        if len(past) > MAX_VERSIONS:
            del past[next(iter(past))]
