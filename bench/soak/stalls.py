"""Detects when the event loop of the links stalls.

The store, targets, links and callers run in one process. While the machine
gives the links' thread no CPU time, nothing answers, so that no guarantee
about times can be checked.
"""

import asyncio
import time

import attrs

from bench.soak import proxy

CHECK_INTERVAL_S = 0.02
#: Half of the shortest time that is checked (lossSlackMs).
MIN_STALL_S = 0.1


@attrs.frozen
class Stall:
    """A time span in which the links' thread did not run."""

    from_s: float
    until_s: float

    def overlaps(self, from_s: float, until_s: float) -> bool:
        """Tell whether another span overlaps this one."""
        return from_s < self.until_s and self.from_s < until_s


class StallDetector:
    """Records stalls of the links' thread until stopped."""

    def __init__(self) -> None:
        self.stalls: list[Stall] = []
        self._is_stopped = False
        asyncio.run_coroutine_threadsafe(self._run(), proxy.LOOP)

    def stop(self) -> None:
        """Stop recording."""
        self._is_stopped = True

    async def _run(self) -> None:
        last_s = time.monotonic()
        while not self._is_stopped:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now_s = time.monotonic()
            if now_s - last_s > MIN_STALL_S:
                self.stalls.append(Stall(last_s, now_s))
            last_s = now_s
