"""State that a host keeps for each of its claims until the last write."""

import enum
import random as random_module
import typing

import attrs

from godwitglade.coordination import claim_messages
from godwitglade.coordination import claim_rows
from godwitglade.coordination import hosts
from godwitglade.coordination import rows

#: Within this margin before its deadline, a claim that is still not granted
#: writes a refusal instead of retrying the insert.
REFUSE_MARGIN_MS = 400
RETRY_MIN_MS = 50
RETRY_MAX_MS = 30_000


class Step(enum.Enum):
    """The step that the owner of a claim is carrying out."""

    INSERT = 'insert'
    QUERY_OWNER = 'ask'
    FETCH_OUTCOME = 'fetch'
    REFUSE = 'refuse'
    GRANTED = 'granted'
    SETTLE = 'settle'
    RELEASE = 'release'


@attrs.define(eq=False)
class OpenClaim:
    """A claim of this host whose last write is not confirmed yet.

    ``row_version`` is the version that the next write is conditional on.
    ``has_unknown_write`` means that the result of an earlier write is
    unknown: it may have been applied or may still be. ``has_verdict`` means
    that a verdict was delivered, ``is_writing`` that a write is in flight.
    ``fallback_verdict`` is delivered when the owner of another claim's row
    does not reply before the deadline.
    """

    claim_key: str
    nonce: str
    digest: str
    send_by_ms: int
    refuse_at_ms: int
    row_version: int = rows.ABSENT
    step: Step = Step.INSERT
    has_unknown_write: bool = False
    has_verdict: bool = False
    outcome: dict[str, typing.Any] | None = None
    reason: str = ''
    retries: int = 0
    is_writing: bool = False
    fallback_verdict: claim_messages.HeldElsewhere | None = None

    @property
    def may_yet_send(self) -> bool:
        """Return whether the call was sent or may still be sent."""
        if self.step is Step.GRANTED:
            return True
        is_pending = self.step in (
            Step.INSERT,
            Step.QUERY_OWNER,
            Step.FETCH_OUTCOME,
        )
        return is_pending and not self.has_verdict

    @property
    def state(self) -> claim_rows.State:
        """Return the state that the next write stores in the row."""
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

    def next_delay_ms(self, random: random_module.Random) -> int:
        """Return the delay before the next retry: exponential, with jitter."""
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


def new_claim(
    claim_key: str, nonce: str, digest: str, send_by_ms: int, now_ms: int
) -> OpenClaim:
    """Return the state of a claim that starts at ``now_ms``."""
    margin_ms = min(REFUSE_MARGIN_MS, max(0, send_by_ms - now_ms) // 2)
    refuse_at_ms = send_by_ms - margin_ms
    return OpenClaim(claim_key, nonce, digest, send_by_ms, refuse_at_ms)
