"""Simulated host processes and the requests that callers sent."""

import typing

import attrs

from godwitglade.coordination import hosts
from godwitglade.coordination import messages as shared_messages
from godwitglade.decisions import host as host_module
from godwitglade.decisions import messages


@attrs.define(eq=False)
class HostProcess:
    """A host's process; ``decider`` is None while it is down.

    While it is paused, deliveries to it wait in ``deferred``.
    """

    name: str
    zone: str
    address: str
    incarnation: int = 0
    decider: host_module.Host | None = None
    is_paused: bool = False
    is_leaving: bool = False
    deferred: list = attrs.Factory(list)


@attrs.define(eq=False)
class SentRequest:
    """A caller's request and the outcomes returned for it.

    ``host_process`` is the name and incarnation of the host that received it.
    """

    name: str
    message: messages.RequestArrived
    host: str
    host_process: tuple[str, int]
    sent_ms: int
    outcomes: list = attrs.Factory(list)
    is_lost: bool = False
    was_paused: bool = False


def peer_message(
    sender: HostProcess, body: typing.Any, token: str
) -> shared_messages.PeerMessage:
    """Return the message in which the receiver gets ``body``."""
    self_id = hosts.HostId(sender.name, sender.zone, sender.incarnation)
    return shared_messages.PeerMessage(self_id, body, token)


def key_of(message: messages.RequestArrived) -> tuple | None:
    """Return the scoped idempotency key of a request, None without one."""
    if message.idempotency_key is None:
        return None
    return (message.workspace, message.pipeline, message.idempotency_key)


def copy_for_retry(
    message: messages.RequestArrived, request_id: str, deadline_ms: int
) -> messages.RequestArrived:
    """Return a copy that its caller sends as a retry of the request."""
    return attrs.evolve(
        message, request_id=request_id, deadline_ms=deadline_ms
    )
