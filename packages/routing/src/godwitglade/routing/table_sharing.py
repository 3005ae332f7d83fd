"""Which hosts follow the tables of the store, and how the others learn.

If each host followed the tables by itself, every change of a row would wake
every host, and the calls to the store would grow with hosts times changes.
So a few hosts of each data centre follow them, the readers, and each other
host asks one of them twice a second for what has changed.

A reader vouches for nothing but what it has read from the store itself, and
tells how long ago. A host that gets no recent answer from any reader follows
the tables itself until it does. This answers a fleet in which many targets
change at once, and a store that some hosts do not reach.
"""

import enum
import functools
import typing

import xxhash

from godwitglade.common import clock as clocks
from godwitglade.common import events
from godwitglade.coordination import effects as shared_effects
from godwitglade.coordination import hosts
from godwitglade.coordination import members
from godwitglade.coordination import membership as memberships
from godwitglade.coordination import messages as shared_messages
from godwitglade.routing import bodies
from godwitglade.routing import document_state
from godwitglade.routing import effects
from godwitglade.routing import messages
from godwitglade.routing import rendezvous
from godwitglade.routing import target_log

Effects = list[typing.Any]

TOKEN = 'tables:'
TICK_TOKEN = f'{TOKEN}tick'
#: Readers of a data centre.
READERS = 3
#: Interval at which a host asks its reader, and the timeout of a reply.
POLL_MS = 500
REPLY_TIMEOUT_MS = 400
#: A reader whose own reads are older does not count as one. A feed without
#: changes returns every 2 s.
MAX_TARGETS_AGE_MS = 3_000
MAX_DOCUMENT_AGE_MS = 3_500
#: Time without a good answer after which a host follows the tables itself.
SILENCE_MS = 1_200
#: Time for which a reader that did not answer well is passed over.
AVOID_MS = 2 * clocks.SECOND_MS
#: After an outage of the store each host judges missing rows by itself.
AFTER_OUTAGE_MS = 4 * clocks.SECOND_MS
#: Time after its start within which a host also asks registered hosts that
#: membership does not know yet.
JOINING_MS = 20 * clocks.SECOND_MS
#: Least time between two reads of the hosts that registered.
HOSTS_READ_MS = 4 * clocks.SECOND_MS


class Table(enum.Enum):
    """A table of the store whose reading hosts share."""

    DOCUMENT = 'document'
    TARGETS = 'targets'
    HOSTS = 'hosts'


