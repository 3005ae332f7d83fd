"""Reports to the hosts that requested stage work."""

import itertools

import attrs

from godwitglade.coordination import effects as shared_effects
from godwitglade.coordination import messages as shared_messages
from godwitglade.routing import bodies

END_TOKEN = 'work:end:'

#: A host that does not confirm a message within this time is sent it again,
#: or skipped if it is an owner.
CONFIRM_TIMEOUT_MS = 400
#: Times that a report is sent before it is dropped.
MAX_SENDS = 3


@attrs.frozen
class _Report:
    address: str
    body: bodies.WorkEnded
    tries: int


class Reports:
    """Reports that are not confirmed, each sent up to MAX_SENDS times."""

    def __init__(self) -> None:
        self._numbers = itertools.count(1)
        self._reports: dict[str, _Report] = {}

    def send(
        self, address: str, body: bodies.WorkEnded
    ) -> shared_effects.SendPeer:
        """Return the effect that sends a report."""
        return self._send(_Report(address, body, 1))

    def handle_reply(
        self, message: shared_messages.PeerReply
    ) -> list[shared_effects.SendPeer]:
        """Send a report again if the reply does not confirm it."""
        report = self._reports.pop(message.token)
        is_confirmed = isinstance(message.body, bodies.Received)
        if is_confirmed or report.tries >= MAX_SENDS:
            return []
        again = attrs.evolve(report, tries=report.tries + 1)
        return [self._send(again)]

    def _send(self, report: _Report) -> shared_effects.SendPeer:
        token = f'{END_TOKEN}{next(self._numbers)}'
        self._reports[token] = report
        return shared_effects.SendPeer(
            token, report.address, report.body, CONFIRM_TIMEOUT_MS
        )
