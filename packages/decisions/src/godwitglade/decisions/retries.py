"""A token budget that bounds extra attempts to a share of the calls."""

import attrs

#: Extra attempts allowed at once after a quiet time.
BURST = 5.0


@attrs.define(eq=False)
class Budget:
    """Grants about ``ratio`` extra attempts a first attempt."""

    ratio: float
    burst: float = BURST
    _tokens: float = attrs.Factory(lambda self: self.burst, takes_self=True)

    def earn(self) -> None:
        """Count one first attempt."""
        self._tokens = min(self.burst, self._tokens + self.ratio)

    def spend(self) -> bool:
        """Take one extra attempt; False when the budget is exhausted."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
