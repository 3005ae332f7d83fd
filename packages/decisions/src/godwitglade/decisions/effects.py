"""Effects that a host's decisions request.

The daemon executes them on its threads, and fakes do so in tests. An effect
returns no value: its result arrives as a message.
"""

import typing

import attrs

from godwitglade.decisions import outcomes
from godwitglade.decisions import targets


@attrs.frozen
class CallTarget:
    """Send one attempt of a stage to a target.

    ``timeout_ms`` bounds the whole call and ``first_byte_ms`` the wait for
    the first byte of the reply. ``resume_offset`` makes an engine continue
    after that many characters, which ``prefix`` contains. With
    ``needs_fresh_connection`` the call reuses a connection only if that had
    contact recently.
    """

    request_id: str
    stage: str
    attempt_id: str
    target: targets.Target
    path: str
    payload: typing.Any
    timeout_ms: int
    first_byte_ms: int
    is_stream: bool = False
    resume_offset: int = 0
    prefix: str = ''
    priority: int = 0
    needs_fresh_connection: bool = False


@attrs.frozen
class CancelCall:
    """Stop waiting for an attempt and cancel it at its target."""

    attempt_id: str
    target: targets.Target


@attrs.frozen
class AnswerCaller:
    """Send the caller its final outcome; occurs once per request."""

    request_id: str
    outcome: outcomes.Outcome


@attrs.frozen
class SendPiece:
    """Send one piece of a streamed answer to the caller."""

    request_id: str
    offset: int
    text: str


@attrs.frozen
class AnswerQuery:
    """Answer a caller's `messages.OutcomeRequested`.

    ``state`` is one of ``settled``, ``running``, ``unknown``, ``absent``
    and ``unavailable``; ``outcome`` is set when settled.
    """

    query_id: str
    state: str
    outcome: outcomes.Outcome | None = None


@attrs.frozen
class ProbeTarget:
    """Read a target's load on a new connection."""

    target: targets.Target
    timeout_ms: int


@attrs.frozen
class DropConnections:
    """Close the idle connections to a target that are open now."""

    target: targets.Target


@attrs.frozen
class OrderEngine:
    """Send an order to an engine, or read its state if ``order`` is None.

    ``send_until_ms`` is the latest time, on this host's monotonic clock, at
    which the order may be sent; it is checked immediately before sending.
    """

    token: str
    target: targets.Target
    order: typing.Any
    fencing_number: int
    send_until_ms: int


@attrs.frozen
class Exit:
    """End the process after a planned stop."""


@attrs.frozen
class ReadHostList:
    """Read the platform's host list if it has changed.

    ``zone`` and ``role`` (``entry`` or ``target``) filter the list unless
    they are empty.
    """

    zone: str = ''
    role: str = ''


@attrs.frozen
class AnswerOperator:
    """Send an operator the typed result of its request."""

    query_id: str
    result: typing.Any
