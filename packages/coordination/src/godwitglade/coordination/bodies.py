"""Bodies of the messages between hosts.

`KINDS` maps the names on the wire to these classes. A name never changes its
meaning, and fields are only added, each with a default, so that hosts of
different releases interoperate.
"""

import enum
import typing

import attrs

from godwitglade.coordination import hosts
from godwitglade.coordination import patches


class MemberState(enum.Enum):
    """State of a host as the others see it."""

    LIVE = 'live'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    GONE = 'gone'


@attrs.frozen
class MemberRecord:
    """Identity, address and state of one host.

    A host increments its own ``refutation`` to contradict a suspicion within
    one incarnation.
    """

    host: hosts.HostId
    address: str
    state: MemberState = MemberState.LIVE
    refutation: int = 0


@attrs.frozen
class FactRecord:
    """One fact; ``version`` orders values of the same origin and key.

    ``ttl_ms`` is the remaining time to live. A ``value`` of None removes the
    fact.
    """

    kind: str
    key: str
    origin: str
    version: int
    value: typing.Any
    ttl_ms: int
    is_urgent: bool = False


@attrs.frozen
class UsageRecord:
    """Number of requests of a workspace in flight on the sender."""

    workspace: str
    count: int


@attrs.frozen
class Change:
    """One document change.

    It carries the full ``text`` or a ``patch`` against the previous version;
    both are None when the document was removed.
    """

    sequence: int
    pipeline: str
    version: int
    text: str | None = None
    patch: patches.Patch | None = None

    @property
    def is_removal(self) -> bool:
        """Return whether the change removes the document."""
        return self.text is None and self.patch is None


@attrs.frozen
class StoredDocument:
    """A document stored on a host; ``text`` is None if it was removed."""

    pipeline: str
    version: int
    sequence: int
    text: str | None


@attrs.frozen
class Exchange:
    """Gossip message with deltas, also used as the liveness probe.

    The request pushes the sender's deltas and the reply returns those of the
    receiver. ``sequence`` is the number of the last document change in force
    on the sender, and ``document_age_ms`` the time since it was confirmed to
    be the latest. ``sent_ms`` is a time of the sender's clock, which the
    reply returns as ``answers_ms``. The digests cover all members and facts
    that the sender stores, so that hosts detect divergence that the deltas
    missed. ``evacuated`` are zones to which the sender sends nothing new, as
    of a version and an era of the store, None if it does not tell them.
    """

    sender: MemberRecord
    sequence: int = 0
    member_count: int = 0
    member_digest: int = 0
    fact_digest: int = 0
    members: tuple[MemberRecord, ...] = ()
    facts: tuple[FactRecord, ...] = ()
    usage: tuple[UsageRecord, ...] = ()
    changes: tuple[Change, ...] = ()
    document_age_ms: int | None = None
    sent_ms: int | None = None
    answers_ms: int | None = None
    evacuated: typing.Any = None
    evacuated_version: typing.Any = 0
    evacuated_era: typing.Any = 0


@attrs.frozen
class Ping:
    """Request for a `Pong`."""


@attrs.frozen
class Pong:
    """Reply to a `Ping` or an `IndirectProbe`.

    ``is_alive`` is False when the host of an `IndirectProbe` did not reply.
    """

    is_alive: bool = True


@attrs.frozen
class StatusRequest:
    """Request for the `StatusReply` of a host."""


@attrs.frozen
class StatusReply:
    """Status that a host reports of itself.

    ``sequence`` is the number of the last document change in force.
    ``refused`` names the pipelines whose latest version the host's release
    does not support, so that an earlier version is in force.
    """

    host: hosts.HostId
    sequence: int
    is_ready: bool
    refused: tuple[str, ...] = ()


@attrs.frozen
class IndirectProbe:
    """Request to ping the host at ``address``."""

    address: str


@attrs.frozen
class MembersRequest:
    """Request for the members of the buckets whose digests differ.

    ``buckets`` are the digests of the sender.
    """

    buckets: tuple[int, ...]


@attrs.frozen
class MembersReply:
    """Members the requester may lack; ``is_partial`` if there are more."""

    members: tuple[MemberRecord, ...] = ()
    is_partial: bool = False


@attrs.frozen
class FactsRequest:
    """Request for the facts of the buckets whose digests differ.

    ``buckets`` are the digests of the sender.
    """

    buckets: tuple[int, ...]


@attrs.frozen
class FactsReply:
    """Facts the requester may lack; ``is_partial`` if there are more."""

    facts: tuple[FactRecord, ...] = ()
    is_partial: bool = False


@attrs.frozen
class ChangesRequest:
    """Request for the changes after ``sequence``."""

    sequence: int


@attrs.frozen
class ChangesReply:
    """Changes in order of their sequence.

    ``sequence`` is the number of the last change in force on the sender.
    ``is_truncated`` says that the sender no longer stores the changes
    requested.
    """

    sequence: int
    changes: tuple[Change, ...] = ()
    is_truncated: bool = False


@attrs.frozen
class DocumentsRequest:
    """Request for documents of the pipelines whose names follow ``after``."""

    after: str = ''


@attrs.frozen
class DocumentsReply:
    """A page of documents; ``is_last`` marks the end of the transfer."""

    sequence: int
    documents: tuple[StoredDocument, ...] = ()
    is_last: bool = True


KINDS: dict[str, type] = {
    'exchange': Exchange,
    'ping': Ping,
    'pong': Pong,
    'indirect-probe': IndirectProbe,
    'status-asked': StatusRequest,
    'status-given': StatusReply,
    'members-compared': MembersRequest,
    'members-given': MembersReply,
    'facts-compared': FactsRequest,
    'facts-given': FactsReply,
    'changes-asked': ChangesRequest,
    'changes-given': ChangesReply,
    'documents-asked': DocumentsRequest,
    'documents-given': DocumentsReply,
}
