"""Whether a crash that this host saw is reported to the others.

Broken and refused connections show that the process of a target ended, or
that this host has lost its paths to all targets. A request that ends the
last target of a deployment makes every host believe the latter. So a host
that may be cut off keeps what it saw until something else than its own
connections shows which of both it was.
"""

import enum
import typing

from godwitglade.common import clock as clocks
from godwitglade.routing import hand_over
from godwitglade.routing import reachability
from godwitglade.routing import targets

#: Pause before it is decided again.
DOUBT_MS = 100
#: Hosts that were cut off so shortly before were so for the same reason.
CUT_OFF_SPAN_MS = 500
#: Time after which a report that nothing confirms is dropped. The list of
#: targets shows an end within three check-in intervals.
MAX_HELD_MS = 8 * clocks.SECOND_MS


class Decision(enum.Enum):
    """What happens to a report."""

    REPORT = 'report'
    HOLD = 'hold'
    DROP = 'drop'


class CrashReports:
    """Decides on the reports of one host.

    ``live_names`` returns the names of the hosts in service.
    """

    def __init__(
        self,
        reachability_: reachability.Reachability,
        cut_off: hand_over.CutOffHosts,
        directory: targets.Directory,
        live_names: typing.Callable[[], list[str]],
    ) -> None:
        self._reachability = reachability_
        self._cut_off = cut_off
        self._directory = directory
        self._live_names = live_names

    def decide(
        self, target: targets.TargetEntry, seen_ms: int, now_ms: int
    ) -> Decision:
        """Decide on the crash of a target that was seen at ``seen_ms``."""
        if self._has_ended(target):
            return Decision.REPORT
        if now_ms - seen_ms >= MAX_HELD_MS:
            return Decision.DROP
        if self._reachability.is_doubtful:
            return Decision.HOLD
        if not self._reachability.was_cut_off_since(seen_ms):
            return Decision.REPORT
        is_confirmed = self._was_no_path_left(seen_ms - CUT_OFF_SPAN_MS)
        return Decision.REPORT if is_confirmed else Decision.HOLD

    def _has_ended(self, target: targets.TargetEntry) -> bool:
        """Return whether the target's process is no longer listed."""
        found = self._directory.find(target.name)
        return found is None or found.listed.started_ms > target.started_ms

    def _was_no_path_left(self, since_ms: int) -> bool:
        """Return whether all hosts have said that they reach no target."""
        return all(
            self._cut_off.was_cut_off_since(name, since_ms)
            for name in self._live_names()
        )
