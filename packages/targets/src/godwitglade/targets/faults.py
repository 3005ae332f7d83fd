"""The typed error for a failed call to a target."""

import typing

import attrs

from godwitglade.common import errors
from godwitglade.common import fault_kinds


@attrs.define(auto_exc=True, str=False)
class CallFaultError(errors.CodedError):
    """The call to a target got no complete, well-formed reply.

    ``is_peer_closed`` means that the peer refused, reset or closed the
    connection, as the operating system does for a process that has exited.
    ``load`` is the target's load, if its refusal told it. With
    ``is_replaced`` another process has the target's address.
    """

    code = 'target_call_failed'
    http_status = 502
    template = '{kind.value}: {detail}'

    kind: fault_kinds.FaultKind
    detail: str
    was_sent: bool = True
    is_peer_closed: bool = False
    load: typing.Any = None
    is_replaced: bool = False
