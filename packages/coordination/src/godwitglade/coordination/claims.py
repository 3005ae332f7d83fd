"""At-most-once calls: claims on keys, arbitrated by conditional row writes.

A claim costs one write before the call is sent and one with its outcome.
A host may send only once it knows that the row holds its own nonce. When
the result of a write is lost, the host writes the same row again under the
same condition: either that write commits, or the conflict shows whose nonce
the row holds. A claim that the host gives up writes a refusal under that
condition instead, so that its earlier write cannot be applied afterwards.
"""

import functools
import random as random_module
import typing

from godwitglade.common import codec
from godwitglade.coordination import claim_batches
from godwitglade.coordination import claim_messages
from godwitglade.coordination import claim_queries
from godwitglade.coordination import claim_rows
from godwitglade.coordination import claim_state_machine
from godwitglade.coordination import claim_sweep
from godwitglade.coordination import effects
from godwitglade.coordination import hosts
from godwitglade.coordination import messages
from godwitglade.coordination import open_claims

Granted = claim_messages.Granted
Done = claim_messages.Done
HeldElsewhere = claim_messages.HeldElsewhere
NotRun = claim_messages.NotRun
Undecided = claim_messages.Undecided
KeyReused = claim_messages.KeyReused
ClaimSettled = claim_messages.ClaimSettled
ClaimLooked = claim_messages.ClaimLooked
ClaimQuestion = claim_messages.ClaimQuestion
ClaimAnswer = claim_messages.ClaimAnswer

_OpenClaim = open_claims.OpenClaim
_Step = open_claims.Step
_Reason = claim_messages.Reason


