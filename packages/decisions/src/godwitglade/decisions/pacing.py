"""Pacing of model loads under the weight store's limit.

Every group that has loads to make says so by a fact, and all that do share
the limit equally. A host that hears nobody keeps to the whole limit, so the
weight store's own limit remains the last word in a cut-off zone.
"""

import typing

from godwitglade.common import clock
from godwitglade.coordination import effects
from godwitglade.coordination import messages
from godwitglade.decisions import engines

LOADING_KIND = 'loading'
LOADING_TTL_MS = 30 * clock.SECOND_MS


class Pacing:
    """Divides ``loads_per_minute`` among the groups that load."""

    def __init__(self, loads_per_minute: int) -> None:
        self._per_load_ms = clock.MINUTE_MS / loads_per_minute
        self._loading: set[str] = set()

    def learn(self, message: messages.FactLearned) -> None:
        """Take in which groups have loads to make."""
        if message.kind != LOADING_KIND:
            return
        self._loading.discard(message.key)
        if message.value is not None:
            self._loading.add(message.key)

    def tell(self, group: engines.Group, now_ms: int) -> list[typing.Any]:
        """Let the other holders know that ``group`` has loads to make."""
        told_ms = group.told_loading_ms
        if told_ms is not None and now_ms - told_ms < LOADING_TTL_MS // 2:
            return []
        group.told_loading_ms = now_ms
        fact = effects.PublishFact(
            LOADING_KIND, group.name, True, LOADING_TTL_MS
        )
        return [fact]

    def note_loads(
        self, group: engines.Group, count: int, now_ms: int
    ) -> None:
        """Put off the group's next load by its share of the limit."""
        sharing = len(self._loading | {group.name})
        wait_ms = int(count * sharing * self._per_load_ms)
        group.next_load_ms = now_ms + wait_ms
