"""The steps of open claims, driven by the results of their effects."""

import functools
import itertools
import random as random_module
import typing

from godwitglade.common import events
from godwitglade.coordination import claim_batches
from godwitglade.coordination import claim_messages
from godwitglade.coordination import claim_queries
from godwitglade.coordination import claim_rows
from godwitglade.coordination import effects
from godwitglade.coordination import hosts
from godwitglade.coordination import messages
from godwitglade.coordination import open_claims
from godwitglade.coordination import rows

STORE_TIMEOUT_MS = 800
PEER_TIMEOUT_MS = 300
RELEASED_RETRY_MS = 20

_OpenClaim = open_claims.OpenClaim
_Step = open_claims.Step
_Reason = claim_messages.Reason
_State = claim_rows.State


class ClaimStateMachine:
    """The open claims of one host, by nonce, and the results they await."""

    def __init__(
        self,
        owner: hosts.HostId,
        random: random_module.Random,
        address: str,
        wall_offset_ms: int,
    ) -> None:
        self.open_claims: dict[str, _OpenClaim] = {}
        self._owner = owner
        self._random = random
        self._address = address
        self._wall_offset_ms = wall_offset_ms
        self._batches = claim_batches.WriteBatches(STORE_TIMEOUT_MS)
        self._awaited: dict[str, tuple[_OpenClaim, typing.Any]] = {}
        self._sequence = itertools.count(1)

    def is_awaited(self, token: str) -> bool:
        """Return whether a claim awaits the result for ``token``."""
        return token in self._awaited

    def flush(self) -> list:
        """Send the writes that wait behind a transaction in flight."""
        return self._batches.flush()

    def handle_transaction(
        self, message: messages.TransactionSettled, now_ms: int
    ) -> list:
        """Process the result of a transaction for each of its writes."""
        follow_ups, settled = self._batches.settle(message)
        return follow_ups + [
            effect
            for entry in settled
            for effect in self.handle_result(entry.token, entry.result, now_ms)
        ]

    def handle_result(
        self, token: str, result: typing.Any, now_ms: int
    ) -> list:
        """Dispatch the result for ``token`` to the claim that awaits it."""
        awaited = self._awaited.pop(token, None)
        if awaited is None:
            return []
        claim, handler = awaited
        return handler(claim, result, now_ms)

    def _new_token(self, claim: _OpenClaim, handler: typing.Any) -> str:
        token = f'claims:{next(self._sequence)}'
        self._awaited[token] = (claim, handler)
        return token

    def timer(
        self, claim: _OpenClaim, handler: typing.Any, due_ms: int
    ) -> effects.StartTimer:
        """Return a timer that calls ``handler`` with ``claim``."""
        return effects.StartTimer(self._new_token(claim, handler), due_ms)

    def write(self, claim: _OpenClaim, now_ms: int) -> list:
        """Write the row of ``claim`` in the state that its step implies."""
        claim.is_writing = True
        key = claim_rows.row_key(claim.claim_key)
        wall_ms = now_ms + self._wall_offset_ms
        content = claim.content(self._owner, self._address, wall_ms)
        entry = claim_batches.ConditionalWrite(
            self._new_token(claim, self._on_written),
            rows.Condition(key, claim.row_version),
            claim_rows.write(claim.claim_key, content),
        )
        return self._batches.submit(entry, now_ms)

    def _on_written(
        self, claim: _OpenClaim, result: rows.TransactionResult, now_ms: int
    ) -> list:
        claim.is_writing = False
        if isinstance(result, rows.Committed):
            return self._on_committed(claim, result.versions[0], now_ms)
        if isinstance(result, rows.Conflict):
            row = next(iter(result.rows), None)
            return self._on_conflict(claim, row, now_ms)
        claim.has_unknown_write |= isinstance(result, rows.Unknown)
        return self._retry_later(claim, now_ms)

    def _on_committed(
        self, claim: _OpenClaim, version: int, now_ms: int
    ) -> list:
        claim.row_version = version
        if claim.step is _Step.INSERT:
            return self._on_acquired(claim, now_ms)
        if claim.step is _Step.SETTLE:
            return self._remove(claim)
        return self.deliver_verdict(claim, claim_messages.NotRun(claim.reason))

    def _on_acquired(self, claim: _OpenClaim, now_ms: int) -> list:
        if claim.has_verdict or now_ms >= claim.send_by_ms:
            claim.reason = claim.reason or _Reason.DEADLINE_PASSED
            return self.start_release(claim, now_ms)
        claim.step = _Step.GRANTED
        claim.has_unknown_write = False
        return self.deliver_verdict(claim, claim_messages.Granted())

    def _on_conflict(
        self, claim: _OpenClaim, row: rows.Row | None, now_ms: int
    ) -> list:
        """Process the row that a write of ``claim`` conflicted with."""
        content = claim_rows.parse(row) if row else None
        if content is not None and content.nonce == claim.nonce:
            return self._on_own_row(claim, row, content, now_ms)
        if claim.step is _Step.RELEASE:
            # An earlier attempt released the key; another claim has it now.
            return self._remove(claim)
        if claim.step is _Step.SETTLE:
            return self._on_row_lost(claim)
        claim.has_unknown_write = False
        if claim.has_verdict:
            return self._remove(claim)
        if row is None or content and content.state is _State.NOT_RUN:
            return self._on_free_row(claim, row, now_ms)
        if content is None:
            return self._on_unreadable_row(claim)
        return self._on_foreign_row(claim, row, content)

    def _on_free_row(
        self, claim: _OpenClaim, row: rows.Row | None, now_ms: int
    ) -> list:
        if claim.step is _Step.REFUSE or now_ms >= claim.send_by_ms:
            reason = claim.reason or _Reason.DEADLINE_PASSED
            return self.deliver_verdict(claim, claim_messages.NotRun(reason))
        claim.row_version = row.version if row else rows.ABSENT
        return self.write(claim, now_ms)

    def _on_unreadable_row(self, claim: _OpenClaim) -> list:
        verdict = claim_messages.Undecided(_Reason.UNREADABLE_ROW)
        delivered = self.deliver_verdict(claim, verdict)
        self._remove(claim)
        return delivered

    def _on_own_row(
        self,
        claim: _OpenClaim,
        row: rows.Row,
        content: claim_rows.ClaimRow,
        now_ms: int,
    ) -> list:
        claim.row_version = row.version
        if content.state is _State.SETTLED:
            return self._remove(claim)
        if content.state is _State.NOT_RUN:
            return self.deliver_verdict(
                claim, claim_messages.NotRun(claim.reason)
            )
        if claim.step in (_Step.SETTLE, _Step.RELEASE):
            return self.write(claim, now_ms)
        if claim.step is _Step.REFUSE:
            return self.start_release(claim, now_ms)
        return self._on_acquired(claim, now_ms)

    def _on_foreign_row(
        self, claim: _OpenClaim, row: rows.Row, content: claim_rows.ClaimRow
    ) -> list:
        if content.digest != claim.digest:
            return self.deliver_verdict(claim, claim_messages.KeyReused())
        if content.state is _State.SETTLED and content.outcome is None:
            return self._fetch_outcome(claim, content)
        if content.state is _State.SETTLED:
            return self.deliver_verdict(
                claim, claim_messages.Done(content.outcome)
            )
        claim.fallback_verdict = claim_messages.HeldElsewhere(
            content.owner, content.nonce
        )
        if not content.address:
            return self.deliver_verdict(claim, claim.fallback_verdict)
        claim.step = _Step.QUERY_OWNER
        handler = functools.partial(self._on_owner_reply, content)
        question = claim_messages.ClaimQuestion(
            claim.claim_key, content.nonce, content.owner, row.version
        )
        token = self._new_token(claim, handler)
        return [
            effects.SendPeer(token, content.address, question, PEER_TIMEOUT_MS)
        ]

    def _on_owner_reply(
        self,
        content: claim_rows.ClaimRow,
        claim: _OpenClaim,
        reply: typing.Any,
        now_ms: int,
    ) -> list:
        state = (
            reply.state
            if isinstance(reply, claim_messages.ClaimAnswer)
            else 'unknown'
        )
        if state == 'settled' and reply.outcome is not None:
            return self.deliver_verdict(
                claim, claim_messages.Done(reply.outcome)
            )
        if state == 'released' and now_ms < claim.refuse_at_ms:
            claim.step = _Step.INSERT
            claim.fallback_verdict = None
            due_ms = now_ms + RELEASED_RETRY_MS
            return [self.timer(claim, self._on_retry, due_ms)]
        is_running = state in ('running', 'released')
        verdict = claim_messages.HeldElsewhere(
            content.owner, content.nonce, is_running
        )
        return self.deliver_verdict(claim, verdict)

    def _fetch_outcome(
        self, claim: _OpenClaim, content: claim_rows.ClaimRow
    ) -> list:
        claim.step = _Step.FETCH_OUTCOME
        handler = functools.partial(self._on_fetched, content)
        name = claim_rows.object_name(content.nonce)
        return [effects.ReadObject(self._new_token(claim, handler), name)]

    def _on_fetched(
        self,
        content: claim_rows.ClaimRow,
        claim: _OpenClaim,
        raw: bytes | None,
        now_ms: int,
    ) -> list:
        outcome = claim_queries.parse_outcome(raw)
        if outcome is not None:
            return self.deliver_verdict(claim, claim_messages.Done(outcome))
        verdict = claim_messages.HeldElsewhere(content.owner, content.nonce)
        return self.deliver_verdict(claim, verdict)

    def _retry_later(self, claim: _OpenClaim, now_ms: int) -> list:
        is_claiming = claim.step in (_Step.INSERT, _Step.REFUSE)
        if is_claiming and not claim.has_unknown_write:
            return self.deliver_verdict(
                claim, claim_messages.NotRun(_Reason.STORE_UNAVAILABLE)
            )
        due_ms = now_ms + claim.next_delay_ms(self._random)
        if claim.step is _Step.INSERT:
            due_ms = min(due_ms, max(now_ms, claim.refuse_at_ms))
        return [self.timer(claim, self._on_retry, due_ms)]

    def retry(self, claim: _OpenClaim, now_ms: int) -> list:
        """Retry the write now unless a write is in flight."""
        return self._on_retry(claim, None, now_ms)

    def _on_retry(self, claim: _OpenClaim, _result: None, now_ms: int) -> list:
        if claim.nonce not in self.open_claims or claim.is_writing:
            return []
        is_late = claim.has_verdict or now_ms >= claim.refuse_at_ms
        if claim.step is _Step.INSERT and is_late:
            claim.step = _Step.REFUSE
            claim.reason = claim.reason or _Reason.STORE_UNAVAILABLE
        return self.write(claim, now_ms)

    def on_deadline(
        self, claim: _OpenClaim, _result: None, now_ms: int
    ) -> list:
        """Deliver a verdict for a claim that has reached its deadline."""
        if claim.has_verdict:
            return []
        if claim.fallback_verdict is not None:
            return self.deliver_verdict(claim, claim.fallback_verdict)
        return self.deliver_verdict(
            claim, claim_messages.Undecided(_Reason.STORE_UNAVAILABLE)
        )

    def start_release(self, claim: _OpenClaim, now_ms: int) -> list:
        """Start to release the key of a call that was not sent."""
        claim.step = _Step.RELEASE
        claim.retries = 0
        return self.write(claim, now_ms)

    def _on_row_lost(self, claim: _OpenClaim) -> list:
        fields = {'claim_key': claim.claim_key, 'nonce': claim.nonce}
        logged = effects.LogEvent(events.Event.CLAIM_ROW_LOST, fields)
        return [logged, *self._remove(claim)]

    def deliver_verdict(
        self, claim: _OpenClaim, verdict: claim_messages.Verdict
    ) -> list:
        """Deliver ``verdict`` unless one was delivered before."""
        is_first = not claim.has_verdict
        claim.has_verdict = True
        if not isinstance(
            verdict, (claim_messages.Granted, claim_messages.Undecided)
        ):
            self._remove(claim)
        if not is_first:
            return []
        settled = claim_messages.ClaimSettled(
            claim.claim_key, claim.nonce, verdict
        )
        name = f'claims.{type(verdict).__name__.lower()}'
        return [effects.Count(name), effects.Deliver(settled)]

    def _remove(self, claim: _OpenClaim) -> list:
        self.open_claims.pop(claim.nonce, None)
        return []

    def claims_on(self, claim_key: str) -> list[_OpenClaim]:
        """Return the open claims on ``claim_key``."""
        return [
            claim
            for claim in self.open_claims.values()
            if claim.claim_key == claim_key
        ]
