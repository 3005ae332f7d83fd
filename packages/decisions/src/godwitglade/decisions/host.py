"""All decisions of one host: routes messages to the parts that decide.

>>> parts = host.make_parts(self_id, address, random.Random(1))
>>> decider = host.Host(self_id, parts, parse_document)
>>> effects = decider.handle(message, now_ms)
"""

import collections
import functools
import random
import typing

import attrs

from godwitglade.common import errors
from godwitglade.common import events
from godwitglade.coordination import bodies
from godwitglade.coordination import change_results
from godwitglade.coordination import change_rows
from godwitglade.coordination import changes
from godwitglade.coordination import claims
from godwitglade.coordination import effects as shared_effects
from godwitglade.coordination import facts
from godwitglade.coordination import hosts
from godwitglade.coordination import leases
from godwitglade.coordination import membership
from godwitglade.coordination import messages as shared_messages
from godwitglade.coordination import spread
from godwitglade.coordination import survey
from godwitglade.decisions import documents
from godwitglade.decisions import effects
from godwitglade.decisions import listing
from godwitglade.decisions import messages
from godwitglade.decisions import orders
from godwitglade.decisions import outcomes
from godwitglade.decisions import requests
from godwitglade.decisions import settings as request_settings
from godwitglade.decisions import stopping

NOT_READY_RETRY_MS = 2_000

Effects = list[typing.Any]
ParseDocument = typing.Callable[[str], documents.Document]


@attrs.frozen
class Parts:
    """The deciding parts of a host, each free of I/O."""

    members: membership.Membership
    documents: spread.Documents
    facts: facts.Facts
    claims: claims.Claims
    changes: changes.Changes
    leases: leases.Leases
    orders: orders.Orders
    requests: requests.Requests
    listing: listing.Listing
    stopping: stopping.Stopping


@attrs.frozen
class InForce:
    """The version of a document that requests are served by."""

    version: int
    team: str


@attrs.frozen
class RefusedDocument:
    """A version that this host could not parse and has not in force."""

    pipeline: str
    version: int
    reason: str


def make_parts(
    self_id: hosts.HostId,
    address: str,
    rng: random.Random,
    settings: request_settings.RequestSettings,
    wall_offset_ms: int = 0,
    spill_zones: tuple[str, ...] = (),
    drain_ms: int = 0,
) -> Parts:
    """Return the parts of a host, each with a random source of its own."""
    seeds = (random.Random(rng.getrandbits(64)) for _ in iter(int, 1))
    documents_ = spread.Documents(self_id, next(seeds))
    facts_ = facts.Facts(self_id, next(seeds))
    claims_ = claims.Claims(self_id, next(seeds), address, wall_offset_ms)
    leases_ = leases.Leases(self_id, next(seeds))
    members = membership.Membership(
        self_id, address, next(seeds), (documents_, facts_)
    )
    orders_ = orders.Orders(
        self_id, next(seeds), leases_, members.live, wall_offset_ms
    )
    return Parts(
        members=members,
        documents=documents_,
        facts=facts_,
        claims=claims_,
        changes=changes.Changes(next(seeds)),
        leases=leases_,
        orders=orders_,
        requests=requests.Requests(self_id, next(seeds), claims_, settings),
        listing=listing.Listing(self_id.zone, spill_zones, next(seeds)),
        stopping=stopping.Stopping(claims_, drain_ms),
    )


