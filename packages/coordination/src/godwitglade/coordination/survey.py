"""Asks every host which change it has in force, when an operator asks.

Membership hears of each other host only now and then, as its fan-out is
bounded; a survey asks them directly. A change number in force on one life of
a host never falls, so that hosts known to be far enough are not asked again.
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
MakeReport = typing.Callable[[], bodies.StatusGiven]

#: Questions under way at once, so that exchanges are not held up.
WINDOW = 4
ASK_TIMEOUT_MS = 700
#: A survey ends by then; hosts not asked keep the age of their last word.
SURVEY_TIMEOUT_MS = 3 * clock.SECOND_MS


@attrs.frozen
class SurveyEnded:
    """Every host asked has answered, or the survey's time was over."""

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
    """Runs surveys and answers those of other hosts.

    ``make_report`` returns the state of this host.
    """

    def __init__(
        self, membership: memberships.Membership, make_report: MakeReport
    ) -> None:
        self._membership = membership
        self._make_report = make_report
        self._numbers = itertools.count(1)
        self._runs: dict[str, _Run] = {}
        self._questions: dict[str, tuple[str, str]] = {}

    def ask(self, query_id: str, at_least: int, now_ms: int) -> Effects:
        """Survey the hosts; ends in one Deliver of SurveyEnded.

        Hosts known to have change ``at_least`` in force are not asked; 0
        asks every host.
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
        """Take in a message; those of other parts are ignored."""
        if isinstance(message, messages.PeerReply):
            return self._take_reply(message, now_ms)
        if isinstance(message, messages.TimerFired):
            return self._end(message.token)
        if isinstance(message, messages.PeerMessage):
            return self._answer(message)
        return []

    def _answer(self, message: messages.PeerMessage) -> Effects:
        if not isinstance(message.body, bodies.StatusAsked):
            return []
        return [effects.ReplyPeer(message.reply_token, self._make_report())]

    def _advance(self, run_token: str) -> Effects:
        run = self._runs[run_token]
        if run.is_complete:
            return self._end(run_token)
        found = []
        while run.waiting and run.under_way < WINDOW:
            found.append(self._question(run_token, run.waiting.popleft()))
            run.under_way += 1
        return found

    def _question(
        self, run_token: str, member: typing.Any
    ) -> effects.SendPeer:
        token = f'survey:{next(self._numbers)}'
        self._questions[token] = (run_token, member.host.name)
        return effects.SendPeer(
            token, member.address, bodies.StatusAsked(), ASK_TIMEOUT_MS
        )

    def _take_reply(self, message: messages.PeerReply, now_ms: int) -> Effects:
        run_token, name = self._questions.pop(message.token, (None, None))
        if isinstance(message.body, bodies.StatusGiven):
            self._note(name, message.body, now_ms)
        run = self._runs.get(run_token)
        if run is None:
            return []
        run.under_way -= 1
        return self._advance(run_token)

    def _note(
        self, name: str | None, given: bodies.StatusGiven, now_ms: int
    ) -> None:
        # An address may have passed to another host since it was learned.
        if given.host.name == name:
            self._membership.table.hear(
                given.host, given.sequence, now_ms, given.refused
            )

    def _end(self, run_token: str) -> Effects:
        run = self._runs.pop(run_token, None)
        if run is None:
            return []
        return [effects.Deliver(SurveyEnded(run.query_id))]
