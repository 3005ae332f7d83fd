"""Decides at which targets a stream goes on that a caller takes up."""

import enum
import typing

import attrs

from godwitglade.coordination import effects as shared_effects
from godwitglade.routing import effects
from godwitglade.routing import messages
from godwitglade.routing import pool_versions
from godwitglade.routing import request as request_
from godwitglade.routing import stream_versions
from godwitglade.routing import targets

Effects = list[typing.Any]

CONFIRM_TOKEN = 'requests:confirm:'
#: Time within which the store has to confirm the list of targets.
CONFIRM_MS = 400


class Refusal(enum.Enum):
    """Why a stream cannot go on; a caller may return if it `is_temporary`."""

    UNKNOWN = 'unknown_stream'
    UNCONFIRMED = 'unconfirmed_version'
    OUTDATED = 'outdated_targets'
    GONE = 'version_gone'

    @property
    def is_temporary(self) -> bool:
        """Return whether the stream may go on later."""
        return self in (Refusal.UNCONFIRMED, Refusal.OUTDATED)


Decision = stream_versions.Begun | Refusal


@attrs.frozen
class Evidence:
    """What a host knows of a stream.

    ``begun`` is where it began, as known here or by another host, None if
    none of them knows; ``replies`` of ``asked`` hosts answered, and know of
    ``versions``. This host began to look for it at ``asked_ms``.
    """

    begun: stream_versions.Begun | None
    asked: int = 0
    replies: int = 0
    versions: frozenset[str] = frozenset()
    asked_ms: int = 0

    @property
    def is_whole(self) -> bool:
        """Return whether all hosts answered that would know."""
        return 0 < self.asked == self.replies


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
        self._unconfirmed: dict[str, tuple[request_.Request, Evidence]] = {}
        self._confirm_ms = -1

    def start(
        self, request: request_.Request, now_ms: int
    ) -> Decision | Effects:
        """Return the decision, or the messages that ask other hosts first."""
        key = stream_versions.key_of(request)
        begun = self._streams.find(key)
        if begun is None:
            questions = self._streams.ask(
                key, request.request_id, _pools(request)
            )
            if questions:
                request.inquiry = request_.Inquiry(len(questions), now_ms)
                return questions
        evidence = Evidence(begun, asked_ms=now_ms)
        return self._decide(request, evidence, now_ms)

    def apply_reply(
        self, request: request_.Request, body: typing.Any, now_ms: int
    ) -> Decision | Effects:
        """Return the decision, effects while it is not possible yet."""
        inquiry = request.inquiry
        if inquiry is None:
            return []
        inquiry.pending -= 1
        inquiry.replies += body is not None
        inquiry.versions |= stream_versions.decode_versions(body)
        begun = stream_versions.decode_answer(body)
        if begun is None and inquiry.pending:
            return []
        request.inquiry = None
        evidence = Evidence(
            begun,
            inquiry.asked,
            inquiry.replies,
            frozenset(inquiry.versions),
            inquiry.asked_ms,
        )
        return self._decide(request, evidence, now_ms)

    def _decide(
        self, request: request_.Request, evidence: Evidence, now_ms: int
    ) -> Decision | Effects:
        decision = self._decide_now(request, evidence, now_ms)
        if decision is not Refusal.OUTDATED:
            return decision
        request_id = request.request_id
        self._unconfirmed[request_id] = (request, evidence)
        due_ms = now_ms + CONFIRM_MS
        timer = shared_effects.StartTimer(
            f'{CONFIRM_TOKEN}{request_id}', due_ms
        )
        if self._confirm_ms >= evidence.asked_ms:
            return [timer]
        self._confirm_ms = now_ms
        return [timer, effects.ConfirmTargets()]

    def _decide_now(
        self, request: request_.Request, evidence: Evidence, now_ms: int
    ) -> Decision:
        pools = _pools(request)
        decision = decide(
            evidence, pools, self._versions, self._directory, now_ms
        )
        if isinstance(decision, stream_versions.Begun):
            self._streams.settle(stream_versions.key_of(request), decision)
        return decision

    def _is_confirmed(self, evidence: Evidence) -> bool:
        return self._versions.is_confirmed_since(evidence.asked_ms)

    def apply_confirmation(
        self, now_ms: int
    ) -> list[tuple[request_.Request, Decision]]:
        """Decide on the streams for which the list is now new enough."""
        confirmed = [
            name
            for name, (_, evidence) in self._unconfirmed.items()
            if self._is_confirmed(evidence)
        ]
        return [
            (request, self._decide_now(request, evidence, now_ms))
            for request, evidence in map(self._unconfirmed.pop, confirmed)
        ]

    def expire(self, request_id: str, now_ms: int) -> Decision | None:
        """Decide without a newer list; None if that was done before."""
        if request_id not in self._unconfirmed:
            return None
        return self._decide_now(*self._unconfirmed.pop(request_id), now_ms)

    def record_event(
        self,
        request: request_.Request,
        message: messages.StreamStarted,
        now_ms: int,
    ) -> Effects:
        """Record that the first event of a response arrived."""
        if not request.route.is_resumable:
            return []
        target = request.target
        is_of_entry = message.started_ms == target.listed.started_ms > 0
        request.version = (
            target.listed.version if is_of_entry else target.version(now_ms)
        )
        begun = stream_versions.Begun(request.pool, request.version)
        key = stream_versions.key_of(request)
        connected_ms = message.connected_ms
        process = stream_versions.Process(
            target.name,
            message.started_ms,
            now_ms if connected_ms is None else connected_ms,
        )
        return self._streams.record_begun(
            key, begun, process, request.request_id, now_ms
        )

    def process_check(self, request: request_.Request) -> effects.ProcessCheck:
        """Return what has to be known of the process that gets a request.

        What a target writes fits only the version that began the stream. A
        host that takes a request over asks the target itself.
        """
        target = request.target
        if (
            request.is_handed_over
            or not request.route.is_resumable
            or not target.listed.started_ms
        ):
            return effects.ProcessCheck.NONE
        is_mixed = self._streams.is_mixed(request.pool)
        if request.is_resume or request.has_response_started:
            if is_mixed:
                return effects.ProcessCheck.CONFIRM
            return effects.ProcessCheck.REQUIRE
        return (
            effects.ProcessCheck.ASK if is_mixed else effects.ProcessCheck.NONE
        )

    def hold_ms(self, request: request_.Request) -> int:
        """Return how long the first event of a request has to wait.

        A host that takes it over lets the event wait itself.
        """
        if request.is_handed_over or request.has_response_started:
            return 0
        is_resumable = request.route.is_resumable
        return self._streams.hold_ms(request.pool) if is_resumable else 0

    def must_look_up(self, request: request_.Request) -> bool:
        """Return whether the version has to be looked up before a send."""
        is_bound = request.route.is_resumable and request.version is not None
        is_outdated = is_bound and not self._versions.is_list_current
        return request.is_unbound_stream or is_outdated

    def update_version(self, request: request_.Request) -> None:
        """Apply a doubt about where a stream began that came up since."""
        if not request.route.is_resumable or request.version is None:
            return
        begun = self._streams.find(stream_versions.key_of(request))
        if begun is not None:
            request.version = begun.version

    def record_end(
        self, request: request_.Request, is_complete: bool, now_ms: int
    ) -> None:
        """Record that this host has ended a response."""
        self._unconfirmed.pop(request.request_id, None)
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
    it can have begun. Hosts that are told of a stream would name another
    one; if not all of them answer, the list has to be newer than the stream.
    """
    begun = evidence.begun
    known = versions.known_of(pools, now_ms) | evidence.versions
    if begun is None or not begun.version:
        if len(known) != 1:
            is_silent = evidence.replies < evidence.asked
            return Refusal.UNCONFIRMED if is_silent else Refusal.UNKNOWN
        if not versions.is_complete:
            return Refusal.UNCONFIRMED
        is_confirmed = versions.is_confirmed_since(evidence.asked_ms)
        if not (evidence.is_whole or is_confirmed):
            return Refusal.OUTDATED
        (version,) = known
        pool = begun.pool if begun is not None else pools[0]
        begun = stream_versions.Begun(pool, version)
    if not versions.is_list_current:
        return Refusal.OUTDATED
    if begun.pool not in pools:
        return Refusal.GONE
    if not directory.has_version(begun.pool, begun.version):
        return Refusal.GONE
    return begun


def _pools(request: request_.Request) -> tuple[str, ...]:
    """Return the pools of a request's route, the preferred one first."""
    return (request.pool, *(pool.name for pool in request.route.pools))
