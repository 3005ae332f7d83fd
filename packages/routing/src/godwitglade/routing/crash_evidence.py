"""Evidence of what in requests crashes targets.

A trait is what several requests can have in common: a part of their prompts,
or being copies of one request. When the process of a target ends, every
trait of the requests on it is struck by that crash. A request with the trait
that a target completed clears it of the crashes known then, since a harmful
trait crashes every target.

One crash needs one cause only, so the crashes of a trait with more of them
do not count against the others. Where two traits have the same crashes, a
request that has just one of them shows which it is.
"""

import collections
import enum
import itertools
import typing

#: Crashes that nothing else explains, from which on a trait is blocked.
MIN_CRASHES = 3
#: Crashes from which on a trait may be what explains those of another.
MIN_SUSPECT_CRASHES = 2
#: Traits compared with one another, those with most crashes first.
MAX_SUSPECTS = 128


class Verdict(enum.Enum):
    """Whether a request may be sent to a target.

    A ``TRIAL`` may be sent while no other one is under way: the crashes of
    its traits may have another cause.
    """

    FREE = 'free'
    TRIAL = 'trial'
    BLOCKED = 'blocked'


class CrashEvidence:
    """Crashes by trait, as reported by all hosts."""

    def __init__(self) -> None:
        self._reports: dict[str, tuple[str, tuple[str, ...]]] = {}
        self._counts: dict[str, collections.Counter[str]] = {}
        self._cleared: dict[str, dict[str, frozenset[str]]] = {}
        self._suspects: dict[str, frozenset[str]] = {}
        self._blocked: frozenset[str] = frozenset()

    @property
    def blocked(self) -> frozenset[str]:
        """Return the traits that crash targets."""
        return self._blocked

    def add(self, report: str, crash: str, traits: tuple[str, ...]) -> None:
        """Add or replace a report of the traits on a crashed target."""
        self._drop(report)
        self._reports[report] = (crash, traits)
        for trait in traits:
            counts = self._counts.setdefault(trait, collections.Counter())
            counts[crash] += 1
        self._update(traits)

    def remove(self, report: str) -> None:
        """Remove a report, if it exists."""
        self._update(self._drop(report))

    def clear(
        self, trait: str, source: str, crashes: typing.Iterable[str]
    ) -> None:
        """Set the crashes of which a trait is cleared by ``source``."""
        by_source = self._cleared.setdefault(trait, {})
        by_source[source] = frozenset(crashes)
        if not by_source[source]:
            del by_source[source]
        if not by_source:
            del self._cleared[trait]
        self._update((trait,))

    def crashes(self, trait: str) -> frozenset[str]:
        """Return the crashes that strike a trait and are not cleared."""
        counts = self._counts.get(trait)
        if counts is None:
            return frozenset()
        cleared = self._cleared.get(trait, {})
        return frozenset(counts).difference(*cleared.values())

    def verdict(
        self,
        traits: typing.Collection[str],
        served: typing.Container[str] = (),
    ) -> Verdict:
        """Return whether a request with these traits may be sent.

        Traits in ``served`` were on completed requests before and may have
        become suspect by chance only.
        """
        blocking = self._blocked.intersection(traits)
        if not blocking:
            return Verdict.FREE
        elsewhere = _union(
            crashes
            for trait, crashes in self._suspects.items()
            if trait not in traits
        )
        is_explained = all(self._suspects[t] <= elsewhere for t in blocking)
        is_served = all(t in served for t in traits if self.crashes(t))
        return Verdict.TRIAL if is_explained or is_served else Verdict.BLOCKED

    def _drop(self, report: str) -> tuple[str, ...]:
        crash, traits = self._reports.pop(report, ('', ()))
        for trait in traits:
            counts = self._counts[trait]
            counts[crash] -= 1
            if not counts[crash]:
                del counts[crash]
            if not counts:
                del self._counts[trait]
        return traits

    def _update(self, traits: typing.Iterable[str]) -> None:
        """Decide again after the crashes of some traits have changed."""
        for trait in traits:
            crashes = self.crashes(trait)
            self._suspects.pop(trait, None)
            if len(crashes) >= MIN_SUSPECT_CRASHES:
                self._suspects[trait] = crashes
        ranked = sorted(
            self._suspects.items(), key=lambda item: -len(item[1])
        )[:MAX_SUSPECTS]
        blocked = []
        explained: frozenset[str] = frozenset()
        for _, group in itertools.groupby(ranked, lambda item: len(item[1])):
            tied = list(group)
            blocked += [
                trait
                for trait, crashes in tied
                if len(crashes - explained) >= MIN_CRASHES
            ]
            explained |= _union(crashes for _, crashes in tied)
        self._blocked = frozenset(blocked)


def _union(sets: typing.Iterable[frozenset[str]]) -> frozenset[str]:
    return frozenset(itertools.chain.from_iterable(sets))
