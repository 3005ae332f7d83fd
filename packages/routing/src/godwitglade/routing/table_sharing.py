"""How hosts learn changes in the store from the few that read its tables.

If each host followed the tables by itself, every change of a row would wake
every host, and the calls to the store would grow with hosts times changes.
So a few hosts of each data centre follow them, the readers, and each other
host asks one of them twice a second for what has changed.

A reader vouches for nothing but what it has read from the store itself, and
tells how long ago. A host adds that age to the time since it asked. When
the sum nears the time within which changes must be in force, it follows the
tables itself, until a reader answers well again. This answers a fleet in
which many targets change at once, and a store that some hosts do not reach.
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
from godwitglade.routing import ages
from godwitglade.routing import bodies
from godwitglade.routing import document_state
from godwitglade.routing import effects
from godwitglade.routing import evacuations
from godwitglade.routing import messages
from godwitglade.routing import table_readers
from godwitglade.routing import target_log

Effects = list[typing.Any]

TOKEN = 'tables:'
TICK_TOKEN = f'{TOKEN}tick'
AGE_TOKEN = f'{TOKEN}age'
#: Interval at which a host asks its reader, and the timeout of a reply.
POLL_MS = 500
REPLY_TIMEOUT_MS = 400
#: Share of the time within which changes must be in force after which a
#: host no longer relies on others; the rest is for reading the store.
RELIED_SHARE = 0.85
#: Hosts that lose their readers at the same time do not read the store at
#: the same time.
SPREAD_SHARE = 0.125
#: After an outage of the store each host judges missing rows by itself.
AFTER_OUTAGE_MS = 4 * clocks.SECOND_MS
#: Time until a feed of a host that was no reader has ended.
FEED_MS = 2_500
#: Least time between two reads of the hosts that registered.
HOSTS_READ_MS = 4 * clocks.SECOND_MS


class Table(enum.Enum):
    """A table of the store whose reading hosts share."""

    DOCUMENT = 'document'
    TARGETS = 'targets'
    HOSTS = 'hosts'


class TableSharing:
    """What this host reads itself, and what it tells and asks others.

    ``bound_ms`` is the longest time until a change that the store has
    confirmed is in force; all changes of the targets up to
    ``targets_known_ms`` are known. Evacuated zones are told and learnt with
    the document, whose table has them.
    """

    def __init__(
        self,
        self_id: hosts.HostId,
        membership: memberships.Membership,
        document_state_: document_state.DocumentState,
        bound_ms: int = 2_000,
        evacuations_: evacuations.Evacuations | None = None,
    ) -> None:
        self._self_name = self_id.name
        self._readers = table_readers.Readers(self_id, membership)
        self._document_state = document_state_
        self._evacuations = evacuations_ or evacuations.Evacuations()
        self._log = target_log.TargetLog()
        self._document_read_ms: int | None = None
        self._targets_read_ms: int | None = None
        self.targets_known_ms: int | None = None
        self._outage_ended_ms = -AFTER_OUTAGE_MS
        self._hosts_digest = ''
        self._hosts_read_ms = -HOSTS_READ_MS
        self._asked: tuple[str, int] | None = None
        self._distrusted: set[str] = set()
        self._is_age_timer_set = False
        self._vouches_from_ms = 0
        self.bound_ms = bound_ms
        self.is_following = True
        self.is_reader = True

    def start(self, now_ms: int) -> Effects:
        """Return the first effects."""
        self._readers.start(now_ms)
        return [shared_effects.StartTimer(TICK_TOKEN, now_ms + POLL_MS)]

    def record_document(self, read_from_ms: int) -> None:
        """Record that this host has read the document itself."""
        self._document_read_ms = max(self._document_read_ms or 0, read_from_ms)

    def record_hosts(
        self, entries: typing.Collection[members.HostEntry], now_ms: int
    ) -> None:
        """Record the registered hosts that this one has read itself."""
        self._readers.set_registered(entries)
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
        self._confirm_targets(message, now_ms)

    @record_targets.register
    def _(self, message: messages.TargetsChanged, now_ms: int) -> None:
        self._log.update(
            message.present, message.removed, message.version, message.era
        )
        self._confirm_targets(message, now_ms)

    def _confirm_targets(self, message: typing.Any, now_ms: int) -> None:
        if message.era != self._log.era:
            return
        read_ms = message.read_from_ms
        read_ms = now_ms if read_ms is None else read_ms
        self.targets_known_ms = max(self.targets_known_ms or 0, read_ms)
        if not message.is_told:
            self._targets_read_ms = max(self._targets_read_ms or 0, read_ms)

    @functools.singledispatchmethod
    def handle(self, message: typing.Any, now_ms: int) -> Effects:
        """Handle a message; messages of other components are ignored."""
        return []

    @handle.register
    def _(self, message: shared_messages.TimerFired, now_ms: int) -> Effects:
        if message.token == AGE_TOKEN:
            self._is_age_timer_set = False
            return self._choose_following(now_ms)
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
        logs = self._check(name, body)
        if not self._is_good(body, asked_ms, now_ms):
            self._readers.avoid(name, now_ms)
            # Another reader may know; silence is judged by the time.
            return [*logs, *self._ask(now_ms)]
        return [
            *logs,
            *self._apply(body, asked_ms, now_ms),
            *self._choose_following(now_ms, is_answered=True),
        ]

    def _ask(self, now_ms: int) -> Effects:
        role = self._readers.role(now_ms)
        name = self._readers.choose(role, now_ms)
        if (
            role.is_reader
            or name is None
            or self._asked is not None
            or not self._log.is_known
        ):
            return []
        self._asked = (name, now_ms)
        token = self._token(self._asked)
        body = bodies.TablesQuery(self._log.version, self._log.era)
        return [
            shared_effects.SendPeer(
                token, role.asked[name], body, REPLY_TIMEOUT_MS
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
            not self.is_reader
            or now_ms < self._vouches_from_ms
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
            **self._evacuations.told(),
        )

    def _check(self, name: str, body: typing.Any) -> Effects:
        """Log once what a host tells that cannot be true or be read."""
        if not isinstance(body, bodies.TablesKnown):
            return []
        logs = self._evacuations.check(name, body)
        told = (body.targets_age_ms, body.document_age_ms)
        if all(age is None or ages.is_age(age) for age in told):
            return logs
        if name in self._distrusted:
            return logs
        self._distrusted.add(name)
        return [
            *logs,
            shared_effects.LogEvent(
                events.Event.TABLES_AGE_INVALID, {'peer': name}
            ),
        ]

    def _is_good(self, body: typing.Any, asked_ms: int, now_ms: int) -> bool:
        """Return whether a reply is recent, and of the state known here.

        Its age may still grow until the next one.
        """
        if not isinstance(body, bodies.TablesKnown):
            return False
        if len(body.present) + len(body.removed) > target_log.MAX_ENTRIES:
            return False
        known_ms = (
            ages.holds_up_to_ms(age_ms, asked_ms, now_ms)
            for age_ms in (body.targets_age_ms, body.document_age_ms)
        )
        if not self._tells_evacuations(body):
            return False
        max_age_ms = self.bound_ms * RELIED_SHARE - POLL_MS
        return body.era == self._log.era and all(
            ms is not None and now_ms - ms < max_age_ms for ms in known_ms
        )

    def _tells_evacuations(self, body: bodies.TablesKnown) -> bool:
        """Return whether a reply has what this host must know of them.

        A reader that the store has not told them in the era of its targets
        may still know those of a state that the store has left.
        """
        if evacuations.is_malformed(body):
            return False
        if body.evacuated is None:
            return not self._evacuations.is_required
        return body.evacuated_era == body.era

    def _apply(
        self, body: bodies.TablesKnown, asked_ms: int, now_ms: int
    ) -> Effects:
        read_from_ms = asked_ms - body.targets_age_ms
        fields = {
            'era': body.era,
            'is_told': True,
            'read_from_ms': read_from_ms,
        }
        told: Effects = []
        if body.version > self._log.version and body.is_full:
            told = [messages.TargetsRead(body.present, body.version, **fields)]
        elif body.version > self._log.version:
            told = [
                messages.TargetsChanged(
                    body.present, body.removed, body.version, **fields
                )
            ]
        document_ms = asked_ms - body.document_age_ms
        zones = evacuations.decode(body, document_ms)
        if zones is not None:
            told.append(zones)
            self._evacuations.confirm(document_ms)
        applied: Effects = [shared_effects.Deliver(m) for m in told]
        self.targets_known_ms = max(self.targets_known_ms or 0, read_from_ms)
        document = self._document_state.document
        if document is not None and body.document_version == document.version:
            # The document was the newest before the reply was sent.
            self._document_state.confirm(document_ms)
        elif document is None or body.document_version > document.version:
            applied.append(effects.ReadTable(Table.DOCUMENT.value))
        if (
            body.hosts_digest != self._hosts_digest
            and now_ms - self._hosts_read_ms >= HOSTS_READ_MS
        ):
            self._hosts_read_ms = now_ms
            applied.append(effects.ReadTable(Table.HOSTS.value))
        return applied

    def _choose_following(
        self, now_ms: int, is_answered: bool = False
    ) -> Effects:
        """Follow the tables unless what is known is recent enough.

        A host that follows them stops only once a reader has answered well.
        """
        role = self._readers.role(now_ms)
        due_ms = self._reading_due_ms()
        may_rely = is_answered or not self.is_following
        is_supplied = (
            may_rely
            and not role.is_reader
            and due_ms is not None
            and now_ms < due_ms
        )
        chosen = (not is_supplied, role.is_candidate and not is_supplied)
        effects_: Effects = []
        if is_supplied and not self._is_age_timer_set:
            self._is_age_timer_set = True
            effects_ = [shared_effects.StartTimer(AGE_TOKEN, due_ms)]
        if chosen == (self.is_following, self.is_reader):
            return effects_
        if is_supplied is self.is_following:
            event = (
                events.Event.TABLES_SHARED
                if is_supplied
                else events.Event.TABLES_FOLLOWED
            )
            fields = {'readers': list(role.asked)}
            effects_.append(shared_effects.LogEvent(event, fields))
        if self.is_following and not self.is_reader and chosen[1]:
            self._vouches_from_ms = now_ms + FEED_MS
        self.is_following, self.is_reader = chosen
        return [*effects_, effects.FollowTables(*chosen)]

    def _reading_due_ms(self) -> int | None:
        """Return when what is known grows too old to rely on others."""
        document_ms = self._document_state.confirmed_ms
        if document_ms is None or self.targets_known_ms is None:
            return None
        known_ms = [document_ms, self.targets_known_ms]
        if self._evacuations.is_required:
            # Other hosts confirm the document, but not the evacuations.
            known_ms.append(self._evacuations.known_ms or 0)
        digest = xxhash.xxh3_64_intdigest(self._self_name.encode())
        spread = SPREAD_SHARE * (digest % 1_000) / 1_000
        relied_ms = int(self.bound_ms * (RELIED_SHARE - spread))
        return min(known_ms) + relied_ms
