"""The list of targets with its latest changes, as one host knows it."""

import collections
import itertools
import typing

from godwitglade.routing import targets

#: Changes after which the oldest are forgotten; a host that lags further
#: behind gets the whole list.
MAX_CHANGES = 512
#: Entries of a list that is accepted from another host.
MAX_ENTRIES = 20_000

Changes = tuple[bool, tuple[targets.TargetEntry, ...], tuple[str, ...]]


class TargetLog:
    """The newest list, and which entries changed at which version.

    In each ``era`` the store has gone back to an older state, and versions
    are given out again.
    """

    def __init__(self) -> None:
        self._entries: dict[str, targets.TargetEntry] = {}
        self._changes: collections.deque[tuple[int, frozenset[str]]] = (
            collections.deque()
        )
        self._oldest_version = 0
        self.version = 0
        self.era = 0
        self.is_known = False

    def replace(
        self,
        listed: typing.Iterable[targets.TargetEntry],
        version: int,
        era: int,
    ) -> None:
        """Record the whole list as of a version."""
        if self.is_known and (era, version) < (self.era, self.version):
            return
        entries = {entry.name: entry for entry in listed}
        if not self.is_known or era != self.era:
            self._changes.clear()
            self._oldest_version = version
        else:
            names = self._entries.keys() | entries.keys()
            self._record(
                {
                    name
                    for name in names
                    if self._entries.get(name) != entries.get(name)
                },
                version,
            )
        self._entries, self.version, self.era = entries, version, era
        self.is_known = True

    def update(
        self,
        present: typing.Iterable[targets.TargetEntry],
        removed: typing.Iterable[str],
        version: int,
        era: int,
    ) -> None:
        """Record changes up to a version of the list that is known."""
        if era != self.era or version < self.version:
            return
        changed = {entry.name: entry for entry in present}
        self._entries |= changed
        gone = set(removed) - changed.keys()
        for name in gone:
            self._entries.pop(name, None)
        self._record(changed.keys() | gone, version)
        self.version = version

    def since(self, version: int, era: int) -> Changes:
        """Return whether the list is whole, its entries, and names gone."""
        if era != self.era or version < self._oldest_version:
            return True, tuple(self._entries.values()), ()
        names = set(
            itertools.chain.from_iterable(
                changed for at, changed in self._changes if at > version
            )
        )
        present = tuple(
            self._entries[name] for name in sorted(names & set(self._entries))
        )
        return False, present, tuple(sorted(names - set(self._entries)))

    def _record(self, names: typing.Iterable[str], version: int) -> None:
        changed = frozenset(names)
        if changed:
            self._changes.append((version, changed))
        while len(self._changes) > MAX_CHANGES:
            self._oldest_version = self._changes.popleft()[0]
