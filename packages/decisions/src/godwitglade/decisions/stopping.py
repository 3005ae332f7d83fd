"""Phases of a planned stop.

Serving ends in three steps. While draining, the host says that it is not
ready but still serves, until the balancer has noticed. While finishing, it
refuses new requests and completes those in flight. While recording, it waits
for outcomes of non-repeatable stages that are not recorded yet, since nobody
else can settle them.
"""

import enum
import typing

import attrs

from godwitglade.common import clock
from godwitglade.coordination import claims
from godwitglade.coordination import effects as shared_effects
from godwitglade.decisions import effects

Effects = list[typing.Any]

DRAIN_TOKEN = 'stopping:drain'
RECORD_TOKEN = 'stopping:record'
RECORD_CHECK_MS = 50
#: Outcomes not recorded by then are left as unknown.
RECORD_TIMEOUT_MS = 10 * clock.SECOND_MS


class Phase(enum.Enum):
    """How far a planned stop has come."""

    SERVING = 'serving'
    DRAINING = 'draining'
    FINISHING = 'finishing'
    RECORDING = 'recording'


@attrs.define(eq=False)
class Stopping:
    """The planned stop of one host.

    ``drain_ms`` is the time that the balancer needs to notice.
    """

    claims: claims.Claims
    drain_ms: int
    phase: Phase = Phase.SERVING
    _give_up_ms: int = 0

    def begin(self, now_ms: int) -> Effects:
        """Drain; asked a second time, finish without further delay."""
        is_first = self.phase is Phase.SERVING
        self.phase = Phase.DRAINING
        due_ms = now_ms + self.drain_ms if is_first else now_ms
        return [shared_effects.StartTimer(DRAIN_TOKEN, due_ms)]

    def finish(self) -> bool:
        """Begin to finish; False when that was begun before."""
        if self.phase is not Phase.DRAINING:
            return False
        self.phase = Phase.FINISHING
        return True

    def record(self, now_ms: int) -> Effects:
        """Wait for open records, then exit."""
        if self.phase is not Phase.RECORDING:
            self.phase = Phase.RECORDING
            self._give_up_ms = now_ms + RECORD_TIMEOUT_MS
        if self.claims.is_idle or now_ms >= self._give_up_ms:
            return [effects.Exit()]
        due_ms = now_ms + RECORD_CHECK_MS
        return [shared_effects.StartTimer(RECORD_TOKEN, due_ms)]
