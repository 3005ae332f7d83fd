"""What the owner of claims does as the results of their writes come in."""

import functools
import itertools
import random as random_module
import typing

from godwitglade.common import events
from godwitglade.coordination import claim_batches
from godwitglade.coordination import claim_holds
from godwitglade.coordination import claim_looks
from godwitglade.coordination import claim_messages
from godwitglade.coordination import claim_rows
from godwitglade.coordination import effects
from godwitglade.coordination import hosts
from godwitglade.coordination import messages
from godwitglade.coordination import rows

STORE_TIMEOUT_MS = 800
PEER_TIMEOUT_MS = 300
RELEASE_WAIT_MS = 20

_Hold = claim_holds.Hold
_Step = claim_holds.Step
_Reason = claim_messages.Reason
_State = claim_rows.State


class Progress:
    """The holds of one host, by nonce, and the results they await."""

    def __init__(
        self,
        owner: hosts.HostId,
        random: random_module.Random,
        address: str,
        wall_offset_ms: int,
    ) -> None:
        self.holds: dict[str, _Hold] = {}
        self._owner = owner
        self._random = random
        self._address = address
        self._wall_offset_ms = wall_offset_ms
        self._batches = claim_batches.Batches(STORE_TIMEOUT_MS)
        self._awaited: dict[str, tuple[_Hold, typing.Any]] = {}
        self._sequence = itertools.count(1)

    def is_awaited(self, token: str) -> bool:
        """Tell whether a result of ``token`` is awaited."""
        return token in self._awaited

    def flush(self) -> list:
        """Send the writes that wait for a transaction in flight."""
        return self._batches.flush()

    def settle_transaction(
        self, message: messages.TransactionSettled, now_ms: int
    ) -> list:
        """Act on the result of a transaction, for each of its writes."""
        follow_ups, settled = self._batches.settle(message)
        return follow_ups + [
            effect
            for item in settled
            for effect in self.resume(item.token, item.result, now_ms)
        ]

    def resume(self, token: str, result: typing.Any, now_ms: int) -> list:
        """Hand the awaited result of ``token`` to its hold."""
        awaited = self._awaited.pop(token, None)
        if awaited is None:
            return []
        hold, handler = awaited
        return handler(hold, result, now_ms)

    def _token(self, hold: _Hold, handler: typing.Any) -> str:
        token = f'claims:{next(self._sequence)}'
        self._awaited[token] = (hold, handler)
        return token

    def timer(
        self, hold: _Hold, handler: typing.Any, due_ms: int
    ) -> effects.StartTimer:
        """Return a timer that runs ``handler`` with ``hold``."""
        return effects.StartTimer(self._token(hold, handler), due_ms)

    def write(self, hold: _Hold, now_ms: int) -> list:
        """Write the hold's row in the state that its step asks for."""
        hold.is_writing = True
        key = claim_rows.row_key(hold.claim_key)
        wall_ms = now_ms + self._wall_offset_ms
        content = hold.content(self._owner, self._address, wall_ms)
        item = claim_batches.Item(
            self._token(hold, self._on_written),
            rows.Condition(key, hold.row_version),
            claim_rows.write(hold.claim_key, content),
        )
        return self._batches.submit(item, now_ms)

    def _on_written(
        self, hold: _Hold, result: rows.TransactionResult, now_ms: int
    ) -> list:
        hold.is_writing = False
        if isinstance(result, rows.Committed):
            return self._on_committed(hold, result.versions[0], now_ms)
        if isinstance(result, rows.Conflict):
            row = next(iter(result.rows), None)
            return self._on_row(hold, row, now_ms)
        hold.is_uncertain |= isinstance(result, rows.Unknown)
        return self._retry_later(hold, now_ms)

    def _on_committed(self, hold: _Hold, version: int, now_ms: int) -> list:
        hold.row_version = version
        if hold.step is _Step.INSERT:
            return self._on_taken(hold, now_ms)
        if hold.step is _Step.SETTLE:
            return self._forget(hold)
        return self.answer(hold, claim_messages.NotRun(hold.reason))

    def _on_taken(self, hold: _Hold, now_ms: int) -> list:
        if hold.is_answered or now_ms >= hold.send_by_ms:
            hold.reason = hold.reason or _Reason.DEADLINE_PASSED
            return self.begin_release(hold, now_ms)
        hold.step = _Step.GRANTED
        hold.is_uncertain = False
        return self.answer(hold, claim_messages.Granted())

    def _on_row(self, hold: _Hold, row: rows.Row | None, now_ms: int) -> list:
        """Act on the row that made a write of ``hold`` conflict."""
        content = claim_rows.parse(row) if row else None
        if content is not None and content.nonce == hold.nonce:
            return self._on_own_row(hold, row, content, now_ms)
        if hold.step is _Step.RELEASE:
            # An earlier try released it, and somebody took the free key.
            return self._forget(hold)
        if hold.step is _Step.SETTLE:
            return self._on_lost(hold)
        hold.is_uncertain = False
        if hold.is_answered:
            return self._forget(hold)
        if row is None or content and content.state is _State.NOT_RUN:
            return self._on_free_row(hold, row, now_ms)
        if content is None:
            return self._on_unreadable_row(hold)
        return self._on_foreign_row(hold, row, content)

    def _on_free_row(
        self, hold: _Hold, row: rows.Row | None, now_ms: int
    ) -> list:
        if hold.step is _Step.REFUSE or now_ms >= hold.send_by_ms:
            reason = hold.reason or _Reason.DEADLINE_PASSED
            return self.answer(hold, claim_messages.NotRun(reason))
        hold.row_version = row.version if row else rows.ABSENT
        return self.write(hold, now_ms)

    def _on_unreadable_row(self, hold: _Hold) -> list:
        verdict = claim_messages.Undecided(_Reason.UNREADABLE_ROW)
        answered = self.answer(hold, verdict)
        self._forget(hold)
        return answered

    def _on_own_row(
        self,
        hold: _Hold,
        row: rows.Row,
        content: claim_rows.ClaimRow,
        now_ms: int,
    ) -> list:
        hold.row_version = row.version
        if content.state is _State.SETTLED:
            return self._forget(hold)
        if content.state is _State.NOT_RUN:
            return self.answer(hold, claim_messages.NotRun(hold.reason))
        if hold.step in (_Step.SETTLE, _Step.RELEASE):
            return self.write(hold, now_ms)
        if hold.step is _Step.REFUSE:
            return self.begin_release(hold, now_ms)
        return self._on_taken(hold, now_ms)

    def _on_foreign_row(
        self, hold: _Hold, row: rows.Row, content: claim_rows.ClaimRow
    ) -> list:
        if content.digest != hold.digest:
            return self.answer(hold, claim_messages.KeyReused())
        if content.state is _State.SETTLED and content.outcome is None:
            return self._fetch_outcome(hold, content)
        if content.state is _State.SETTLED:
            return self.answer(hold, claim_messages.Done(content.outcome))
        hold.holder = claim_messages.HeldElsewhere(
            content.owner, content.nonce
        )
        if not content.address:
            return self.answer(hold, hold.holder)
        hold.step = _Step.ASK
        handler = functools.partial(self._on_peer_answer, content)
        question = claim_messages.ClaimQuestion(
            hold.claim_key, content.nonce, content.owner, row.version
        )
        token = self._token(hold, handler)
        return [
            effects.SendPeer(token, content.address, question, PEER_TIMEOUT_MS)
        ]

    def _on_peer_answer(
        self,
        content: claim_rows.ClaimRow,
        hold: _Hold,
        answer: typing.Any,
        now_ms: int,
    ) -> list:
        state = (
            answer.state
            if isinstance(answer, claim_messages.ClaimAnswer)
            else 'unknown'
        )
        if state == 'settled' and answer.outcome is not None:
            return self.answer(hold, claim_messages.Done(answer.outcome))
        if state == 'released' and now_ms < hold.refuse_at_ms:
            hold.step = _Step.INSERT
            hold.holder = None
            due_ms = now_ms + RELEASE_WAIT_MS
            return [self.timer(hold, self._on_retry, due_ms)]
        is_running = state in ('running', 'released')
        verdict = claim_messages.HeldElsewhere(
            content.owner, content.nonce, is_running
        )
        return self.answer(hold, verdict)

    def _fetch_outcome(
        self, hold: _Hold, content: claim_rows.ClaimRow
    ) -> list:
        hold.step = _Step.FETCH
        handler = functools.partial(self._on_fetched, content)
        name = claim_rows.object_name(content.nonce)
        return [effects.ReadObject(self._token(hold, handler), name)]

    def _on_fetched(
        self,
        content: claim_rows.ClaimRow,
        hold: _Hold,
        raw: bytes | None,
        now_ms: int,
    ) -> list:
        outcome = claim_looks.parse_outcome(raw)
        if outcome is not None:
            return self.answer(hold, claim_messages.Done(outcome))
        verdict = claim_messages.HeldElsewhere(content.owner, content.nonce)
        return self.answer(hold, verdict)

    def _retry_later(self, hold: _Hold, now_ms: int) -> list:
        is_claiming = hold.step in (_Step.INSERT, _Step.REFUSE)
        if is_claiming and not hold.is_uncertain:
            return self.answer(
                hold, claim_messages.NotRun(_Reason.STORE_UNAVAILABLE)
            )
        due_ms = now_ms + hold.next_retry_ms(self._random)
        if hold.step is _Step.INSERT:
            due_ms = min(due_ms, max(now_ms, hold.refuse_at_ms))
        return [self.timer(hold, self._on_retry, due_ms)]

    def retry(self, hold: _Hold, now_ms: int) -> list:
        """Write again now, unless a write is in flight."""
        return self._on_retry(hold, None, now_ms)

    def _on_retry(self, hold: _Hold, _result: None, now_ms: int) -> list:
        if hold.nonce not in self.holds or hold.is_writing:
            return []
        is_late = hold.is_answered or now_ms >= hold.refuse_at_ms
        if hold.step is _Step.INSERT and is_late:
            hold.step = _Step.REFUSE
            hold.reason = hold.reason or _Reason.STORE_UNAVAILABLE
        return self.write(hold, now_ms)

    def on_deadline(self, hold: _Hold, _result: None, now_ms: int) -> list:
        """Give the verdict of a claim whose time is up."""
        if hold.is_answered:
            return []
        if hold.holder is not None:
            return self.answer(hold, hold.holder)
        return self.answer(
            hold, claim_messages.Undecided(_Reason.STORE_UNAVAILABLE)
        )

    def begin_release(self, hold: _Hold, now_ms: int) -> list:
        """Free the row of a call that was not sent."""
        hold.step = _Step.RELEASE
        hold.retries = 0
        return self.write(hold, now_ms)

    def _on_lost(self, hold: _Hold) -> list:
        fields = {'claim_key': hold.claim_key, 'nonce': hold.nonce}
        logged = effects.LogEvent(events.Event.CLAIM_ROW_LOST, fields)
        return [logged, *self._forget(hold)]

    def answer(self, hold: _Hold, verdict: claim_messages.Verdict) -> list:
        """Deliver the verdict, unless the hold has one already."""
        is_first = not hold.is_answered
        hold.is_answered = True
        if not isinstance(
            verdict, (claim_messages.Granted, claim_messages.Undecided)
        ):
            self._forget(hold)
        if not is_first:
            return []
        settled = claim_messages.ClaimSettled(
            hold.claim_key, hold.nonce, verdict
        )
        name = f'claims.{type(verdict).__name__.lower()}'
        return [effects.Count(name), effects.Deliver(settled)]

    def _forget(self, hold: _Hold) -> list:
        self.holds.pop(hold.nonce, None)
        return []

    def held(self, claim_key: str) -> list[_Hold]:
        """Return the holds of ``claim_key``."""
        return [h for h in self.holds.values() if h.claim_key == claim_key]
