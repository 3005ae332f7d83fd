"""Records outcomes, stage time and violated guarantees of a run."""

import collections

import attrs

from godwitglade.decisions import documents
from godwitglade.decisions import effects
from godwitglade.decisions import messages
from godwitglade.decisions import outcomes

#: Calls to a target are allowed for this long after it first reports that it
#: is leaving.
LEAVING_GRACE_MS = 2_000


@attrs.define(eq=False)
class RequestRecord:
    """A request and its outcome as seen by the caller."""

    request: messages.RequestArrived
    at_most_once: frozenset[str]
    outcome: outcomes.Outcome | None = None
    answered_ms: float = 0.0
    text_length: int = 0

    @property
    def is_repeatable(self) -> bool:
        """Return whether every stage may be repeated."""
        return not self.at_most_once

    @property
    def is_complete_in_time(self) -> bool:
        """Return whether a complete answer arrived within the deadline."""
        is_complete = isinstance(self.outcome, outcomes.Answered)
        return is_complete and self.answered_ms <= self.request.deadline_ms


class Tally:
    """Collects the requests, attempts and violations of a run."""

    def __init__(self) -> None:
        self.records: dict[str, RequestRecord] = {}
        self.violations: collections.Counter = collections.Counter()
        self.stage_by_attempt: dict[str, tuple[str, str]] = {}
        self.accepted_ids: set[str] = set()
        self.cost_ms: collections.Counter = collections.Counter()
        self.accepted_counts: collections.Counter = collections.Counter()

    def record_arrival(self, request, document: documents.Document) -> None:
        """Record a request to a pipeline."""
        at_most_once = frozenset(
            stage.name for stage in document.stages if not stage.is_repeatable
        )
        self.records[request.request_id] = RequestRecord(request, at_most_once)

    def record_attempt(self, call: effects.CallTarget) -> None:
        """Record an attempt."""
        key = (call.request_id, call.stage)
        self.stage_by_attempt[call.attempt_id] = key
        record = self.records[call.request_id]
        if record.outcome is not None:
            self.violations['sent after the outcome'] += 1

    def record_accepted(self, call: effects.CallTarget) -> None:
        """Record a call that a target has accepted."""
        self.accepted_ids.add(call.request_id)
        if call.stage in self.records[call.request_id].at_most_once:
            key = (call.request_id, call.stage)
            self.accepted_counts[key] += 1
            if self.accepted_counts[key] > 1:
                self.violations['non-repeatable call sent twice'] += 1

    def record_delivery(
        self,
        call: effects.CallTarget,
        leaving_reported_ms: float | None,
        now_ms,
    ):
        """Check that a call did not reach a target after its grace period."""
        if (
            leaving_reported_ms is not None
            and now_ms > leaving_reported_ms + LEAVING_GRACE_MS
        ):
            self.violations['sent to a leaving target'] += 1

    def record_cost(self, call: effects.CallTarget, spent_ms: float) -> None:
        """Add busy time of a target to an attempt."""
        self.cost_ms[call.attempt_id] += spent_ms

    def record_outcome(
        self, effect: effects.AnswerCaller, now_ms: float
    ) -> None:
        """Record an outcome."""
        record = self.records[effect.request_id]
        if record.outcome is not None:
            self.violations['answered twice'] += 1
            return
        record.outcome = effect.outcome
        record.answered_ms = now_ms
        is_refusal = isinstance(effect.outcome, outcomes.RefusedNotRun)
        if is_refusal and self.was_accepted(effect.request_id):
            self.violations['false refusal'] += 1

    def was_accepted(self, request_id: str) -> bool:
        """Return whether a target accepted any call of a request."""
        return request_id in self.accepted_ids

    def record_piece(self, effect: effects.SendPiece) -> None:
        """Check that a stream has no gaps or repeats."""
        record = self.records[effect.request_id]
        if effect.offset != record.text_length:
            self.violations['gap or repeat in a stream'] += 1
        record.text_length += len(effect.text)
