"""Messages between hosts about stage work.

Times are sent as remaining durations, since hosts share no clock.
"""

import enum
import typing

import attrs

from godwitglade.routing import targets

#: Inputs of at least this size are freed once they are fetched instead of
#: at the end of the call, since memory for results is the bottleneck. The
#: start of a job with smaller inputs is not reported.
EARLY_FREE_BYTES = 100_000


class Ending(enum.Enum):
    """How a job ended."""

    DONE = 'done'
    LATE = 'late'
    REFUSED = 'refused'
    INPUT_GONE = 'input_gone'
    FAILED = 'failed'
    MOVED = 'moved'


@attrs.frozen
class JobRequest:
    """All items of one stage of one request.

    ``attempt_id`` is the caller's id of the request. Items of a stage
    without predecessors are named by ``item_key``, those of other stages
    have ``inputs``. ``due_left_ms`` is the time within which the stage has
    to end to meet the objective, ``left_ms`` that to meet the deadline.
    ``zone`` holds most of the inputs, of which each item reads about
    ``input_bytes``. ``later_wait_ms`` is the time that the request would
    wait in the queues of later stages, whose pools are ``later_pools``.
    Its items are sent to targets in ``regions`` only, () for any.
    """

    job_id: str
    attempt_id: str
    pool: str
    stage: int
    count: int
    result_bytes: int
    rank: int
    due_left_ms: int
    left_ms: int
    item_key: str = ''
    inputs: tuple[str, ...] = ()
    zone: str = ''
    input_bytes: int = 0
    later_wait_ms: int = 0
    later_pools: tuple[str, ...] = ()
    regions: tuple[str, ...] = ()


@attrs.frozen
class WorkRequest:
    """Jobs for pools that the receiver owns.

    ``address`` is that of the requesting host.
    """

    address: str
    jobs: tuple[JobRequest, ...]


@attrs.frozen
class JobEnded:
    """The result of a job.

    ``zone`` is the data centre of the target that holds the results.
    ``wait_ms`` is the time that a new job of the pool would wait now.
    """

    job_id: str
    ending: Ending
    pool: str
    handles: tuple[str, ...] = ()
    zone: str = ''
    wait_ms: int = 0


@attrs.frozen
class WorkEnded:
    """Ended and started jobs, reported to the host that requested them.

    ``begun`` has the ids of jobs whose items are all in calls now.
    """

    jobs: tuple[JobEnded, ...] = ()
    begun: tuple[str, ...] = ()


@attrs.frozen
class WorkReleased:
    """Jobs whose results, ready or not, are no longer needed."""

    job_ids: tuple[str, ...]


@attrs.frozen
class QueueWait:
    """The wait of a new job of ``rank`` in the queue of a pool.

    ``wait_ms`` is the time that it would lose there; ``backlog_ms`` is the
    part for items that do not fit the next call of every target, negative
    by the time for which these calls still have room.
    """

    rank: int
    wait_ms: int
    backlog_ms: int


@attrs.frozen
class ComingJobs:
    """Number of jobs of a rank that will go on to a later ``pool``."""

    pool: str
    rank: int
    count: int


@attrs.frozen
class PoolWaits:
    """The waits of new jobs of a pool from a rank on, reported by its owner.

    ``waits`` is sorted by rank. A further job adds ``job_ms`` to the backlog
    and its call takes ``call_ms``. ``coming`` are jobs of this pool that the
    pools of later stages will get.
    """

    pool: str
    waits: tuple[QueueWait, ...]
    job_ms: float = 0.0
    call_ms: int = 0
    coming: tuple[ComingJobs, ...] = ()


@attrs.frozen
class PermitRequest:
    """A host asks for permits to send requests to limited targets of a pool.

    ``limits`` has the incarnations that it can use, the preferred one first,
    with their limits in thousandths of a request per second. Those in
    ``adaptive`` take more while they turn no requests away; ``turned_away``
    counts what they did since the last request of this host. Those in ``cold``
    have just started. The other fields are those of `permit_schedule.Asked`.
    """

    pool: str
    limits: dict[str, int]
    count: int = 1
    caller: str = ''
    max_wait_ms: int = 0
    max_return_ms: int = 0
    adaptive: tuple[str, ...] = ()
    turned_away: dict[str, int] = attrs.Factory(dict)
    cold: tuple[str, ...] = ()


@attrs.frozen
class PermitGranted:
    """The reply to a request for permits; see `permit_schedule.Grant`."""

    count: int
    wait_ms: int
    target: str = ''
    is_kept: bool = False
    ttl_ms: int = 250


@attrs.frozen
class StreamsBegun:
    """Streams, by key, with the pool and the version at which they began."""

    streams: dict[str, tuple[str, ...]]


@attrs.frozen
class StreamQuery:
    """A host asks where a stream began.

    ``pools`` are those of its route.
    """

    key: str
    pools: tuple[str, ...] = ()


@attrs.frozen
class StreamAnswer:
    """The reply to a `StreamQuery`; ``version`` is empty if it is unknown.

    ``versions`` are those that the targets of the pools have or lately had,
    as far as the host knows.
    """

    is_known: bool = False
    pool: str = ''
    version: str = ''
    versions: tuple[str, ...] = ()


@attrs.frozen
class TablesQuery:
    """A host asks what has changed since a version of the list of targets."""

    version: int
    era: int


@attrs.frozen
class TablesKnown:
    """What a host has read from the store itself, and how long ago.

    ``present`` are the targets that changed, all with ``is_full``, and
    ``removed`` the names that are gone. A host that does not follow the
    tables, or cannot read them, gives no ages. Ages of any type are
    decoded; see `ages`. ``evacuated`` are the evacuated zones as of a version
    and an era, None if they are not told; see `evacuations`.
    """

    era: int = 0
    version: int = 0
    is_full: bool = False
    present: tuple[targets.TargetEntry, ...] = ()
    removed: tuple[str, ...] = ()
    targets_age_ms: typing.Any = None
    document_version: int = 0
    document_age_ms: typing.Any = None
    hosts_digest: str = ''
    evacuated: typing.Any = None
    evacuated_version: typing.Any = 0
    evacuated_era: typing.Any = 0


@attrs.frozen
class Received:
    """The receiver has applied a message; ``life`` is its incarnation."""

    life: int


KINDS: dict[str, type] = {
    'work_asked': WorkRequest,
    'work_ended': WorkEnded,
    'work_released': WorkReleased,
    'work_received': Received,
    'work_waits': PoolWaits,
    'permit_asked': PermitRequest,
    'permit_granted': PermitGranted,
    'streams_begun': StreamsBegun,
    'stream_asked': StreamQuery,
    'stream_known': StreamAnswer,
    'tables_asked': TablesQuery,
    'tables_known': TablesKnown,
}