class Host:
    """Takes one message at a time and returns the effects that follow.

    ``parse_document`` turns a document's text into a Document and raises
    CodedError for a text that this release does not understand.
    """

    def __init__(
        self,
        self_id: hosts.HostId,
        parts: Parts,
        parse_document: ParseDocument,
    ) -> None:
        self.self_id = self_id
        self.parts = parts
        self._in_force: dict[str, InForce] = {}
        self._parse_document = parse_document
        self._changes_asked: dict[str, change_rows.ChangeRequest] = {}
        self._refused: dict[str, RefusedDocument] = {}
        self._survey = survey.Survey(parts.members, self._report)
        self._by_prefix = {
            'members': parts.members,
            'documents': parts.documents,
            'facts': parts.facts,
            'claims': parts.claims,
            'changes': parts.changes,
            'leases': parts.leases,
            'orders': parts.orders,
            'requests': parts.requests,
            'survey': self._survey,
            'listing': parts.listing,
        }

    @property
    def is_ready(self) -> bool:
        """Tell whether new requests are accepted."""
        is_serving = self.parts.stopping.phase is stopping.Phase.SERVING
        return self.parts.documents.is_ready and is_serving

    @property
    def refused_documents(self) -> tuple[RefusedDocument, ...]:
        """Return the versions held that are not in force here."""
        return tuple(self._refused.values())

    def team_of(self, pipeline: str) -> str:
        """Return the team of a pipeline in force, else an empty text."""
        found = self._in_force.get(pipeline)
        return '' if found is None else found.team

    def versions_in_force(self) -> dict[str, int]:
        """Return the version that requests are served by, by pipeline."""
        return {
            pipeline: found.version
            for pipeline, found in sorted(self._in_force.items())
        }

    def start(self, now_ms: int) -> Effects:
        """Begin every part; return their first effects."""
        parts = (
            self.parts.members,
            self.parts.documents,
            self.parts.facts,
            self.parts.claims,
            self.parts.leases,
            self.parts.orders,
            self.parts.requests,
            self.parts.listing,
        )
        found = [effect for part in parts for effect in part.start(now_ms)]
        return self._settle(found, now_ms)

    def handle(self, message: typing.Any, now_ms: int) -> Effects:
        """Decide on one message at monotonic time ``now_ms``."""
        return self._settle(self._decide(message, now_ms), now_ms)

    def _settle(self, found: Effects, now_ms: int) -> Effects:
        """Hand messages between parts until only outside effects remain."""
        pending = collections.deque(found)
        outside = []
        while pending:
            effect = pending.popleft()
            if isinstance(effect, shared_effects.Deliver):
                pending.extend(self._decide(effect.message, now_ms))
            elif isinstance(effect, shared_effects.PublishFact):
                pending.extend(self.parts.facts.publish(effect, now_ms))
            elif isinstance(effect, effects.Exit):
                outside.extend(self.parts.stopping.record(now_ms))
            else:
                outside.append(effect)
        return outside

    @functools.singledispatchmethod
    def _decide(self, message: typing.Any, now_ms: int) -> Effects:
        return self.parts.requests.handle(message, now_ms)

    @_decide.register
    def _(self, message: messages.RequestArrived, now_ms: int) -> Effects:
        if self.parts.documents.is_ready:
            return self.parts.requests.handle(message, now_ms)
        refusal = outcomes.RefusedNotRun(
            outcomes.Refusal.NOT_READY, NOT_READY_RETRY_MS
        )
        return [effects.AnswerCaller(message.request_id, refusal)]

    @_decide.register(shared_messages.TransactionSettled)
    @_decide.register(shared_messages.ReadSettled)
    @_decide.register(shared_messages.ObjectRead)
    @_decide.register(shared_messages.PeerReply)
    @_decide.register(shared_messages.TimerFired)
    def _(self, message: typing.Any, now_ms: int) -> Effects:
        if message.token == stopping.DRAIN_TOKEN:
            return self._finish(now_ms)
        if message.token == stopping.RECORD_TOKEN:
            return [effects.Exit()]
        prefix = message.token.partition(':')[0]
        part = self._by_prefix.get(prefix)
        if part is None:
            return []
        return part.handle(message, now_ms)

    @_decide.register
    def _(self, message: shared_messages.PeerMessage, now_ms: int) -> Effects:
        parts = (
            self.parts.members,
            self.parts.documents,
            self.parts.facts,
            self.parts.claims,
            self._survey,
        )
        return [
            effect for part in parts for effect in part.handle(message, now_ms)
        ]

    @_decide.register
    def _(
        self, message: shared_messages.DocumentChanged, now_ms: int
    ) -> Effects:
        document = None
        self._refused.pop(message.pipeline, None)
        if message.text is not None:
            try:
                document = self._parse_document(message.text)
            except errors.CodedError as error:
                return self._refuse_document(message, error)
        self._note_in_force(message, document)
        in_force = messages.DocumentsInForce({message.pipeline: document})
        fields = {
            'pipeline': message.pipeline,
            'version': message.version,
            'sequence': message.sequence,
        }
        return [
            shared_effects.Deliver(in_force),
            shared_effects.LogEvent(events.Event.DOCUMENT_IN_FORCE, fields),
        ]

    @_decide.register
    def _(self, message: messages.HostListRead, now_ms: int) -> Effects:
        return self.parts.listing.handle(message, now_ms)

    @_decide.register
    def _(self, message: messages.EntryHostsListed, now_ms: int) -> Effects:
        return self.parts.members.listed(message.entries, now_ms)

    @_decide.register
    def _(self, message: change_results.ChangeSettled, now_ms: int) -> Effects:
        result = message.result
        answer = effects.AnswerOperator(message.query_id, result)
        request = self._changes_asked.pop(message.query_id, None)
        if not isinstance(result, change_results.ChangeAccepted):
            return [answer]
        # The host that made a change need not wait for its next poll, nor
        # for a store that has gone down since.
        own = self._own_change(request, result)
        catch_up = self.parts.documents.catch_up_to(result.sequence, now_ms)
        return [answer, *own, *catch_up]

    @_decide.register
    def _(self, message: messages.ChangeAsked, now_ms: int) -> Effects:
        self._changes_asked[message.query_id] = message.request
        changes_part = self.parts.changes
        return changes_part.submit(message.query_id, message.request, now_ms)

    @_decide.register
    def _(self, message: messages.ChangeLookedUp, now_ms: int) -> Effects:
        return self.parts.changes.look_up(
            message.query_id, message.change_id, now_ms
        )

    @_decide.register
    def _(self, message: messages.ChangeSettleAsked, now_ms: int) -> Effects:
        return self.parts.changes.settle(
            message.query_id, message.change_id, now_ms
        )

    @_decide.register(messages.DocumentsInForce)
    @_decide.register(messages.TargetsListed)
    @_decide.register(messages.LoadReported)
    @_decide.register(shared_messages.FactLearned)
    def _(self, message: typing.Any, now_ms: int) -> Effects:
        return [
            *self.parts.requests.handle(message, now_ms),
            *self.parts.orders.handle(message, now_ms),
        ]

    @_decide.register(messages.OrderAnswered)
    @_decide.register(leases.LeaseAcquired)
    @_decide.register(leases.LeaseLost)
    def _(self, message: typing.Any, now_ms: int) -> Effects:
        return self.parts.orders.handle(message, now_ms)

    @_decide.register
    def _(self, message: messages.StatusAsked, now_ms: int) -> Effects:
        return self._survey.ask(message.query_id, message.at_least, now_ms)

    @_decide.register
    def _(self, message: survey.SurveyEnded, now_ms: int) -> Effects:
        return [effects.AnswerOperator(message.query_id, message)]

    @_decide.register
    def _(self, message: messages.StopAsked, now_ms: int) -> Effects:
        return [
            *self.parts.members.leave(now_ms),
            *self.parts.orders.handle(message, now_ms),
            *self.parts.stopping.begin(now_ms),
        ]

    def _note_in_force(
        self,
        message: shared_messages.DocumentChanged,
        document: documents.Document | None,
    ) -> None:
        self._in_force.pop(message.pipeline, None)
        if document is not None:
            found = InForce(message.version, document.team)
            self._in_force[message.pipeline] = found

    def _own_change(
        self,
        request: change_rows.ChangeRequest | None,
        accepted: change_results.ChangeAccepted,
    ) -> Effects:
        if request is None:
            return []
        change = bodies.Change(
            accepted.sequence,
            accepted.pipeline,
            accepted.version,
            request.text,
        )
        return self.parts.documents.take_accepted(change)

    def _refuse_document(
        self,
        message: shared_messages.DocumentChanged,
        error: errors.CodedError,
    ) -> Effects:
        """Keep the earlier version in force and make the fault visible."""
        refused = RefusedDocument(
            message.pipeline, message.version, str(error)
        )
        self._refused[message.pipeline] = refused
        fields = attrs.asdict(refused)
        event = events.Event.DOCUMENT_REFUSED
        return [shared_effects.LogEvent(event, fields)]

    def _finish(self, now_ms: int) -> Effects:
        if not self.parts.stopping.finish():
            return []
        return self.parts.requests.handle(messages.StopAsked(), now_ms)

    def _report(self) -> bodies.StatusGiven:
        return bodies.StatusGiven(
            self.self_id,
            self.parts.documents.sequence,
            self.is_ready,
            tuple(sorted(self._refused)),
        )
