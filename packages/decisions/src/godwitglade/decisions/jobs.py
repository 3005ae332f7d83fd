"""State of a request in flight and of its attempts."""

import enum
import typing

import attrs

from godwitglade.decisions import documents
from godwitglade.decisions import messages
from godwitglade.decisions import outcomes
from godwitglade.decisions import streams
from godwitglade.decisions import targets


class ClaimState(enum.Enum):
    """Progress of the claim of a non-repeatable stage.

    ``FOLLOWING`` waits for another job of this host with the same key.
    """

    NONE = 'none'
    REQUESTED = 'asked'
    FOLLOWING = 'following'
    GRANTED = 'granted'
    SENT = 'sent'


@attrs.define(eq=False)
class Claim:
    """The claim of the current stage of a job."""

    key: str
    nonce: str = ''
    state: ClaimState = ClaimState.NONE


@attrs.define(eq=False, slots=True)
class Attempt:
    """One call of a stage sent to a target."""

    attempt_id: str
    stage: str
    target: targets.Target
    sent_ms: int
    timeout_ms: int
    is_hedge: bool = False
    first_piece_ms: int | None = None
    is_slow: bool = False
    is_stalled: bool = False
    is_overdue_handled: bool = False
    first_piece_length: int = 0
    pace_checked_ms: int = 0
    pace_checked_length: int = 0
    feed: streams.StreamFeed | None = None

    @property
    def has_started(self) -> bool:
        """Tell whether the first piece was received."""
        return self.first_piece_ms is not None

    def recent_pace_ms(self, now_ms: int) -> float:
        """Return the milliseconds per character since the last check."""
        received = len(self.feed.text) - self.pace_checked_length
        elapsed_ms = now_ms - self.pace_checked_ms
        self.is_stalled = not received
        self.pace_checked_ms = now_ms
        self.pace_checked_length = len(self.feed.text)
        return elapsed_ms / max(1, received)

    def pace_ms(self, now_ms: int) -> float:
        """Return the milliseconds per character since the first piece."""
        received = len(self.feed.text) - self.first_piece_length
        return (now_ms - self.first_piece_ms) / max(1, received)


@attrs.define(eq=False, slots=True)
class Job:
    """A request from its admission to its outcome.

    ``stage_started_ms`` is when the current stage started, ``tried_targets``
    the targets that it was sent to and ``busy_refusals`` the number of times
    a target refused it as busy. ``ran`` holds the stages that were sent to a
    target, ``non_repeatable_ran`` the non-repeatable ones that may have run.
    ``pending_pools`` are the pools whose backlog still counts the job.
    """

    request: messages.RequestArrived
    document: documents.Document
    rank: int
    arrived_ms: int
    stage_index: int = 0
    stage_started_ms: int = 0
    attempt_count: int = 0
    stage_attempts: int = 0
    busy_refusals: int = 0
    results: dict[str, typing.Any] = attrs.Factory(dict)
    reports: list[outcomes.StageReport] = attrs.Factory(list)
    attempts: dict[str, Attempt] = attrs.Factory(dict)
    tried_targets: set[str] = attrs.Factory(set)
    ran: list[str] = attrs.Factory(list)
    pending_pools: list[str] = attrs.Factory(list)
    non_repeatable_ran: list[str] = attrs.Factory(list)
    text: str = ''
    claim: Claim | None = None
    reserved: targets.Target | None = None
    queue_key: tuple[int, int] | None = None
    is_answered: bool = False
    is_suspect: bool = False

    @property
    def request_id(self) -> str:
        """Return the id of the request."""
        return self.request.request_id

    @property
    def stage(self) -> documents.Stage:
        """Return the stage that is running or waiting."""
        return self.document.stages[self.stage_index]

    @property
    def is_last_stage(self) -> bool:
        """Tell whether the current stage is the pipeline's last."""
        return self.stage_index == len(self.document.stages) - 1

    @property
    def has_earlier_results(self) -> bool:
        """Tell whether earlier stages have completed."""
        return self.stage_index > 0

    @property
    def is_streamed(self) -> bool:
        """Tell whether the current stage is called as a stream.

        Engines always are, even when the caller did not ask for a stream:
        the first piece shows early that a call is progressing, and a lost
        call can be resumed.
        """
        return self.stage.kind is documents.StageKind.GENERATE

    @property
    def is_forwarded(self) -> bool:
        """Tell whether the text of the current stage goes to the caller."""
        if not self.request.is_stream or not self.is_streamed:
            return False
        later = self.document.stages[self.stage_index + 1 :]
        return all(s.kind is not documents.StageKind.GENERATE for s in later)

    @property
    def last_non_repeatable(self) -> str | None:
        """Return the last non-repeatable stage that may have run, if any."""
        return self.non_repeatable_ran[-1] if self.non_repeatable_ran else None

    @property
    def is_claim_sent(self) -> bool:
        """Tell whether the current non-repeatable stage may have run."""
        return self.claim is not None and self.claim.state is ClaimState.SENT

    def time_left_ms(self, now_ms: int) -> int:
        """Return the time until the deadline."""
        return self.request.deadline_ms - now_ms
