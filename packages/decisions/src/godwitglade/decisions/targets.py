"""Targets as the host list and their own answers describe them."""

import enum

import attrs


class TargetState(enum.Enum):
    """State of a target in the host list or in its own answers."""

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
    """What a target said of itself.

    ``age_ms`` is the time since the target measured it, as far as known.
    """

    running: int
    queued: int
    capacity: int
    is_leaving: bool = False
    age_ms: int = 0
