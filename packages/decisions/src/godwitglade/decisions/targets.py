"""Targets as described by the host list and by their own replies."""

import enum

import attrs


class TargetState(enum.Enum):
    """State of a target in the host list or in its own replies."""

    LIVE = 'live'
    LEAVING = 'leaving'


@attrs.frozen
class Target:
    """One back end: ``address`` is ``ip:port``, ``zone`` its data centre."""

    name: str
    pool: str
    zone: str
    address: str
    state: TargetState = TargetState.LIVE


@attrs.frozen
class Load:
    """The load that a target reported.

    ``age_ms`` is the time since the target measured it, 0 if unknown.
    """

    running: int
    queued: int
    capacity: int
    is_leaving: bool = False
    age_ms: int = 0
