"""Pacing of model loads under the weight store's limit.

Every group that has loads to make publishes a fact, and these groups share
the limit equally. A host that receives no facts paces by the whole limit,
so in a partitioned zone only the weight store enforces the limit.
"""

import typing

from godwitglade.common import clock
from godwitglade.coordination import effects
from godwitglade.coordination import messages
from godwitglade.decisions import engines

LOADING_KIND = 'loading'
LOADING_TTL_MS = 30 * clock.SECOND_MS


class Pacing:
    """Divides ``loads_per_minute`` among the groups that are loading."""

    def __init__(self, loads_per_minute: int) -> None:
        self._per_load_ms = clock.MINUTE_MS / loads_per_minute
        self._loading_groups: set[str] = set()

    def apply_fact(self, message: messages.FactChanged) -> None:
        """Record whether a group has loads to make."""
        if message.kind != LOADING_KIND:
            return
        self._loading_groups.discard(message.key)
        if message.value is not None:
            self._loading_groups.add(message.key)

    def publish(self, group: engines.Group, now_ms: int) -> list[typing.Any]:
        """Notify the other holders that ``group`` has loads to make."""
        published_ms = group.loading_published_ms
        if (
            published_ms is not None
            and now_ms - published_ms < LOADING_TTL_MS // 2
        ):
            return []
        group.loading_published_ms = now_ms
        fact = effects.PublishFact(
            LOADING_KIND, group.name, True, LOADING_TTL_MS
        )
        return [fact]

    def delay_next_load(
        self, group: engines.Group, count: int, now_ms: int
    ) -> None:
        """Delay the group's next load according to its share of the limit."""
        group_count = len(self._loading_groups | {group.name})
        wait_ms = int(count * group_count * self._per_load_ms)
        group.next_load_ms = now_ms + wait_ms
