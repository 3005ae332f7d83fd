"""Rates of requests to targets that fall over when they turn many away.

The host that schedules a pool's permits finds out what such a target has room
for. Below the rate of requests that it may turn away in a second nothing can
happen to it; the rate grows slowly while it turns none away.
"""

import attrs

from godwitglade.common import clock as clocks

#: Share of the requests that a target may turn away that are sent at least:
#: permits are not used at even intervals.
SAFE_SHARE = 0.6
#: Share of the least rate by which the rate grows in a second.
GROWTH = 0.25
#: Factor by which it falls when requests are turned away.
DECREASE = 0.7
#: Reports within this time are of the same shortage, and the least rate is
#: kept to so long, since a target that is full turns all requests away.
SHORTAGE_MS = clocks.SECOND_MS
MAX_RATES = 1_024


@attrs.define
class _Rate:
    milli_per_s: float
    changed_ms: int
    short_until_ms: int = 0


class AdaptiveRates:
    """The rates found out for targets, in thousandths per second."""

    def __init__(self) -> None:
        self._rates: dict[str, _Rate] = {}

    def update(
        self, key: str, may_turn_away_milli: int, turned_away: int, now_ms: int
    ) -> int:
        """Return the rate of a target.

        ``may_turn_away_milli`` is how many requests it may turn away in a
        second, in thousandths. ``turned_away`` counts those that it had no
        room for since the last report of the same host.
        """
        least = SAFE_SHARE * may_turn_away_milli
        rate = self._rates.get(key)
        if rate is None:
            if len(self._rates) >= MAX_RATES:
                return int(least)
            rate = self._rates[key] = _Rate(least, now_ms)
        elapsed_ms = now_ms - rate.changed_ms
        if turned_away:
            if now_ms >= rate.short_until_ms:
                rate.milli_per_s *= DECREASE
            rate.changed_ms = now_ms
            rate.short_until_ms = now_ms + SHORTAGE_MS
        elif not turned_away and elapsed_ms >= clocks.SECOND_MS:
            rate.milli_per_s += GROWTH * least
            rate.changed_ms = now_ms
        rate.milli_per_s = max(least, rate.milli_per_s)
        is_short = now_ms < rate.short_until_ms
        return int(least if is_short else rate.milli_per_s)

    def keep_only(self, keys: set[str]) -> None:
        """Forget all other targets."""
        self._rates = {k: v for k, v in self._rates.items() if k in keys}
