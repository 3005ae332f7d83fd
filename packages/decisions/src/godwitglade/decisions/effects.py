"""Effects that a host's decisions ask for.

The daemon carries them out on its threads; fakes do so in tests. No effect
returns a value: its result comes back as a message.
"""

import typing

import attrs

from godwitglade.decisions import outcomes
from godwitglade.decisions import targets


@attrs.frozen
class CallTarget:
    """Send one attempt of a stage to a target.

    ``timeout_ms`` bounds the whole call and ``first_byte_ms`` the wait for
    the first byte of the reply. ``resume_offset`` asks an engine to go on
    after that many characters, which ``prefix`` holds. With
    ``needs_fresh_connection`` the call uses a connection proven alive.
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
    """Stop awaiting an attempt and tell its target so."""

    attempt_id: str
    target: targets.Target


@attrs.frozen
class AnswerCaller:
    """Give the caller its final outcome; sent once a request."""

    request_id: str
    outcome: outcomes.Outcome


@attrs.frozen
class SendPiece:
    """Pass one piece of a streamed answer to the caller."""

    request_id: str
    offset: int
    text: str


@attrs.frozen
class AnswerQuery:
    """Answer `messages.OutcomeAsked`.

    ``state`` is one of ``settled``, ``running``, ``unknown``, ``absent``
    and ``unavailable``; ``outcome`` is set when settled.
    """

    query_id: str
    state: str
    outcome: outcomes.Outcome | None = None


@attrs.frozen
class ProbeTarget:
    """Ask a target for its load on a new connection."""

    target: targets.Target
    timeout_ms: int


@attrs.frozen
class DropConnections:
    """Close the idle connections to a target opened until now."""

    target: targets.Target


@attrs.frozen
class OrderEngine:
    """Send an order to an engine, or read its state when ``order`` None.

    ``send_until_ms`` is the latest time, on this host's monotonic clock, at
    which the order may still leave; it is checked right before the send.
    """

    token: str
    target: targets.Target
    order: typing.Any
    fencing_number: int
    send_until_ms: int


@attrs.frozen
class Exit:
    """End the process: a planned stop is complete."""


@attrs.frozen
class ReadHostList:
    """Read the platform's list of hosts, where it has changed.

    ``zone`` and ``role`` (``entry`` or ``target``) narrow the reading; an
    empty text does not.
    """

    zone: str = ''
    role: str = ''


@attrs.frozen
class AnswerOperator:
    """Give an operator the typed result of what it asked for."""

    query_id: str
    result: typing.Any
