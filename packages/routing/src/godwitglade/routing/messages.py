"""Messages handled by the routing components."""

import typing

import attrs

from godwitglade.routing import documents
from godwitglade.routing import targets


@attrs.frozen
class PromptPart:
    """A part of a prompt that other requests may share."""

    name: str
    tokens: int


@attrs.frozen
class RequestArrived:
    """A caller's request, completely read at ``read_ms``.

    ``request_id`` is assigned by this host, ``attempt_id`` by the caller.
    ``budget_ms`` is the time that the caller will wait, None if it did not
    send one. ``item_counts`` has the number of items of each stage.
    ``body_digest`` is empty if copies of the request are not recognized.
    ``resumes`` is the id of the attempt that brought the first event of a
    stream that the caller takes up after ``last_event_id``. With
    ``is_taken_over`` it comes from a host that is cut off from all targets.
    """

    request_id: str
    attempt_id: str
    method: str
    host: str
    path: str
    read_ms: int
    key: str | None = attrs.field(default=None, repr=False)
    budget_ms: int | None = None
    item_counts: tuple[int, ...] = ()
    item_key: str = ''
    prompt: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    output_tokens: int = 0
    body_digest: str = ''
    resumes: str = ''
    last_event_id: str = ''
    is_taken_over: bool = False


@attrs.frozen
class CallerDisconnected:
    """The caller closed its connection before the response was complete."""

    request_id: str


@attrs.frozen
class ResponseCompleted:
    """The target's complete response was forwarded to the caller."""

    request_id: str
    call: int
    status: int
    load: targets.Load | None = None
    limit: targets.NamedLimit | None = None
    notice: targets.Notice = targets.Notice()


@attrs.frozen
class StreamStarted:
    """The first event of a stream arrived, or was forwarded to the caller.

    The process that sent it started at ``started_ms`` (Unix time), 0 if that
    was not asked or is not known, and ran at ``connected_ms``.
    """

    request_id: str
    call: int
    load: targets.Load | None = None
    limit: targets.NamedLimit | None = None
    notice: targets.Notice = targets.Notice()
    started_ms: int = 0
    connected_ms: int | None = None


@attrs.frozen
class NoticeReceived:
    """What a target says of itself in the head of a response.

    It is posted before the response is written to the caller, who may then
    close the connection and end the request.
    """

    target: targets.TargetEntry
    notice: targets.Notice = targets.Notice()
    limit: targets.NamedLimit | None = None


@attrs.frozen
class ProcessUnknown:
    """Events of a stream that goes on wait for the process to be known.

    Its target does not say since when it runs.
    """

    request_id: str
    call: int


@attrs.frozen
class CallNotRun:
    """The target reported that it did not run the request.

    ``is_input_gone`` means that a stage result no longer exists,
    ``is_misdirected`` that another target has the address.
    """

    request_id: str
    call: int
    status: int
    is_input_gone: bool = False
    is_misdirected: bool = False
    load: targets.Load | None = None
    limit: targets.NamedLimit | None = None
    notice: targets.Notice = targets.Notice()


@attrs.frozen
class CallNotSent:
    """The request was not sent, not even a byte of it.

    No connection to the target was available, or with ``is_replaced``
    another process than that of its entry has its address.
    """

    request_id: str
    call: int
    detail: str
    is_replaced: bool = False


@attrs.frozen
class CallLost:
    """The request was sent, but no complete response to it was received.

    ``is_target_gone`` means that the target's process ended meanwhile.
    """

    request_id: str
    call: int
    detail: str
    is_target_gone: bool = False


@attrs.frozen
class CallFailed:
    """The target ran the request and responded with a failure.

    The response is held back until it is forwarded or another target is
    tried.
    """

    request_id: str
    call: int
    status: int
    load: targets.Load | None = None
    limit: targets.NamedLimit | None = None
    notice: targets.Notice = targets.Notice()


@attrs.frozen
class StreamBroken:
    """A stream broke off.

    ``has_response_started`` means that the caller received a part of it,
    ``is_target_gone`` that the target's process ended meanwhile. It
    ``can_go_on`` if the last event that the caller received had an id.
    """

    request_id: str
    call: int
    has_response_started: bool
    detail: str
    is_target_gone: bool = False
    can_go_on: bool = True


