"""Polling of the head of the change log by a few hosts of each zone."""

from godwitglade.coordination import bodies
from godwitglade.coordination import change_row_parsing
from godwitglade.coordination import change_rows
from godwitglade.coordination import effects
from godwitglade.coordination import hashing
from godwitglade.coordination import hosts
from godwitglade.coordination import rows

TOKEN = 'documents:head'
READ_TIMEOUT_MS = 2_000

#: Minimum number of hosts in each zone that poll the head.
MIN_POLLERS_PER_ZONE = 2

#: More hosts poll it as long as the fleet stays within this rate.
MAX_READS_PER_S = 64


class HeadReader:
    """The last sequence read from the platform and the pending read."""

    def __init__(self, self_id: hosts.HostId) -> None:
        self._self_id = self_id
        self._is_reading = False
        self._serving: tuple[bodies.MemberRecord, ...] = ()
        self._is_poller = False
        self.has_failed = False
        self.sequence = 0

    def is_poller(self, serving: tuple[bodies.MemberRecord, ...]) -> bool:
        """Return whether this host polls the head."""
        if serving is not self._serving:
            self._serving = serving
            self._is_poller = self._is_selected(serving)
        return self._is_poller

    def _is_selected(self, serving: tuple[bodies.MemberRecord, ...]) -> bool:
        zone = self._self_id.zone
        zone_hosts = [
            record.host.name for record in serving if record.host.zone == zone
        ]
        zone_count = len({record.host.zone for record in serving})
        zone_limit = MAX_READS_PER_S // max(1, zone_count)
        count = max(MIN_POLLERS_PER_ZONE, zone_limit)
        chosen = hashing.choose(f'pollers:{zone}', zone_hosts, count)
        return self._self_id.name in chosen

    def read(self) -> list[effects.ReadRows]:
        """Read the head unless a read is pending."""
        if self._is_reading:
            return []
        self._is_reading = True
        keys = (change_rows.HEAD_KEY,)
        return [effects.ReadRows(TOKEN, keys, READ_TIMEOUT_MS)]

    def record_result(self, result: rows.ReadResult) -> int | None:
        """Return the sequence in ``result``, None if the read failed."""
        self._is_reading = False
        self.has_failed = not isinstance(result, rows.Rows)
        if self.has_failed:
            return None
        sequence = change_row_parsing.head_sequence(result)
        self.sequence = max(self.sequence, sequence)
        return sequence
