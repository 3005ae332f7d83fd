"""At most once: claims on keys, arbitrated by conditional row writes.

A claim costs one write before the call is sent and one with its outcome.
Only a host that knows its own nonce to be in the row may send. A lost
answer is settled by writing the same row again under the same condition:
either that write commits, or the conflict shows whose nonce is there. A
claim that is given up writes a refusal under that condition instead, so
that nothing of it can land afterwards.
"""

import functools
import random as random_module
import typing

from godwitglade.common import codec
from godwitglade.coordination import claim_batches
from godwitglade.coordination import claim_holds
from godwitglade.coordination import claim_looks
from godwitglade.coordination import claim_messages
from godwitglade.coordination import claim_progress
from godwitglade.coordination import claim_rows
from godwitglade.coordination import claim_sweep
from godwitglade.coordination import effects
from godwitglade.coordination import hosts
from godwitglade.coordination import messages

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

_Hold = claim_holds.Hold
_Step = claim_holds.Step
_Reason = claim_messages.Reason


class Claims:
    """The claims of one host; ``address`` is its listener for peers.

    ``wall_offset_ms`` turns ``now_ms`` into wall time, which is kept in
    rows and only ever used to delete old ones.
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
        self._progress = claim_progress.Progress(
            owner, random, address, wall_offset_ms
        )
        self._sweep = claim_sweep.Sweep(random)
        self._looks = claim_looks.Looks(
            claim_progress.STORE_TIMEOUT_MS, claim_progress.PEER_TIMEOUT_MS
        )

    def start(self, now_ms: int) -> list:
        """Begin to delete old rows."""
        return self._sweep.start(now_ms)

    @property
    def is_idle(self) -> bool:
        """Tell whether no claim is open and every outcome is recorded."""
        return not self._progress.holds

    def claim(
        self,
        claim_key: str,
        request_digest: str,
        send_by_ms: int,
        now_ms: int,
        nonce: str | None = None,
    ) -> list:
        """Try to take ``claim_key``; ends in one `ClaimSettled`.

        ``nonce``, when given, must be unique over all hosts and time.
        """
        nonce = nonce or f'{self._owner}:{self._random.getrandbits(64):016x}'
        hold = claim_holds.new_hold(
            claim_key, nonce, request_digest, send_by_ms, now_ms
        )
        if now_ms >= send_by_ms:
            return self._progress.answer(hold, NotRun(_Reason.DEADLINE_PASSED))
        local = self._local_verdict(hold)
        if local is not None:
            return self._progress.answer(hold, local)
        self._progress.holds[nonce] = hold
        deadline = self._progress.timer(
            hold, self._progress.on_deadline, send_by_ms
        )
        return [deadline, *self._progress.write(hold, now_ms)]

    def may_send(self, claim_key: str, nonce: str, now_ms: int) -> bool:
        """Tell, right before the send, whether the call may still leave."""
        hold = self._progress.holds.get(nonce)
        if hold is None or hold.claim_key != claim_key:
            return False
        return hold.step is _Step.GRANTED and now_ms < hold.send_by_ms

    def settle(
        self,
        claim_key: str,
        nonce: str,
        outcome: dict[str, typing.Any],
        now_ms: int,
    ) -> list:
        """Record the outcome; tried again until it is recorded."""
        hold = self._progress.holds.get(nonce)
        if hold is None or hold.step is not _Step.GRANTED:
            return []
        hold.step = _Step.SETTLE
        hold.outcome = outcome
        hold.retries = 0
        if not claim_rows.is_large(outcome):
            return self._progress.write(hold, now_ms)
        name = claim_rows.object_name(nonce)
        stored = effects.WriteObject(name, codec.to_json(outcome))
        return [stored, *self._progress.write(hold, now_ms)]

    def release(
        self, claim_key: str, nonce: str, reason: str, now_ms: int
    ) -> list:
        """Free the key of a granted claim whose call was certainly not sent.

        Tried again until it is recorded.
        """
        hold = self._progress.holds.get(nonce)
        if hold is None or hold.step is not _Step.GRANTED:
            return []
        hold.reason = reason
        return self._progress.begin_release(hold, now_ms)

    def look(self, claim_key: str, query_id: str, now_ms: int) -> list:
        """Find out what became of ``claim_key``; ends in `ClaimLooked`."""
        local = next(
            (
                h
                for h in self._progress.held(claim_key)
                if h.step is _Step.SETTLE
            ),
            None,
        )
        if local is not None:
            looked = ClaimLooked(query_id, 'settled', local.outcome)
            return [effects.Deliver(looked)]
        if any(held.may_yet_send for held in self._progress.held(claim_key)):
            return [effects.Deliver(ClaimLooked(query_id, 'running'))]
        return self._looks.look(claim_key, query_id)

    @functools.singledispatchmethod
    def handle(self, message: typing.Any, now_ms: int) -> list:
        """Take in a message; return the effects that follow."""
        return []

    @handle.register
    def _(self, message: messages.TransactionSettled, now_ms: int) -> list:
        return self._progress.settle_transaction(message, now_ms)

    @handle.register
    def _(self, message: messages.TimerFired, now_ms: int) -> list:
        if message.token == claim_batches.FLUSH_TOKEN:
            return self._progress.flush()
        if message.token == claim_sweep.TOKEN:
            return self._sweep.scan()
        return self._progress.resume(message.token, None, now_ms)

    @handle.register
    def _(self, message: messages.ReadSettled, now_ms: int) -> list:
        if message.token == claim_sweep.TOKEN:
            wall_ms = now_ms + self._wall_offset_ms
            return self._sweep.delete(message.result, wall_ms, now_ms)
        return self._looks.handle_read(message)

    @handle.register
    def _(self, message: messages.ObjectRead, now_ms: int) -> list:
        if self._progress.is_awaited(message.token):
            return self._progress.resume(
                message.token, message.content, now_ms
            )
        return self._looks.handle_object(message)

    @handle.register
    def _(self, message: messages.PeerReply, now_ms: int) -> list:
        if self._progress.is_awaited(message.token):
            return self._progress.resume(message.token, message.body, now_ms)
        return self._looks.handle_reply(message)

    @handle.register
    def _(self, message: messages.PeerMessage, now_ms: int) -> list:
        if not isinstance(message.body, ClaimQuestion):
            return []
        answer, follow_ups = self._answer_question(message.body, now_ms)
        if message.reply_token is None:
            return follow_ups
        return [effects.ReplyPeer(message.reply_token, answer), *follow_ups]

    def _local_verdict(self, hold: _Hold) -> claim_messages.Verdict | None:
        """Return the verdict that another claim of this host decides."""
        other = next(
            (
                held
                for held in self._progress.held(hold.claim_key)
                if held.may_yet_send or held.step is _Step.SETTLE
            ),
            None,
        )
        if other is None:
            return None
        if other.digest != hold.digest:
            return KeyReused()
        if other.step is _Step.SETTLE:
            return Done(other.outcome)
        return HeldElsewhere(self._owner, other.nonce, is_running=True)

    def _answer_question(
        self, question: ClaimQuestion, now_ms: int
    ) -> tuple[ClaimAnswer, list]:
        if question.owner != self._owner:
            return ClaimAnswer('unknown'), []
        hold = self._progress.holds.get(question.nonce)
        if hold is None:
            return ClaimAnswer('released'), self._disown(question, now_ms)
        if hold.step is _Step.SETTLE:
            return ClaimAnswer('settled', hold.outcome), []
        if hold.may_yet_send:
            return ClaimAnswer('running'), []
        return ClaimAnswer('released'), self._progress.retry(hold, now_ms)

    def _disown(self, question: ClaimQuestion, now_ms: int) -> list:
        """Free a key whose write landed after its claim was given up.

        A granted claim is remembered until its outcome is recorded, so
        this nonce was never granted, or its row has moved on and the
        write conflicts.
        """
        hold = claim_holds.new_hold(
            question.claim_key, question.nonce, '', now_ms, now_ms
        )
        hold.row_version = question.version
        hold.is_answered = True
        self._progress.holds[question.nonce] = hold
        return self._progress.begin_release(hold, now_ms)
