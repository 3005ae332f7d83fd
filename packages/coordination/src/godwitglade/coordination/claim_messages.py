"""Verdicts on at-most-once claims and messages between their owners."""

import typing

import attrs

from godwitglade.coordination import hosts


class Reason:
    """Reasons of `NotRun` and `Undecided`."""

    STORE_UNAVAILABLE = 'store_unavailable'
    DEADLINE_PASSED = 'deadline_passed'
    UNREADABLE_ROW = 'unreadable_row'


@attrs.frozen
class Granted:
    """Only this host may send, once, while `Claims.may_send` is true."""


@attrs.frozen
class Done:
    """The call ran earlier; ``outcome`` is what `Claims.settle` recorded."""

    outcome: dict[str, typing.Any]


@attrs.frozen
class HeldElsewhere:
    """Another claim holds the key, and its call may have been sent.

    ``is_running`` is True when the owner reported it, and False when the
    owner could not be queried: whether the call ran may then stay unknown.
    """

    owner: hosts.HostId
    nonce: str
    is_running: bool = False


@attrs.frozen
class NotRun:
    """Final: this claim did not send the call, and the key is free again."""

    reason: str


@attrs.frozen
class Undecided:
    """This host never sends the call, but its write may still claim the key.

    The host keeps trying to release the key in the background.
    """

    reason: str


@attrs.frozen
class KeyReused:
    """The key belongs to a request with another digest."""


Verdict = Granted | Done | HeldElsewhere | NotRun | Undecided | KeyReused


@attrs.frozen
class ClaimSettled:
    """The result of `Claims.claim`, delivered once for each claim."""

    claim_key: str
    nonce: str
    verdict: Verdict


@attrs.frozen
class ClaimLooked:
    """The result of `Claims.look_up`.

    ``state`` is one of ``settled``, ``running``, ``unknown``, ``absent``
    and ``unavailable``; ``outcome`` is set when settled.
    """

    query_id: str
    state: str
    outcome: dict[str, typing.Any] | None = None


@attrs.frozen
class ClaimQuestion:
    """A request to the owner of an unsettled row for the state of its call."""

    claim_key: str
    nonce: str
    owner: hosts.HostId
    version: int


@attrs.frozen
class ClaimAnswer:
    """The owner's reply: state ``running``, ``settled`` or ``released``.

    A later incarnation of the owner's process replies ``unknown``.
    """

    state: str
    outcome: dict[str, typing.Any] | None = None
