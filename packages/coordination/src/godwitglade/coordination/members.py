"""The table of hosts: records, suspicion and damping of flapping hosts."""

import collections
import math

import attrs

from godwitglade.common import clock
from godwitglade.coordination import bodies
from godwitglade.coordination import hosts
from godwitglade.coordination import replicas

STATE_ORDER = {
    bodies.MemberState.LIVE: 0,
    bodies.MemberState.SUSPECT: 1,
    bodies.MemberState.LEAVING: 2,
    bodies.MemberState.GONE: 3,
}

#: A host that returned this often within FLAP_WINDOW_MS is held back.
FLAP_LIMIT = 3
FLAP_WINDOW_MS = clock.MINUTE_MS
FLAP_HOLD_MS = 30 * clock.SECOND_MS

#: Records of hosts that are gone are forgotten after this time.
FORGET_MS = 10 * clock.MINUTE_MS


@attrs.frozen
class Member:
    """A host as seen from here; ``last_heard_ms`` None if never heard."""

    host: hosts.HostId
    address: str
    state: bodies.MemberState
    sequence: int
    last_heard_ms: int | None
    refused: tuple[str, ...] = ()


@attrs.frozen
class _Heard:
    """What one life of a host last said of itself."""

    incarnation: int
    heard_ms: int | None = None
    sequence: int = 0
    refused: tuple[str, ...] = ()


@attrs.frozen
class HostEntry:
    """An entry of the host list or of the settings: where a host may be."""

    name: str
    zone: str
    address: str


class Table:
    """Every host known, this one included."""

    def __init__(self, own: bodies.MemberRecord) -> None:
        self.records = replicas.Replicas(record_version)
        self.own_name = own.host.name
        self._heard: dict[str, _Heard] = {}
        self._gone_ms: dict[str, int] = {}
        self._suspects_ms: dict[str, int] = {}
        self._returns: dict[str, collections.deque] = {}
        self._held_until_ms: dict[str, int] = {}
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
        is_news: bool = True,
    ) -> bool:
        """Take a newer record; tell whether it was newer."""
        name = record.host.name
        held = self.records.get(name)
        if held is None and record.state is bodies.MemberState.GONE:
            return False
        if not self.records.merge(name, record, is_news):
            return False
        self._serving = self._peers = None
        self._note_state(name, held, record, now_ms)
        return True

    def hear(
        self,
        host: hosts.HostId,
        sequence: int,
        now_ms: int,
        refused: tuple[str, ...] | None = None,
    ) -> None:
        """Note what one life of a host said of itself directly.

        A new life starts from what it says: it may hold less than the
        earlier one. Within a life the number never falls.
        """
        held = self._heard.get(host.name)
        if held is None or held.incarnation < host.incarnation:
            held = _Heard(host.incarnation)
        elif held.incarnation > host.incarnation:
            return
        self._heard[host.name] = attrs.evolve(
            held,
            heard_ms=now_ms,
            sequence=max(sequence, held.sequence),
            refused=held.refused if refused is None else refused,
        )

    def set_state(
        self, name: str, state: bodies.MemberState, now_ms: int
    ) -> bool:
        """Set the state of a host in its present life."""
        held = self.records.get(name)
        if held is None:
            return False
        return self.merge(attrs.evolve(held, state=state), now_ms)

    def due_suspects(self, now_ms: int, wait_ms: int) -> tuple[str, ...]:
        """Return the hosts that have been suspect for ``wait_ms``."""
        return tuple(
            name
            for name, since_ms in self._suspects_ms.items()
            if now_ms - since_ms >= wait_ms
        )

    def forget_gone(self, now_ms: int) -> None:
        """Drop records of hosts that have been gone for FORGET_MS."""
        due = [
            name
            for name, since_ms in self._gone_ms.items()
            if now_ms - since_ms >= FORGET_MS
        ]
        for name in due:
            self._forget(name)

    def all(self) -> tuple[Member, ...]:
        """Return every host known, this one included."""
        return tuple(self._member(record) for record in self.records)

    def live(self, zone: str | None, now_ms: int) -> tuple[Member, ...]:
        """Return hosts that are live or only suspected, without flapping."""
        return tuple(
            self._member(record)
            for record in self.serving(now_ms)
            if zone is None or record.host.zone == zone
        )

    def serving(self, now_ms: int) -> tuple[bodies.MemberRecord, ...]:
        """Return the records of `live`; the same tuple until one changes."""
        if self._serving is None or now_ms >= self._serving_until_ms:
            held_ms = [
                until_ms
                for until_ms in self._held_until_ms.values()
                if until_ms > now_ms
            ]
            self._serving_until_ms = min(held_ms, default=math.inf)
            self._serving = tuple(
                record
                for record in self.records
                if is_serving(record)
                if self._held_until_ms.get(record.host.name, 0) <= now_ms
            )
        return self._serving

    def peers(self) -> list[bodies.MemberRecord]:
        """Return the records of the other hosts that may be contacted."""
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
        return [self.records.get(name) for name in self._gone_ms]

    def _member(self, record: bodies.MemberRecord) -> Member:
        unheard = _Heard(record.host.incarnation)
        heard = self._heard.get(record.host.name, unheard)
        return Member(
            record.host,
            record.address,
            record.state,
            heard.sequence,
            heard.heard_ms,
            heard.refused,
        )

    def _note_state(
        self,
        name: str,
        held: bodies.MemberRecord | None,
        record: bodies.MemberRecord,
        now_ms: int,
    ) -> None:
        self._gone_ms.pop(name, None)
        self._suspects_ms.pop(name, None)
        if record.state is bodies.MemberState.SUSPECT:
            self._suspects_ms[name] = now_ms
        if record.state is bodies.MemberState.GONE:
            self._gone_ms[name] = now_ms
        if held is not None and _is_return(held, record):
            self._note_return(name, now_ms)
        heard = self._heard.get(name)
        if heard is not None and heard.incarnation < record.host.incarnation:
            del self._heard[name]

    def _note_return(self, name: str, now_ms: int) -> None:
        returns = self._returns.setdefault(
            name, collections.deque(maxlen=FLAP_LIMIT)
        )
        returns.append(now_ms)
        is_full = len(returns) == FLAP_LIMIT
        if is_full and now_ms - returns[0] <= FLAP_WINDOW_MS:
            self._held_until_ms[name] = now_ms + FLAP_HOLD_MS

    def _forget(self, name: str) -> None:
        self.records.discard(name)
        self._serving = self._peers = None
        for kept in (
            self._heard,
            self._gone_ms,
            self._returns,
            self._held_until_ms,
        ):
            kept.pop(name, None)


def record_version(record: bodies.MemberRecord) -> tuple[int, int, int]:
    """Return what orders records of one host."""
    return (
        record.host.incarnation,
        record.refutation,
        STATE_ORDER[record.state],
    )


def is_serving(record: bodies.MemberRecord) -> bool:
    """Tell whether the host is neither leaving nor gone."""
    return record.state in (
        bodies.MemberState.LIVE,
        bodies.MemberState.SUSPECT,
    )


def _is_return(held: bodies.MemberRecord, record: bodies.MemberRecord) -> bool:
    return is_serving(record) and held.state is bodies.MemberState.GONE
