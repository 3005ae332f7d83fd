"""Decides at which targets a stream goes on that a caller takes up."""

import enum
import typing

import attrs

from godwitglade.common import clock as clocks
from godwitglade.routing import pool_versions
from godwitglade.routing import request as request_
from godwitglade.routing import stream_versions
from godwitglade.routing import targets

Effects = list[typing.Any]

#: A list of targets that was confirmed within this time names every version.
FRESH_MS = 3 * clocks.SECOND_MS


class Refusal(enum.Enum):
    """Why a stream cannot go on; a caller may return after UNCONFIRMED."""

    UNKNOWN = 'unknown_stream'
    UNCONFIRMED = 'unconfirmed_version'
    GONE = 'version_gone'


Decision = stream_versions.Begun | Refusal


@attrs.frozen
class Evidence:
    """What a host knows of a stream.

    ``begun`` is where it began, as known here or by another host, None if
    none of them knows; ``replies`` of ``asked`` hosts answered.
    """

    begun: stream_versions.Begun | None
    asked: int = 0
    replies: int = 0


class Resumptions:
    """The streams that callers take up at this host."""

    def __init__(
        self,
        versions: pool_versions.PoolVersions,
        streams: stream_versions.StreamVersions,
        directory: targets.Directory,
    ) -> None:
        self._versions = versions
        self._streams = streams
        self._directory = directory

    def start(
        self, request: request_.Request, now_ms: int
    ) -> Decision | Effects:
        """Return the decision, or the messages that ask other hosts first."""
        key = stream_versions.key_of(request)
        begun = self._streams.find(key)
        if begun is None:
            questions = self._streams.ask(key, request.request_id)
            if questions:
                request.inquiry = request_.Inquiry(len(questions))
                return questions
        return self._decide(request, Evidence(begun), now_ms)

    def apply_reply(
        self, request: request_.Request, body: typing.Any, now_ms: int
    ) -> Decision | None:
        """Return the decision, None while other hosts may still reply."""
        inquiry = request.inquiry
        if inquiry is None:
            return None
        inquiry.pending -= 1
        inquiry.replies += body is not None
        begun = stream_versions.decode_answer(body)
        if begun is None and inquiry.pending:
            return None
        request.inquiry = None
        evidence = Evidence(begun, inquiry.asked, inquiry.replies)
        return self._decide(request, evidence, now_ms)

    def _decide(
        self, request: request_.Request, evidence: Evidence, now_ms: int
    ) -> Decision:
        others = (pool.name for pool in request.route.pools)
        pools = (request.pool, *others)
        return decide(evidence, pools, self._versions, self._directory, now_ms)

    def record_event(self, request: request_.Request, now_ms: int) -> Effects:
        """Record that the first event of a response arrived."""
        if not request.route.is_resumable:
            return []
        target = request.target
        request.version = target.version(now_ms)
        begun = stream_versions.Begun(request.pool, request.version)
        key = stream_versions.key_of(request)
        return self._streams.record_begun(
            key, begun, target.name, request.request_id, now_ms
        )

    def hold_ms(self, request: request_.Request) -> int:
        """Return how long the first event of a request has to wait.

        A host that takes it over lets the event wait itself.
        """
        if request.is_handed_over or request.has_response_started:
            return 0
        is_resumable = request.route.is_resumable
        return self._streams.hold_ms(request.pool) if is_resumable else 0

    def record_end(
        self, request: request_.Request, is_complete: bool, now_ms: int
    ) -> None:
        """Record that this host has ended a response."""
        if request.route.is_resumable and request.has_response_started:
            key = stream_versions.key_of(request)
            self._streams.record_end(key, is_complete, now_ms)


def decide(
    evidence: Evidence,
    pools: typing.Sequence[str],
    versions: pool_versions.PoolVersions,
    directory: targets.Directory,
    now_ms: int,
) -> Decision:
    """Return the pool and the version with which to go on, or a refusal.

    ``pools`` are those of the route, the preferred one first. A stream of
    which nobody knows goes on if all targets have had the same version since
    it can have begun.
    """
    begun = evidence.begun
    known = versions.known_of(pools, now_ms)
    if begun is None or not begun.version:
        if len(known) != 1:
            is_silent = evidence.replies < evidence.asked
            return Refusal.UNCONFIRMED if is_silent else Refusal.UNKNOWN
        is_fresh = (
            versions.confirmed_ms is not None
            and now_ms - versions.confirmed_ms < FRESH_MS
        )
        if not versions.is_complete or not (is_fresh or evidence.replies):
            return Refusal.UNCONFIRMED
        (version,) = known
        pool = begun.pool if begun is not None else pools[0]
        begun = stream_versions.Begun(pool, version)
    if begun.pool not in pools:
        return Refusal.GONE
    if not directory.has_version(begun.pool, begun.version):
        return Refusal.GONE
    return begun
