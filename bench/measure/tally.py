"""Counts of one run: outcomes, stage time and broken promises."""

import collections

import attrs

from godwitglade.decisions import documents
from godwitglade.decisions import effects
from godwitglade.decisions import messages
from godwitglade.decisions import outcomes

#: A leaving target may be sent to for this long after its first sign.
LEAVING_GRACE_MS = 2_000


@attrs.define(eq=False)
class Asked:
    """A request as its caller sees it; times in milliseconds."""

    request: messages.RequestArrived
    at_most_once: frozenset[str]
    outcome: outcomes.Outcome | None = None
    answered_ms: float = 0.0
    text_length: int = 0

    @property
    def is_repeatable(self) -> bool:
        """Tell whether every stage may be repeated."""
        return not self.at_most_once

    @property
    def is_whole_in_time(self) -> bool:
        """Tell whether it was answered whole within its deadline."""
        is_whole = isinstance(self.outcome, outcomes.Answered)
        return is_whole and self.answered_ms <= self.request.deadline_ms


class Tally:
    """Collects what happened in a run."""

    def __init__(self) -> None:
        self.asked: dict[str, Asked] = {}
        self.faults: collections.Counter = collections.Counter()
        self.attempt_of: dict[str, tuple[str, str]] = {}
        self.ran: set[str] = set()
        self.cost_ms: collections.Counter = collections.Counter()
        self.runs: collections.Counter = collections.Counter()

    def arrived(self, request, document: documents.Document) -> None:
        """Note a request to a pipeline."""
        at_most_once = frozenset(
            stage.name for stage in document.stages if not stage.is_repeatable
        )
        self.asked[request.request_id] = Asked(request, at_most_once)

    def sent(self, call: effects.CallTarget) -> None:
        """Note an attempt."""
        key = (call.request_id, call.stage)
        self.attempt_of[call.attempt_id] = key
        asked = self.asked[call.request_id]
        if asked.outcome is not None:
            self.faults['sent after the outcome'] += 1

    def taken(self, call: effects.CallTarget) -> None:
        """Note a call that a target took in and will run."""
        self.ran.add(call.request_id)
        if call.stage in self.asked[call.request_id].at_most_once:
            key = (call.request_id, call.stage)
            self.runs[key] += 1
            if self.runs[key] > 1:
                self.faults['non-repeatable call sent twice'] += 1

    def reached(self, call: effects.CallTarget, sign_ms: float | None, now_ms):
        """Note a call that reached a target, leaving since ``sign_ms``."""
        if sign_ms is not None and now_ms > sign_ms + LEAVING_GRACE_MS:
            self.faults['sent to a leaving target'] += 1

    def cost(self, call: effects.CallTarget, spent_ms: float) -> None:
        """Count busy time of a target."""
        self.cost_ms[call.attempt_id] += spent_ms

    def answered(self, effect: effects.AnswerCaller, now_ms: float) -> None:
        """Note an outcome."""
        asked = self.asked[effect.request_id]
        if asked.outcome is not None:
            self.faults['answered twice'] += 1
            return
        asked.outcome = effect.outcome
        asked.answered_ms = now_ms
        is_refusal = isinstance(effect.outcome, outcomes.RefusedNotRun)
        if is_refusal and self.was_run(effect.request_id):
            self.faults['false refusal'] += 1

    def was_run(self, request_id: str) -> bool:
        """Tell whether a target took in any call of a request."""
        return request_id in self.ran

    def piece(self, effect: effects.SendPiece) -> None:
        """Check that a stream has no gap and no repeat."""
        asked = self.asked[effect.request_id]
        if effect.offset != asked.text_length:
            self.faults['gap or repeat in a stream'] += 1
        asked.text_length += len(effect.text)
