"""Deletion of expired claim rows by scans of bounded size."""

import random as random_module

from godwitglade.common import clock
from godwitglade.coordination import claim_rows
from godwitglade.coordination import effects
from godwitglade.coordination import rows

TOKEN = 'claims:sweep'
SCAN_INTERVAL_MS = clock.MINUTE_MS
SCAN_LIMIT = 100
SCAN_TIMEOUT_MS = 2 * clock.SECOND_MS

#: How long a request that is sent again gets the recorded outcome.
RETENTION_MS = clock.DAY_MS

#: Rows still DISPATCHED are retained longer, for operators to settle.
UNSETTLED_RETENTION_MS = 7 * clock.DAY_MS


class Sweep:
    """Scans the table in key order, starting at a random key."""

    def __init__(self, random: random_module.Random) -> None:
        self._random = random
        self._after = f'{random.getrandbits(16):04x}'

    def start(self, now_ms: int) -> list:
        """Schedule the first scan at a random time within the interval."""
        return [self._timer(now_ms + self._random.randrange(SCAN_INTERVAL_MS))]

    def scan(self) -> list:
        """Scan the next range of the table."""
        return [
            effects.ScanRows(
                TOKEN,
                claim_rows.TABLE,
                self._after,
                SCAN_LIMIT,
                SCAN_TIMEOUT_MS,
            )
        ]

    def delete(
        self, result: rows.ReadResult, wall_ms: int, now_ms: int
    ) -> list:
        """Delete the expired rows of a scan and schedule the next scan."""
        timer = self._timer(now_ms + SCAN_INTERVAL_MS)
        if isinstance(result, rows.Unavailable):
            return [timer]
        is_end = len(result.rows) < SCAN_LIMIT
        self._after = '' if is_end else result.rows[-1].key.key
        expired = [row for row in result.rows if is_expired(row, wall_ms)]
        return [*_delete_rows(expired), timer]

    def _timer(self, due_ms: int) -> effects.StartTimer:
        return effects.StartTimer(TOKEN, due_ms)


def is_expired(row: rows.Row, wall_ms: int) -> bool:
    """Return whether ``row`` is older than the retention of its state.

    A malformed row never expires.
    """
    content = claim_rows.parse(row)
    if content is None:
        return False
    is_unsettled = content.state is claim_rows.State.DISPATCHED
    retention_ms = UNSETTLED_RETENTION_MS if is_unsettled else RETENTION_MS
    return wall_ms - content.written_at_ms > retention_ms


def _delete_rows(expired: list[rows.Row]) -> list:
    if not expired:
        return []
    transaction = rows.Transaction(
        tuple(rows.Condition(row.key, row.version) for row in expired),
        tuple(rows.Write(row.key, None) for row in expired),
    )
    # A conflict or a lost result is harmless: the next pass finds the rows.
    return [effects.Transact(TOKEN, transaction, SCAN_TIMEOUT_MS)]
