"""Fake claims on an in-memory table shared by all hosts of a run."""

import attrs

from bench.measure import virtual_clock
from godwitglade.coordination import claim_messages
from godwitglade.coordination import hosts

#: Duration of a transaction on the table service.
TRANSACTION_MS = 6.0


@attrs.define(eq=False)
class Table:
    """Rows by claim key; no transaction succeeds while ``is_down``."""

    rows: dict = attrs.Factory(dict)
    is_down: bool = False


class FakeClaims:
    """Implements the interface and verdicts of `claims.Claims`."""

    def __init__(
        self,
        table: Table,
        clock: virtual_clock.VirtualClock,
        is_isolated,
        deliver,
    ) -> None:
        self._table = table
        self._clock = clock
        self._is_isolated = is_isolated
        self._deliver = deliver

    def claim(self, key, digest, send_by_ms, now_ms, nonce=None) -> list:
        """Acquire the key if no other nonce holds it."""
        self._clock.call_after(
            TRANSACTION_MS, self._report_verdict, key, digest, nonce
        )
        return []

    def may_send(self, key, nonce, now_ms) -> bool:
        """Return whether the nonce holds the key."""
        return self._table.rows.get(key, {}).get('nonce') == nonce

    def settle(self, key, nonce, outcome, now_ms) -> list:
        """Record the outcome."""
        self._table.rows[key]['outcome'] = outcome
        return []

    def release(self, key, nonce, reason, now_ms) -> list:
        """Release the key."""
        self._table.rows.pop(key, None)
        return []

    def look_up(self, key, query_id, now_ms) -> list:
        """Look up the state of the key."""
        self._clock.call_after(
            TRANSACTION_MS, self._report_state, key, query_id
        )
        return []

    @property
    def _is_unavailable(self) -> bool:
        return self._table.is_down or self._is_isolated()

    def _report_state(self, key, query_id) -> None:
        row = self._table.rows.get(key)
        state = 'absent' if row is None else 'running'
        outcome = row and row['outcome']
        state = 'settled' if outcome else state
        state = 'unavailable' if self._is_unavailable else state
        reply = claim_messages.ClaimLooked(query_id, state, outcome)
        self._deliver(reply)

    def _report_verdict(self, key, digest, nonce) -> None:
        verdict = self._verdict(key, digest, nonce)
        self._deliver(claim_messages.ClaimSettled(key, nonce, verdict))

    def _verdict(self, key, digest, nonce) -> claim_messages.Verdict:
        if self._is_unavailable:
            reason = claim_messages.Reason.STORE_UNAVAILABLE
            return claim_messages.NotRun(reason)
        row = self._table.rows.get(key)
        if row is None:
            row = {'nonce': nonce, 'digest': digest, 'outcome': None}
            self._table.rows[key] = row
            return claim_messages.Granted()
        if row['outcome']:
            return claim_messages.Done(row['outcome'])
        owner = hosts.HostId('other', '', 1)
        return claim_messages.HeldElsewhere(owner, row['nonce'], True)
