"""Messages that a host's decisions take in.

The daemon's threads, and in tests the fakes, make these; the loop hands
them to `host.Host.handle` one at a time together with the time.
"""

import enum
import typing

import attrs

from godwitglade.coordination import change_rows
from godwitglade.coordination import members
from godwitglade.decisions import documents
from godwitglade.decisions import effects
from godwitglade.decisions import targets


@attrs.frozen
class RequestArrived:
    """A caller's request, well formed but not yet admitted.

    ``deadline_ms`` is on this host's monotonic clock. ``fingerprint``
    identifies the content, for quarantine, through any host.
    """

    request_id: str
    workspace: str
    pipeline: str
    payload: typing.Any
    deadline_ms: int
    fingerprint: str = ''
    idempotency_key: str | None = None
    priority: str | None = None
    is_stream: bool = False


@attrs.frozen
class CallerGone:
    """The caller closed its connection before its outcome."""

    request_id: str


@attrs.frozen
class OutcomeAsked:
    """A caller asks for the outcome of an earlier request by its key."""

    query_id: str
    workspace: str
    pipeline: str
    idempotency_key: str


@attrs.frozen
class StageReplied:
    """A target's whole reply; the ids are those that the reply carries.

    ``cost_ms`` is the target's own time where it reports it.
    """

    request_id: str
    stage: str
    attempt_id: str
    output: typing.Any
    cost_ms: int = 0
    load: targets.Load | None = None


@attrs.frozen
class StreamPiece:
    """One piece of a stream; ``offset`` counts characters before it."""

    request_id: str
    stage: str
    attempt_id: str
    offset: int
    text: str


@attrs.frozen
class StreamEnded:
    """The final frame: the whole text's length and its digest.

    ``digest`` is the hexadecimal xxh3-64 of the text's UTF-8 bytes.
    """

    request_id: str
    stage: str
    attempt_id: str
    length: int
    digest: str
    cost_ms: int = 0
    load: targets.Load | None = None


class FaultKind(enum.Enum):
    """How a stage call failed."""

    CONNECT = 'connect'
    BUSY = 'busy'
    LEAVING = 'leaving'
    TIMEOUT = 'timeout'
    SILENT = 'silent'
    LOST = 'lost'
    ERROR = 'error'
    REJECTED = 'rejected'


@attrs.frozen
class StageFault:
    """A stage call failed.

    ``was_sent`` False means that no byte left this host or that the target
    said that it did not run the call. ``is_crash`` means that the target's
    process went away while it ran the call.
    """

    request_id: str
    stage: str
    attempt_id: str
    kind: FaultKind
    was_sent: bool = True
    is_crash: bool = False
    detail: str = ''
    load: targets.Load | None = None


@attrs.frozen
class LoadReported:
    """A target reported its load outside of a reply."""

    target: str
    load: targets.Load


@attrs.frozen
class ProbeAnswered:
    """A connection probe of a target ended."""

    target: str
    is_alive: bool


@attrs.frozen
class TargetsListed:
    """The host list as read; it lags behind the truth."""

    targets: tuple[targets.Target, ...]


@attrs.frozen
class DocumentsInForce:
    """Documents taken into force, by pipeline; None removes one."""

    documents: dict[str, documents.Document | None]


@attrs.frozen
class OrderAnswered:
    """An engine answered an order or a read of its state.

    ``state`` is None when nothing came back.
    """

    token: str
    is_refused: bool
    state: typing.Any = None


@attrs.frozen
class StopAsked:
    """A planned stop begins."""


@attrs.frozen
class ChangeAsked:
    """An operator asks for a change; ends in one AnswerOperator."""

    query_id: str
    request: change_rows.ChangeRequest


@attrs.frozen
class ChangeLookedUp:
    """An operator asks how a change id was settled."""

    query_id: str
    change_id: str


@attrs.frozen
class ChangeSettleAsked:
    """An operator asks to make the state of a change id final."""

    query_id: str
    change_id: str


@attrs.frozen
class StatusAsked:
    """An operator asks what is in force on every host.

    Hosts known to have change ``at_least`` in force are not asked again;
    0 asks all of them.
    """

    query_id: str
    at_least: int = 0


@attrs.frozen
class QuarantineCleared:
    """An operator ends the quarantine of a fingerprint everywhere."""

    fingerprint: str


@attrs.frozen
class HostListRead:
    """What a reading of the host list gave, in place of the one before."""

    query: effects.ReadHostList
    targets: tuple[targets.Target, ...]
    entries: tuple[members.HostEntry, ...]


@attrs.frozen
class EntryHostsListed:
    """Hosts of this system in the host list, with peers' addresses."""

    entries: tuple[members.HostEntry, ...]
