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
    """Progress of the claim of a non-repeatable stage."""

    NONE = 'none'
    ASKED = 'asked'
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
    begun_ms: int | None = None
    is_slow: bool = False
    is_stalled: bool = False
    is_watched_late: bool = False
    begun_length: int = 0
    marked_ms: int = 0
    marked_length: int = 0
    feed: streams.StreamFeed | None = None

    @property
    def has_begun(self) -> bool:
        """Tell whether a first piece arrived."""
        return self.begun_ms is not None

    def recent_pace_ms(self, now_ms: int) -> float:
        """Return the milliseconds a character since the last call of this."""
        made = len(self.feed.text) - self.marked_length
        elapsed_ms = now_ms - self.marked_ms
        self.is_stalled = not made
        self.marked_ms = now_ms
        self.marked_length = len(self.feed.text)
        return elapsed_ms / max(1, made)

    def pace_ms(self, now_ms: int) -> float:
        """Return the milliseconds a character, over the pieces so far."""
        made = len(self.feed.text) - self.begun_length
        return (now_ms - self.begun_ms) / max(1, made)


@attrs.define(eq=False, slots=True)
class Job:
    """A request from its admission to its outcome.

    ``begun_ms`` is when the current stage began, ``tried`` the targets that
    it was sent to, ``ran`` the stages of which something was sent and
    ``unsafe`` the non-repeatable ones among them; ``owed`` are the pools
    that it still has to be sent to.
    """

    request: messages.RequestArrived
    document: documents.Document
    rank: int
    arrived_ms: int
    stage_index: int = 0
    begun_ms: int = 0
    attempt_count: int = 0
    stage_attempts: int = 0
    bounces: int = 0
    results: dict[str, typing.Any] = attrs.Factory(dict)
    reports: list[outcomes.StageReport] = attrs.Factory(list)
    attempts: dict[str, Attempt] = attrs.Factory(dict)
    tried: set[str] = attrs.Factory(set)
    ran: list[str] = attrs.Factory(list)
    owed: list[str] = attrs.Factory(list)
    unsafe: list[str] = attrs.Factory(list)
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
        """Return the stage that runs or waits now."""
        return self.document.stages[self.stage_index]

    @property
    def is_last_stage(self) -> bool:
        """Tell whether the current stage is the pipeline's last."""
        return self.stage_index == len(self.document.stages) - 1

    @property
    def is_paid(self) -> bool:
        """Tell whether earlier stages have run already."""
        return self.stage_index > 0

    @property
    def is_streamed(self) -> bool:
        """Tell whether the current stage is called as a stream.

        Engines always are, also when the caller wants the text in one
        piece: the first piece tells early whether a call goes well, and a
        lost call is resumed.
        """
        return self.stage.kind is documents.StageKind.GENERATE

    @property
    def is_passed_on(self) -> bool:
        """Tell whether the current stage's text goes to the caller."""
        if not self.request.is_stream or not self.is_streamed:
            return False
        later = self.document.stages[self.stage_index + 1 :]
        return all(s.kind is not documents.StageKind.GENERATE for s in later)

    @property
    def unsafe_stage(self) -> str | None:
        """Return the non-repeatable stage that may have run, if any."""
        return self.unsafe[-1] if self.unsafe else None

    @property
    def is_claim_sent(self) -> bool:
        """Tell whether the current non-repeatable stage may have run."""
        return self.claim is not None and self.claim.state is ClaimState.SENT

    def time_left_ms(self, now_ms: int) -> int:
        """Return the time until the deadline."""
        return self.request.deadline_ms - now_ms
