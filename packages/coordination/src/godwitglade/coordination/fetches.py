"""The one fetch of missing changes that a host has under way."""

import itertools

import attrs

#: A fetch without a result for this long no longer holds up another one.
PATIENCE_MS = 6_000


@attrs.frozen
class Fetch:
    """What is fetched; ``address`` None for the platform's rows.

    ``sequence`` is reached when the fetch is complete.
    """

    token: str
    sequence: int
    started_ms: int
    address: str | None = None


class Fetches:
    """Allows one fetch at a time and recognises its result."""

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
        """Return the token of a new fetch."""
        token = f'documents:{kind}:{next(self._numbers)}'
        self._current = Fetch(token, sequence, now_ms, address)
        return token

    def end(self, token: str) -> Fetch | None:
        """Return the fetch that ``token`` ends, None for an earlier one."""
        fetch = self._current
        if fetch is None or fetch.token != token:
            return None
        self._current = None
        return fetch

    def is_active(self, now_ms: int) -> bool:
        """Tell whether a result is still awaited."""
        fetch = self._current
        return fetch is not None and now_ms - fetch.started_ms < PATIENCE_MS
