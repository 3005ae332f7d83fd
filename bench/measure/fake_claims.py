"""Claims on a table in memory, shared by all hosts of a run."""

import attrs

from bench.measure import schedule
from godwitglade.coordination import claim_messages
from godwitglade.coordination import hosts

#: Time of one transaction on the table service.
STORE_MS = 6.0


@attrs.define(eq=False)
class Table:
    """Rows by claim key; ``is_down`` refuses every transaction."""

    rows: dict = attrs.Factory(dict)
    is_down: bool = False


class FakeClaims:
    """The interface of `claims.Claims` with its verdicts."""

    def __init__(
        self, table: Table, clock: schedule.Schedule, is_cut, deliver
    ) -> None:
        self._table = table
        self._clock = clock
        self._is_cut = is_cut
        self._deliver = deliver

    def claim(self, key, digest, send_by_ms, now_ms, nonce=None) -> list:
        """Take the key when it is free."""
        self._clock.after(STORE_MS, self._decide, key, digest, nonce)
        return []

    def may_send(self, key, nonce, now_ms) -> bool:
        """Tell whether the nonce holds the key."""
        return self._table.rows.get(key, {}).get('nonce') == nonce

    def settle(self, key, nonce, outcome, now_ms) -> list:
        """Record the outcome."""
        self._table.rows[key]['outcome'] = outcome
        return []

    def release(self, key, nonce, reason, now_ms) -> list:
        """Free the key."""
        self._table.rows.pop(key, None)
        return []

    def look(self, key, query_id, now_ms) -> list:
        """Find out what became of the key."""
        self._clock.after(STORE_MS, self._look, key, query_id)
        return []

    @property
    def _is_away(self) -> bool:
        return self._table.is_down or self._is_cut()

    def _look(self, key, query_id) -> None:
        row = self._table.rows.get(key)
        state = 'absent' if row is None else 'running'
        outcome = row and row['outcome']
        state = 'settled' if outcome else state
        state = 'unavailable' if self._is_away else state
        looked = claim_messages.ClaimLooked(query_id, state, outcome)
        self._deliver(looked)

    def _decide(self, key, digest, nonce) -> None:
        verdict = self._verdict(key, digest, nonce)
        self._deliver(claim_messages.ClaimSettled(key, nonce, verdict))

    def _verdict(self, key, digest, nonce) -> claim_messages.Verdict:
        if self._is_away:
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
