"""Replication of document changes to every host.

A few hosts of each zone read the head of the change log about once a
second. The others detect a change by the sequence number that every exchange
carries and request the changes they lack. Changes are applied in order and
never reverted, so every path may deliver late, twice or not at all.
"""

import functools
import itertools
import random as randoms
import typing

import attrs

from godwitglade.common import clock
from godwitglade.coordination import bodies
from godwitglade.coordination import change_log_head
from godwitglade.coordination import change_row_parsing
from godwitglade.coordination import change_rows
from godwitglade.coordination import effects
from godwitglade.coordination import fetches
from godwitglade.coordination import hosts
from godwitglade.coordination import membership as memberships
from godwitglade.coordination import messages
from godwitglade.coordination import rows
from godwitglade.coordination import snapshots
from godwitglade.coordination import versioned_texts

Effects = list[typing.Any]

TICK_TOKEN = 'documents:tick'


@attrs.frozen
class Settings:
    """Rates and limits of the replication.

    A host that is more than ``max_incremental_changes`` behind reads all
    documents instead of the changes. A host without documents waits
    ``platform_wait_ms`` for the platform before it uses other sources.
    """

    interval_ms: int = clock.SECOND_MS
    read_timeout_ms: int = 2 * clock.SECOND_MS
    fetch_timeout_ms: int = 3 * clock.SECOND_MS
    scan_limit: int = 64
    page_limit: int = 8
    max_incremental_changes: int = 256
    delta_limit_bytes: int = 16_384
    platform_wait_ms: int = 2 * clock.SECOND_MS
    start_peer_count: int = 5