class Claims:
    """The claims of one host; ``address`` is its listener for peers.

    ``wall_offset_ms`` converts ``now_ms`` to wall time, which is stored in
    rows and used only to delete old ones.
    """

    def __init__(
        self,
        owner: hosts.HostId,
        random: random_module.Random,
        address: str = '',
        wall_offset_ms: int = 0,
    ) -> None:
        self._owner = owner
        self._random = random
        self._wall_offset_ms = wall_offset_ms
        self._state_machine = claim_state_machine.ClaimStateMachine(
            owner, random, address, wall_offset_ms
        )
        self._sweep = claim_sweep.Sweep(random)
        self._queries = claim_queries.Queries(
            claim_state_machine.STORE_TIMEOUT_MS,
            claim_state_machine.PEER_TIMEOUT_MS,
        )

    def start(self, now_ms: int) -> list:
        """Start the periodic deletion of old rows."""
        return self._sweep.start(now_ms)

    @property
    def is_idle(self) -> bool:
        """Return whether no claim is open and every outcome is recorded."""
        return not self._state_machine.open_claims

    def claim(
        self,
        claim_key: str,
        request_digest: str,
        send_by_ms: int,
        now_ms: int,
        nonce: str | None = None,
    ) -> list:
        """Try to claim ``claim_key``; ends in one `ClaimSettled`.

        ``nonce``, when given, must be unique over all hosts and time.
        """
        nonce = nonce or f'{self._owner}:{self._random.getrandbits(64):016x}'
        claim = open_claims.new_claim(
            claim_key, nonce, request_digest, send_by_ms, now_ms
        )
        if now_ms >= send_by_ms:
            return self._state_machine.deliver_verdict(
                claim, NotRun(_Reason.DEADLINE_PASSED)
            )
        local = self._local_verdict(claim)
        if local is not None:
            return self._state_machine.deliver_verdict(claim, local)
        self._state_machine.open_claims[nonce] = claim
        timer = self._state_machine.timer(
            claim, self._state_machine.on_deadline, send_by_ms
        )
        return [timer, *self._state_machine.write(claim, now_ms)]

    def may_send(self, claim_key: str, nonce: str, now_ms: int) -> bool:
        """Return whether the call may be sent; check right before sending."""
        claim = self._state_machine.open_claims.get(nonce)
        if claim is None or claim.claim_key != claim_key:
            return False
        return claim.step is _Step.GRANTED and now_ms < claim.send_by_ms

    def settle(
        self,
        claim_key: str,
        nonce: str,
        outcome: dict[str, typing.Any],
        now_ms: int,
    ) -> list:
        """Record the outcome; the write is retried until it succeeds."""
        claim = self._state_machine.open_claims.get(nonce)
        if claim is None or claim.step is not _Step.GRANTED:
            return []
        claim.step = _Step.SETTLE
        claim.outcome = outcome
        claim.retries = 0
        if not claim_rows.is_large(outcome):
            return self._state_machine.write(claim, now_ms)
        name = claim_rows.object_name(nonce)
        write = effects.WriteObject(name, codec.to_json(outcome))
        return [write, *self._state_machine.write(claim, now_ms)]

    def release(
        self, claim_key: str, nonce: str, reason: str, now_ms: int
    ) -> list:
        """Release the key of a granted claim whose call was surely not sent.

        The write is retried until it succeeds.
        """
        claim = self._state_machine.open_claims.get(nonce)
        if claim is None or claim.step is not _Step.GRANTED:
            return []
        claim.reason = reason
        return self._state_machine.start_release(claim, now_ms)

    def look_up(self, claim_key: str, query_id: str, now_ms: int) -> list:
        """Query the state of ``claim_key``; ends in one `ClaimLooked`."""
        local = next(
            (
                claim
                for claim in self._state_machine.claims_on(claim_key)
                if claim.step is _Step.SETTLE
            ),
            None,
        )
        if local is not None:
            result = ClaimLooked(query_id, 'settled', local.outcome)
            return [effects.Deliver(result)]
        if any(
            claim.may_yet_send
            for claim in self._state_machine.claims_on(claim_key)
        ):
            return [effects.Deliver(ClaimLooked(query_id, 'running'))]
        return self._queries.start(claim_key, query_id)

    @functools.singledispatchmethod
    def handle(self, message: typing.Any, now_ms: int) -> list:
        """Process a message and return the resulting effects."""
        return []

    @handle.register
    def _(self, message: messages.TransactionSettled, now_ms: int) -> list:
        return self._state_machine.handle_transaction(message, now_ms)

    @handle.register
    def _(self, message: messages.TimerFired, now_ms: int) -> list:
        if message.token == claim_batches.FLUSH_TOKEN:
            return self._state_machine.flush()
        if message.token == claim_sweep.TOKEN:
            return self._sweep.scan()
        return self._state_machine.handle_result(message.token, None, now_ms)

    @handle.register
    def _(self, message: messages.ReadSettled, now_ms: int) -> list:
        if message.token == claim_sweep.TOKEN:
            wall_ms = now_ms + self._wall_offset_ms
            return self._sweep.delete(message.result, wall_ms, now_ms)
        return self._queries.handle_read(message)

    @handle.register
    def _(self, message: messages.ObjectRead, now_ms: int) -> list:
        if self._state_machine.is_awaited(message.token):
            return self._state_machine.handle_result(
                message.token, message.content, now_ms
            )
        return self._queries.handle_object(message)

    @handle.register
    def _(self, message: messages.PeerReply, now_ms: int) -> list:
        if self._state_machine.is_awaited(message.token):
            return self._state_machine.handle_result(
                message.token, message.body, now_ms
            )
        return self._queries.handle_reply(message)

    @handle.register
    def _(self, message: messages.PeerMessage, now_ms: int) -> list:
        if not isinstance(message.body, ClaimQuestion):
            return []
        reply, follow_ups = self._reply_to(message.body, now_ms)
        if message.reply_token is None:
            return follow_ups
        return [effects.ReplyPeer(message.reply_token, reply), *follow_ups]

    def _local_verdict(
        self, claim: _OpenClaim
    ) -> claim_messages.Verdict | None:
        """Return the verdict that another claim of this host implies."""
        other = next(
            (
                candidate
                for candidate in self._state_machine.claims_on(claim.claim_key)
                if candidate.may_yet_send or candidate.step is _Step.SETTLE
            ),
            None,
        )
        if other is None:
            return None
        if other.digest != claim.digest:
            return KeyReused()
        if other.step is _Step.SETTLE:
            return Done(other.outcome)
        return HeldElsewhere(self._owner, other.nonce, is_running=True)

    def _reply_to(
        self, question: ClaimQuestion, now_ms: int
    ) -> tuple[ClaimAnswer, list]:
        if question.owner != self._owner:
            return ClaimAnswer('unknown'), []
        claim = self._state_machine.open_claims.get(question.nonce)
        if claim is None:
            return ClaimAnswer('released'), self._release_forgotten(
                question, now_ms
            )
        if claim.step is _Step.SETTLE:
            return ClaimAnswer('settled', claim.outcome), []
        if claim.may_yet_send:
            return ClaimAnswer('running'), []
        return ClaimAnswer('released'), self._state_machine.retry(
            claim, now_ms
        )

    def _release_forgotten(self, question: ClaimQuestion, now_ms: int) -> list:
        """Release a key whose write was applied after its claim was given up.

        A granted claim stays open until its outcome is recorded. Therefore
        either this nonce was never granted, or its row has changed since
        and the write conflicts.
        """
        claim = open_claims.new_claim(
            question.claim_key, question.nonce, '', now_ms, now_ms
        )
        claim.row_version = question.version
        claim.has_verdict = True
        self._state_machine.open_claims[question.nonce] = claim
        return self._state_machine.start_release(claim, now_ms)
