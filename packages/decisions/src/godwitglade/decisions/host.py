"""All decisions of one host: routes messages to its components.

>>> host_components = components.make_components(
...     self_id, address, random.Random(1)
... )
>>> decider = host.Host(self_id, host_components, parse_document)
>>> effects = decider.handle(message, now_ms)
"""

import collections
import functools
import typing

from godwitglade.coordination import bodies
from godwitglade.coordination import change_results
from godwitglade.coordination import change_rows
from godwitglade.coordination import effects as shared_effects
from godwitglade.coordination import hosts
from godwitglade.coordination import leases
from godwitglade.coordination import messages as shared_messages
from godwitglade.coordination import survey
from godwitglade.decisions import components as host_components
from godwitglade.decisions import effects
from godwitglade.decisions import in_force
from godwitglade.decisions import messages
from godwitglade.decisions import outcomes
from godwitglade.decisions import stopping

NOT_READY_RETRY_MS = 2_000

Effects = list[typing.Any]


class Host:
    """Handles one message at a time and returns the resulting effects.

    ``parse_document`` turns a document's text into a Document and raises
    CodedError for a text that this release cannot parse.
    """

    def __init__(
        self,
        self_id: hosts.HostId,
        components: host_components.Components,
        parse_document: in_force.ParseDocument,
    ) -> None:
        self.self_id = self_id
        self.components = components
        self.in_force = in_force.InForce(parse_document)
        self._change_requests: dict[str, change_rows.ChangeRequest] = {}
        self._survey = survey.Survey(components.members, self._make_status)
        self._by_prefix = {
            'members': components.members,
            'documents': components.documents,
            'facts': components.facts,
            'claims': components.claims,
            'changes': components.changes,
            'leases': components.leases,
            'orders': components.orders,
            'requests': components.requests,
            'survey': self._survey,
            'listing': components.host_list,
        }

    @property
    def is_ready(self) -> bool:
        """Tell whether new requests are accepted."""
        is_serving = self.components.stopping.phase is stopping.Phase.SERVING
        return self.components.documents.is_ready and is_serving

    def start(self, now_ms: int) -> Effects:
        """Start every component and return their first effects."""
        components = (
            self.components.members,
            self.components.documents,
            self.components.facts,
            self.components.claims,
            self.components.leases,
            self.components.orders,
            self.components.requests,
            self.components.host_list,
        )
        initial = [
            effect
            for component in components
            for effect in component.start(now_ms)
        ]
        return self._resolve(initial, now_ms)

    def handle(self, message: typing.Any, now_ms: int) -> Effects:
        """Handle one message at monotonic time ``now_ms``."""
        return self._resolve(self._decide(message, now_ms), now_ms)

    def _resolve(self, initial: Effects, now_ms: int) -> Effects:
        """Resolve effects between components; return the external ones."""
        pending = collections.deque(initial)
        external = []
        while pending:
            effect = pending.popleft()
            if isinstance(effect, shared_effects.Deliver):
                pending.extend(self._decide(effect.message, now_ms))
            elif isinstance(effect, shared_effects.PublishFact):
                pending.extend(self.components.facts.publish(effect, now_ms))
            elif isinstance(effect, effects.Exit):
                external.extend(self.components.stopping.record(now_ms))
            else:
                external.append(effect)
        return external

    @functools.singledispatchmethod
    def _decide(self, message: typing.Any, now_ms: int) -> Effects:
        return self.components.requests.handle(message, now_ms)

    @_decide.register
    def _(self, message: messages.RequestArrived, now_ms: int) -> Effects:
        if self.components.documents.is_ready:
            return self.components.requests.handle(message, now_ms)
        refused = outcomes.RefusedNotRun(
            outcomes.Refusal.NOT_READY, NOT_READY_RETRY_MS
        )
        return [effects.AnswerCaller(message.request_id, refused)]

    @_decide.register(shared_messages.TransactionSettled)
    @_decide.register(shared_messages.ReadSettled)
    @_decide.register(shared_messages.ObjectRead)
    @_decide.register(shared_messages.PeerReply)
    @_decide.register(shared_messages.TimerFired)
    def _(self, message: typing.Any, now_ms: int) -> Effects:
        if message.token == stopping.DRAIN_TOKEN:
            return self._stop_requests(now_ms)
        if message.token == stopping.RECORD_TOKEN:
            return [effects.Exit()]
        prefix = message.token.partition(':')[0]
        component = self._by_prefix.get(prefix)
        if component is None:
            return []
        return component.handle(message, now_ms)

    @_decide.register
    def _(self, message: shared_messages.PeerMessage, now_ms: int) -> Effects:
        components = (
            self.components.members,
            self.components.documents,
            self.components.facts,
            self.components.claims,
            self._survey,
        )
        return [
            effect
            for component in components
            for effect in component.handle(message, now_ms)
        ]

    @_decide.register
    def _(
        self, message: shared_messages.DocumentChanged, now_ms: int
    ) -> Effects:
        return self.in_force.apply(message)

    @_decide.register
    def _(self, message: messages.HostListRead, now_ms: int) -> Effects:
        return self.components.host_list.handle(message, now_ms)

    @_decide.register
    def _(self, message: messages.EntryHostsListed, now_ms: int) -> Effects:
        return self.components.members.add_entries(message.entries, now_ms)

    @_decide.register
    def _(
        self, message: change_results.ChangeCallEnded, now_ms: int
    ) -> Effects:
        result = message.result
        answer = effects.AnswerOperator(message.query_id, result)
        request = self._change_requests.pop(message.query_id, None)
        if not isinstance(result, change_results.ChangeAccepted):
            return [answer]
        # The host that made a change applies it at once, without waiting
        # for its next poll or for a store that has failed meanwhile.
        own_change = self._own_change(request, result)
        catch_up = self.components.documents.catch_up_to(
            result.sequence, now_ms
        )
        return [answer, *own_change, *catch_up]

    @_decide.register
    def _(self, message: messages.ChangeRequested, now_ms: int) -> Effects:
        self._change_requests[message.query_id] = message.request
        changes = self.components.changes
        return changes.submit(message.query_id, message.request, now_ms)

    @_decide.register
    def _(
        self, message: messages.ChangeLookupRequested, now_ms: int
    ) -> Effects:
        return self.components.changes.look_up(
            message.query_id, message.change_id, now_ms
        )

    @_decide.register
    def _(
        self, message: messages.ChangeSettleRequested, now_ms: int
    ) -> Effects:
        return self.components.changes.settle(
            message.query_id, message.change_id, now_ms
        )

    @_decide.register(messages.DocumentsInForce)
    @_decide.register(messages.TargetsListed)
    @_decide.register(messages.LoadReported)
    @_decide.register(shared_messages.FactChanged)
    def _(self, message: typing.Any, now_ms: int) -> Effects:
        return [
            *self.components.requests.handle(message, now_ms),
            *self.components.orders.handle(message, now_ms),
        ]

    @_decide.register(messages.OrderEnded)
    @_decide.register(leases.LeaseAcquired)
    @_decide.register(leases.LeaseLost)
    def _(self, message: typing.Any, now_ms: int) -> Effects:
        return self.components.orders.handle(message, now_ms)

    @_decide.register
    def _(self, message: messages.StatusRequested, now_ms: int) -> Effects:
        return self._survey.ask(message.query_id, message.at_least, now_ms)

    @_decide.register
    def _(self, message: survey.SurveyEnded, now_ms: int) -> Effects:
        return [effects.AnswerOperator(message.query_id, message)]

    @_decide.register
    def _(self, message: messages.StopRequested, now_ms: int) -> Effects:
        return [
            *self.components.members.leave(now_ms),
            *self.components.orders.handle(message, now_ms),
            *self.components.stopping.start_drain(now_ms),
        ]

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
        return self.components.documents.apply_accepted(change)

    def _stop_requests(self, now_ms: int) -> Effects:
        if not self.components.stopping.finish():
            return []
        return self.components.requests.handle(
            messages.StopRequested(), now_ms
        )

    def _make_status(self) -> bodies.StatusReply:
        return bodies.StatusReply(
            self.self_id,
            self.components.documents.sequence,
            self.is_ready,
            tuple(sorted(r.pipeline for r in self.in_force.refused)),
        )
