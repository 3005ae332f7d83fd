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
from godwitglade.routing import engine_choice
from godwitglade.routing import error_replies
from godwitglade.routing import forecasts
from godwitglade.routing import hand_over
from godwitglade.routing import messages
from godwitglade.routing import permit_schedule
from godwitglade.routing import process_confirmations
from godwitglade.routing import quarantine
from godwitglade.routing import rate_limits
from godwitglade.routing import reachability
from godwitglade.routing import request as request_
from godwitglade.routing import request_logs
from godwitglade.routing import resumption
from godwitglade.routing import stage_jobs
from godwitglade.routing import stopping
from godwitglade.routing import stream_versions
from godwitglade.routing import target_changes
from godwitglade.routing import target_selection
from godwitglade.routing import targets

Effects = list[typing.Any]

DEADLINE_TOKEN = 'requests:deadline:'
SLOW_CALL_TOKEN = 'requests:patience:'
PERMIT_TOKEN = 'requests:permit:'

#: Results of calls that show that a target is reached.
RESPONSES = (
    messages.ResponseCompleted,
    messages.StreamStarted,
    messages.CallNotRun,
    messages.CallFailed,
)
#: A request is not sent with less time left: no target responds that fast.
MIN_TIME_LEFT_MS = 20
#: The final reply is written this long before the deadline.
ANSWER_MARGIN_MS = 25
#: Share of the time left after which an idempotent request without a
#: response is sent to another target.
FIRST_SEND_SHARE = 0.6
#: Share of the time to the objective, and of that to the deadline, for which
#: a request may wait for a limited target, and the longest wait.
WAIT_SHARE = 0.5
LATE_WAIT_SHARE = 0.125
MAX_PERMIT_WAIT_MS = 1_000
#: Callers come back within this share of the time that they have left, and
#: are told to come back after this time at most.
RETURN_SHARE = 0.3
MAX_RETURN_MS = 3_500
#: Retry time of a caller for whom no place could be kept.
FULL_WAIT_MS = error_replies.MAX_RETRY_AFTER_MS
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
        limits: rate_limits.RateLimits,
        resumptions: resumption.Resumptions,
        reachability_: reachability.Reachability,
        hand_over_: hand_over.HandOver,
        stopping_: stopping.Stopping,
        confirmations: process_confirmations.ProcessConfirmations,
        prompt_window_ms: int | None = None,
    ) -> None:
        self._stopping = stopping_
        self._confirmations = confirmations
        self._resumptions = resumptions
        self._reachability = reachability_
        self._hand_over = hand_over_
        self._waiting_for_probe: list[str] = []
        self._document_state = document_state_
        self._directory = directory
        self._quarantine = quarantine_
        self._limits = limits
        self.chooser = engine_choice.EngineChooser(
            prompt_window_ms, count_hosts
        )
        self._tracker = call_tracking.CallTracker(
            directory,
            self_id.zone,
            random,
            limits,
            document_state_,
            self.chooser,
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
        expected_ms = self.forecasts.end_ms(request.route.name)
        if not self._stopping.may_take(
            request.deadline_ms, expected_ms, now_ms
        ):
            return self._refuse_while_stopping(request)
        self._requests[request.request_id] = request
        is_served = self._is_served(request)
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
            resumes=message.resumes or None,
        )
        if not is_served:
            reason = (
                'no_target' if request.regions is None else 'no_home_target'
            )
            refused = self._refuse(request, reason, 0, now_ms)
            return [timer, admitted, *refused]
        return [timer, admitted, *self._begin(request, now_ms)]

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
                return self._cancel_slow_call(request, now_ms)
        if message.token.startswith(resumption.CONFIRM_TOKEN):
            name = message.token.removeprefix(resumption.CONFIRM_TOKEN)
            decision = self._resumptions.expire(name, now_ms)
            if decision is not None:
                return self._resume(self._requests[name], decision, now_ms)
        if message.token.startswith(PERMIT_TOKEN):
            rest = message.token.removeprefix(PERMIT_TOKEN)
            return self._use_permit(rest, now_ms)
        if message.token.startswith(stage_jobs.FETCHED_TOKEN):
            job_id = message.token.removeprefix(stage_jobs.FETCHED_TOKEN)
            return self._stage_jobs.inputs_fetched(job_id)
        return []

    @handle.register
    def _(self, message: shared_messages.PeerReply, now_ms: int) -> Effects:
        if message.token.startswith(stream_versions.ASKED_TOKEN):
            return self._apply_stream_reply(message, now_ms)
        token = message.token.removeprefix(rate_limits.TOKEN)
        request = self._awaiting_permit(token)
        if request is None:
            return []
        grant = rate_limits.decode_grant(message.body)
        return self._apply_grant(request, grant, now_ms)

    @handle.register
    def _(self, message: messages.BodyEnded, now_ms: int) -> Effects:
        return [request_logs.body_event(message)]

    @handle.register
    def _(self, message: messages.NoticeReceived, now_ms: int) -> Effects:
        target = self._directory.find(message.target.name)
        if target is None:
            return []
        if target.listed.started_ms != message.target.started_ms:
            return []
        noted = self._apply_notice(target, message.notice, now_ms)
        return noted + self._limits.record_limit(target, message.limit, now_ms)

    @handle.register
    def _(self, message: messages.ProcessUnknown, now_ms: int) -> Effects:
        request = self._requests.get(message.request_id)
        if request is None or request.calls != message.call:
            return []
        return self._confirmations.ask(request, now_ms)

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
        if isinstance(message, RESPONSES) and not request.is_handed_over:
            self._reachability.record_contact(now_ms)
            noted = self._apply_notice(request.target, message.notice, now_ms)
            noted += self._tracker.check_load(request.target, message.load)
            return noted + self._apply(message, request, now_ms)
        return self._apply(message, request, now_ms)

    def _apply_notice(
        self, target: targets.Target, notice: targets.Notice, now_ms: int
    ) -> Effects:
        """Apply what a target says of itself; return what follows from it."""
        told = self._limits.tell_cold(target, notice.cold_ms, now_ms)
        changes = self._directory.apply_notice(target, notice, now_ms)
        return told + target_changes.logs(changes, self._directory.version)

    @functools.singledispatchmethod
    def _apply(
        self, message: typing.Any, request: request_.Request, now_ms: int
    ) -> Effects:
        """Apply the result of the current call of a request."""
        raise TypeError(type(message).__name__)

    def _record_limit(
        self, request: request_.Request, message: typing.Any, now_ms: int
    ) -> Effects:
        """Record the limit that a target names at the start of a response."""
        return self._limits.record_response(
            request.target, message.limit, request.sent_ms, now_ms
        )

    @_apply.register
    def _(
        self,
        message: messages.ResponseCompleted,
        request: request_.Request,
        now_ms: int,
    ) -> Effects:
        target_selection.record_success(request.target, message.load, now_ms)
        outcome = f'answered_{message.status}'
        if request.is_handed_over and message.status >= 300:
            # A refusal of the other host says nothing about the request.
            return self._finish(request, outcome, [], now_ms, is_done=True)
        effects_: Effects = []
        if not request.has_response_started:
            self._record_start(request, message.load, now_ms)
            effects_ += self._record_limit(request, message, now_ms)
        if not request.is_resume:
            elapsed_ms = now_ms - request.arrived.read_ms
            self.forecasts.record_end(request.route.name, elapsed_ms)
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
        if request.is_handed_over:
            return self._stage_jobs.release(request)
        limited = self._record_limit(request, message, now_ms)
        target_selection.record_success(request.target, message.load, now_ms)
        self._record_start(request, message.load, now_ms)
        read: Effects = []
        if request.target.record_process(message.started_ms):
            read = [effects.RefreshTargets()]
        told = self._resumptions.record_event(request, message, now_ms)
        return read + limited + told + self._stage_jobs.release(request)

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
        if request.is_handed_over:
            # The other host has sent it to no target.
            request.sends -= 1
        if message.status == targets.BUSY_STATUS:
            self._limits.record_turned_away(request.target)
        if not message.is_misdirected:
            effects_ += self._limits.record_limit(
                request.target, message.limit, now_ms
            )
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
        if message.is_replaced:
            return self._leave_replaced(request, message.detail, now_ms)
        doubt: Effects = []
        sent_ms = request.sent_ms
        if not request.is_handed_over:
            doubt = self._reachability.record_unreachable(now_ms)
        effects_ = doubt + self._tracker.fail_call(
            request, message.detail, True, now_ms
        )
        request.sends -= 1
        if self._reachability.is_doubtful_since(sent_ms):
            self._waiting_for_probe.append(request.request_id)
            return effects_
        if self._reachability.is_cut_off:
            # Nothing arrived anywhere that the retry budget counts.
            return effects_ + self._send(request, now_ms)
        return effects_ + self._resend(request, now_ms)

    def _leave_replaced(
        self, request: request_.Request, detail: str, now_ms: int
    ) -> Effects:
        """Send a request elsewhere that a new process did not get."""
        log = request_logs.request_event(
            events.Event.CALL_FAILED,
            request,
            target=request.target.name,
            detail=detail,
            after_ms=now_ms - request.sent_ms,
            send=request.sends,
        )
        request.target.is_replaced = True
        request.sends -= 1
        self._tracker.end_call(request)
        return [
            log,
            effects.RefreshTargets(),
            *self._send(request, now_ms, request.has_held_response),
        ]

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
        limited = self._record_limit(request, message, now_ms)
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
        request.can_go_on = message.can_go_on
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

    def _record_start(
        self,
        request: request_.Request,
        load: targets.Load | None,
        now_ms: int,
    ) -> None:
        self._tracker.record_start(request, load, now_ms)
        if request.is_handed_over:
            return
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
        sent_ms = request.sent_ms
        has_held_response = isinstance(ending, effects.ForwardHeldResponse)
        is_unanswered = not (
            has_held_response
            or request.has_response_started
            or request.is_handed_over
        )
        if is_unanswered or is_target_gone:
            effects_ += self._reachability.record_unreachable(now_ms)
        if is_target_gone and not request.target.listed.is_leaving:
            request.crashes += 1
            effects_ += self._quarantine.record_crash(
                request, request.target.listed, now_ms
            )
        effects_ += self._tracker.fail_call(
            request, detail, False, now_ms, is_target_gone
        )
        is_doubtful = self._reachability.is_doubtful_since(sent_ms)
        if request.may_retry and is_unanswered and is_doubtful:
            self._waiting_for_probe.append(request.request_id)
            return effects_
        if request.may_retry:
            # A failure held back is forwarded if no target is left.
            return effects_ + self._resend(request, now_ms, has_held_response)
        return effects_ + self._finish(request, outcome, [ending], now_ms)

    def waiting_since_ms(self) -> int | None:
        """Return when the oldest call without a response was sent."""
        sent = (
            request.sent_ms
            for request in self._requests.values()
            if request.target is not None
            and not request.is_handed_over
            and not request.has_response_started
        )
        return min(sent, default=None)

    def send_waiting(self, now_ms: int) -> Effects:
        """Send the requests that waited until it is known what is reached."""
        waiting, self._waiting_for_probe = self._waiting_for_probe, []
        found = [self._requests.get(name) for name in waiting]
        return [
            effect
            for request in found
            if request is not None and request.target is None
            for effect in (
                self._send(request, now_ms)
                if self._reachability.is_cut_off and not request.has_run
                else self._resend(request, now_ms)
            )
        ]

    def _is_served(self, request: request_.Request) -> bool:
        """Return whether open targets are left for the work not begun.

        A request that is bound to no pool yet may change to another one of
        its route.
        """
        regions = request.regions
        if regions is None and not self._directory.evacuated:
            return True
        can_serve = functools.partial(
            self._directory.can_serve, regions=regions
        )
        progress = request.progress
        if not all(
            can_serve(stage.pool)
            for number, stage in enumerate(progress.stages)
            if progress.counts[number] and number not in progress.started
        ):
            return False
        if can_serve(request.pool):
            return True
        if request.version is not None or request.has_response_started:
            return False
        others = [
            pool.name
            for pool in request.route.pools
            if pool.weight and can_serve(pool.name)
        ]
        if others and not request.is_resume:
            request.pool = others[0]
        return bool(others)

    def leave_closed(self, now_ms: int) -> Effects:
        """Refuse requests without a target left; drop permits of others."""
        unsent = [r for r in self._requests.values() if r.target is None]
        unserved = [r for r in unsent if not self._is_served(r)]
        refused = [
            effect
            for request in unserved
            for effect in self._end_without_retry(
                request, request.has_held_response, now_ms
            )
        ]
        closed = [
            request
            for request in unsent
            if request.request_id in self._requests
            and request.permit_candidates
            and not any(
                self._directory.is_open(target, request.regions)
                for target in request.permit_candidates
            )
        ]
        for request in closed:
            request.permit_candidates = ()
        return refused + [
            effect
            for request in closed
            for effect in self._send(
                request, now_ms, request.has_held_response
            )
        ]

    def leave_targets(self, now_ms: int) -> Effects:
        """Cancel calls that may be sent again, unless targets still send."""
        if not self._reachability.is_silent(now_ms):
            return []
        return [
            effect
            for request in self._requests.values()
            if request.target is not None
            and not request.is_handed_over
            and request.may_retry
            for effect in request_logs.cancel_call(request, 'cut_off', now_ms)
        ]

    def answer_all(self, now_ms: int) -> Effects:
        """End all requests, since the process is about to end."""
        return [
            effect
            for request in list(self._requests.values())
            for effect in self._finish(
                request,
                error_replies.STOPPING,
                error_replies.stopped(request),
                now_ms,
            )
        ]

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

    def _begin(self, request: request_.Request, now_ms: int) -> Effects:
        """Start a request; a stream that goes on needs its version first."""
        if self._reachability.is_cut_off:
            return self._send(request, now_ms)
        if not request.is_resume:
            return self._advance(request, now_ms)
        return self._look_up(request, now_ms)

    def _look_up(self, request: request_.Request, now_ms: int) -> Effects:
        """Find out at which version a stream goes on."""
        return self._resume(
            request, self._resumptions.start(request, now_ms), now_ms
        )

    def _apply_stream_reply(
        self, message: shared_messages.PeerReply, now_ms: int
    ) -> Effects:
        name = message.token.removeprefix(stream_versions.ASKED_TOKEN)
        request = self._requests.get(name)
        if request is None:
            return []
        decision = self._resumptions.apply_reply(request, message.body, now_ms)
        return self._resume(request, decision, now_ms)

    def resume_confirmed(self, now_ms: int) -> Effects:
        """Go on with streams that waited for a newer list of targets."""
        decided = self._resumptions.apply_confirmation(now_ms)
        resumed = [
            effect
            for request, decision in decided
            for effect in self._resume(request, decision, now_ms)
        ]
        return resumed + self._confirmations.apply_list(now_ms)

    def _resume(
        self,
        request: request_.Request,
        decision: resumption.Decision | Effects,
        now_ms: int,
    ) -> Effects:
        if isinstance(decision, list):
            return decision
        if isinstance(decision, resumption.Refusal):
            reason = decision.value
            if decision.is_temporary:
                return self._refuse(request, reason, 0, now_ms)
            ending = error_replies.cannot_resume(request, reason)
            return self._finish(request, reason, ending, now_ms)
        request.pool, request.version = decision.pool, decision.version
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
        request.has_held_response = has_held_response
        if self._reachability.is_cut_off:
            return self._send_to_host(request, now_ms)
        if self._resumptions.must_look_up(request):
            return self._look_up(request, now_ms)
        self._resumptions.update_version(request)
        if not request.progress.is_complete:
            return self._stage_jobs.start(request, now_ms)
        target = self._tracker.choose(request, now_ms)
        needs_permit = target is not None and self._limits.needs_permit(
            target, now_ms
        )
        if target is not None and (
            not needs_permit or self._limits.use_permit(target, now_ms)
        ):
            return self._send_to(request, target, now_ms)
        if not self._tracker.has_unlimited(request, now_ms):
            return self._ask_to_wait(request, target, now_ms)
        request.may_wait_for_permit = False
        candidates = self._tracker.permit_candidates(request, target, now_ms)
        return self._ask(request, candidates, permit_schedule.Asked(), now_ms)

    def _send_to_host(self, request: request_.Request, now_ms: int) -> Effects:
        """Hand a request over, since this host reaches no target."""
        if request.arrived.is_taken_over:
            ending = error_replies.misdirected(request)
            return self._finish(request, 'cut_off', ending, now_ms)
        taker = self._hand_over.choose(request.tried, now_ms, request.regions)
        if taker is None:
            return self._end_without_retry(
                request, request.has_held_response, now_ms
            )
        return self._send_to(request, taker, now_ms)

    def _send_to(
        self, request: request_.Request, target: targets.Target, now_ms: int
    ) -> Effects:
        left_ms = request.deadline_ms - ANSWER_MARGIN_MS - now_ms
        request.calls += 1
        request.sends += 1
        self._tracker.start_call(request, target, now_ms)
        forward = effects.Forward(
            request_id=request.request_id,
            call=request.calls,
            target=target.listed,
            timeout_ms=left_ms,
            workspace=request.workspace and request.workspace.name,
            inputs=(
                () if request.is_handed_over else request.progress.results()
            ),
            may_retry=request.may_retry,
            is_stream=request.route.kind is documents.RequestKind.STREAM,
            last_event_id=request.last_event_id,
            needs_new_connection=not request.route.is_repeatable,
            hold_ms=self._resumptions.hold_ms(request),
            process_check=self._resumptions.process_check(request),
        )
        sent = request_logs.request_event(
            events.Event.REQUEST_SENT,
            request,
            target=target.name,
            version=target.listed.version,
            resumes=request.arrived.resumes or None,
            fullness=round(target_selection.fullness(target, now_ms), 2),
            load_age_ms=now_ms - target.load_ms if target.load else None,
            pace=round(target_selection.pace(target, now_ms), 2),
            list_version=self._directory.version,
            **self._tracker.send_fields(request),
        )
        return [
            forward,
            sent,
            *self._tracker.send_counts(request),
            *self._start_resend_timer(request, left_ms, now_ms),
        ]

    def _ask_to_wait(
        self,
        request: request_.Request,
        preferred: targets.Target | None,
        now_ms: int,
    ) -> Effects:
        """Wait for one of the limited targets, or end the request at once.

        A caller that is refused gets the time at which it will be served.
        """
        held = request.has_held_response
        candidates = self._tracker.limited(request, now_ms)
        if not candidates:
            return self._end_without_retry(request, held, now_ms)
        candidates.sort(key=lambda target: target is not preferred)
        left_ms = request.deadline_ms - ANSWER_MARGIN_MS - now_ms
        max_wait_ms = min(
            MAX_PERMIT_WAIT_MS,
            max(
                WAIT_SHARE * (request.due_ms - now_ms),
                LATE_WAIT_SHARE * left_ms,
            ),
        )
        is_sent = held or request.has_run
        max_return_ms = min(
            MAX_RETURN_MS, 0 if is_sent else RETURN_SHARE * left_ms
        )
        wait_ms = min(self._limits.wait_ms(t, now_ms) for t in candidates)
        if wait_ms > MAX_RETURN_MS:
            return self._end_without_retry(request, held, now_ms, FULL_WAIT_MS)
        asked = permit_schedule.Asked(
            caller=request.fingerprint,
            max_wait_ms=int(max_wait_ms),
            max_return_ms=int(max_return_ms),
        )
        request.may_wait_for_permit = True
        return self._ask(request, tuple(candidates), asked, now_ms)

    def _ask(
        self,
        request: request_.Request,
        candidates: tuple[targets.Target, ...],
        asked: permit_schedule.Asked,
        now_ms: int,
    ) -> Effects:
        request.permits_asked += 1
        request.permit_asked_ms = now_ms
        request.permit_candidates = candidates
        token = f'{request.request_id}:{request.permits_asked}'
        answer = self._limits.ask(token, candidates, asked, now_ms)
        if isinstance(answer, permit_schedule.Grant):
            return self._apply_grant(request, answer, now_ms)
        return [answer]

    def _apply_grant(
        self,
        request: request_.Request,
        grant: permit_schedule.Grant,
        now_ms: int,
    ) -> Effects:
        candidates = request.permit_candidates
        asked_ms = request.permit_asked_ms
        grant = self._limits.apply_grant(candidates, grant, asked_ms, now_ms)
        if grant.count:
            return self._await_permit(request, grant, now_ms)
        request.permit_candidates = ()
        if not request.may_wait_for_permit:
            return self._send(request, now_ms, request.has_held_response)
        wait_ms = grant.wait_ms if grant.is_kept else FULL_WAIT_MS
        return self._end_without_retry(
            request, request.has_held_response, now_ms, wait_ms
        )

    def _await_permit(
        self,
        request: request_.Request,
        grant: permit_schedule.Grant,
        now_ms: int,
    ) -> Effects:
        request.permit_candidates = tuple(
            target
            for target in request.permit_candidates
            if rate_limits.key_of(target) == grant.target
        )
        request.permit_until_ms = rate_limits.permit_until_ms(
            grant, request.permit_asked_ms
        )
        token = f'{request.request_id}:{request.permits_asked}'
        if not grant.wait_ms:
            return self._use_permit(token, now_ms)
        due_ms = now_ms + grant.wait_ms
        return [shared_effects.StartTimer(PERMIT_TOKEN + token, due_ms)]

    def _awaiting_permit(self, token: str) -> request_.Request | None:
        """Return the request that asked for a permit, if it still waits."""
        name, _, number = token.rpartition(':')
        request = self._requests.get(name)
        if request is None or not request.permit_candidates:
            return None
        return request if request.permits_asked == int(number) else None

    def _use_permit(self, token: str, now_ms: int) -> Effects:
        """Send a request to the limited target that it has a permit for."""
        request = self._awaiting_permit(token)
        if request is None:
            return []
        (target,), request.permit_candidates = request.permit_candidates, ()
        is_listed = self._directory.find(target.name) is target
        left_ms = request.deadline_ms - ANSWER_MARGIN_MS - now_ms
        if (
            left_ms < MIN_TIME_LEFT_MS
            or self._quarantine.refuses(request, now_ms)
            or not (is_listed and target.is_usable(now_ms))
            or not self._directory.is_open(target, request.regions)
            or now_ms < target.paused_until_ms
            or now_ms >= request.permit_until_ms
        ):
            return self._send(request, now_ms, request.has_held_response)
        return self._send_to(request, target, now_ms)

    def _start_resend_timer(
        self, request: request_.Request, left_ms: int, now_ms: int
    ) -> Effects:
        """Start the timer that cancels a slow call of an idempotent request.

        The time left after it is enough for a second target.
        """
        is_idempotent = request.route.kind is documents.RequestKind.IDEMPOTENT
        may_resend = is_idempotent and request.may_retry
        if not may_resend or request.is_handed_over:
            return []
        token = f'{SLOW_CALL_TOKEN}{request.request_id}:{request.calls}'
        due_ms = now_ms + int(FIRST_SEND_SHARE * left_ms)
        return [shared_effects.StartTimer(token, due_ms)]

    def _cancel_slow_call(
        self, request: request_.Request, now_ms: int
    ) -> Effects:
        if request.target is None:
            return []
        return request_logs.cancel_call(request, 'slow', now_ms)

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
        self,
        request: request_.Request,
        has_held_response: bool,
        now_ms: int,
        wait_ms: int = 0,
    ) -> Effects:
        if has_held_response:
            held = [effects.ForwardHeldResponse(request.request_id)]
            return self._finish(request, 'failed', held, now_ms)
        wait_ms = wait_ms or self._directory.pause_left_ms(
            request.pool, now_ms, request.regions
        )
        reason = 'limited' if wait_ms else 'no_target'
        return self._refuse(request, reason, wait_ms, now_ms)

    def _refuse(
        self, request: request_.Request, reason: str, wait_ms: int, now_ms: int
    ) -> Effects:
        ending = error_replies.refused(request, reason, wait_ms)
        return self._finish(request, reason, ending, now_ms)

    def _refuse_while_stopping(self, request: request_.Request) -> Effects:
        """Refuse a request on arrival that another host can finish."""
        (answer,) = error_replies.stopped(request)
        log = request_logs.refusal_event(
            request.arrived, answer.status, answer.reason
        )
        return [answer, log]

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
        self._resumptions.record_end(request, is_done, now_ms)
        self._confirmations.drop(request)
        self._quarantine.end_request(request)
        cancelled: Effects = []
        if request.target is not None and not is_done:
            cancelled = request_logs.cancel_call(request, outcome, now_ms)
        target = request.target
        self._tracker.end_call(request, now_ms)
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