class TableSharing:
    """What this host reads itself, and what it tells and asks others."""

    def __init__(
        self,
        self_id: hosts.HostId,
        membership: memberships.Membership,
        document_state_: document_state.DocumentState,
    ) -> None:
        self._self_id = self_id
        self._members = membership
        self._document_state = document_state_
        self._log = target_log.TargetLog()
        self._document_read_ms: int | None = None
        self._targets_read_ms: int | None = None
        self._outage_ended_ms = -AFTER_OUTAGE_MS
        self._registered: dict[str, str] = {}
        self._joining_until_ms = 0
        self._hosts_digest = ''
        self._hosts_read_ms = -HOSTS_READ_MS
        self._avoided_until_ms: dict[str, int] = {}
        self._asked: tuple[str, int] | None = None
        self._supplied_ms: int | None = None
        self.is_following = True

    def start(self, now_ms: int) -> Effects:
        """Return the first effects."""
        self._joining_until_ms = now_ms + JOINING_MS
        return [shared_effects.StartTimer(TICK_TOKEN, now_ms + POLL_MS)]

    def record_document(self, read_from_ms: int) -> None:
        """Record that this host has read the document itself."""
        self._document_read_ms = max(self._document_read_ms or 0, read_from_ms)

    def record_hosts(
        self, entries: typing.Collection[members.HostEntry], now_ms: int
    ) -> None:
        """Record the registered hosts that this one has read itself."""
        self._registered = {
            entry.name: entry.address
            for entry in entries
            if entry.zone == self._self_id.zone
        }
        text = '\n'.join(sorted(map(repr, entries)))
        self._hosts_digest = xxhash.xxh3_64_hexdigest(text.encode())
        self._hosts_read_ms = now_ms

    @functools.singledispatchmethod
    def record_targets(self, message: typing.Any, now_ms: int) -> None:
        """Record targets that this host has read or been told."""

    @record_targets.register
    def _(self, message: messages.TargetsRead, now_ms: int) -> None:
        if message.outage_ms:
            self._outage_ended_ms = now_ms
        self._log.replace(message.listed, message.version, message.era)
        if not message.is_told:
            self._targets_read_ms = now_ms

    @record_targets.register
    def _(self, message: messages.TargetsChanged, now_ms: int) -> None:
        self._log.update(
            message.present, message.removed, message.version, message.era
        )
        if not message.is_told:
            self._targets_read_ms = now_ms

    @functools.singledispatchmethod
    def handle(self, message: typing.Any, now_ms: int) -> Effects:
        """Handle a message; messages of other components are ignored."""
        return []

    @handle.register
    def _(self, message: shared_messages.TimerFired, now_ms: int) -> Effects:
        timer = shared_effects.StartTimer(TICK_TOKEN, now_ms + POLL_MS)
        return [timer, *self._ask(now_ms), *self._choose_following(now_ms)]

    @handle.register
    def _(self, message: shared_messages.PeerMessage, now_ms: int) -> Effects:
        reply = self._tell(message.body, now_ms)
        return [shared_effects.ReplyPeer(message.reply_token, reply)]

    @handle.register
    def _(self, message: shared_messages.PeerReply, now_ms: int) -> Effects:
        if self._asked is None or message.token != self._token(self._asked):
            return []
        (name, asked_ms), self._asked = self._asked, None
        body = message.body
        if not self._is_good(body, asked_ms, now_ms):
            self._avoided_until_ms[name] = now_ms + AVOID_MS
            # Another reader may know; silence is judged by the time.
            return self._ask(now_ms)
        self._supplied_ms = now_ms
        return [
            *self._apply(body, asked_ms, now_ms),
            *self._choose_following(now_ms),
        ]

    def _readers(self, now_ms: int) -> dict[str, str]:
        """Return the addresses of the readers of the data centre by name."""
        zone = self._self_id.zone
        known = {
            record.host.name: record.address
            for record in self._members.serving()
            if record.host.zone == zone
        }
        if now_ms < self._joining_until_ms:
            known = self._registered | known
        if len(known) <= READERS:
            return known
        names = rendezvous.rank('tables', known)[:READERS]
        return {name: known[name] for name in names}

    def _ask(self, now_ms: int) -> Effects:
        readers = self._readers(now_ms)
        if self._self_id.name in readers or not self._log.is_known:
            self._supplied_ms = None
            return []
        usable = [
            name
            for name in readers
            if self._avoided_until_ms.get(name, 0) <= now_ms
        ]
        if self._asked is not None or not usable:
            return []
        name = rendezvous.first(self._self_id.name, usable)
        self._asked = (name, now_ms)
        token = self._token(self._asked)
        body = bodies.TablesQuery(self._log.version, self._log.era)
        return [
            shared_effects.SendPeer(
                token, readers[name], body, REPLY_TIMEOUT_MS
            )
        ]

    @staticmethod
    def _token(asked: tuple[str, int]) -> str:
        return f'{TOKEN}{asked[0]}:{asked[1]}'

    def _tell(self, query: bodies.TablesQuery, now_ms: int) -> typing.Any:
        """Return what this host has read itself, and how long ago."""
        document = self._document_state.document
        is_settled = now_ms - self._outage_ended_ms >= AFTER_OUTAGE_MS
        if (
            not self.is_following
            or document is None
            or self._document_read_ms is None
            or self._targets_read_ms is None
            or not is_settled
        ):
            return bodies.TablesKnown()
        is_full, present, removed = self._log.since(query.version, query.era)
        return bodies.TablesKnown(
            era=self._log.era,
            version=self._log.version,
            is_full=is_full,
            present=present,
            removed=removed,
            targets_age_ms=now_ms - self._targets_read_ms,
            document_version=document.version,
            document_age_ms=now_ms - self._document_read_ms,
            hosts_digest=self._hosts_digest,
        )

    def _is_good(self, body: typing.Any, asked_ms: int, now_ms: int) -> bool:
        """Return whether a reply is recent, and of the state known here."""
        if not isinstance(body, bodies.TablesKnown):
            return False
        if body.targets_age_ms is None or body.document_age_ms is None:
            return False
        if len(body.present) + len(body.removed) > target_log.MAX_ENTRIES:
            return False
        waited_ms = now_ms - asked_ms
        return (
            body.era == self._log.era
            and 0 <= body.targets_age_ms + waited_ms < MAX_TARGETS_AGE_MS
            and 0 <= body.document_age_ms + waited_ms < MAX_DOCUMENT_AGE_MS
        )

    def _apply(
        self, body: bodies.TablesKnown, asked_ms: int, now_ms: int
    ) -> Effects:
        told: Effects = []
        if body.version > self._log.version and body.is_full:
            told = [
                messages.TargetsRead(
                    body.present, body.version, era=body.era, is_told=True
                )
            ]
        elif body.version > self._log.version:
            told = [
                messages.TargetsChanged(
                    body.present,
                    body.removed,
                    body.version,
                    body.era,
                    is_told=True,
                )
            ]
        applied: Effects = [shared_effects.Deliver(m) for m in told]
        document = self._document_state.document
        if document is not None and body.document_version == document.version:
            # The document was the newest before the reply was sent.
            self._document_state.confirm(asked_ms - body.document_age_ms)
        elif document is None or body.document_version > document.version:
            applied.append(effects.ReadTable(Table.DOCUMENT.value))
        if (
            body.hosts_digest != self._hosts_digest
            and now_ms - self._hosts_read_ms >= HOSTS_READ_MS
        ):
            self._hosts_read_ms = now_ms
            applied.append(effects.ReadTable(Table.HOSTS.value))
        return applied

    def _choose_following(self, now_ms: int) -> Effects:
        """Follow the tables unless a reader has answered lately."""
        is_supplied = (
            self._supplied_ms is not None
            and now_ms - self._supplied_ms < SILENCE_MS
        )
        should_follow = not is_supplied
        if should_follow is self.is_following:
            return []
        self.is_following = should_follow
        event = (
            events.Event.TABLES_SHARED
            if is_supplied
            else events.Event.TABLES_FOLLOWED
        )
        return [
            shared_effects.LogEvent(
                event, {'readers': list(self._readers(now_ms))}
            ),
            effects.FollowTables(self.is_following),
        ]
