"""Fingerprints of requests that crash targets.

When a target crashes, every request that ran on it receives a strike and
becomes a suspect. One host at a time runs a suspect again, and suspects of
the same crash do not share a target until each has run for longer than it
had when the target crashed. So a second crash identifies one request, which
is quarantined: the others were cleared earlier or did not run on that
target. A second crash after a clearly different time is a coincidence.
"""

import typing

import attrs

#: A suspect is cleared after running this many times longer than before
#: the crash, plus the margin.
CLEAR_FACTOR = 1.5
CLEAR_MARGIN_MS = 200
#: Run times before two crashes are similar if they differ by at most this.
SIMILAR_FACTOR = 1.1
SIMILAR_MARGIN_MS = 50


@attrs.frozen
class Strike:
    """A crash of a target while a request ran on it for ``ran_ms``.

    ``is_held`` means that ``host`` runs the request again or will do so.
    """

    target: str
    pool: str
    ran_ms: int
    host: str
    is_held: bool = True


@attrs.frozen
class Entry:
    """A quarantined fingerprint, as shown to operators."""

    fingerprint: str
    reason: str
    ends_in_ms: int
    pipeline: str


@attrs.frozen
class _Quarantined:
    pipeline: str
    reason: str
    until_ms: int


@attrs.define(eq=False)
class Quarantine:
    """Suspects and quarantined fingerprints known to one host.

    Strikes are stored by fingerprint and by the host that reported them.
    """

    _strikes: dict[str, dict[str, Strike]] = attrs.Factory(dict)
    _quarantined: dict[str, _Quarantined] = attrs.Factory(dict)

    def strikes(self, fingerprint: str) -> tuple[Strike, ...]:
        """Return the strikes of a request."""
        return tuple(self._strikes.get(fingerprint, {}).values())

    def runner(self, fingerprint: str) -> str | None:
        """Return the host that runs a suspect, None if no host does."""
        runners = (s.host for s in self.strikes(fingerprint) if s.is_held)
        return min(runners, default=None)

    def add_strike(
        self, fingerprint: str, origin: str, strike: Strike
    ) -> None:
        """Record a strike that host ``origin`` reported."""
        self._strikes.setdefault(fingerprint, {})[origin] = strike

    def clear_strikes(
        self, fingerprint: str, origin: str | None = None
    ) -> None:
        """Remove the strikes of a request, those of ``origin`` if given."""
        if origin is None:
            self._strikes.pop(fingerprint, None)
            return
        by_origin = self._strikes.get(fingerprint, {})
        by_origin.pop(origin, None)
        if not by_origin:
            self._strikes.pop(fingerprint, None)

    def start_quarantine(
        self, fingerprint: str, pipeline: str, reason: str, until_ms: int
    ) -> None:
        """Quarantine a request until ``until_ms``."""
        self._quarantined[fingerprint] = _Quarantined(
            pipeline, reason, until_ms
        )
        self.clear_strikes(fingerprint)

    def end_quarantine(self, fingerprint: str) -> None:
        """End a quarantine and remove the strikes."""
        self._quarantined.pop(fingerprint, None)
        self.clear_strikes(fingerprint)

    def ends_in_ms(self, fingerprint: str, now_ms: int) -> int:
        """Return how long a request remains quarantined, 0 if it is not."""
        quarantined = self._quarantined.get(fingerprint)
        if quarantined is None:
            return 0
        if now_ms >= quarantined.until_ms:
            del self._quarantined[fingerprint]
            return 0
        return quarantined.until_ms - now_ms

    def entries(self, now_ms: int) -> tuple[Entry, ...]:
        """Return the quarantined requests, sorted by fingerprint."""
        return tuple(
            Entry(
                fingerprint,
                quarantined.reason,
                quarantined.until_ms - now_ms,
                quarantined.pipeline,
            )
            for fingerprint, quarantined in sorted(self._quarantined.items())
            if now_ms < quarantined.until_ms
        )

    def retry_target(
        self, fingerprint: str, target_names: list[str]
    ) -> tuple[str, bool] | None:
        """Return the target for a suspect and whether it may run now.

        Suspects are sorted by the time that they ran before the crash,
        shortest first, and assigned to the target names round-robin, so
        hosts with the same strikes compute the same assignment. A suspect
        waits while a host holds an earlier one with the same target.
        Returns None when each target has crashed under the request.
        """
        struck = {s.target for s in self.strikes(fingerprint)}
        usable = sorted(name for name in target_names if name not in struck)
        if not usable:
            return None
        ordered = sorted(
            (min(s.ran_ms for s in by_origin.values()), suspect)
            for suspect, by_origin in self._strikes.items()
            if suspect == fingerprint or self._has_target_in(by_origin, struck)
        )
        position = [suspect for _, suspect in ordered].index(fingerprint)
        lane = position % len(usable)
        earlier = [
            suspect for _, suspect in ordered[lane : position : len(usable)]
        ]
        is_due = not any(map(self.runner, earlier))
        return usable[lane], is_due

    def _has_target_in(
        self, by_origin: dict[str, Strike], struck: set[str]
    ) -> typing.Any:
        return any(strike.target in struck for strike in by_origin.values())


def has_similar_runtime(strike: Strike, target: str, ran_ms: int) -> bool:
    """Tell whether a request ran similarly long before a second crash.

    A request that crashes targets does so at about the same point. One that
    was on two failing targets by chance rarely ran equally long on both.
    """
    if strike.target == target:
        return False
    shorter, longer = sorted((strike.ran_ms, ran_ms))
    return longer <= max(SIMILAR_FACTOR * shorter, shorter + SIMILAR_MARGIN_MS)


def clears_after_ms(strikes: tuple[Strike, ...]) -> float:
    """Return the time that a suspect must run to be cleared."""
    longest_ms = max((s.ran_ms for s in strikes), default=0)
    return CLEAR_FACTOR * longest_ms + CLEAR_MARGIN_MS
