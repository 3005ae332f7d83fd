"""Effects that the routing parts ask for; see also coordination.effects."""

import attrs

from godwitglade.routing import bodies
from godwitglade.routing import documents
from godwitglade.routing import targets


@attrs.frozen
class Forward:
    """Send a request to a target.

    ``call`` numbers the sends of a request. ``timeout_ms`` is the time the
    target is given. ``inputs`` are the stage results that the request
    needs. With ``may_repeat`` a failure of the target is reported instead
    of relayed. ``needs_new_connection`` forbids a kept connection.
    """

    request_id: str
    call: int
    target: targets.Listed
    timeout_ms: int
    workspace: str | None = None
    inputs: tuple[str, ...] = ()
    may_repeat: bool = False
    is_stream: bool = False
    needs_new_connection: bool = False


@attrs.frozen
class RelayHeld:
    """Pass on the failure that was held back."""

    request_id: str


@attrs.frozen
class Answer:
    """Answer the caller with ``status`` of our own.

    ``retry_after_ms`` tells when to come back, for a request that has not
    run.
    """

    request_id: str
    status: int
    reason: str
    retry_after_ms: int | None = None


@attrs.frozen
class Abort:
    """Close the caller's connection without completing the answer."""

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
    """Make a stage call; its end comes back as a message."""

    call_id: str
    target: targets.Listed
    items: tuple[BatchItem, ...]
    timeout_ms: int


@attrs.frozen
class FreeResults:
    """Let targets forget results that nobody needs any more."""

    handles: tuple[str, ...]


@attrs.frozen
class SubmitJob:
    """Hand a job to the owner of its pool."""

    job: bodies.JobAsked


@attrs.frozen
class ReleaseJobs:
    """Tell the owners of jobs that their results are not needed."""

    job_ids: tuple[str, ...]


@attrs.frozen
class EndJob:
    """Report the end of a job to the host that asked for it."""

    origin: str
    job: bodies.JobEnded


@attrs.frozen
class BeginJob:
    """Tell the host that asked for a job that its items are in calls."""

    origin: str
    job_id: str


@attrs.frozen
class RefreshTargets:
    """Read the list of targets now: what is held has proved wrong."""


@attrs.frozen
class ForgetTargets:
    """Close connections to all but these addresses."""

    addresses: frozenset[str]


@attrs.frozen
class LimitCallers:
    """Bound what callers send, and how long they take, from now on."""

    limits: documents.Limits


@attrs.frozen
class StopListening:
    """Close the callers' listener and the connections that are idle."""


@attrs.frozen
class Stop:
    """Everything has been answered; the process may end."""
