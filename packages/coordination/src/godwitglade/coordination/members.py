"""Table of the hosts with their states and damping of flapping hosts."""

import collections
import math

import attrs

from godwitglade.common import clock
from godwitglade.coordination import bodies
from godwitglade.coordination import hosts
from godwitglade.coordination import replicated_map

STATE_ORDER = {
    bodies.MemberState.LIVE: 0,
    bodies.MemberState.SUSPECT: 1,
    bodies.MemberState.LEAVING: 2,
    bodies.MemberState.GONE: 3,
}

#: A host that returns this often within FLAP_WINDOW_MS is damped.
FLAP_LIMIT = 3
FLAP_WINDOW_MS = clock.MINUTE_MS
FLAP_DAMPING_MS = 30 * clock.SECOND_MS

#: Records of hosts that are gone are removed after this time.
GONE_RETENTION_MS = 10 * clock.MINUTE_MS


@attrs.frozen
class Member:
    """A host as this one sees it.

    ``last_contact_ms`` is the time of the last message from the host itself,
    None if there was none.
    """

    host: hosts.HostId
    address: str
    state: bodies.MemberState
    sequence: int
    last_contact_ms: int | None
    refused: tuple[str, ...] = ()


@attrs.frozen
class _HostReport:
    """The last report of one incarnation of a host about itself."""

    incarnation: int
    received_ms: int | None = None
    sequence: int = 0
    refused: tuple[str, ...] = ()


@attrs.frozen
class HostEntry:
    """Name, zone and address of a host in the host list or the settings.

    ``jobs_per_s`` is how many jobs the host can batch for the others; 0 is
    unknown. ``hand_over_address`` takes requests that another host read, and
    is empty if the host takes none.
    """

    name: str
    zone: str
    address: str
    jobs_per_s: float = 0.0
    hand_over_address: str = ''