@attrs.frozen
class BodyEnded:
    """A body without a length or chunks ended, or another one was cut.

    ``framing`` is what tells the end of the body, ``end`` what ended it.
    ``is_cancelled`` means that this host ended the connection,
    ``is_confirmed`` that the target responded after the end.
    """

    attempt_id: str
    target: str
    call: int
    framing: str
    received_bytes: int
    end: str
    is_cancelled: bool = False
    is_confirmed: bool = False


@attrs.frozen
class TargetProbed:
    """A target responded over a new connection, or did not in time."""

    name: str
    is_reached: bool


@attrs.frozen
class ReachabilityKnown:
    """Whether this host is cut off from all targets, and was not before."""

    is_cut_off: bool
    has_changed: bool


@attrs.frozen
class ResponseNotWritten:
    """The response could not be written to the caller."""

    request_id: str


@attrs.frozen
class DocumentRead:
    """The document returned by a read that started at ``read_from_ms``."""

    document: documents.Document
    read_from_ms: int


@attrs.frozen
class EvacuationsRead:
    """The zones to whose targets nothing new may be sent.

    They are all evacuated zones as of a version of the store, in an ``era``
    as that of `TargetsRead`, and show all changes up to ``read_from_ms``.
    """

    zones: frozenset[str]
    version: int
    era: int = 0
    read_from_ms: int | None = None


@attrs.frozen
class TargetsRead:
    """The complete list of targets as of a store version.

    ``outage_ms`` is how long the store did not answer before this read. In
    each new ``era`` the store has gone back to an older state. With
    ``is_told`` another host has read the list. It shows all changes up to
    ``read_from_ms``, None if that is not known.
    """

    listed: tuple[targets.TargetEntry, ...]
    version: int
    outage_ms: int = 0
    era: int = 0
    is_told: bool = False
    read_from_ms: int | None = None


@attrs.frozen
class TargetsChanged:
    """Entries of the list of targets that changed.

    With ``is_told`` another host has read them. They are all changes up to
    ``read_from_ms``, None if that is not known.
    """

    present: tuple[targets.TargetEntry, ...]
    removed: tuple[str, ...]
    version: int
    era: int = 0
    is_told: bool = False
    read_from_ms: int | None = None


@attrs.frozen
class HostsRead:
    """Hosts registered in the store: name, data centre, address."""

    entries: tuple


@attrs.frozen
class QuarantineRow:
    """A trait that crashes targets, with the ids of crashes."""

    trait: str
    crashes: tuple[str, ...]


@attrs.frozen
class QuarantineRead:
    """Rows of the store about traits that crash targets.

    ``removed`` are traits whose rows were deleted. With ``is_complete``
    these are all rows.
    """

    rows: tuple[QuarantineRow, ...]
    removed: tuple[str, ...] = ()
    is_complete: bool = False


@attrs.frozen
class StreamsRow:
    """What a host keeps in the store about versions.

    ``versions`` has those of each pool that has several, ``ages_ms`` the
    time since each of them was listed; ``streams`` the pool and the version
    at which streams began, by key. ``host`` wrote the row at Unix time
    ``at_ms``.
    """

    versions: dict[str, tuple[str, ...]] = attrs.Factory(dict)
    streams: dict[str, tuple[str, ...]] = attrs.Factory(dict)
    at_ms: int = 0
    host: str = ''
    ages_ms: dict[str, tuple[int, ...]] = attrs.Factory(dict)


@attrs.frozen
class StreamsRowWritten:
    """The row of this host about streams was written or removed, or not."""

    is_written: bool


@attrs.frozen
class StreamsRead:
    """The rows of all hosts about versions, read after the start."""

    rows: tuple[StreamsRow, ...] = ()


@attrs.frozen
class SettingsReloaded:
    """The settings were reloaded; ``bounds`` are `host.Settings`."""

    bounds: typing.Any


@attrs.frozen
class StopRequested:
    """A planned stop was requested."""


@attrs.frozen
class ListenerClosed:
    """The callers' listener has stopped and answered all it had read."""


@attrs.frozen
class ItemResult:
    """A result's ``handle``, or the ``failure`` code if there is none."""

    handle: str = ''
    failure: str = ''


@attrs.frozen
class BatchEnded:
    """A stage call returned a result for each item."""

    call_id: str
    results: tuple[ItemResult, ...]
    notice: targets.Notice = targets.Notice()


@attrs.frozen
class BatchNotRun:
    """A stage call was refused and did not run."""

    call_id: str
    is_misdirected: bool = False
    notice: targets.Notice = targets.Notice()


@attrs.frozen
class BatchLost:
    """A stage call got no complete response."""

    call_id: str
    detail: str
