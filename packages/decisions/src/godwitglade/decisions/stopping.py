"""Phases of a planned stop.

A host stops in three steps. While draining, it reports that it is not ready
but still serves, until the load balancer has noticed. While finishing, it
refuses new requests and completes those in flight. While recording, it waits
until the outcomes of non-repeatable stages are recorded, since no other host
can settle them.
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
#: Outcomes that are not recorded within this time remain unknown.
RECORD_TIMEOUT_MS = 10 * clock.SECOND_MS


class Phase(enum.Enum):
    """The phases of a planned stop, in order."""

    SERVING = 'serving'
    DRAINING = 'draining'
    FINISHING = 'finishing'
    RECORDING = 'recording'


@attrs.define(eq=False)
class Stopping:
    """The planned stop of one host.

    ``drain_ms`` is the time that the load balancer needs to notice.
    """

    claims: claims.Claims
    drain_ms: int
    phase: Phase = Phase.SERVING
    _record_deadline_ms: int = 0

    def start_drain(self, now_ms: int) -> Effects:
        """Start to drain; on a second call, finish without further delay."""
        is_first = self.phase is Phase.SERVING
        self.phase = Phase.DRAINING
        due_ms = now_ms + self.drain_ms if is_first else now_ms
        return [shared_effects.StartTimer(DRAIN_TOKEN, due_ms)]

    def finish(self) -> bool:
        """Enter the finishing phase; return False unless draining."""
        if self.phase is not Phase.DRAINING:
            return False
        self.phase = Phase.FINISHING
        return True

    def record(self, now_ms: int) -> Effects:
        """Wait until all outcomes are recorded or time out, then exit."""
        if self.phase is not Phase.RECORDING:
            self.phase = Phase.RECORDING
            self._record_deadline_ms = now_ms + RECORD_TIMEOUT_MS
        if self.claims.is_idle or now_ms >= self._record_deadline_ms:
            return [effects.Exit()]
        due_ms = now_ms + RECORD_CHECK_MS
        return [shared_effects.StartTimer(RECORD_TOKEN, due_ms)]
