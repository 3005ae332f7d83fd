"""Reports to the hosts that asked for stage work."""

import itertools

import attrs

from godwitglade.coordination import effects as shared_effects
from godwitglade.coordination import messages as shared_messages
from godwitglade.routing import bodies

END_TOKEN = 'work:end:'

#: A host that takes longer than this to confirm a message is told again,
#: or passed over if it is an owner.
CONFIRM_TIMEOUT_MS = 400
#: Times a result is sent to the host that asked.
MAX_REPORTS = 3


@attrs.frozen
class _Report:
    address: str
    body: bodies.WorkEnded
    tries: int


class Reports:
    """Reports on their way, each sent again a few times if need be."""

    def __init__(self) -> None:
        self._numbers = itertools.count(1)
        self._reports: dict[str, _Report] = {}

    def send(
        self, address: str, body: bodies.WorkEnded
    ) -> shared_effects.SendPeer:
        """Return the effect that sends a report."""
        return self._send(_Report(address, body, 1))

    def settled(
        self, message: shared_messages.PeerReply
    ) -> list[shared_effects.SendPeer]:
        """Send a report again that was not confirmed."""
        report = self._reports.pop(message.token)
        is_taken = isinstance(message.body, bodies.Received)
        if is_taken or report.tries >= MAX_REPORTS:
            return []
        again = attrs.evolve(report, tries=report.tries + 1)
        return [self._send(again)]

    def _send(self, report: _Report) -> shared_effects.SendPeer:
        token = f'{END_TOKEN}{next(self._numbers)}'
        self._reports[token] = report
        return shared_effects.SendPeer(
            token, report.address, report.body, CONFIRM_TIMEOUT_MS
        )
