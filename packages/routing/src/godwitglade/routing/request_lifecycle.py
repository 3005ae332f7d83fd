"""Lifecycle of a request: match, run stages, send, retry, answer.

Whether a request may have run is derived here from the calls made;
`error_replies` reports it to the caller. See docs/design/platform.md.
"""

import functools
import random as randoms
import typing

from godwitglade.common import events
from godwitglade.coordination import effects as shared_effects
from godwitglade.coordination import hosts
from godwitglade.coordination import messages as shared_messages
from godwitglade.routing import admission
from godwitglade.routing import bodies
from godwitglade.routing import budget
from godwitglade.routing import call_tracking
from godwitglade.routing import document_state
from godwitglade.routing import documents
from godwitglade.routing import effects
from godwitglade.routing import error_replies
from godwitglade.routing import forecasts
from godwitglade.routing import messages
from godwitglade.routing import quarantine
from godwitglade.routing import request as request_
from godwitglade.routing import request_logs
from godwitglade.routing import stage_jobs
from godwitglade.routing import target_selection
from godwitglade.routing import targets

Effects = list[typing.Any]

DEADLINE_TOKEN = 'requests:deadline:'
SLOW_CALL_TOKEN = 'requests:patience:'

#: A request is not sent with less time left: no target responds that fast.
MIN_TIME_LEFT_MS = 20
#: The final reply is written this long before the deadline.
ANSWER_MARGIN_MS = 25
#: Share of the time left after which an idempotent request without a
#: response is sent to another target.
FIRST_SEND_SHARE = 0.6
#: Times a request's stages are restarted because results are gone.
MAX_RESTARTS = 2


