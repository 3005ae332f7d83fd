"""Fingerprints of requests that crash targets.

A target that crashes strikes every request that ran on it. A struck request
is a suspect: one host at a time runs it again, and suspects of the same
crash never share a target until each has run longer than it had when the
target crashed. So a second crash points at one request, which is
quarantined; the others were cleared before or never were on that target.
A second crash after quite another time is taken for a coincidence.
"""

import typing

import attrs

#: A suspect is cleared after running this many times longer than before.
CLEAR_FACTOR = 1.5
CLEAR_MARGIN_MS = 200
#: Two crashes are alike when the times run differ by no more than this.
ALIKE_FACTOR = 1.1
ALIKE_MARGIN_MS = 50


@attrs.frozen
class Strike:
    """A crash of a target while a request ran on it for ``ran_ms``.

    ``is_held`` says that ``host`` runs the request again or will.
    """

    target: str
    pool: str
    ran_ms: int
    host: str
    is_held: bool = True


@attrs.frozen
class Entry:
    """A quarantined fingerprint, for operators."""

    fingerprint: str
    reason: str
    ends_in_ms: int
    pipeline: str


@attrs.frozen
class _Sentence:
    pipeline: str
    reason: str
    until_ms: int


@attrs.define(eq=False)
class Quarantine:
    """Suspects and quarantined fingerprints known to one host.

    Strikes are kept by fingerprint and by the host that told them.
    """

    _strikes: dict[str, dict[str, Strike]] = attrs.Factory(dict)
    _sentences: dict[str, _Sentence] = attrs.Factory(dict)

    def strikes(self, fingerprint: str) -> tuple[Strike, ...]:
        """Return the strikes that a request has."""
        return tuple(self._strikes.get(fingerprint, {}).values())

    def holder(self, fingerprint: str) -> str | None:
        """Return the host that runs a suspect, None for no host."""
        held = (s.host for s in self.strikes(fingerprint) if s.is_held)
        return min(held, default=None)

    def add(self, fingerprint: str, origin: str, strike: Strike) -> None:
        """Note a strike that ``origin`` told."""
        self._strikes.setdefault(fingerprint, {})[origin] = strike

    def clear(self, fingerprint: str, origin: str | None = None) -> None:
        """Forget the strikes of one host, or all of a request."""
        if origin is None:
            self._strikes.pop(fingerprint, None)
            return
        told = self._strikes.get(fingerprint, {})
        told.pop(origin, None)
        if not told:
            self._strikes.pop(fingerprint, None)

    def condemn(
        self, fingerprint: str, pipeline: str, reason: str, until_ms: int
    ) -> None:
        """Quarantine a request until ``until_ms``."""
        self._sentences[fingerprint] = _Sentence(pipeline, reason, until_ms)
        self.clear(fingerprint)

    def lift(self, fingerprint: str) -> None:
        """End a quarantine and forget the strikes."""
        self._sentences.pop(fingerprint, None)
        self.clear(fingerprint)

    def ends_in_ms(self, fingerprint: str, now_ms: int) -> int:
        """Return how long a request stays quarantined, 0 if it is not."""
        sentence = self._sentences.get(fingerprint)
        if sentence is None:
            return 0
        if now_ms >= sentence.until_ms:
            del self._sentences[fingerprint]
            return 0
        return sentence.until_ms - now_ms

    def entries(self, now_ms: int) -> tuple[Entry, ...]:
        """Return what is quarantined, by fingerprint."""
        return tuple(
            Entry(
                fingerprint,
                sentence.reason,
                sentence.until_ms - now_ms,
                sentence.pipeline,
            )
            for fingerprint, sentence in sorted(self._sentences.items())
            if now_ms < sentence.until_ms
        )

    def lane(
        self, fingerprint: str, names: list[str]
    ) -> tuple[str, bool] | None:
        """Return the target for a suspect and whether its turn has come.

        Suspects are ordered by the time that they had run before the
        crash, the shortest first, and dealt out to ``names`` in turn: every
        host that knows the same strikes finds the same order.
        """
        struck = {s.target for s in self.strikes(fingerprint)}
        usable = sorted(name for name in names if name not in struck)
        if not usable:
            return None
        order = sorted(
            (min(s.ran_ms for s in told.values()), other)
            for other, told in self._strikes.items()
            if other == fingerprint or self._shares(told, struck)
        )
        place = [other for _, other in order].index(fingerprint)
        lane = place % len(usable)
        before = [other for _, other in order[lane : place : len(usable)]]
        is_due = not any(map(self.holder, before))
        return usable[lane], is_due

    def _shares(self, told: dict[str, Strike], struck: set[str]) -> typing.Any:
        return any(strike.target in struck for strike in told.values())


def is_alike(strike: Strike, target: str, ran_ms: int) -> bool:
    """Tell whether a second crash came after as long as the first.

    A request that crashes targets does so at about the same point; one that
    was on two failing targets by chance seldom had run as long on both.
    """
    if strike.target == target:
        return False
    shorter, longer = sorted((strike.ran_ms, ran_ms))
    return longer <= max(ALIKE_FACTOR * shorter, shorter + ALIKE_MARGIN_MS)


def clears_after_ms(strikes: tuple[Strike, ...]) -> float:
    """Return how long a suspect must run to be cleared."""
    longest_ms = max((s.ran_ms for s in strikes), default=0)
    return CLEAR_FACTOR * longest_ms + CLEAR_MARGIN_MS