class MemberTable:
    """All hosts known to this one, including itself."""

    def __init__(self, own: bodies.MemberRecord) -> None:
        self.records = replicated_map.ReplicatedMap(record_version)
        self.own_name = own.host.name
        self._reports: dict[str, _HostReport] = {}
        self._gone_since_ms: dict[str, int] = {}
        self._suspected_since_ms: dict[str, int] = {}
        self._returns: dict[str, collections.deque] = {}
        self._damped_until_ms: dict[str, int] = {}
        self._serving: tuple[bodies.MemberRecord, ...] | None = None
        self._serving_until_ms = math.inf
        self._peers: list[bodies.MemberRecord] | None = None
        self.records.merge(own.host.name, own)

    @property
    def own(self) -> bodies.MemberRecord:
        """Return the record of this host."""
        return self.records.get(self.own_name)

    def merge(
        self,
        record: bodies.MemberRecord,
        now_ms: int,
        is_forwarded: bool = True,
    ) -> bool:
        """Store ``record`` if it is newer; return whether it was."""
        name = record.host.name
        current = self.records.get(name)
        if current is None and record.state is bodies.MemberState.GONE:
            return False
        if not self.records.merge(name, record, is_forwarded):
            return False
        self._serving = self._peers = None
        self._record_state(name, current, record, now_ms)
        return True

    def record_report(
        self,
        host: hosts.HostId,
        sequence: int,
        now_ms: int,
        refused: tuple[str, ...] | None = None,
    ) -> None:
        """Record what one incarnation of a host reported of itself directly.

        A new incarnation may report a lower sequence than the previous one.
        Within one incarnation the sequence never decreases.
        """
        current = self._reports.get(host.name)
        if current is None or current.incarnation < host.incarnation:
            current = _HostReport(host.incarnation)
        elif current.incarnation > host.incarnation:
            return
        self._reports[host.name] = attrs.evolve(
            current,
            received_ms=now_ms,
            sequence=max(sequence, current.sequence),
            refused=current.refused if refused is None else refused,
        )

    def set_state(
        self, name: str, state: bodies.MemberState, now_ms: int
    ) -> bool:
        """Set the state of the current incarnation of a host."""
        current = self.records.get(name)
        if current is None:
            return False
        return self.merge(attrs.evolve(current, state=state), now_ms)

    def expired_suspects(self, now_ms: int, wait_ms: int) -> tuple[str, ...]:
        """Return the hosts that have been suspect for ``wait_ms``."""
        return tuple(
            name
            for name, since_ms in self._suspected_since_ms.items()
            if now_ms - since_ms >= wait_ms
        )

    def purge_gone(self, now_ms: int) -> None:
        """Remove hosts that have been gone for GONE_RETENTION_MS."""
        expired = [
            name
            for name, since_ms in self._gone_since_ms.items()
            if now_ms - since_ms >= GONE_RETENTION_MS
        ]
        for name in expired:
            self._remove(name)

    def all(self) -> tuple[Member, ...]:
        """Return every known host, including this one."""
        return tuple(self._member(record) for record in self.records)

    def live(self, zone: str | None, now_ms: int) -> tuple[Member, ...]:
        """Return the hosts that are live or suspect and not damped."""
        return tuple(
            self._member(record)
            for record in self.serving(now_ms)
            if zone is None or record.host.zone == zone
        )

    def serving(self, now_ms: int) -> tuple[bodies.MemberRecord, ...]:
        """Return the records of `live`; the tuple is cached until a change."""
        if self._serving is None or now_ms >= self._serving_until_ms:
            damping_ends_ms = [
                until_ms
                for until_ms in self._damped_until_ms.values()
                if until_ms > now_ms
            ]
            self._serving_until_ms = min(damping_ends_ms, default=math.inf)
            self._serving = tuple(
                record
                for record in self.records
                if is_serving(record)
                if self._damped_until_ms.get(record.host.name, 0) <= now_ms
            )
        return self._serving

    def peers(self) -> list[bodies.MemberRecord]:
        """Return the records of the other hosts that are not gone."""
        if self._peers is None:
            self._peers = [
                record
                for record in self.records
                if record.host.name != self.own_name
                if record.state is not bodies.MemberState.GONE
            ]
        return self._peers

    def gone(self) -> list[bodies.MemberRecord]:
        """Return the records of the hosts that are gone."""
        return [self.records.get(name) for name in self._gone_since_ms]

    def _member(self, record: bodies.MemberRecord) -> Member:
        empty_report = _HostReport(record.host.incarnation)
        report = self._reports.get(record.host.name, empty_report)
        return Member(
            record.host,
            record.address,
            record.state,
            report.sequence,
            report.received_ms,
            report.refused,
        )

    def _record_state(
        self,
        name: str,
        current: bodies.MemberRecord | None,
        record: bodies.MemberRecord,
        now_ms: int,
    ) -> None:
        self._gone_since_ms.pop(name, None)
        self._suspected_since_ms.pop(name, None)
        if record.state is bodies.MemberState.SUSPECT:
            self._suspected_since_ms[name] = now_ms
        if record.state is bodies.MemberState.GONE:
            self._gone_since_ms[name] = now_ms
        if current is not None and _is_return(current, record):
            self._record_return(name, now_ms)
        report = self._reports.get(name)
        if report is not None and report.incarnation < record.host.incarnation:
            del self._reports[name]

    def _record_return(self, name: str, now_ms: int) -> None:
        returns = self._returns.setdefault(
            name, collections.deque(maxlen=FLAP_LIMIT)
        )
        returns.append(now_ms)
        is_full = len(returns) == FLAP_LIMIT
        if is_full and now_ms - returns[0] <= FLAP_WINDOW_MS:
            self._damped_until_ms[name] = now_ms + FLAP_DAMPING_MS

    def _remove(self, name: str) -> None:
        self.records.discard(name)
        self._serving = self._peers = None
        for mapping in (
            self._reports,
            self._gone_since_ms,
            self._returns,
            self._damped_until_ms,
        ):
            mapping.pop(name, None)


def record_version(record: bodies.MemberRecord) -> tuple[int, int, int]:
    """Return a value that orders the records of one host."""
    return (
        record.host.incarnation,
        record.refutation,
        STATE_ORDER[record.state],
    )


def is_serving(record: bodies.MemberRecord) -> bool:
    """Return whether the host is neither leaving nor gone."""
    return record.state in (
        bodies.MemberState.LIVE,
        bodies.MemberState.SUSPECT,
    )


def _is_return(
    current: bodies.MemberRecord, record: bodies.MemberRecord
) -> bool:
    return is_serving(record) and current.state is bodies.MemberState.GONE
