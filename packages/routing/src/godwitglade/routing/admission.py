"""Admission of requests: find the route, check the key, set deadlines."""

import random as randoms
import typing

from godwitglade.routing import document_state
from godwitglade.routing import documents
from godwitglade.routing import effects
from godwitglade.routing import home_regions
from godwitglade.routing import messages
from godwitglade.routing import pipeline
from godwitglade.routing import request as request_
from godwitglade.routing import request_logs
from godwitglade.routing import traits

Effects = list[typing.Any]

#: Retry time for callers of a host without a sufficiently recent document.
RETRY_AFTER_MS = 500


class Admission:
    """Checks requests against the document in force."""

    def __init__(
        self,
        document_state_: document_state.DocumentState,
        random: randoms.Random,
    ) -> None:
        self._document_state = document_state_
        self._random = random

    def admit(
        self, message: messages.RequestArrived, now_ms: int
    ) -> request_.Request | Effects:
        """Return the admitted request, or the effects that refuse it."""
        document = self._document_state.document
        if document is None:
            return self._refuse_temporarily(message, 'no_document')
        route = document.match(message.host, message.path)
        if route is None:
            return self._reject(message, 404, 'no_route')
        workspace = None
        if document.workspaces is not None and not route.needs_no_key:
            workspace = document.workspace_of(message.key or '')
            if not self._document_state.may_accept_keys(now_ms):
                return self._refuse_temporarily(message, 'document_too_old')
            if workspace is None:
                return self._reject(message, 401, 'unknown_key')
        try:
            progress = pipeline.Progress(route.stages, message.item_counts)
        except ValueError as error:
            return self._reject(message, 400, str(error))
        return self._make_request(message, route, workspace, progress)

    def _make_request(
        self,
        message: messages.RequestArrived,
        route: documents.Route,
        workspace: documents.Workspace | None,
        progress: pipeline.Progress,
    ) -> request_.Request:
        budget_ms = route.timeout_ms
        if message.budget_ms is not None:
            budget_ms = min(budget_ms, message.budget_ms)
        request = request_.Request(
            arrived=message,
            route=route,
            pool=self._select_pool(route),
            workspace=workspace,
            deadline_ms=message.read_ms + budget_ms,
            due_ms=message.read_ms + min(budget_ms, route.objective_ms),
            progress=progress,
            traits=traits.traits_of(
                message, workspace.name if workspace else '', route.has_prompt
            ),
            regions=home_regions.allowed(
                route.regions, workspace.regions if workspace else ()
            ),
        )
        if request.is_resume:
            # The objective is the time to the first event, which has arrived.
            request.due_ms = request.deadline_ms
        return request

    def _select_pool(self, route: documents.Route) -> str:
        weights = [pool.weight for pool in route.pools]
        names = [pool.name for pool in route.pools]
        if not any(weights):
            return names[0]
        return self._random.choices(names, weights)[0]

    def _refuse_temporarily(
        self, message: messages.RequestArrived, reason: str
    ) -> Effects:
        answer = effects.Answer(
            message.request_id, 503, reason, RETRY_AFTER_MS
        )
        return [answer, request_logs.refusal_event(message, 503, reason)]

    def _reject(
        self, message: messages.RequestArrived, status: int, reason: str
    ) -> Effects:
        answer = effects.Answer(message.request_id, status, reason)
        return [answer, request_logs.refusal_event(message, status, reason)]
