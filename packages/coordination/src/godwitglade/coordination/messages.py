"""Messages that the coordination parts take in: results of their effects."""

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
    """The result of an `effects.ReadRows` or `ScanRows` of that token."""

    token: str
    result: rows.ReadResult


@attrs.frozen
class ObjectRead:
    """An object's bytes, None when the read failed or it is absent."""

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
    """The answer to an `effects.SendPeer`; ``body`` None when none came."""

    token: str
    body: typing.Any


@attrs.frozen
class TimerFired:
    """An `effects.StartTimer` fell due."""

    token: str


@attrs.frozen
class FactLearned:
    """A fact spread by any host, this one included, or its end.

    ``value`` is None when the fact has ended.
    """

    kind: str
    key: str
    value: typing.Any
    origin: str


@attrs.frozen
class DocumentChanged:
    """A document version is in force here; ``text`` None once removed."""

    pipeline: str
    version: int
    sequence: int
    text: str | None
