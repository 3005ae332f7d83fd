"""A request in flight on this host."""

import attrs

from godwitglade.routing import documents
from godwitglade.routing import home_regions
from godwitglade.routing import messages
from godwitglade.routing import pipeline
from godwitglade.routing import targets
from godwitglade.routing import traits as traits_

#: Targets that may end under one request.
MAX_CRASHES = 2
#: Ahead of all ranks that operators give.
RESUME_RANK = -1


@attrs.define(eq=False)
class Inquiry:
    """Replies of other hosts for which a request waits.

    ``versions`` are those of which they know.
    """

    asked: int
    asked_ms: int
    pending: int = attrs.field(init=False)
    replies: int = 0
    versions: set[str] = attrs.Factory(set)

    def __attrs_post_init__(self) -> None:
        self.pending = self.asked


@attrs.define(eq=False)
class Request:
    """A request in flight on this host.

    ``crashes`` counts the targets whose process ended under it.
    ``permit_candidates`` are the limited targets for one of which it waits,
    since it asked at ``permit_asked_ms``; its permit ends at
    ``permit_until_ms``.
    ``version`` is that of the targets at which its stream may go on, None
    for any; it ``can_go_on`` unless its last event has no id. ``has_run``
    means that a target may have started to process it, and ``traits`` are
    what it may have in common with other requests. It is processed in
    ``regions`` only, None for any.
    """

    arrived: messages.RequestArrived
    route: documents.Route
    pool: str
    workspace: documents.Workspace | None
    deadline_ms: int
    due_ms: int
    progress: pipeline.Progress
    traits: tuple[str, ...] = ()
    regions: home_regions.Regions = None
    calls: int = 0
    sends: int = 0
    restarts: int = 0
    tried: set[str] = attrs.Factory(set)
    target: targets.Target | None = None
    sent_ms: int = 0
    has_run: bool = False
    response_started_ms: int | None = None
    crashes: int = 0
    permits_asked: int = 0
    permit_asked_ms: int = 0
    permit_until_ms: int = 0
    permit_candidates: tuple[targets.Target, ...] = ()
    may_wait_for_permit: bool = False
    has_held_response: bool = False
    can_go_on: bool = True
    version: str | None = None
    inquiry: Inquiry | None = None
    jobs: dict[str, int] = attrs.Factory(dict)
    past_jobs: set[str] = attrs.Factory(set)
    fetched: set[int] = attrs.Factory(set)

    @property
    def request_id(self) -> str:
        """Return this host's id of the request."""
        return self.arrived.request_id

    @property
    def is_handed_over(self) -> bool:
        """Return whether its call goes to another host."""
        return self.target is not None and self.target.listed.is_host

    @property
    def is_unbound_stream(self) -> bool:
        """Return whether it began at a version that is not looked up yet."""
        has_begun = self.has_response_started or self.is_resume
        is_unbound = self.route.is_resumable and self.version is None
        return has_begun and is_unbound

    @property
    def is_resume(self) -> bool:
        """Return whether its caller has a part of the stream already."""
        return self.route.is_resumable and bool(
            self.last_event_id or self.arrived.resumes
        )

    @property
    def last_event_id(self) -> str:
        """Return the id of the last event that its caller has."""
        named = self.arrived.last_event_id
        return named if self.route.is_resumable and named != '0' else ''

    @property
    def fingerprint(self) -> str:
        """Return the trait that copies of the request have, if known."""
        return next(filter(traits_.is_request, reversed(self.traits)), '')

    @property
    def has_response_started(self) -> bool:
        """Return whether the caller has received a part of a response."""
        return self.response_started_ms is not None

    @property
    def rank(self) -> int:
        """Return the urgency; a workspace's rank overrides the route's.

        A stream whose caller has a part of it goes first.
        """
        if self.is_resume:
            return RESUME_RANK
        if self.workspace is not None and self.workspace.rank is not None:
            return self.workspace.rank
        return self.route.rank

    @property
    def may_retry(self) -> bool:
        """Return whether it may be sent again after it may have run.

        A request that may be what ended two targets does not get a third.
        """
        return (
            self.route.is_repeatable
            and self.can_go_on
            and self.sends < self.route.max_targets
            and self.crashes < MAX_CRASHES
        )
