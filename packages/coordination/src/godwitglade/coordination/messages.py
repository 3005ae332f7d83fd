"""Messages to the coordination components, and those that they deliver.

Those delivered to the embedding program are `FactChanged` and
`DocumentChanged`.
"""

import typing

import attrs

from godwitglade.coordination import hosts
from godwitglade.coordination import rows


@attrs.frozen
class TransactionSettled:
    """The result of an `effects.Transact` with the same token."""

    token: str
    result: rows.TransactionResult


@attrs.frozen
class ReadSettled:
    """The result of an `effects.ReadRows` or `ScanRows` with that token."""

    token: str
    result: rows.ReadResult


@attrs.frozen
class ObjectRead:
    """The content of an object, None if it is absent or unreadable."""

    token: str
    content: bytes | None


@attrs.frozen
class PeerMessage:
    """A message from another host, already authenticated."""

    sender: hosts.HostId
    body: typing.Any
    reply_token: str | None = None


@attrs.frozen
class PeerReply:
    """The reply to an `effects.SendPeer`; ``body`` None if there was none."""

    token: str
    body: typing.Any


@attrs.frozen
class TimerFired:
    """The timer of an `effects.StartTimer` with the same token expired."""

    token: str


@attrs.frozen
class FactChanged:
    """A fact was published, removed or expired.

    ``origin`` names the host that published it, which may be this one; it
    is 'fleet' for an estimate of the usage on all hosts. ``value`` is None
    when the fact was removed or has expired.
    """

    kind: str
    key: str
    value: typing.Any
    origin: str


@attrs.frozen
class DocumentChanged:
    """A document version came into force; ``text`` None if removed."""

    pipeline: str
    version: int
    sequence: int
    text: str | None
