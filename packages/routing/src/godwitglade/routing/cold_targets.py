"""Limits of targets that have just started and are slow for a while."""

import attrs


@attrs.frozen
class Bounds:
    """Requests of one second that a cold target may get from all hosts.

    They are its nominal rate times ``overshoot``, plus ``tolerance``.
    """

    overshoot: float = 1.0
    tolerance: float = 0.0
