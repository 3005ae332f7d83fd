"""Messages that a host's decisions handle.

The daemon's threads create these, and fakes do so in tests. The loop passes
them to `host.Host.handle` one at a time, together with the time.
"""

import typing

import attrs

from godwitglade.common import fault_kinds
from godwitglade.coordination import change_rows
from godwitglade.coordination import members
from godwitglade.decisions import documents
from godwitglade.decisions import effects
from godwitglade.decisions import targets

FaultKind = fault_kinds.FaultKind


@attrs.frozen
class RequestArrived:
    """A caller's request, well-formed but not yet admitted.

    ``deadline_ms`` is on this host's monotonic clock. ``fingerprint``
    identifies the content for quarantine, the same on every host.
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
class CallerDisconnected:
    """The caller closed its connection before receiving the outcome."""

    request_id: str


@attrs.frozen
class OutcomeRequested:
    """A caller requested the outcome of an earlier request by its key."""

    query_id: str
    workspace: str
    pipeline: str
    idempotency_key: str


@attrs.frozen
class StageReplied:
    """A target's complete reply, with the ids that the reply contains.

    ``cost_ms`` is the processing time that the target reported, else 0.
    """

    request_id: str
    stage: str
    attempt_id: str
    output: typing.Any
    cost_ms: int = 0
    load: targets.Load | None = None


@attrs.frozen
class StreamPiece:
    """One piece of a stream; ``offset`` counts the earlier characters."""

    request_id: str
    stage: str
    attempt_id: str
    offset: int
    text: str


@attrs.frozen
class StreamEnded:
    """The final frame of a stream: length and digest of the whole text.

    ``digest`` is the hexadecimal xxh3-64 of the text's UTF-8 bytes.
    """

    request_id: str
    stage: str
    attempt_id: str
    length: int
    digest: str
    cost_ms: int = 0
    load: targets.Load | None = None


@attrs.frozen
class StageFault:
    """A stage call failed.

    ``was_sent`` is False if no byte left this host or if the target
    reported that it did not run the call. ``is_crash`` means that the
    target's process ended while it ran the call.
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
    """A target reported its load other than in a stage reply."""

    target: str
    load: targets.Load


@attrs.frozen
class ProbeEnded:
    """A probe of a target on a new connection ended.

    ``is_alive`` is False if the target did not reply.
    """

    target: str
    is_alive: bool


@attrs.frozen
class TargetsListed:
    """The targets in the host list, which may be out of date."""

    targets: tuple[targets.Target, ...]


@attrs.frozen
class DocumentsInForce:
    """Documents put into force, by pipeline; None removes one."""

    documents: dict[str, documents.Document | None]


@attrs.frozen
class OrderEnded:
    """An order or a read of an engine's state ended.

    ``state`` is None when the engine did not reply.
    """

    token: str
    is_refused: bool
    state: typing.Any = None


@attrs.frozen
class StopRequested:
    """A planned stop was requested."""


@attrs.frozen
class ChangeRequested:
    """An operator requested a change; ends in one AnswerOperator."""

    query_id: str
    request: change_rows.ChangeRequest


@attrs.frozen
class ChangeLookupRequested:
    """An operator looked up how a change id was settled."""

    query_id: str
    change_id: str


@attrs.frozen
class ChangeSettleRequested:
    """An operator requested to make the state of a change id final."""

    query_id: str
    change_id: str


@attrs.frozen
class StatusRequested:
    """An operator requested what is in force on every host.

    Hosts known to have change ``at_least`` in force are not queried again;
    0 queries all hosts.
    """

    query_id: str
    at_least: int = 0


@attrs.frozen
class QuarantineEndRequested:
    """An operator requested to end a quarantine on all hosts."""

    fingerprint: str


@attrs.frozen
class HostListRead:
    """The result of a read of the host list; replaces the previous one."""

    query: effects.ReadHostList
    targets: tuple[targets.Target, ...]
    entries: tuple[members.HostEntry, ...]


@attrs.frozen
class EntryHostsListed:
    """The hosts in a read of the host list, with their peer addresses.

    They are hosts of this system, which accept callers; targets are not.
    """

    entries: tuple[members.HostEntry, ...]
