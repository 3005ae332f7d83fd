"""Effects that the coordination parts ask for.

Whoever embeds a part carries its effects out and hands the results back as
messages from `messages` that carry the same token. A token starts with the
name of the part that made it and a colon.
"""

import typing

import attrs

from godwitglade.common import events
from godwitglade.coordination import rows


@attrs.frozen
class Transact:
    """Run a transaction on the table service."""

    token: str
    transaction: rows.Transaction
    timeout_ms: int


@attrs.frozen
class ReadRows:
    """Read rows by key from the table service."""

    token: str
    keys: tuple[rows.RowKey, ...]
    timeout_ms: int


@attrs.frozen
class ScanRows:
    """Read at most ``limit`` rows of a table after key ``after``."""

    token: str
    table: str
    after: str
    limit: int
    timeout_ms: int


@attrs.frozen
class ReadObject:
    """Read an object of the object store."""

    token: str
    name: str


@attrs.frozen
class WriteObject:
    """Write an object of the object store; its loss is harmless."""

    name: str
    content: bytes


@attrs.frozen
class SendPeer:
    """Send a message to another host at ``address``; expects a reply."""

    token: str
    address: str
    body: typing.Any
    timeout_ms: int


@attrs.frozen
class ReplyPeer:
    """Answer a `messages.PeerMessage` that carried ``reply_token``."""

    reply_token: str
    body: typing.Any


@attrs.frozen
class StartTimer:
    """Deliver `messages.TimerFired` with ``token`` at ``due_ms``."""

    token: str
    due_ms: int


@attrs.frozen
class LogEvent:
    """Write a numbered event with its fields to the log."""

    event: events.Event
    fields: dict[str, typing.Any] = attrs.Factory(dict)


@attrs.frozen
class Count:
    """Add ``by`` to a statsd counter."""

    name: str
    by: int = 1


@attrs.frozen
class Timing:
    """Record a statsd timing of ``elapsed_ms``."""

    name: str
    elapsed_ms: int


@attrs.frozen
class PublishFact:
    """Spread a small fact to every host; see `facts`.

    A later value for the same kind and key takes the place of this one.
    ``ttl_ms`` ends it everywhere; ``is_urgent`` sends it to peers at once.
    """

    kind: str
    key: str
    value: typing.Any
    ttl_ms: int
    is_urgent: bool = False


@attrs.frozen
class Deliver:
    """Hand ``message`` to the embedder's own parts before anything else."""

    message: typing.Any
