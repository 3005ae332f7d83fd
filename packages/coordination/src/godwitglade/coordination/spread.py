"""Spread of document changes to every host.

A few hosts of each zone read the head of the change log about once a
second. The others learn of a change from the number that every exchange
carries and ask for what they lack. Applying is in order and never goes
back, so every path may deliver late, twice or not at all.
"""

import functools
import itertools
import random as randoms
import typing

import attrs

from godwitglade.common import clock
from godwitglade.coordination import bodies
from godwitglade.coordination import change_rows
from godwitglade.coordination import effects
from godwitglade.coordination import fetches
from godwitglade.coordination import heads
from godwitglade.coordination import hosts
from godwitglade.coordination import membership as memberships
from godwitglade.coordination import messages
from godwitglade.coordination import platform_rows
from godwitglade.coordination import rows
from godwitglade.coordination import snapshots
from godwitglade.coordination import versioned

Effects = list[typing.Any]

TICK_TOKEN = 'documents:tick'


@attrs.frozen
class Settings:
    """Rates and bounds of the spread."""

    interval_ms: int = clock.SECOND_MS
    read_timeout_ms: int = 2 * clock.SECOND_MS
    fetch_timeout_ms: int = 3 * clock.SECOND_MS
    scan_limit: int = 64
    page_limit: int = 8
    wholesale_after: int = 256
    delta_bytes: int = 16_384
    start_wait_ms: int = 2 * clock.SECOND_MS
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
        self._texts = versioned.VersionedTexts()
        self._membership: memberships.Membership | None = None
        self._is_ready = False
        self._started_ms = 0
        self._head = heads.Head(self_id)
        self._fetches = fetches.Fetches()
        self._snapshots = snapshots.Snapshots(self_id.name)
        self._ahead: dict[str, int] = {}

    @property
    def is_ready(self) -> bool:
        """Tell whether the documents of a known sequence are in force."""
        return self._is_ready

    @property
    def sequence(self) -> int:
        """Return the number of the last change in force here."""
        return self._texts.sequence

    def held(self) -> tuple[bodies.HeldDocument, ...]:
        """Return every document held, removed ones included."""
        return tuple(self._texts)

    def start(self, now_ms: int) -> Effects:
        """Read the head and start the timer."""
        self._started_ms = now_ms
        return self._tick(now_ms)

    def catch_up_to(self, sequence: int, now_ms: int) -> Effects:
        """Fetch the changes up to ``sequence``, which a message carried."""
        if sequence <= self.sequence:
            return []
        return self._fetch_missing(now_ms) or self._head.read()

    def take_accepted(self, change: bodies.Change) -> Effects:
        """Apply a change that the platform has just accepted.

        It waits for the platform when changes before it are missing here.
        """
        return self._apply((change,))

    def bind(self, membership: memberships.Membership) -> None:
        """Learn the membership that carries the document number."""
        self._membership = membership

    def attach(
        self,
        exchange: bodies.Exchange,
        theirs: bodies.Exchange | None,
        now_ms: int,
    ) -> bodies.Exchange:
        """Add the document number, and to a reply the changes it lacks."""
        if not self._is_ready:
            return exchange
        changes = ()
        if theirs is not None and theirs.sequence:
            changes = self._delta_after(theirs.sequence)
        return attrs.evolve(exchange, sequence=self.sequence, changes=changes)

    def receive(self, exchange: bodies.Exchange, now_ms: int) -> Effects:
        """Take the changes of an exchange, or ask its sender for them."""
        found = self._apply(exchange.changes)
        if exchange.sequence > self.sequence:
            self._ahead[exchange.sender.address] = exchange.sequence
            if self._is_ready:
                found += self._fetch_missing(now_ms)
        return found

    @functools.singledispatchmethod
    def handle(self, message: typing.Any, now_ms: int) -> Effects:
        """Take in a message; those of other parts are ignored."""
        return []

    @handle.register
    def _(self, message: messages.TimerFired, now_ms: int) -> Effects:
        if message.token != TICK_TOKEN:
            return []
        return self._tick(now_ms)

    @handle.register
    def _(self, message: messages.ReadSettled, now_ms: int) -> Effects:
        if message.token == heads.TOKEN:
            return self._take_head(message.result, now_ms)
        fetch = self._fetches.end(message.token)
        if fetch is None or not isinstance(message.result, rows.Rows):
            return []
        if ':rows:' in message.token:
            return self._take_change_rows(fetch, message.result, now_ms)
        return self._take_document_rows(fetch, message.result, now_ms)

    @handle.register
    def _(self, message: messages.ObjectRead, now_ms: int) -> Effects:
        if not message.token.startswith(snapshots.TOKEN):
            return []
        return self._take_snapshot(message)

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
        return self._take_peer_reply(message.body, fetch, now_ms)

    def _tick(self, now_ms: int) -> Effects:
        jitter_ms = self._random.randrange(self._settings.interval_ms // 5)
        next_ms = now_ms + self._settings.interval_ms - jitter_ms
        found: Effects = [effects.StartTimer(TICK_TOKEN, next_ms)]
        serving = self._membership.serving()
        if not self._is_ready or self._head.is_poller(serving):
            found += self._head.read()
        if self._is_ready:
            found += self._fetch_missing(now_ms)
            found += self._write_snapshot(now_ms)
        elif self._head.has_failed:
            found += self._start_without_platform(now_ms)
        return found

    def _take_head(self, result: rows.ReadResult, now_ms: int) -> Effects:
        head = self._head.take(result)
        if head is None:
            return []
        if not self._is_ready and head == 0:
            return self._become_ready(0)
        return self._fetch_from_platform(head, now_ms)

    def _fetch_from_platform(self, head: int, now_ms: int) -> Effects:
        if head <= self.sequence or self._fetches.is_active(now_ms):
            return []
        is_far = head - self.sequence > self._settings.wholesale_after
        if is_far or not self._is_ready:
            return self._scan_documents(head, '', now_ms)
        return self._scan_changes(head, now_ms)

    def _scan_changes(self, head: int, now_ms: int) -> Effects:
        token = self._fetches.begin('rows', head, now_ms)
        after = change_rows.sequence_key(
            platform_rows.CHANGES_TABLE, self.sequence
        ).key
        return [
            effects.ScanRows(
                token,
                platform_rows.CHANGES_TABLE,
                after,
                self._settings.scan_limit,
                self._settings.read_timeout_ms,
            )
        ]

    def _take_change_rows(
        self, fetch: fetches.Fetch, result: rows.Rows, now_ms: int
    ) -> Effects:
        before = self.sequence
        changes = [platform_rows.parse_change(row) for row in result.rows]
        found = self._apply(changes)
        if self.sequence >= fetch.sequence:
            return found
        if self.sequence > before:
            return found + self._scan_changes(fetch.sequence, now_ms)
        return found + self._scan_documents(fetch.sequence, '', now_ms)

    def _scan_documents(self, head: int, after: str, now_ms: int) -> Effects:
        token = self._fetches.begin('documents', head, now_ms)
        return [
            effects.ScanRows(
                token,
                platform_rows.DOCUMENTS_TABLE,
                after,
                self._settings.page_limit,
                self._settings.read_timeout_ms,
            )
        ]

    def _take_document_rows(
        self, fetch: fetches.Fetch, result: rows.Rows, now_ms: int
    ) -> Effects:
        found = self._restore(
            platform_rows.parse_document(row) for row in result.rows
        )
        if len(result.rows) < self._settings.page_limit:
            return found + self._become_ready(fetch.sequence)
        after = result.rows[-1].key.key
        return found + self._scan_documents(fetch.sequence, after, now_ms)

    def _fetch_missing(self, now_ms: int) -> Effects:
        """Ask the peer that holds most for the changes after ours."""
        if self._fetches.is_active(now_ms):
            return []
        self._ahead = {
            address: sequence
            for address, sequence in self._ahead.items()
            if sequence > self.sequence
        }
        if not self._ahead:
            return []
        address = max(self._ahead, key=self._ahead.__getitem__)
        sequence = self._ahead.pop(address)
        body = bodies.ChangesAsked(self.sequence)
        return [self._ask_peer(address, body, sequence, now_ms)]

    def _ask_peer(
        self, address: str, body: typing.Any, sequence: int, now_ms: int
    ) -> effects.SendPeer:
        token = self._fetches.begin('peer', sequence, now_ms, address)
        timeout_ms = self._settings.fetch_timeout_ms
        return effects.SendPeer(token, address, body, timeout_ms)

    def _take_peer_reply(
        self, body: typing.Any, fetch: fetches.Fetch, now_ms: int
    ) -> Effects:
        if isinstance(body, bodies.DocumentsGiven):
            return self._take_documents(body, fetch, now_ms)
        if not isinstance(body, bodies.ChangesGiven):
            return self._fetch_missing(now_ms) if self._is_ready else []
        before = self.sequence
        found = self._apply(body.changes)
        is_stuck = body.is_truncated or (
            body.changes and self.sequence == before
        )
        if is_stuck and body.sequence > self.sequence:
            asked = bodies.DocumentsAsked()
            found.append(
                self._ask_peer(fetch.address, asked, body.sequence, now_ms)
            )
        elif body.changes and body.sequence > self.sequence:
            self._ahead[fetch.address] = body.sequence
        return found + self._fetch_missing(now_ms)

    def _take_documents(
        self, body: bodies.DocumentsGiven, fetch: fetches.Fetch, now_ms: int
    ) -> Effects:
        if not body.sequence:
            return []
        found = self._restore(body.documents)
        # Only the first page's number holds for the pages before a change.
        sequence = min(fetch.sequence, body.sequence)
        if body.is_last:
            return found + self._become_ready(sequence)
        asked = bodies.DocumentsAsked(body.documents[-1].pipeline)
        return found + [self._ask_peer(fetch.address, asked, sequence, now_ms)]

    @functools.singledispatchmethod
    def _reply_to(self, body: typing.Any) -> typing.Any:
        return None

    @_reply_to.register
    def _(self, body: bodies.ChangesAsked) -> bodies.ChangesGiven:
        if not self._is_ready:
            return bodies.ChangesGiven(0)
        changes = self._delta_after(body.sequence)
        is_truncated = not changes and body.sequence < self.sequence
        return bodies.ChangesGiven(self.sequence, changes, is_truncated)

    @_reply_to.register
    def _(self, body: bodies.DocumentsAsked) -> bodies.DocumentsGiven:
        limit = self._settings.page_limit
        page = self._texts.page_after(body.after, limit)
        is_last = len(page) < limit
        sequence = self.sequence if self._is_ready else 0
        return bodies.DocumentsGiven(sequence, page, is_last)

    def _delta_after(self, sequence: int) -> tuple[bodies.Change, ...]:
        """Return the next changes within the byte bound, at least one."""
        changes = self._texts.changes_after(sequence) or ()
        sizes = itertools.accumulate(map(versioned.size_bytes, changes))
        limit = self._settings.delta_bytes
        count = sum(1 for size in sizes if size <= limit)
        return changes[: max(1, count)]

    def _start_without_platform(self, now_ms: int) -> Effects:
        if self._fetches.is_active(now_ms):
            return []
        count = self._settings.start_peer_count
        if now_ms - self._started_ms < self._settings.start_wait_ms:
            return self._membership.exchange_now(count, now_ms)
        if not self._ahead:
            return self._snapshots.ask()
        address = max(self._ahead, key=self._ahead.__getitem__)
        sequence = self._ahead.pop(address)
        body = bodies.DocumentsAsked()
        return [self._ask_peer(address, body, sequence, now_ms)]

    def _take_snapshot(self, message: messages.ObjectRead) -> Effects:
        snapshot = self._snapshots.take(message)
        if self._is_ready or snapshot is None:
            return []
        found = self._restore(snapshot.documents)
        return found + self._become_ready(snapshot.sequence)

    def _write_snapshot(self, now_ms: int) -> Effects:
        # Only a host that just saw the head knows that it is not behind.
        is_current = (
            not self._head.has_failed and self._head.sequence == self.sequence
        )
        if not is_current or not self._snapshots.is_due(self.sequence, now_ms):
            return []
        names = [record.host.name for record in self._membership.serving()]
        snapshot = snapshots.Snapshot(self.sequence, self.held())
        return self._snapshots.write(snapshot, names, now_ms)

    def _apply(self, changes: typing.Iterable[bodies.Change]) -> Effects:
        found: Effects = []
        for change in changes:
            if not self._is_ready or change.sequence > self.sequence + 1:
                break
            result = self._texts.apply(change)
            if isinstance(result, versioned.BaseMissing):
                break
            if isinstance(result, versioned.Applied):
                found += _in_force(result.document)
        return found

    def _restore(
        self, documents: typing.Iterable[bodies.HeldDocument]
    ) -> Effects:
        taken = [one for one in documents if self._texts.restore(one)]
        return list(itertools.chain.from_iterable(map(_in_force, taken)))

    def _become_ready(self, sequence: int) -> Effects:
        self._texts.advance(sequence)
        self._is_ready = True
        return []


def _in_force(document: bodies.HeldDocument) -> Effects:
    changed = messages.DocumentChanged(
        document.pipeline,
        document.version,
        document.sequence,
        document.text,
    )
    return [effects.Deliver(changed)]
