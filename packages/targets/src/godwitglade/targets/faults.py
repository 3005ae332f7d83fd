"""The typed error for a failed call to a target."""

import attrs

from godwitglade.common import errors
from godwitglade.decisions import effects
from godwitglade.decisions import messages
from godwitglade.decisions import targets


@attrs.define(auto_exc=True, str=False)
class CallFaultError(errors.CodedError):
    """The call to a target got no complete, well-formed reply.

    ``is_peer_closed`` means that the peer refused, reset or closed the
    connection, as the operating system does for a process that has exited.
    """

    code = 'target_call_failed'
    http_status = 502
    template = '{kind.value}: {detail}'

    kind: messages.FaultKind
    detail: str
    was_sent: bool = True
    is_peer_closed: bool = False
    load: targets.Load | None = None


def to_message(
    effect: effects.CallTarget, error: CallFaultError, is_crash: bool
) -> messages.StageFault:
    """Return the message that reports ``error`` for the call."""
    return messages.StageFault(
        request_id=effect.request_id,
        stage=effect.stage,
        attempt_id=effect.attempt_id,
        kind=error.kind,
        was_sent=error.was_sent,
        is_crash=is_crash,
        detail=error.detail,
        load=error.load,
    )
