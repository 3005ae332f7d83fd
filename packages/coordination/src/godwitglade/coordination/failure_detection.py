"""Failure detection by indirect probes and suspicion.

A host that does not reply to an exchange is probed through two others. It
becomes suspect only if none of them reaches it, and gone only if it does not
refute the suspicion in time.
"""

import collections
import itertools
import math
import random as randoms
import typing

import attrs

from godwitglade.common import clock
from godwitglade.coordination import bodies
from godwitglade.coordination import effects
from godwitglade.coordination import members
from godwitglade.coordination import messages

Effects = list[typing.Any]


@attrs.frozen
class Settings:
    """Rates and limits of the exchanges of member records between hosts.

    ``cross_zone_share`` is the share of exchanges with other zones. Every
    ``rejoin_interval_ticks`` one exchange goes to a host that is gone or was
    listed but not contacted yet. ``announce_count`` hosts are contacted at
    once when this host starts or leaves. ``delta_limit`` bounds the changed
    records in an exchange, ``repair_limit`` those in the reply to a full
    comparison. A suspicion lasts ``suspicion_step_ms`` for each doubling of
    the number of hosts, but at least ``min_suspicion_ms``.
    """

    interval_ms: int = clock.SECOND_MS
    timeout_ms: int = clock.SECOND_MS
    cross_zone_share: float = 0.25
    rejoin_interval_ticks: int = 8
    indirect_probe_count: int = 2
    delta_limit: int = 12
    repair_limit: int = 128
    repair_interval_ms: int = 5 * clock.SECOND_MS
    min_suspicion_ms: int = 3 * clock.SECOND_MS
    suspicion_step_ms: int = 1_500
    announce_count: int = 3


@attrs.frozen
class _Probe:
    name: str
    incarnation: int
    is_indirect: bool = False


class FailureDetector:
    """Sets the state of the hosts in ``table`` by the replies to probes."""

    def __init__(
        self,
        table: members.MemberTable,
        random: randoms.Random,
        settings: Settings,
    ) -> None:
        self._table = table
        self._random = random
        self._settings = settings
        self._numbers = itertools.count(1)
        self._probes: dict[str, _Probe] = {}
        self._relays: dict[str, str] = {}
        self._suspects: collections.deque[str] = collections.deque()

    def track_probe(self, token: str, name: str, incarnation: int) -> None:
        """Expect the reply ``token`` from an incarnation of host ``name``."""
        self._probes[token] = _Probe(name, incarnation)

    def relay_probe(
        self, body: bodies.IndirectProbe, reply_token: str
    ) -> Effects:
        """Ping a host on behalf of another one."""
        token = f'members:relay:{next(self._numbers)}'
        self._relays[token] = reply_token
        timeout_ms = self._settings.timeout_ms // 2
        return [
            effects.SendPeer(token, body.address, bodies.Ping(), timeout_ms)
        ]

    def handle_reply(
        self, message: messages.PeerReply, now_ms: int
    ) -> Effects:
        """Evaluate the reply to a probe, or return it to the requester."""
        if message.token in self._relays:
            reply_token = self._relays.pop(message.token)
            is_alive = message.body is not None
            return [effects.ReplyPeer(reply_token, bodies.Pong(is_alive))]
        probe = self._probes.pop(message.token, None)
        if probe is None or isinstance(message.body, bodies.Exchange):
            return []
        if probe.is_indirect:
            self._handle_indirect_reply(probe, message.body, now_ms)
            return []
        return self._probe_indirectly(probe, now_ms)

    def next_suspect(self) -> bodies.MemberRecord | None:
        """Return a host suspected by this one, so that it can refute soon."""
        while self._suspects:
            record = self._table.records.get(self._suspects.popleft())
            if record and record.state is bodies.MemberState.SUSPECT:
                self._suspects.append(record.host.name)
                return record
        return None

    def expire_suspicions(self, now_ms: int) -> None:
        """Mark hosts as gone whose suspicion has timed out."""
        step_ms = self._settings.suspicion_step_ms
        host_count = len(self._table.records)
        wait_ms = max(
            self._settings.min_suspicion_ms,
            int(step_ms * math.log2(host_count + 1)),
        )
        for name in self._table.expired_suspects(now_ms, wait_ms):
            self._table.set_state(name, bodies.MemberState.GONE, now_ms)

    def _probe_indirectly(self, probe: _Probe, now_ms: int) -> Effects:
        record = self._current_record(probe)
        if record is None or record.state is bodies.MemberState.GONE:
            return []
        others = [
            peer
            for peer in self._table.peers()
            if peer.host.name != probe.name
        ]
        count = min(len(others), self._settings.indirect_probe_count)
        if not count:
            self._suspect(probe, now_ms)
        helpers = self._random.sample(others, count)
        return [self._request_probe(record, helper) for helper in helpers]

    def _request_probe(
        self, record: bodies.MemberRecord, helper: bodies.MemberRecord
    ) -> effects.SendPeer:
        token = f'members:indirect:{next(self._numbers)}'
        self._probes[token] = _Probe(
            record.host.name, record.host.incarnation, is_indirect=True
        )
        body = bodies.IndirectProbe(record.address)
        return effects.SendPeer(
            token, helper.address, body, self._settings.timeout_ms
        )

    def _handle_indirect_reply(
        self, probe: _Probe, body: typing.Any, now_ms: int
    ) -> None:
        """Suspect the host if no helper reached it and none is pending."""
        is_alive = isinstance(body, bodies.Pong) and body.is_alive
        pending_tokens = [
            token for token, other in self._probes.items() if other == probe
        ]
        if is_alive:
            for token in pending_tokens:
                del self._probes[token]
        elif not pending_tokens:
            self._suspect(probe, now_ms)

    def _suspect(self, probe: _Probe, now_ms: int) -> None:
        record = self._current_record(probe)
        if record is None:
            return
        state = bodies.MemberState.SUSPECT
        if record.state is bodies.MemberState.LEAVING:
            state = bodies.MemberState.GONE
        if self._table.set_state(probe.name, state, now_ms):
            self._suspects.append(probe.name)

    def _current_record(self, probe: _Probe) -> bodies.MemberRecord | None:
        """Return the record of the host unless its incarnation has changed."""
        record = self._table.records.get(probe.name)
        if record is None or record.host.incarnation != probe.incarnation:
            return None
        return record
