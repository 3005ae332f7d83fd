"""The fetch of missing changes that a host has in progress."""

import itertools

import attrs

#: A fetch without a result for this long no longer blocks another one.
FETCH_TIMEOUT_MS = 6_000


@attrs.frozen
class Fetch:
    """A fetch from a peer, or from the platform if ``address`` is None.

    Once it is complete, this host is at ``sequence``.
    """

    token: str
    sequence: int
    started_ms: int
    address: str | None = None


class FetchTracker:
    """Limits a host to one fetch at a time and matches its result."""

    def __init__(self) -> None:
        self._numbers = itertools.count(1)
        self._current: Fetch | None = None

    def begin(
        self,
        kind: str,
        sequence: int,
        now_ms: int,
        address: str | None = None,
    ) -> str:
        """Start a fetch and return its token."""
        token = f'documents:{kind}:{next(self._numbers)}'
        self._current = Fetch(token, sequence, now_ms, address)
        return token

    def end(self, token: str) -> Fetch | None:
        """End and return the fetch of ``token``, None if superseded."""
        fetch = self._current
        if fetch is None or fetch.token != token:
            return None
        self._current = None
        return fetch

    def is_active(self, now_ms: int) -> bool:
        """Return whether a result is still expected."""
        fetch = self._current
        return (
            fetch is not None and now_ms - fetch.started_ms < FETCH_TIMEOUT_MS
        )
