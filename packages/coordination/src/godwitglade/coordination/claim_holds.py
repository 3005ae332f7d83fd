"""One claim as its owner sees it, from its first write to its last."""

import enum
import random as random_module
import typing

import attrs

from godwitglade.coordination import claim_messages
from godwitglade.coordination import claim_rows
from godwitglade.coordination import hosts
from godwitglade.coordination import rows

#: From here to the end of its time a claim frees its key, not takes it.
REFUSE_MARGIN_MS = 400
RETRY_MIN_MS = 50
RETRY_MAX_MS = 30_000


class Step(enum.Enum):
    """What the owner is doing with a claim."""

    INSERT = 'insert'
    ASK = 'ask'
    FETCH = 'fetch'
    REFUSE = 'refuse'
    GRANTED = 'granted'
    SETTLE = 'settle'
    RELEASE = 'release'


@attrs.define(eq=False)
class Hold:
    """A claim not yet forgotten by its owner.

    ``row_version`` is the version that the next write is conditional on.
    ``is_uncertain`` means that an earlier write may have landed or may yet.
    ``is_answered`` means that a verdict was delivered, ``is_writing`` that
    a write is in flight. ``holder`` is the
    verdict should the owner of a foreign row not answer in time.
    """

    claim_key: str
    nonce: str
    digest: str
    send_by_ms: int
    refuse_at_ms: int
    row_version: int = rows.ABSENT
    step: Step = Step.INSERT
    is_uncertain: bool = False
    is_answered: bool = False
    outcome: dict[str, typing.Any] | None = None
    reason: str = ''
    retries: int = 0
    is_writing: bool = False
    holder: claim_messages.HeldElsewhere | None = None

    @property
    def may_yet_send(self) -> bool:
        """Tell whether the call was sent or may still be."""
        if self.step is Step.GRANTED:
            return True
        is_taking = self.step in (Step.INSERT, Step.ASK, Step.FETCH)
        return is_taking and not self.is_answered

    @property
    def state(self) -> claim_rows.State:
        """Return the state that the next write gives to the row."""
        if self.step is Step.SETTLE:
            return claim_rows.State.SETTLED
        if self.step is Step.INSERT:
            return claim_rows.State.DISPATCHED
        return claim_rows.State.NOT_RUN

    def content(
        self, owner: hosts.HostId, address: str, wall_ms: int
    ) -> claim_rows.ClaimRow:
        """Return the row content that the next write stores."""
        return claim_rows.ClaimRow(
            state=self.state,
            owner=owner,
            nonce=self.nonce,
            digest=self.digest,
            address=address,
            written_at_ms=wall_ms,
            outcome=self._stored_outcome,
        )

    def next_retry_ms(self, random: random_module.Random) -> int:
        """Return the wait before the next try: doubled, with jitter."""
        limit_ms = min(RETRY_MAX_MS, RETRY_MIN_MS << min(self.retries, 16))
        self.retries += 1
        return random.randint(limit_ms // 2, limit_ms)

    @property
    def _stored_outcome(self) -> dict[str, typing.Any] | None:
        if self.step is not Step.SETTLE or self.outcome is None:
            return None
        if claim_rows.is_large(self.outcome):
            return None
        return self.outcome


def new_hold(
    claim_key: str, nonce: str, digest: str, send_by_ms: int, now_ms: int
) -> Hold:
    """Return the hold of a claim that begins now."""
    margin_ms = min(REFUSE_MARGIN_MS, max(0, send_by_ms - now_ms) // 2)
    refuse_at_ms = send_by_ms - margin_ms
    return Hold(claim_key, nonce, digest, send_by_ms, refuse_at_ms)
