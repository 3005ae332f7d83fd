"""Log events about targets that join, leave or go."""

import typing

from godwitglade.common import events
from godwitglade.coordination import effects as shared_effects
from godwitglade.routing import targets


def logs(
    changes: typing.Iterable[targets.Change], list_version: int
) -> list[typing.Any]:
    """Return a log event for each change of a target."""
    return [
        shared_effects.LogEvent(
            events.Event.TARGET_CHANGED,
            {
                'target': change.listed.name,
                'pool': change.listed.pool,
                'change': change.transition,
                'version': change.listed.version,
                'list_version': list_version,
            },
        )
        for change in changes
    ]
