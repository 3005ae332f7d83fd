"""Whether this host reaches any target.

One failed connection is a fault of its target or of the path to it. When it
happens, or when no target has sent anything for a while although a call
waits, the host asks targets over new connections. If none responds, it is
the host that is cut off. It goes on asking until one responds.
"""

import functools
import random as randoms
import typing

import attrs

from godwitglade.common import events
from godwitglade.coordination import effects as shared_effects
from godwitglade.routing import effects
from godwitglade.routing import messages
from godwitglade.routing import targets

Effects = list[typing.Any]

#: Targets that are asked before the host counts as cut off.
PROBED_TARGETS = 6
PROBE_TIMEOUT_MS = 250
#: A round without a result ends after this time.
ROUND_LIMIT_MS = 1_500
#: Time without a response after which a waiting call raises suspicion.
SILENCE_MS = 500
#: Pause after a probe that was answered, and between probes of a cut host.
PAUSE_MS = 500


@attrs.define
class _Round:
    """Targets that are asked; ``left`` are, if the first is silent."""

    left: list[targets.TargetEntry]
    started_ms: int
    pending: int = 1


class Reachability:
    """The state of the paths from this host to the targets."""

    def __init__(
        self, directory: targets.Directory, random: randoms.Random
    ) -> None:
        self._directory = directory
        self._random = random
        self._round: _Round | None = None
        self._next_ms = 0
        self._contact_ms = 0
        self.is_cut_off = False
        self._last_cut_off_ms: int | None = None

    def record_contact(self, now_ms: int) -> None:
        """Record that a target has sent a part of a response."""
        self._contact_ms = now_ms

    @property
    def is_doubtful(self) -> bool:
        """Return whether it is not known if this host is cut off."""
        return self._round is not None

    def is_doubtful_since(self, since_ms: int) -> bool:
        """Return whether that is not known, nor was a target heard since."""
        return self.is_doubtful and self._contact_ms < since_ms

    def was_cut_off_since(self, since_ms: int) -> bool:
        """Return whether this host was cut off at any time since then."""
        last_ms = self._last_cut_off_ms
        return self.is_cut_off or (last_ms is not None and last_ms >= since_ms)

    def is_silent(self, now_ms: int) -> bool:
        """Return whether no target has sent anything for a while."""
        return now_ms - self._contact_ms >= SILENCE_MS

    def record_unreachable(self, now_ms: int) -> Effects:
        """Record that no connection to a target could be established."""
        return self._start_round(now_ms)

    def check(self, waiting_since_ms: int | None, now_ms: int) -> Effects:
        """Ask targets if that is due.

        ``waiting_since_ms`` is when the oldest call was sent that has no
        response yet, None for no call.
        """
        if self._round and now_ms - self._round.started_ms > ROUND_LIMIT_MS:
            self._round = None
            return self._set_cut_off(self.is_cut_off, now_ms)
        if self.is_cut_off:
            return self._start_round(now_ms)
        has_waited = (
            waiting_since_ms is not None
            and now_ms - waiting_since_ms >= SILENCE_MS
        )
        if not has_waited or not self.is_silent(now_ms):
            return []
        return self._start_round(now_ms)

    @functools.singledispatchmethod
    def handle(self, message: typing.Any, now_ms: int) -> Effects:
        """Handle a message; messages of other components are ignored."""
        return []

    @handle.register
    def _(self, message: messages.TargetProbed, now_ms: int) -> Effects:
        if message.is_reached:
            self.record_contact(now_ms)
            self._round = None
            return self._set_cut_off(False, now_ms)
        if self._round is None:
            return []
        self._round.pending -= 1
        if self._round.pending:
            return []
        if self._round.left:
            return self._probe_rest(self._round, now_ms)
        self._round = None
        return self._set_cut_off(True, now_ms)

    def _start_round(self, now_ms: int) -> Effects:
        if self._round is not None or now_ms < self._next_ms:
            return []
        chosen = self._choose(now_ms)
        if not chosen:
            return []
        self._next_ms = now_ms + PAUSE_MS
        first, *left = [t.listed for t in chosen]
        self._round = _Round([] if self.is_cut_off else left, now_ms)
        return [_probe(first)]

    def _choose(self, now_ms: int) -> list[targets.Target]:
        known = self._directory.probed()
        # Those that failed lately tell less about the paths of this host.
        shuffled = self._random.sample(known, len(known))
        shuffled.sort(key=lambda target: now_ms < target.suspended_until_ms)
        return shuffled[:PROBED_TARGETS]

    def _probe_rest(self, round_: _Round, now_ms: int) -> Effects:
        asked, round_.left = round_.left, []
        if self._directory.evacuated:
            # The evacuation may have begun after these were chosen.
            asked = [target.listed for target in self._choose(now_ms)]
        round_.pending = len(asked)
        return [_probe(listed) for listed in asked]

    def _set_cut_off(self, is_cut_off: bool, now_ms: int) -> Effects:
        if is_cut_off or self.is_cut_off:
            self._last_cut_off_ms = now_ms
        has_changed = is_cut_off != self.is_cut_off
        self.is_cut_off = is_cut_off
        known = messages.ReachabilityKnown(is_cut_off, has_changed)
        delivered = shared_effects.Deliver(known)
        if not has_changed:
            return [delivered]
        event = (
            events.Event.TARGETS_UNREACHABLE
            if is_cut_off
            else events.Event.TARGETS_REACHED
        )
        return [shared_effects.LogEvent(event), delivered]


def _probe(listed: targets.TargetEntry) -> effects.ProbeTarget:
    return effects.ProbeTarget(listed.name, listed.address, PROBE_TIMEOUT_MS)
