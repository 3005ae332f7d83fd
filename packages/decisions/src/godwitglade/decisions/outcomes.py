"""The closed set of final outcomes of a request.

Each type has a stable ``code`` for programs, an HTTP status and a flag that
says whether the same request can safely be sent again.
"""

import typing

import attrs


@attrs.frozen
class StageReport:
    """Report on one stage; ``attempts`` counts calls sent to targets."""

    stage: str
    target: str
    attempts: int
    elapsed_ms: int


@attrs.frozen
class Answered:
    """Completed; ``results`` maps stage names to outputs."""

    code: typing.ClassVar[str] = 'answered'
    http_status: typing.ClassVar[int] = 200
    is_retryable: typing.ClassVar[bool] = False

    results: dict[str, typing.Any]
    stages: tuple[StageReport, ...] = ()


@attrs.frozen
class RefusedNotRun:
    """Refused before any stage was sent to a target.

    ``reason`` is one of the codes in `Refusal`.
    """

    code: typing.ClassVar[str] = 'refused_not_run'
    is_retryable: typing.ClassVar[bool] = True

    reason: str
    retry_after_ms: int = 0

    @property
    def http_status(self) -> int:
        """Return 429 for limits and 503 for everything else."""
        return REFUSAL_STATUS.get(self.reason, 503)


@attrs.frozen
class Failed:
    """Failed; ``ran`` lists the stages that were sent to a target.

    No non-repeatable stage ran, so the request may be sent again.
    """

    code: typing.ClassVar[str] = 'failed'
    http_status: typing.ClassVar[int] = 504
    is_retryable: typing.ClassVar[bool] = True

    reason: str
    ran: tuple[str, ...] = ()
    retry_after_ms: int = 0


@attrs.frozen
class Unknown:
    """A non-repeatable stage may have run; query the outcome by its key."""

    code: typing.ClassVar[str] = 'unknown'
    http_status: typing.ClassVar[int] = 502
    is_retryable: typing.ClassVar[bool] = False

    reason: str
    stage: str
    ran: tuple[str, ...] = ()


Outcome = Answered | RefusedNotRun | Failed | Unknown


class Refusal:
    """Reasons of `RefusedNotRun`."""

    UNKNOWN_PIPELINE = 'unknown_pipeline'
    UNKNOWN_WORKSPACE = 'unknown_workspace'
    UNKNOWN_PRIORITY = 'unknown_priority'
    KEY_REQUIRED = 'idempotency_key_required'
    DEADLINE_PASSED = 'deadline_passed'
    OVERLOADED = 'overloaded'
    CANNOT_MEET_DEADLINE = 'cannot_meet_deadline'
    WORKSPACE_LIMIT = 'workspace_limit'
    NO_TARGET = 'no_target'
    NOT_READY = 'not_ready'
    STOPPING = 'stopping'
    STORE_UNAVAILABLE = 'store_unavailable'
    QUARANTINED = 'quarantined'
    KEY_REUSED = 'idempotency_key_reused'


REFUSAL_STATUS = {
    Refusal.UNKNOWN_PIPELINE: 404,
    Refusal.UNKNOWN_WORKSPACE: 403,
    Refusal.UNKNOWN_PRIORITY: 400,
    Refusal.KEY_REQUIRED: 400,
    Refusal.DEADLINE_PASSED: 400,
    Refusal.OVERLOADED: 429,
    Refusal.WORKSPACE_LIMIT: 429,
    Refusal.QUARANTINED: 422,
    Refusal.KEY_REUSED: 409,
}


class Failure:
    """Reasons of `Failed` and `Unknown`."""

    DEADLINE = 'deadline_exceeded'
    TARGET_LOST = 'target_lost'
    TARGET_ERROR = 'target_error'
    NO_TARGET = 'no_target'
    QUARANTINED = 'quarantined'
    STORE_UNAVAILABLE = 'store_unavailable'
    CALLER_GONE = 'caller_gone'
    OWNED_ELSEWHERE = 'owned_elsewhere'
    BROKEN_STREAM = 'broken_stream'
    OUT_OF_ATTEMPTS = 'out_of_attempts'
