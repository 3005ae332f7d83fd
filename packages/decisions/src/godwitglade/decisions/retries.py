"""Token budget that limits extra attempts to a share of the calls."""

import attrs

#: Largest number of tokens that accumulate, in extra attempts.
BURST = 5.0


@attrs.define(eq=False)
class Budget:
    """Grants about ``ratio`` extra attempts per first attempt."""

    ratio: float
    burst: float = BURST
    _tokens: float = attrs.Factory(lambda self: self.burst, takes_self=True)

    def earn(self) -> None:
        """Count one first attempt."""
        self._tokens = min(self.burst, self._tokens + self.ratio)

    def spend(self) -> bool:
        """Charge one extra attempt; return False when none is left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
