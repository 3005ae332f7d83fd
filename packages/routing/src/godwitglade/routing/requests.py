"""The life of one request: matched, staged, sent, sent again, answered.

Answers every load: whether a request may have run is derived here from the
calls made; `endings` tells the caller. See docs/design/platform.md.
"""

import functools
import random as randoms
import typing

from godwitglade.common import events
from godwitglade.coordination import effects as shared_effects
from godwitglade.coordination import hosts
from godwitglade.coordination import messages as shared_messages
from godwitglade.routing import admitting
from godwitglade.routing import bodies
from godwitglade.routing import budget
from godwitglade.routing import documents
from godwitglade.routing import effects
from godwitglade.routing import endings
from godwitglade.routing import forecasts
from godwitglade.routing import knowledge
from godwitglade.routing import messages
from godwitglade.routing import placement
from godwitglade.routing import placing
from godwitglade.routing import request as request_
from godwitglade.routing import request_logs
from godwitglade.routing import staging
from godwitglade.routing import targets

Effects = list[typing.Any]

DEADLINE_TOKEN = 'requests:deadline:'
PATIENCE_TOKEN = 'requests:patience:'

#: A target with less time than this has no chance to answer.
MIN_TIME_LEFT_MS = 20
#: The final answer is written this long before the deadline.
ANSWER_MARGIN_MS = 25
#: Share of the time left for the first of two sends of a plain request.
FIRST_SEND_SHARE = 0.6
#: Times a request's stages are begun anew when results are gone.
MAX_RESTARTS = 2