class Documents:
    """The documents in force on this host."""

    def __init__(
        self,
        self_id: hosts.HostId,
        random: randoms.Random,
        settings: Settings = Settings(),
    ) -> None:
        self._random = random
        self._settings = settings
        self._texts = versioned_texts.VersionedTexts()
        self._membership: memberships.Membership | None = None
        self._is_ready = False
        self._started_ms = 0
        self._head = change_log_head.HeadReader(self_id)
        self._fetches = fetches.FetchTracker()
        self._snapshots = snapshots.Snapshots(self_id.name)
        self._peer_sequences: dict[str, int] = {}

    @property
    def is_ready(self) -> bool:
        """Return whether documents of a known sequence are in force."""
        return self._is_ready

    @property
    def sequence(self) -> int:
        """Return the sequence of the last change in force here."""
        return self._texts.sequence

    def stored_documents(self) -> tuple[bodies.StoredDocument, ...]:
        """Return every document, including removed ones."""
        return tuple(self._texts)

    def start(self, now_ms: int) -> Effects:
        """Read the head and start the timer."""
        self._started_ms = now_ms
        return self._tick(now_ms)

    def catch_up_to(self, sequence: int, now_ms: int) -> Effects:
        """Fetch the changes up to ``sequence``, received in a message."""
        if sequence <= self.sequence:
            return []
        return self._fetch_missing(now_ms) or self._head.read()

    def apply_accepted(self, change: bodies.Change) -> Effects:
        """Apply a change that the platform has just accepted.

        The change is skipped if earlier ones are missing here; the next fetch
        brings them all.
        """
        return self._apply((change,))

    def bind(self, membership: memberships.Membership) -> None:
        """Set the membership whose exchanges carry the sequence."""
        self._membership = membership

    def attach(
        self,
        exchange: bodies.Exchange,
        peer_exchange: bodies.Exchange | None,
        now_ms: int,
    ) -> bodies.Exchange:
        """Add the sequence, and to a reply the changes the peer lacks."""
        if not self._is_ready:
            return exchange
        changes = ()
        if peer_exchange is not None and peer_exchange.sequence:
            changes = self._delta_after(peer_exchange.sequence)
        return attrs.evolve(exchange, sequence=self.sequence, changes=changes)

    def receive(self, exchange: bodies.Exchange, now_ms: int) -> Effects:
        """Apply the changes of an exchange and request missing ones."""
        new_effects = self._apply(exchange.changes)
        if exchange.sequence > self.sequence:
            self._peer_sequences[exchange.sender.address] = exchange.sequence
            if self._is_ready:
                new_effects += self._fetch_missing(now_ms)
        return new_effects

    @functools.singledispatchmethod
    def handle(self, message: typing.Any, now_ms: int) -> Effects:
        """Handle a message; messages for other components are ignored."""
        return []

    @handle.register
    def _(self, message: messages.TimerFired, now_ms: int) -> Effects:
        if message.token != TICK_TOKEN:
            return []
        return self._tick(now_ms)

    @handle.register
    def _(self, message: messages.ReadSettled, now_ms: int) -> Effects:
        if message.token == change_log_head.TOKEN:
            return self._handle_head(message.result, now_ms)
        fetch = self._fetches.end(message.token)
        if fetch is None or not isinstance(message.result, rows.Rows):
            return []
        if ':rows:' in message.token:
            return self._handle_change_rows(fetch, message.result, now_ms)
        return self._handle_document_rows(fetch, message.result, now_ms)

    @handle.register
    def _(self, message: messages.ObjectRead, now_ms: int) -> Effects:
        if not message.token.startswith(snapshots.TOKEN):
            return []
        return self._handle_snapshot(message)

    @handle.register
    def _(self, message: messages.PeerMessage, now_ms: int) -> Effects:
        reply = self._reply_to(message.body)
        if reply is None:
            return []
        return [effects.ReplyPeer(message.reply_token, reply)]

    @handle.register
    def _(self, message: messages.PeerReply, now_ms: int) -> Effects:
        fetch = self._fetches.end(message.token)
        if fetch is None:
            return []
        return self._handle_peer_reply(message.body, fetch, now_ms)

    def _tick(self, now_ms: int) -> Effects:
        jitter_ms = self._random.randrange(self._settings.interval_ms // 5)
        next_ms = now_ms + self._settings.interval_ms - jitter_ms
        new_effects: Effects = [effects.StartTimer(TICK_TOKEN, next_ms)]
        serving = self._membership.serving()
        if not self._is_ready or self._head.is_poller(serving):
            new_effects += self._head.read()
        if self._is_ready:
            new_effects += self._fetch_missing(now_ms)
            new_effects += self._write_snapshot(now_ms)
        elif self._head.has_failed:
            new_effects += self._start_without_platform(now_ms)
        return new_effects

    def _handle_head(self, result: rows.ReadResult, now_ms: int) -> Effects:
        head = self._head.record_result(result)
        if head is None:
            return []
        if not self._is_ready and head == 0:
            return self._become_ready(0)
        return self._fetch_from_platform(head, now_ms)

    def _fetch_from_platform(self, head: int, now_ms: int) -> Effects:
        if head <= self.sequence or self._fetches.is_active(now_ms):
            return []
        is_far_behind = (
            head - self.sequence > self._settings.max_incremental_changes
        )
        if is_far_behind or not self._is_ready:
            return self._scan_documents(head, '', now_ms)
        return self._scan_changes(head, now_ms)

    def _scan_changes(self, head: int, now_ms: int) -> Effects:
        token = self._fetches.begin('rows', head, now_ms)
        after = change_rows.sequence_key(
            change_row_parsing.CHANGES_TABLE, self.sequence
        ).key
        return [
            effects.ScanRows(
                token,
                change_row_parsing.CHANGES_TABLE,
                after,
                self._settings.scan_limit,
                self._settings.read_timeout_ms,
            )
        ]

    def _handle_change_rows(
        self, fetch: fetches.Fetch, result: rows.Rows, now_ms: int
    ) -> Effects:
        before = self.sequence
        changes = [change_row_parsing.parse_change(row) for row in result.rows]
        new_effects = self._apply(changes)
        if self.sequence >= fetch.sequence:
            return new_effects
        if self.sequence > before:
            return new_effects + self._scan_changes(fetch.sequence, now_ms)
        return new_effects + self._scan_documents(fetch.sequence, '', now_ms)

    def _scan_documents(self, head: int, after: str, now_ms: int) -> Effects:
        token = self._fetches.begin('documents', head, now_ms)
        return [
            effects.ScanRows(
                token,
                change_row_parsing.DOCUMENTS_TABLE,
                after,
                self._settings.page_limit,
                self._settings.read_timeout_ms,
            )
        ]

    def _handle_document_rows(
        self, fetch: fetches.Fetch, result: rows.Rows, now_ms: int
    ) -> Effects:
        new_effects = self._restore(
            change_row_parsing.parse_document(row) for row in result.rows
        )
        if len(result.rows) < self._settings.page_limit:
            return new_effects + self._become_ready(fetch.sequence)
        after = result.rows[-1].key.key
        return new_effects + self._scan_documents(
            fetch.sequence, after, now_ms
        )

    def _fetch_missing(self, now_ms: int) -> Effects:
        """Request missing changes from the most up-to-date peer."""
        if self._fetches.is_active(now_ms):
            return []
        self._peer_sequences = {
            address: sequence
            for address, sequence in self._peer_sequences.items()
            if sequence > self.sequence
        }
        if not self._peer_sequences:
            return []
        address = max(
            self._peer_sequences, key=self._peer_sequences.__getitem__
        )
        sequence = self._peer_sequences.pop(address)
        body = bodies.ChangesRequest(self.sequence)
        return [self._request_from_peer(address, body, sequence, now_ms)]

    def _request_from_peer(
        self, address: str, body: typing.Any, sequence: int, now_ms: int
    ) -> effects.SendPeer:
        token = self._fetches.begin('peer', sequence, now_ms, address)
        timeout_ms = self._settings.fetch_timeout_ms
        return effects.SendPeer(token, address, body, timeout_ms)

    def _handle_peer_reply(
        self, body: typing.Any, fetch: fetches.Fetch, now_ms: int
    ) -> Effects:
        if isinstance(body, bodies.DocumentsReply):
            return self._handle_documents(body, fetch, now_ms)
        if not isinstance(body, bodies.ChangesReply):
            return self._fetch_missing(now_ms) if self._is_ready else []
        before = self.sequence
        new_effects = self._apply(body.changes)
        is_stuck = body.is_truncated or (
            body.changes and self.sequence == before
        )
        if is_stuck and body.sequence > self.sequence:
            request = bodies.DocumentsRequest()
            new_effects.append(
                self._request_from_peer(
                    fetch.address, request, body.sequence, now_ms
                )
            )
        elif body.changes and body.sequence > self.sequence:
            self._peer_sequences[fetch.address] = body.sequence
        return new_effects + self._fetch_missing(now_ms)

    def _handle_documents(
        self, body: bodies.DocumentsReply, fetch: fetches.Fetch, now_ms: int
    ) -> Effects:
        if not body.sequence:
            return []
        new_effects = self._restore(body.documents)
        # Changes between two pages may be missing from the earlier pages.
        sequence = min(fetch.sequence, body.sequence)
        if body.is_last:
            return new_effects + self._become_ready(sequence)
        request = bodies.DocumentsRequest(body.documents[-1].pipeline)
        return new_effects + [
            self._request_from_peer(fetch.address, request, sequence, now_ms)
        ]

    @functools.singledispatchmethod
    def _reply_to(self, body: typing.Any) -> typing.Any:
        return None

    @_reply_to.register
    def _(self, body: bodies.ChangesRequest) -> bodies.ChangesReply:
        if not self._is_ready:
            return bodies.ChangesReply(0)
        changes = self._delta_after(body.sequence)
        is_truncated = not changes and body.sequence < self.sequence
        return bodies.ChangesReply(self.sequence, changes, is_truncated)

    @_reply_to.register
    def _(self, body: bodies.DocumentsRequest) -> bodies.DocumentsReply:
        limit = self._settings.page_limit
        page = self._texts.page_after(body.after, limit)
        is_last = len(page) < limit
        sequence = self.sequence if self._is_ready else 0
        return bodies.DocumentsReply(sequence, page, is_last)

    def _delta_after(self, sequence: int) -> tuple[bodies.Change, ...]:
        """Return the next changes within the byte limit, at least one."""
        changes = self._texts.changes_after(sequence) or ()
        sizes = itertools.accumulate(map(versioned_texts.size_bytes, changes))
        limit = self._settings.delta_limit_bytes
        count = sum(1 for size in sizes if size <= limit)
        return changes[: max(1, count)]

    def _start_without_platform(self, now_ms: int) -> Effects:
        if self._fetches.is_active(now_ms):
            return []
        count = self._settings.start_peer_count
        if now_ms - self._started_ms < self._settings.platform_wait_ms:
            return self._membership.exchange_now(count, now_ms)
        if not self._peer_sequences:
            return self._snapshots.read_slots()
        address = max(
            self._peer_sequences, key=self._peer_sequences.__getitem__
        )
        sequence = self._peer_sequences.pop(address)
        body = bodies.DocumentsRequest()
        return [self._request_from_peer(address, body, sequence, now_ms)]

    def _handle_snapshot(self, message: messages.ObjectRead) -> Effects:
        snapshot = self._snapshots.record_result(message)
        if self._is_ready or snapshot is None:
            return []
        new_effects = self._restore(snapshot.documents)
        return new_effects + self._become_ready(snapshot.sequence)

    def _write_snapshot(self, now_ms: int) -> Effects:
        # Only a host that has just read the head can be sure to be current.
        is_current = (
            not self._head.has_failed and self._head.sequence == self.sequence
        )
        if not is_current or not self._snapshots.is_due(self.sequence, now_ms):
            return []
        names = [record.host.name for record in self._membership.serving()]
        snapshot = snapshots.Snapshot(self.sequence, self.stored_documents())
        return self._snapshots.write(snapshot, names, now_ms)

    def _apply(self, changes: typing.Iterable[bodies.Change]) -> Effects:
        new_effects: Effects = []
        for change in changes:
            if not self._is_ready or change.sequence > self.sequence + 1:
                break
            result = self._texts.apply(change)
            if isinstance(result, versioned_texts.BaseMissing):
                break
            if isinstance(result, versioned_texts.Applied):
                new_effects += _document_changed(result.document)
        return new_effects

    def _restore(
        self, documents: typing.Iterable[bodies.StoredDocument]
    ) -> Effects:
        restored = [
            document for document in documents if self._texts.restore(document)
        ]
        return list(
            itertools.chain.from_iterable(map(_document_changed, restored))
        )

    def _become_ready(self, sequence: int) -> Effects:
        self._texts.advance(sequence)
        self._is_ready = True
        return []


def _document_changed(document: bodies.StoredDocument) -> Effects:
    changed = messages.DocumentChanged(
        document.pipeline,
        document.version,
        document.sequence,
        document.text,
    )
    return [effects.Deliver(changed)]
