"""Bodies of the messages between hosts.

`KINDS` names them on the wire. A name is never given a new meaning; fields
are only added, each with a default, so that hosts of two versions talk.
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
    """What is known of one host.

    ``refutation`` is raised by the host itself to contradict a suspicion
    within one incarnation.
    """

    host: hosts.HostId
    address: str
    state: MemberState = MemberState.LIVE
    refutation: int = 0


@attrs.frozen
class FactRecord:
    """One fact; ``version`` orders values of the same origin and key.

    ``ttl_ms`` is the time left. ``value`` None ends the fact.
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
    """Requests in flight of a workspace on the sender."""

    workspace: str
    count: int


@attrs.frozen
class Change:
    """One document change.

    It carries the whole ``text``, or a ``patch`` against the version before
    it; both are None when the document was removed.
    """

    sequence: int
    pipeline: str
    version: int
    text: str | None = None
    patch: patches.Patch | None = None

    @property
    def is_removal(self) -> bool:
        """Tell whether the change removes the document."""
        return self.text is None and self.patch is None


@attrs.frozen
class HeldDocument:
    """A document as one host holds it; ``text`` None once removed."""

    pipeline: str
    version: int
    sequence: int
    text: str | None


@attrs.frozen
class Exchange:
    """Deltas pushed and, in the reply, pulled; also the liveness probe.

    ``sequence`` is the sender's document number, ``document_age_ms`` the
    time since it was known to be the newest. ``sent_ms`` is a time of the
    sender's clock, which the reply returns as ``answers_ms``. The digests
    cover all members and facts known, so that a silent divergence shows.
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


@attrs.frozen
class Ping:
    """Asks for a `Pong`."""


@attrs.frozen
class Pong:
    """Answers a `Ping`, or an `IndirectProbe` when ``is_alive``."""

    is_alive: bool = True


@attrs.frozen
class StatusAsked:
    """Asks a host for its `StatusGiven`."""


@attrs.frozen
class StatusGiven:
    """What is in force on a host, as the host itself says.

    ``refused`` names pipelines of which it holds a version that its release
    does not understand, so that an earlier one is in force.
    """

    host: hosts.HostId
    sequence: int
    is_ready: bool
    refused: tuple[str, ...] = ()


@attrs.frozen
class IndirectProbe:
    """Asks the receiver to ping the host at ``address``."""

    address: str


@attrs.frozen
class MembersCompared:
    """Asks for the records of the buckets whose digest differs."""

    buckets: tuple[int, ...]


@attrs.frozen
class MembersGiven:
    """Records that the asker may lack; ``is_partial`` when there are more."""

    members: tuple[MemberRecord, ...] = ()
    is_partial: bool = False


@attrs.frozen
class FactsCompared:
    """Asks for the facts of the buckets whose digest differs."""

    buckets: tuple[int, ...]


@attrs.frozen
class FactsGiven:
    """Facts that the asker may lack; ``is_partial`` when there are more."""

    facts: tuple[FactRecord, ...] = ()
    is_partial: bool = False


@attrs.frozen
class ChangesAsked:
    """Asks for the changes after ``sequence``."""

    sequence: int


@attrs.frozen
class ChangesGiven:
    """Changes in order; ``is_truncated`` when they no longer reach back.

    ``sequence`` is the sender's document number.
    """

    sequence: int
    changes: tuple[Change, ...] = ()
    is_truncated: bool = False


@attrs.frozen
class DocumentsAsked:
    """Asks for whole documents of pipelines after ``after``, by name."""

    after: str = ''


@attrs.frozen
class DocumentsGiven:
    """A page of whole documents; ``is_last`` ends the transfer."""

    sequence: int
    documents: tuple[HeldDocument, ...] = ()
    is_last: bool = True


KINDS: dict[str, type] = {
    'exchange': Exchange,
    'ping': Ping,
    'pong': Pong,
    'indirect-probe': IndirectProbe,
    'status-asked': StatusAsked,
    'status-given': StatusGiven,
    'members-compared': MembersCompared,
    'members-given': MembersGiven,
    'facts-compared': FactsCompared,
    'facts-given': FactsGiven,
    'changes-asked': ChangesAsked,
    'changes-given': ChangesGiven,
    'documents-asked': DocumentsAsked,
    'documents-given': DocumentsGiven,
}
