"""Surveys of the change in force on every host, on an operator's request.

Membership has only occasional contact with each other host, as its fan-out
is bounded; a survey queries them directly. The sequence in force on one
incarnation of a host never decreases, so hosts known to have the required
change are not queried again.
"""

import collections
import itertools
import typing

import attrs

from godwitglade.common import clock
from godwitglade.coordination import bodies
from godwitglade.coordination import effects
from godwitglade.coordination import membership as memberships
from godwitglade.coordination import messages

Effects = list[typing.Any]
MakeStatus = typing.Callable[[], bodies.StatusReply]

#: Bounded so that surveys do not delay exchanges.
MAX_CONCURRENT_QUERIES = 4
QUERY_TIMEOUT_MS = 700
#: Hosts that have not replied by then keep their last earlier report.
SURVEY_TIMEOUT_MS = 3 * clock.SECOND_MS


@attrs.frozen
class SurveyEnded:
    """A survey is complete or has timed out."""

    query_id: str


@attrs.define
class _Run:
    query_id: str
    waiting: collections.deque
    under_way: int = 0

    @property
    def is_complete(self) -> bool:
        return not self.waiting and not self.under_way


class Survey:
    """Runs surveys and replies to those of other hosts.

    ``make_status`` returns the status of this host.
    """

    def __init__(
        self, membership: memberships.Membership, make_status: MakeStatus
    ) -> None:
        self._membership = membership
        self._make_status = make_status
        self._numbers = itertools.count(1)
        self._runs: dict[str, _Run] = {}
        self._queries: dict[str, tuple[str, str]] = {}

    def ask(self, query_id: str, at_least: int, now_ms: int) -> Effects:
        """Start a survey, which ends with one Deliver of SurveyEnded.

        Hosts known to have change ``at_least`` in force are not queried; 0
        queries every host.
        """
        own = self._membership.table.own_name
        waiting = collections.deque(
            member
            for member in self._membership.all_members()
            if member.host.name != own
            if member.state is not bodies.MemberState.GONE
            if not at_least or member.sequence < at_least
        )
        token = f'survey:end-{next(self._numbers)}'
        self._runs[token] = _Run(query_id, waiting)
        timer = effects.StartTimer(token, now_ms + SURVEY_TIMEOUT_MS)
        return [timer, *self._advance(token)]

    def handle(self, message: typing.Any, now_ms: int) -> Effects:
        """Handle a message; messages for other components are ignored."""
        if isinstance(message, messages.PeerReply):
            return self._handle_reply(message, now_ms)
        if isinstance(message, messages.TimerFired):
            return self._end(message.token)
        if isinstance(message, messages.PeerMessage):
            return self._handle_request(message)
        return []

    def _handle_request(self, message: messages.PeerMessage) -> Effects:
        if not isinstance(message.body, bodies.StatusRequest):
            return []
        return [effects.ReplyPeer(message.reply_token, self._make_status())]

    def _advance(self, run_token: str) -> Effects:
        run = self._runs[run_token]
        if run.is_complete:
            return self._end(run_token)
        new_effects = []
        while run.waiting and run.under_way < MAX_CONCURRENT_QUERIES:
            new_effects.append(self._query(run_token, run.waiting.popleft()))
            run.under_way += 1
        return new_effects

    def _query(self, run_token: str, member: typing.Any) -> effects.SendPeer:
        token = f'survey:{next(self._numbers)}'
        self._queries[token] = (run_token, member.host.name)
        return effects.SendPeer(
            token, member.address, bodies.StatusRequest(), QUERY_TIMEOUT_MS
        )

    def _handle_reply(
        self, message: messages.PeerReply, now_ms: int
    ) -> Effects:
        run_token, name = self._queries.pop(message.token, (None, None))
        if isinstance(message.body, bodies.StatusReply):
            self._record_status(name, message.body, now_ms)
        run = self._runs.get(run_token)
        if run is None:
            return []
        run.under_way -= 1
        return self._advance(run_token)

    def _record_status(
        self, name: str | None, status: bodies.StatusReply, now_ms: int
    ) -> None:
        # Another host may have taken over the address meanwhile.
        if status.host.name == name:
            self._membership.table.record_report(
                status.host, status.sequence, now_ms, status.refused
            )

    def _end(self, run_token: str) -> Effects:
        run = self._runs.pop(run_token, None)
        if run is None:
            return []
        return [effects.Deliver(SurveyEnded(run.query_id))]
