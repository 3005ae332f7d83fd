"""Effects that the coordination components return.

The embedding program executes the effects of a component and returns each
result as a message of the module `messages` with the same token. A token
starts with the name of the component that created it and a colon.
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
    """Read an object from the object store."""

    token: str
    name: str


@attrs.frozen
class WriteObject:
    """Write an object to the object store; a lost write is harmless."""

    name: str
    content: bytes


@attrs.frozen
class SendPeer:
    """Send a message that expects a reply to the host at ``address``."""

    token: str
    address: str
    body: typing.Any
    timeout_ms: int


@attrs.frozen
class ReplyPeer:
    """Reply to the `messages.PeerMessage` that carried ``reply_token``."""

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
    """Replicate a small fact to every host; see `facts`.

    A later value for the same kind and key replaces this one. The fact
    expires on every host after ``ttl_ms``. ``is_urgent`` sends it to peers
    at once.
    """

    kind: str
    key: str
    value: typing.Any
    ttl_ms: int
    is_urgent: bool = False


@attrs.frozen
class Deliver:
    """Deliver ``message`` to the embedding program before anything else."""

    message: typing.Any
