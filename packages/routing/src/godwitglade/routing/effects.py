"""Effects requested by the routing components.

See also coordination.effects.
"""

import enum

import attrs

from godwitglade.routing import bodies
from godwitglade.routing import documents
from godwitglade.routing import targets


class ProcessCheck(enum.Enum):
    """What is asked on a connection before a request is sent over it.

    A target that started again under its name and address is another
    process than that of its entry until its new entry is known. With `ASK`
    the result says since when the process runs that got the request; with
    `REQUIRE` the request is sent to no process that says to be another than
    that of the entry. With `CONFIRM` the events of one that does not say
    since when it runs wait for `ConfirmProcess`, too.
    """

    NONE = 'none'
    ASK = 'ask'
    REQUIRE = 'require'
    CONFIRM = 'confirm'


@attrs.frozen
class Forward:
    """Send a request to a target.

    ``call`` numbers the sends of a request. ``timeout_ms`` is the time the
    target has to respond. ``inputs`` are the stage results that the request
    needs. With ``may_retry`` a failure of the target is reported instead of
    forwarded. ``needs_new_connection`` forbids reuse of a connection. The
    first event of a stream waits ``hold_ms`` at most for ReleaseStream.
    ``last_event_id`` is that of the last event that the caller had before,
    empty for none.
    """

    request_id: str
    call: int
    target: targets.TargetEntry
    timeout_ms: int
    workspace: str | None = None
    inputs: tuple[str, ...] = ()
    may_retry: bool = False
    is_stream: bool = False
    needs_new_connection: bool = False
    last_event_id: str = ''
    hold_ms: int = 0
    process_check: ProcessCheck = ProcessCheck.NONE


@attrs.frozen
class ReleaseStream:
    """Let the first event of a stream that waits go to the caller."""

    request_id: str


@attrs.frozen
class ConfirmProcess:
    """Let the events of a call go on that wait for their process."""

    request_id: str
    call: int


@attrs.frozen
class ProbeTarget:
    """Ask a target for any response; the result arrives as a message."""

    name: str
    address: str
    timeout_ms: int


@attrs.frozen
class ForwardHeldResponse:
    """Forward the failure response that was held back."""

    request_id: str


@attrs.frozen
class Answer:
    """Answer the caller with ``status`` without forwarding a response.

    ``retry_after_ms`` is the retry time of a request that has not run.
    """

    request_id: str
    status: int
    reason: str
    retry_after_ms: int | None = None


@attrs.frozen
class AbortResponse:
    """Close the caller's connection without completing the response."""

    request_id: str


@attrs.frozen
class CancelCall:
    """Close the connection that one call of a request uses."""

    request_id: str
    call: int


@attrs.frozen
class BatchItem:
    """One item of a stage call."""

    attempt_id: str
    stage: int
    index: int
    left_ms: int
    item_key: str = ''
    inputs: tuple[str, ...] = ()


@attrs.frozen
class RunBatch:
    """Make a stage call; its result arrives as a message."""

    call_id: str
    target: targets.TargetEntry
    items: tuple[BatchItem, ...]
    timeout_ms: int


@attrs.frozen
class FreeResults:
    """Tell targets to free results that are no longer needed."""

    handles: tuple[str, ...]


@attrs.frozen
class SubmitJob:
    """Submit a job to the owner of its pool."""

    job: bodies.JobRequest


@attrs.frozen
class ReleaseJobs:
    """Notify the owners of jobs that the results are not needed."""

    job_ids: tuple[str, ...]


@attrs.frozen
class ReportJobEnded:
    """Report the end of a job to the host that requested it."""

    origin: str
    job: bodies.JobEnded


@attrs.frozen
class ReportJobStarted:
    """Report to the requesting host that all items of a job are in calls."""

    origin: str
    job_id: str


@attrs.frozen
class RefreshTargets:
    """Read the list of targets now, since the current one is outdated."""


@attrs.frozen
class ConfirmTargets:
    """Ask the store now for what has changed in the list of targets."""


@attrs.frozen
class FollowTables:
    """Follow the tables of the store, or leave that to other hosts.

    With ``is_reader`` other hosts rely on what this one reads.
    """

    is_following: bool
    is_reader: bool = False


@attrs.frozen
class ReadTable:
    """Read a table of the store now; see `table_sharing.Table`."""

    table: str


@attrs.frozen
class WriteQuarantine:
    """Write to the store that a trait crashes targets."""

    trait: str
    crashes: tuple[str, ...]


@attrs.frozen
class RemoveQuarantine:
    """Remove the row of a trait from the store."""

    trait: str


@attrs.frozen
class WriteStreams:
    """Write this host's row about versions; see `messages.StreamsRow`.

    Rows that differ in ages only are equal.
    """

    versions: dict[str, tuple[str, ...]]
    streams: dict[str, tuple[str, ...]]
    ages_ms: dict[str, tuple[int, ...]] = attrs.field(factory=dict, eq=False)


@attrs.frozen
class RemoveStreams:
    """Remove this host's row about versions from the store."""


@attrs.frozen
class SetGauge:
    """Set a metric that goes up and down."""

    name: str
    value: int


@attrs.frozen
class CloseOtherConnections:
    """Close the connections to all addresses except these."""

    addresses: frozenset[str]


@attrs.frozen
class SetCallerLimits:
    """Apply new limits to callers."""

    limits: documents.Limits


@attrs.frozen
class StopListening:
    """Close the callers' listener and the idle connections."""


@attrs.frozen
class Stop:
    """End the process: all requests have been answered."""