class Requests:
    """Every request in flight on this host."""

    def __init__(
        self,
        self_id: hosts.HostId,
        knowledge_: knowledge.Knowledge,
        directory: targets.Directory,
        random: randoms.Random,
        bounds: budget.Bounds,
        count_hosts: typing.Callable[[], int],
    ) -> None:
        self._knowledge = knowledge_
        self._directory = directory
        self._placing = placing.Placing(directory, self_id.zone, random)
        self._requests: dict[str, request_.Request] = {}
        self.budgets = budget.Budgets(bounds, count_hosts)
        self._admitting = admitting.Admitting(knowledge_, random)
        self.forecasts = forecasts.Forecasts()
        self._staging = staging.Staging(self_id, knowledge_, self.forecasts)

    def __len__(self) -> int:
        return len(self._requests)

    @functools.singledispatchmethod
    def handle(self, message: typing.Any, now_ms: int) -> Effects:
        """Take in a message; those of other parts are ignored."""
        return []

    @handle.register
    def _(self, message: messages.Arrived, now_ms: int) -> Effects:
        request = self._admitting.admit(message, now_ms)
        if not isinstance(request, request_.Request):
            return request
        self._requests[request.request_id] = request
        self.budgets.note_request(request.pool, now_ms)
        timer = shared_effects.StartTimer(
            f'{DEADLINE_TOKEN}{request.request_id}',
            request.deadline_ms - ANSWER_MARGIN_MS,
        )
        admitted = request_logs.about(
            events.Event.REQUEST_ADMITTED,
            request,
            document_version=self._knowledge.document.version,
            document_age_ms=self._knowledge.age_ms(now_ms),
            left_ms=request.deadline_ms - now_ms,
        )
        return [timer, admitted, *self._advance(request, now_ms)]

    @handle.register
    def _(self, message: shared_messages.TimerFired, now_ms: int) -> Effects:
        if message.token.startswith(DEADLINE_TOKEN):
            name = message.token.removeprefix(DEADLINE_TOKEN)
            request = self._requests.get(name)
            return [] if request is None else self._expire(request, now_ms)
        if message.token.startswith(PATIENCE_TOKEN):
            rest = message.token.removeprefix(PATIENCE_TOKEN)
            name, _, call = rest.rpartition(':')
            request = self._requests.get(name)
            if request is not None and request.calls == int(call):
                return self._lose_patience(request)
        if message.token.startswith(staging.FETCHED_TOKEN):
            job_id = message.token.removeprefix(staging.FETCHED_TOKEN)
            return self._staging.inputs_fetched(job_id)
        return []

    @handle.register
    def _(self, message: messages.CallerLeft, now_ms: int) -> Effects:
        request = self._requests.get(message.request_id)
        if request is None:
            return []
        ending = [effects.Abort(request.request_id)]
        return self._finish(request, 'caller_left', ending, now_ms)

    @handle.register
    def _(self, message: messages.CallerLost, now_ms: int) -> Effects:
        request = self._requests.get(message.request_id)
        if request is None:
            return []
        return self._finish(request, 'caller_lost', [], now_ms)

    @handle.register(messages.Answered)
    @handle.register(messages.StreamBegun)
    @handle.register(messages.NotRun)
    @handle.register(messages.NotSent)
    @handle.register(messages.Lost)
    @handle.register(messages.Failed)
    @handle.register(messages.Broken)
    def _(self, message: typing.Any, now_ms: int) -> Effects:
        request = self._requests.get(message.request_id)
        if request is None or request.calls != message.call:
            # A call that was given up ended after all.
            return []
        return self._take_in(message, request, now_ms)

    @functools.singledispatchmethod
    def _take_in(
        self, message: typing.Any, request: request_.Request, now_ms: int
    ) -> Effects:
        """Take in what a target did with the present call of a request."""
        raise TypeError(type(message).__name__)

    @_take_in.register
    def _(
        self,
        message: messages.Answered,
        request: request_.Request,
        now_ms: int,
    ) -> Effects:
        placement.succeeded(request.target, message.load, now_ms)
        if not request.has_begun:
            self.forecasts.begun(request.pool, now_ms - request.sent_ms)
        outcome = f'answered_{message.status}'
        return self._finish(request, outcome, [], now_ms, is_done=True)

    @_take_in.register
    def _(
        self,
        message: messages.StreamBegun,
        request: request_.Request,
        now_ms: int,
    ) -> Effects:
        request.has_begun = request.has_run = True
        placement.succeeded(request.target, message.load, now_ms)
        self.forecasts.begun(request.pool, now_ms - request.sent_ms)
        return self._staging.release(request)

    @_take_in.register
    def _(
        self, message: messages.NotRun, request: request_.Request, now_ms: int
    ) -> Effects:
        placement.heard(request.target, message.load, now_ms)
        found = [
            request_logs.about(
                events.Event.CALL_NOT_RUN,
                request,
                target=request.target.name,
                status=message.status,
            )
        ]
        self._placing.leave(request)
        if message.is_misdirected:
            found.append(effects.RefreshTargets())
        if message.is_input_gone:
            request.tried.clear()
            return found + self._restart(request, now_ms)
        return found + self._send_again(request, now_ms)

    @_take_in.register
    def _(
        self, message: messages.NotSent, request: request_.Request, now_ms: int
    ) -> Effects:
        found = self._placing.fail(request, message.detail, True, now_ms)
        request.sends -= 1
        return found + self._send_again(request, now_ms)

    @_take_in.register
    def _(
        self, message: messages.Lost, request: request_.Request, now_ms: int
    ) -> Effects:
        answer = effects.Answer(request.request_id, 502, 'no_answer')
        return self._ran_badly(request, message.detail, 'lost', answer, now_ms)

    @_take_in.register
    def _(
        self, message: messages.Failed, request: request_.Request, now_ms: int
    ) -> Effects:
        placement.heard(request.target, message.load, now_ms)
        detail = f'status {message.status}'
        held = effects.RelayHeld(request.request_id)
        return self._ran_badly(request, detail, 'failed', held, now_ms)

    @_take_in.register
    def _(
        self, message: messages.Broken, request: request_.Request, now_ms: int
    ) -> Effects:
        ending: typing.Any = effects.Abort(request.request_id)
        if not message.has_begun:
            ending = effects.Answer(request.request_id, 502, 'broken')
        return self._ran_badly(
            request, message.detail, 'broken', ending, now_ms
        )

    def _ran_badly(
        self,
        request: request_.Request,
        detail: str,
        outcome: str,
        ending: typing.Any,
        now_ms: int,
    ) -> Effects:
        """Send a request again that a target may have run, or end it."""
        request.has_run = True
        found = self._placing.fail(request, detail, False, now_ms)
        if request.may_repeat:
            # A failure that is held back is passed on if no target is left.
            has_answer = isinstance(ending, effects.RelayHeld)
            return found + self._send_again(request, now_ms, has_answer)
        return found + self._finish(request, outcome, [ending], now_ms)

    def job_ended(self, job: bodies.JobEnded, now_ms: int) -> Effects:
        """Take in the end of a job that this host asked for."""
        if job.ending in (bodies.Ending.DONE, bodies.Ending.REFUSED):
            self.forecasts.told(job.pool, job.wait_ms, now_ms)
        request = self._staging.request_of(job.job_id)
        if request is None:
            if job.ending is bodies.Ending.DONE:
                return [effects.ReleaseJobs((job.job_id,))]
            return []
        stage = request.jobs[job.job_id]
        if stage in request.progress.handles:
            # The same result, told a second time.
            return []
        if job.ending is bodies.Ending.DONE:
            found = self._staging.done(request, job)
            return found + self._advance(request, now_ms)
        self._staging.forget(request, job.job_id)
        log = request_logs.about(
            events.Event.STAGE_FAILED,
            request,
            stage=stage,
            ending=job.ending.value,
            wait_ms=job.wait_ms,
        )
        if job.ending is bodies.Ending.MOVED:
            request.progress.started.discard(stage)
            return [log, *self._advance(request, now_ms)]
        if job.ending is bodies.Ending.INPUT_GONE:
            return [log, *self._restart(request, now_ms)]
        return [
            log,
            *self._refuse(request, job.ending.value, job.wait_ms, now_ms),
        ]

    def job_begun(self, job_id: str, now_ms: int) -> Effects:
        """Take in that all items of a job are in calls."""
        return self._staging.job_begun(job_id, now_ms)

    def resubmit(self, job_id: str, now_ms: int) -> Effects:
        """Ask again for a job whose owner does not answer."""
        request = self._staging.request_of(job_id)
        if request is None:
            return []
        stage = request.jobs[job_id]
        self._staging.forget(request, job_id)
        request.progress.started.discard(stage)
        return self._advance(request, now_ms)

    def _advance(self, request: request_.Request, now_ms: int) -> Effects:
        """Start the stages that can start, or send the request."""
        if request.progress.is_complete:
            return self._send(request, now_ms)
        return self._staging.start(request, now_ms)

    def _restart(self, request: request_.Request, now_ms: int) -> Effects:
        request.restarts += 1
        if request.restarts > MAX_RESTARTS:
            return self._refuse(request, 'inputs_gone', 0, now_ms)
        found = self._staging.restart(request)
        return found + self._advance(request, now_ms)

    def _send(
        self, request: request_.Request, now_ms: int, has_answer: bool = False
    ) -> Effects:
        left_ms = request.deadline_ms - ANSWER_MARGIN_MS - now_ms
        if left_ms < MIN_TIME_LEFT_MS:
            return self._expire(request, now_ms)
        target = self._placing.choose(request, now_ms)
        if target is None:
            return self._no_target(request, has_answer, now_ms)
        request.calls += 1
        request.sends += 1
        self._placing.enter(request, target, now_ms)
        forward = effects.Forward(
            request_id=request.request_id,
            call=request.calls,
            target=target.listed,
            timeout_ms=left_ms,
            workspace=request.workspace and request.workspace.name,
            inputs=request.progress.results(),
            may_repeat=request.may_repeat,
            is_stream=request.route.kind is documents.RequestKind.STREAM,
            needs_new_connection=not request.route.is_repeatable,
        )
        sent = request_logs.about(
            events.Event.REQUEST_SENT,
            request,
            target=target.name,
            fullness=round(placement.fullness(target, now_ms), 2),
            load_age_ms=now_ms - target.load_ms if target.load else None,
            list_version=self._directory.version,
        )
        return [forward, sent, *self._patience(request, left_ms, now_ms)]

    def _patience(
        self, request: request_.Request, left_ms: int, now_ms: int
    ) -> Effects:
        """Keep time for a second send of a plain, repeatable request."""
        is_plain = request.route.kind is documents.RequestKind.IDEMPOTENT
        if not (is_plain and request.may_repeat):
            return []
        token = f'{PATIENCE_TOKEN}{request.request_id}:{request.calls}'
        due_ms = now_ms + int(FIRST_SEND_SHARE * left_ms)
        return [shared_effects.StartTimer(token, due_ms)]

    def _lose_patience(self, request: request_.Request) -> Effects:
        if request.target is None:
            return []
        return [effects.CancelCall(request.request_id, request.calls)]

    def _send_again(
        self, request: request_.Request, now_ms: int, has_answer: bool = False
    ) -> Effects:
        is_spent = request.sends >= request.route.max_targets
        if is_spent or not self.budgets.spend(request.pool, now_ms):
            return self._no_target(request, has_answer, now_ms)
        return self._send(request, now_ms, has_answer)

    def _no_target(
        self, request: request_.Request, has_answer: bool, now_ms: int
    ) -> Effects:
        if has_answer:
            held = [effects.RelayHeld(request.request_id)]
            return self._finish(request, 'failed', held, now_ms)
        return self._refuse(request, 'no_target', 0, now_ms)

    def _refuse(
        self, request: request_.Request, reason: str, wait_ms: int, now_ms: int
    ) -> Effects:
        ending = endings.refused(request, reason, wait_ms)
        return self._finish(request, reason, ending, now_ms)

    def _expire(self, request: request_.Request, now_ms: int) -> Effects:
        ending = endings.expired(request)
        return self._finish(request, 'deadline', ending, now_ms)

    def _finish(
        self,
        request: request_.Request,
        outcome: str,
        ending: Effects,
        now_ms: int,
        is_done: bool = False,
    ) -> Effects:
        """End a request; cancel what is still under way for it."""
        del self._requests[request.request_id]
        cancelled: Effects = []
        if request.target is not None and not is_done:
            cancelled = [effects.CancelCall(request.request_id, request.calls)]
        target = request.target
        self._placing.leave(request)
        log = request_logs.about(
            events.Event.REQUEST_ENDED,
            request,
            outcome=outcome,
            may_have_run=request.has_run or target is not None,
            sends=request.sends,
            target=target.name if target is not None else None,
            elapsed_ms=now_ms - request.arrived.read_ms,
        )
        timing = shared_effects.Timing(
            f'request.{outcome}', now_ms - request.arrived.read_ms
        )
        freed = self._staging.release(request)
        return [*ending, *cancelled, *freed, log, timing]