class Requests:
    """All requests in flight on this host."""

    def __init__(
        self,
        self_id: hosts.HostId,
        document_state_: document_state.DocumentState,
        directory: targets.Directory,
        random: randoms.Random,
        bounds: budget.Bounds,
        count_hosts: typing.Callable[[], int],
        quarantine_: quarantine.Quarantine,
    ) -> None:
        self._document_state = document_state_
        self._directory = directory
        self._quarantine = quarantine_
        self._tracker = call_tracking.CallTracker(
            directory, self_id.zone, random
        )
        self._requests: dict[str, request_.Request] = {}
        self.budgets = budget.Budgets(bounds, count_hosts)
        self._admission = admission.Admission(document_state_, random)
        self.forecasts = forecasts.Forecasts()
        self._stage_jobs = stage_jobs.StageJobs(
            self_id, document_state_, self.forecasts
        )

    def __len__(self) -> int:
        return len(self._requests)

    @functools.singledispatchmethod
    def handle(self, message: typing.Any, now_ms: int) -> Effects:
        """Handle a message; messages of other components are ignored."""
        return []

    @handle.register
    def _(self, message: messages.RequestArrived, now_ms: int) -> Effects:
        request = self._admission.admit(message, now_ms)
        if not isinstance(request, request_.Request):
            return request
        if self._quarantine.refuses(request, now_ms):
            log = request_logs.refusal_event(message, 503, 'quarantined')
            return [*error_replies.quarantined(request), log]
        self._requests[request.request_id] = request
        self.budgets.record_request(request.pool, now_ms)
        timer = shared_effects.StartTimer(
            f'{DEADLINE_TOKEN}{request.request_id}',
            request.deadline_ms - ANSWER_MARGIN_MS,
        )
        admitted = request_logs.request_event(
            events.Event.REQUEST_ADMITTED,
            request,
            document_version=self._document_state.document.version,
            document_age_ms=self._document_state.age_ms(now_ms),
            left_ms=request.deadline_ms - now_ms,
        )
        return [timer, admitted, *self._advance(request, now_ms)]

    @handle.register
    def _(self, message: shared_messages.TimerFired, now_ms: int) -> Effects:
        if message.token.startswith(DEADLINE_TOKEN):
            name = message.token.removeprefix(DEADLINE_TOKEN)
            request = self._requests.get(name)
            return [] if request is None else self._expire(request, now_ms)
        if message.token.startswith(SLOW_CALL_TOKEN):
            rest = message.token.removeprefix(SLOW_CALL_TOKEN)
            name, _, call = rest.rpartition(':')
            request = self._requests.get(name)
            if request is not None and request.calls == int(call):
                return self._cancel_slow_call(request)
        if message.token.startswith(stage_jobs.FETCHED_TOKEN):
            job_id = message.token.removeprefix(stage_jobs.FETCHED_TOKEN)
            return self._stage_jobs.inputs_fetched(job_id)
        return []

    @handle.register
    def _(self, message: messages.CallerDisconnected, now_ms: int) -> Effects:
        request = self._requests.get(message.request_id)
        if request is None:
            return []
        ending = [effects.AbortResponse(request.request_id)]
        return self._finish(request, 'caller_left', ending, now_ms)

    @handle.register
    def _(self, message: messages.ResponseNotWritten, now_ms: int) -> Effects:
        request = self._requests.get(message.request_id)
        if request is None:
            return []
        return self._finish(request, 'caller_lost', [], now_ms)

    @handle.register(messages.ResponseCompleted)
    @handle.register(messages.StreamStarted)
    @handle.register(messages.CallNotRun)
    @handle.register(messages.CallNotSent)
    @handle.register(messages.CallLost)
    @handle.register(messages.CallFailed)
    @handle.register(messages.StreamBroken)
    def _(self, message: typing.Any, now_ms: int) -> Effects:
        request = self._requests.get(message.request_id)
        if request is None or request.calls != message.call:
            # The result of a call that was cancelled.
            return []
        return self._apply(message, request, now_ms)

    @functools.singledispatchmethod
    def _apply(
        self, message: typing.Any, request: request_.Request, now_ms: int
    ) -> Effects:
        """Apply the result of the current call of a request."""
        raise TypeError(type(message).__name__)

    def _record_limit(
        self, target: targets.Target, limit: targets.NamedLimit | None
    ) -> Effects:
        """Record the limit named in a response; return log events."""
        if limit is None or limit == target.limit:
            return []
        target.limit = limit
        fields = {'target': target.name, 'milli_per_s': limit.milli_per_s}
        return [shared_effects.LogEvent(events.Event.TARGET_LIMITED, fields)]

    @_apply.register
    def _(
        self,
        message: messages.ResponseCompleted,
        request: request_.Request,
        now_ms: int,
    ) -> Effects:
        target_selection.record_success(request.target, message.load, now_ms)
        if not request.has_response_started:
            self._record_start(request, now_ms)
        outcome = f'answered_{message.status}'
        effects_ = self._record_limit(request.target, message.limit)
        effects_ += self._quarantine.record_success(request, now_ms)
        return effects_ + self._finish(
            request, outcome, [], now_ms, is_done=True
        )

    @_apply.register
    def _(
        self,
        message: messages.StreamStarted,
        request: request_.Request,
        now_ms: int,
    ) -> Effects:
        request.has_run = True
        request.response_started_ms = now_ms
        target_selection.record_success(request.target, message.load, now_ms)
        self._record_start(request, now_ms)
        limited = self._record_limit(request.target, message.limit)
        return limited + self._stage_jobs.release(request)

    @_apply.register
    def _(
        self,
        message: messages.CallNotRun,
        request: request_.Request,
        now_ms: int,
    ) -> Effects:
        target_selection.record_load(request.target, message.load, now_ms)
        effects_ = [
            request_logs.request_event(
                events.Event.CALL_NOT_RUN,
                request,
                target=request.target.name,
                status=message.status,
            )
        ]
        self._tracker.end_call(request)
        if message.is_misdirected:
            effects_.append(effects.RefreshTargets())
        if message.is_input_gone:
            request.tried.clear()
            return effects_ + self._restart(request, now_ms)
        return effects_ + self._resend(request, now_ms)

    @_apply.register
    def _(
        self,
        message: messages.CallNotSent,
        request: request_.Request,
        now_ms: int,
    ) -> Effects:
        effects_ = self._tracker.fail_call(
            request, message.detail, True, now_ms
        )
        request.sends -= 1
        return effects_ + self._resend(request, now_ms)

    @_apply.register
    def _(
        self,
        message: messages.CallLost,
        request: request_.Request,
        now_ms: int,
    ) -> Effects:
        answer = effects.Answer(request.request_id, 502, 'no_answer')
        return self._handle_failure(
            request,
            message.detail,
            'lost',
            answer,
            now_ms,
            message.is_target_gone,
        )

    @_apply.register
    def _(
        self,
        message: messages.CallFailed,
        request: request_.Request,
        now_ms: int,
    ) -> Effects:
        target_selection.record_load(request.target, message.load, now_ms)
        detail = f'status {message.status}'
        held = effects.ForwardHeldResponse(request.request_id)
        limited = self._record_limit(request.target, message.limit)
        return limited + self._handle_failure(
            request, detail, 'failed', held, now_ms
        )

    @_apply.register
    def _(
        self,
        message: messages.StreamBroken,
        request: request_.Request,
        now_ms: int,
    ) -> Effects:
        ending: typing.Any = effects.AbortResponse(request.request_id)
        if not message.has_response_started:
            ending = effects.Answer(request.request_id, 502, 'broken')
        return self._handle_failure(
            request,
            message.detail,
            'broken',
            ending,
            now_ms,
            message.is_target_gone,
        )

    def _record_start(self, request: request_.Request, now_ms: int) -> None:
        elapsed_ms = now_ms - request.sent_ms
        self.forecasts.record_start(request.route.name, elapsed_ms)

    def _handle_failure(
        self,
        request: request_.Request,
        detail: str,
        outcome: str,
        ending: typing.Any,
        now_ms: int,
        is_target_gone: bool = False,
    ) -> Effects:
        """Retry a request that a target may have run, or end it."""
        request.has_run = True
        effects_: Effects = []
        if is_target_gone and not request.target.listed.is_leaving:
            request.crashes += 1
            effects_ += self._quarantine.record_crash(
                request, request.target.listed, now_ms
            )
        effects_ += self._tracker.fail_call(
            request, detail, False, now_ms, is_target_gone
        )
        if request.may_retry:
            # A failure held back is forwarded if no target is left.
            has_held_response = isinstance(ending, effects.ForwardHeldResponse)
            return effects_ + self._resend(request, now_ms, has_held_response)
        return effects_ + self._finish(request, outcome, [ending], now_ms)

    def clear_running(self, now_ms: int) -> Effects:
        """Clear the traits of responses that have been running for long."""
        return [
            effect
            for request in self._requests.values()
            for effect in self._quarantine.clear(
                quarantine.settled_traits(request, now_ms)
            )
        ]

    def refuse_quarantined(self, now_ms: int) -> Effects:
        """Refuse requests that are not sent yet and crash targets."""
        refused = [
            request
            for request in self._requests.values()
            if request.target is None
            and self._quarantine.refuses(request, now_ms)
        ]
        return [
            effect
            for request in refused
            for effect in self._refuse_quarantined(request, now_ms)
        ]

    def job_ended(self, job: bodies.JobEnded, now_ms: int) -> Effects:
        """Apply the result of a job that this host requested."""
        if job.ending in (bodies.Ending.DONE, bodies.Ending.REFUSED):
            self.forecasts.record_wait(job.pool, job.wait_ms, now_ms)
        request = self._stage_jobs.request_of(job.job_id)
        if request is None:
            if job.ending is bodies.Ending.DONE:
                return [effects.ReleaseJobs((job.job_id,))]
            return []
        stage = request.jobs[job.job_id]
        if stage in request.progress.handles:
            # A duplicate report of the same result.
            return []
        if job.ending is bodies.Ending.DONE:
            effects_ = self._stage_jobs.job_done(request, job)
            return effects_ + self._advance(request, now_ms)
        self._stage_jobs.remove_job(request, job.job_id)
        log = request_logs.request_event(
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

    def job_started(self, job_id: str, now_ms: int) -> Effects:
        """Record that all items of a job have been dispatched."""
        return self._stage_jobs.job_started(job_id, now_ms)

    def resubmit(self, job_id: str, now_ms: int) -> Effects:
        """Request a job again whose owner is lost."""
        request = self._stage_jobs.request_of(job_id)
        if request is None:
            return []
        stage = request.jobs[job_id]
        self._stage_jobs.remove_job(request, job_id)
        request.progress.started.discard(stage)
        return self._advance(request, now_ms)

    def _advance(self, request: request_.Request, now_ms: int) -> Effects:
        """Start the stages that are ready, or send the request."""
        if request.progress.is_complete:
            return self._send(request, now_ms)
        return self._stage_jobs.start(request, now_ms)

    def _restart(self, request: request_.Request, now_ms: int) -> Effects:
        request.restarts += 1
        if request.restarts > MAX_RESTARTS:
            return self._refuse(request, 'inputs_gone', 0, now_ms)
        effects_ = self._stage_jobs.restart(request)
        return effects_ + self._advance(request, now_ms)

    def _send(
        self,
        request: request_.Request,
        now_ms: int,
        has_held_response: bool = False,
    ) -> Effects:
        left_ms = request.deadline_ms - ANSWER_MARGIN_MS - now_ms
        if left_ms < MIN_TIME_LEFT_MS:
            return self._expire(request, now_ms)
        if self._quarantine.refuses(request, now_ms):
            return self._refuse_quarantined(request, now_ms)
        target = self._tracker.choose(request, now_ms)
        if target is None:
            return self._end_without_retry(request, has_held_response, now_ms)
        request.calls += 1
        request.sends += 1
        self._tracker.start_call(request, target, now_ms)
        forward = effects.Forward(
            request_id=request.request_id,
            call=request.calls,
            target=target.listed,
            timeout_ms=left_ms,
            workspace=request.workspace and request.workspace.name,
            inputs=request.progress.results(),
            may_retry=request.may_retry,
            is_stream=request.route.kind is documents.RequestKind.STREAM,
            needs_new_connection=not request.route.is_repeatable,
        )
        sent = request_logs.request_event(
            events.Event.REQUEST_SENT,
            request,
            target=target.name,
            fullness=round(target_selection.fullness(target, now_ms), 2),
            load_age_ms=now_ms - target.load_ms if target.load else None,
            list_version=self._directory.version,
        )
        return [
            forward,
            sent,
            *self._start_resend_timer(request, left_ms, now_ms),
        ]

    def _start_resend_timer(
        self, request: request_.Request, left_ms: int, now_ms: int
    ) -> Effects:
        """Start the timer that cancels a slow call of an idempotent request.

        The time left after it is enough for a second target.
        """
        is_idempotent = request.route.kind is documents.RequestKind.IDEMPOTENT
        if not (is_idempotent and request.may_retry):
            return []
        token = f'{SLOW_CALL_TOKEN}{request.request_id}:{request.calls}'
        due_ms = now_ms + int(FIRST_SEND_SHARE * left_ms)
        return [shared_effects.StartTimer(token, due_ms)]

    def _cancel_slow_call(self, request: request_.Request) -> Effects:
        if request.target is None:
            return []
        return [effects.CancelCall(request.request_id, request.calls)]

    def _resend(
        self,
        request: request_.Request,
        now_ms: int,
        has_held_response: bool = False,
    ) -> Effects:
        has_no_sends_left = request.sends >= request.route.max_targets
        if has_no_sends_left or not self.budgets.spend(request.pool, now_ms):
            return self._end_without_retry(request, has_held_response, now_ms)
        return self._send(request, now_ms, has_held_response)

    def _end_without_retry(
        self, request: request_.Request, has_held_response: bool, now_ms: int
    ) -> Effects:
        if has_held_response:
            held = [effects.ForwardHeldResponse(request.request_id)]
            return self._finish(request, 'failed', held, now_ms)
        return self._refuse(request, 'no_target', 0, now_ms)

    def _refuse(
        self, request: request_.Request, reason: str, wait_ms: int, now_ms: int
    ) -> Effects:
        ending = error_replies.refused(request, reason, wait_ms)
        return self._finish(request, reason, ending, now_ms)

    def _refuse_quarantined(
        self, request: request_.Request, now_ms: int
    ) -> Effects:
        ending = error_replies.quarantined(request)
        return self._finish(request, 'quarantined', ending, now_ms)

    def _expire(self, request: request_.Request, now_ms: int) -> Effects:
        ending = error_replies.expired(request)
        return self._finish(request, 'deadline', ending, now_ms)

    def _finish(
        self,
        request: request_.Request,
        outcome: str,
        ending: Effects,
        now_ms: int,
        is_done: bool = False,
    ) -> Effects:
        """End a request; cancel its open call and release its jobs."""
        del self._requests[request.request_id]
        self._quarantine.end_request(request)
        cancelled: Effects = []
        if request.target is not None and not is_done:
            cancelled = [effects.CancelCall(request.request_id, request.calls)]
        target = request.target
        self._tracker.end_call(request)
        log = request_logs.request_event(
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
        freed = self._stage_jobs.release(request)
        return [*ending, *cancelled, *freed, log, timing]
