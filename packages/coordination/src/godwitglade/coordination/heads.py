"""Reading the head of the change log, by a few hosts of each zone."""

from godwitglade.coordination import bodies
from godwitglade.coordination import change_rows
from godwitglade.coordination import effects
from godwitglade.coordination import hashing
from godwitglade.coordination import hosts
from godwitglade.coordination import platform_rows
from godwitglade.coordination import rows

TOKEN = 'documents:head'
READ_TIMEOUT_MS = 2_000

#: Hosts of a zone that read the head at least.
POLLERS_PER_ZONE = 2

#: Further hosts read it while the fleet stays within this rate.
READS_PER_S = 64


class Head:
    """The last sequence known of the platform, and the read for it."""

    def __init__(self, self_id: hosts.HostId) -> None:
        self._self_id = self_id
        self._is_asked = False
        self._serving: tuple[bodies.MemberRecord, ...] = ()
        self._is_poller = False
        self.has_failed = False
        self.sequence = 0

    def is_poller(self, serving: tuple[bodies.MemberRecord, ...]) -> bool:
        """Tell whether this host is to read the head regularly."""
        if serving is not self._serving:
            self._serving = serving
            self._is_poller = self._is_chosen(serving)
        return self._is_poller

    def _is_chosen(self, serving: tuple[bodies.MemberRecord, ...]) -> bool:
        zone = self._self_id.zone
        near = [
            record.host.name for record in serving if record.host.zone == zone
        ]
        zone_count = len({record.host.zone for record in serving})
        share = READS_PER_S // max(1, zone_count)
        count = max(POLLERS_PER_ZONE, share)
        chosen = hashing.choose(f'pollers:{zone}', near, count)
        return self._self_id.name in chosen

    def read(self) -> list[effects.ReadRows]:
        """Read the head unless a read is under way."""
        if self._is_asked:
            return []
        self._is_asked = True
        keys = (change_rows.HEAD_KEY,)
        return [effects.ReadRows(TOKEN, keys, READ_TIMEOUT_MS)]

    def take(self, result: rows.ReadResult) -> int | None:
        """Return the sequence read, None when the platform is down."""
        self._is_asked = False
        self.has_failed = not isinstance(result, rows.Rows)
        if self.has_failed:
            return None
        sequence = platform_rows.head_sequence(result)
        self.sequence = max(self.sequence, sequence)
        return sequence
