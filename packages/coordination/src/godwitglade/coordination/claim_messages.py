"""Verdicts on at-most-once claims and messages between their owners."""

import typing

import attrs

from godwitglade.coordination import hosts


class Reason:
    """Why a claim ended in `NotRun` or `Undecided`."""

    STORE_UNAVAILABLE = 'store_unavailable'
    DEADLINE_PASSED = 'deadline_passed'
    UNREADABLE_ROW = 'unreadable_row'


@attrs.frozen
class Granted:
    """This host alone may send, once, while `Claims.may_send` agrees."""


@attrs.frozen
class Done:
    """The call ran earlier; ``outcome`` is what `Claims.settle` recorded."""

    outcome: dict[str, typing.Any]


@attrs.frozen
class HeldElsewhere:
    """Another claim holds the key, and its call may have been sent.

    ``is_running`` is True when the owner said so; False when it could not
    be asked, so that nobody may ever learn whether the call ran.
    """

    owner: hosts.HostId
    nonce: str
    is_running: bool = False


@attrs.frozen
class NotRun:
    """Final: this claim did not send, and the key is free again."""

    reason: str


@attrs.frozen
class Undecided:
    """This host never sends, but its write may still take the key.

    It goes on releasing the key in the background.
    """

    reason: str


@attrs.frozen
class KeyReused:
    """The key belongs to a request with another digest."""


Verdict = Granted | Done | HeldElsewhere | NotRun | Undecided | KeyReused


@attrs.frozen
class ClaimSettled:
    """The end of `Claims.claim`; delivered once a claim."""

    claim_key: str
    nonce: str
    verdict: Verdict


@attrs.frozen
class ClaimLooked:
    """The end of `Claims.look`.

    ``state`` is one of ``settled``, ``running``, ``unknown``, ``absent``
    and ``unavailable``; ``outcome`` is set when settled.
    """

    query_id: str
    state: str
    outcome: dict[str, typing.Any] | None = None


@attrs.frozen
class ClaimQuestion:
    """Asks the owner of an unsettled row what became of its call."""

    claim_key: str
    nonce: str
    owner: hosts.HostId
    version: int


@attrs.frozen
class ClaimAnswer:
    """The owner's answer: state ``running``, ``settled`` or ``released``.

    ``unknown`` comes from a later incarnation of the owner's process.
    """

    state: str
    outcome: dict[str, typing.Any] | None = None
