"""Processes of hosts and requests of callers, as a world keeps them."""

import typing

import attrs

from godwitglade.coordination import hosts
from godwitglade.coordination import messages as shared_messages
from godwitglade.decisions import host as host_module
from godwitglade.decisions import messages


@attrs.define(eq=False)
class RunningHost:
    """A host's process; ``decider`` is None while it is down.

    While it is paused, what would reach it is kept in ``postponed``.
    """

    name: str
    zone: str
    address: str
    incarnation: int = 0
    decider: host_module.Host | None = None
    is_paused: bool = False
    is_leaving: bool = False
    postponed: list = attrs.Factory(list)


@attrs.define(eq=False)
class SentRequest:
    """A caller's request and the outcomes it got."""

    name: str
    message: messages.RequestArrived
    host: str
    host_life: tuple[str, int]
    sent_ms: int
    outcomes: list = attrs.Factory(list)
    is_lost: bool = False
    was_paused: bool = False


def peer_message(
    sender: RunningHost, body: typing.Any, token: str
) -> shared_messages.PeerMessage:
    """Return ``body`` as the receiver gets it."""
    self_id = hosts.HostId(sender.name, sender.zone, sender.incarnation)
    return shared_messages.PeerMessage(self_id, body, token)


def key_of(message: messages.RequestArrived) -> tuple | None:
    """Return what identifies a repeated request, None without a key."""
    if message.idempotency_key is None:
        return None
    return (message.workspace, message.pipeline, message.idempotency_key)


def again(
    message: messages.RequestArrived, request_id: str, deadline_ms: int
) -> messages.RequestArrived:
    """Return the same request as its caller would send it again."""
    return attrs.evolve(
        message, request_id=request_id, deadline_ms=deadline_ms
    )
