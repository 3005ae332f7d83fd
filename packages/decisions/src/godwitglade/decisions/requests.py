"""The request policy of one host: each request is answered exactly once.

Handling a message at a given time returns effects. The modules of the policy
share a `context.Context`.
"""

import functools
import random
import typing

import attrs

from godwitglade.coordination import claim_messages
from godwitglade.coordination import hosts
from godwitglade.coordination import messages as coordination_messages
from godwitglade.decisions import admission_checks
from godwitglade.decisions import balance
from godwitglade.decisions import claim_steps
from godwitglade.decisions import claiming
from godwitglade.decisions import context as contexts
from godwitglade.decisions import crash_reports
from godwitglade.decisions import deadline_estimates
from godwitglade.decisions import endings
from godwitglade.decisions import maintenance
from godwitglade.decisions import messages
from godwitglade.decisions import outcomes
from godwitglade.decisions import queries
from godwitglade.decisions import replies
from godwitglade.decisions import settings as request_settings
from godwitglade.decisions import stages
from godwitglade.decisions import subsets


class Requests:
    """The request state machine of a host."""

    def __init__(
        self,
        host_id: hosts.HostId,
        rng: random.Random,
        claims: typing.Any,
        settings: request_settings.RequestSettings,
        chooser: balance.Chooser | None = None,
    ) -> None:
        self.context = contexts.Context(
            host_id=host_id,
            rng=rng,
            claims=claims,
            settings=settings,
            chooser=chooser or balance.TwoChoices(rng),
        )

    def start(self, now_ms: int) -> contexts.Effects:
        """Start the periodic maintenance."""
        return maintenance.next_tick(self.context, now_ms)

    def quarantined(self, now_ms: int) -> list[tuple[str, str, int, str]]:
        """Return fingerprint, reason, time left and pipeline of each entry."""
        entries = self.context.quarantine.entries(now_ms)
        return [attrs.astuple(entry) for entry in entries]

    @functools.singledispatchmethod
    def handle(self, message: typing.Any, now_ms: int) -> contexts.Effects:
        """Handle a message; return the resulting effects."""
        return []

    @handle.register
    def _(
        self, message: messages.RequestArrived, now_ms: int
    ) -> contexts.Effects:
        context = self.context
        if message.request_id in context.jobs:
            return []
        job = admission_checks.check(context, message, now_ms)
        if isinstance(job, admission_checks.Rejection):
            return endings.refuse(
                message.request_id, job.reason, job.retry_after_ms
            )
        context.jobs[job.request_id] = job
        deadline_estimates.add_to_backlogs(context, job)
        timer = maintenance.deadline_timer(job)
        return [*timer, *stages.begin(context, job, now_ms)]

    @handle.register
    def _(
        self, message: messages.CallerDisconnected, now_ms: int
    ) -> contexts.Effects:
        job = self.context.jobs.get(message.request_id)
        if job is None:
            return []
        reason = outcomes.Failure.CALLER_GONE
        return endings.give_up(self.context, job, reason, now_ms)

    @handle.register
    def _(
        self, message: messages.OutcomeRequested, now_ms: int
    ) -> contexts.Effects:
        return queries.query_outcome(self.context, message, now_ms)

    @handle.register
    def _(
        self, message: claim_messages.ClaimSettled, now_ms: int
    ) -> contexts.Effects:
        job, released = claiming.job_for_verdict(self.context, message, now_ms)
        if job is None:
            return released
        step = claiming.step_for_verdict(message.verdict)
        return claim_steps.apply(step, self.context, job, now_ms)

    @handle.register
    def _(
        self, message: claim_messages.ClaimLooked, now_ms: int
    ) -> contexts.Effects:
        if message.query_id in self.context.queries:
            return queries.claim_looked_up(self.context, message, now_ms)
        job = self.context.jobs.get(message.query_id)
        if job is None or job.is_answered:
            return []
        step = claiming.step_for_lookup(message)
        return claim_steps.apply(step, self.context, job, now_ms)

    @handle.register
    def _(
        self, message: messages.StageReplied, now_ms: int
    ) -> contexts.Effects:
        return self._handle_attempt(message, now_ms, replies.on_reply)

    @handle.register
    def _(
        self, message: messages.StreamPiece, now_ms: int
    ) -> contexts.Effects:
        return self._handle_attempt(message, now_ms, replies.on_piece)

    @handle.register
    def _(
        self, message: messages.StreamEnded, now_ms: int
    ) -> contexts.Effects:
        return self._handle_attempt(message, now_ms, replies.on_end)

    @handle.register
    def _(self, message: messages.StageFault, now_ms: int) -> contexts.Effects:
        return self._handle_attempt(message, now_ms, replies.on_fault)

    @handle.register
    def _(
        self, message: messages.LoadReported, now_ms: int
    ) -> contexts.Effects:
        return maintenance.load_reported(
            self.context, message.target, message.load, now_ms
        )

    @handle.register
    def _(self, message: messages.ProbeEnded, now_ms: int) -> contexts.Effects:
        return maintenance.probe_answered(self.context, message, now_ms)

    @handle.register
    def _(
        self, message: messages.TargetsListed, now_ms: int
    ) -> contexts.Effects:
        context = self.context
        size = context.settings.subset_size
        context.directory.replace(message.targets)
        context.directory.narrow(
            lambda pool: subsets.choose(context.host_id, pool, size)
        )
        return maintenance.drain_all(self.context, now_ms)

    @handle.register
    def _(
        self, message: messages.DocumentsInForce, now_ms: int
    ) -> contexts.Effects:
        for pipeline, document in message.documents.items():
            if document is None:
                self.context.documents.pop(pipeline, None)
            else:
                self.context.documents[pipeline] = document
        return []

    @handle.register
    def _(
        self, message: coordination_messages.FactChanged, now_ms: int
    ) -> contexts.Effects:
        return maintenance.fact_changed(self.context, message, now_ms)

    @handle.register
    def _(
        self, message: coordination_messages.TimerFired, now_ms: int
    ) -> contexts.Effects:
        return maintenance.timer_fired(self.context, message.token, now_ms)

    @handle.register
    def _(
        self, message: messages.QuarantineEndRequested, now_ms: int
    ) -> contexts.Effects:
        return crash_reports.end_quarantine_everywhere(self.context, message)

    @handle.register
    def _(
        self, message: messages.StopRequested, now_ms: int
    ) -> contexts.Effects:
        self.context.is_stopping = True
        return endings.exit_if_idle(self.context)

    def _handle_attempt(
        self, message: typing.Any, now_ms: int, handler: typing.Callable
    ) -> contexts.Effects:
        context = self.context
        load = getattr(message, 'load', None)
        matched = replies.match(context, message)
        if matched is None:
            return replies.count_dropped(message)
        job, attempt = matched
        load_effects: contexts.Effects = []
        if load is not None:
            load_effects = maintenance.load_reported(
                context, attempt.target.name, load, now_ms
            )
        health_effects = maintenance.update_target_health(
            context, attempt, message, now_ms
        )
        reacted = handler(context, job, attempt, message, now_ms)
        drained = stages.drain(context, attempt.target.pool, now_ms)
        return [*load_effects, *health_effects, *reacted, *drained]
