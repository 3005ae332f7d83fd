"""Failure detection: indirect probes, suspicion and its end.

A host that does not answer an exchange is probed through two others. Only
when none of them reaches it is it suspected, and only when it does not
contradict the suspicion in time is it gone.
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
    """Rates and bounds of the exchange.

    ``far_share`` is the share of exchanges with other zones;
    ``rejoin_every`` ticks one exchange goes to a host that is gone or has
    not been met yet.
    """

    interval_ms: int = clock.SECOND_MS
    timeout_ms: int = clock.SECOND_MS
    far_share: float = 0.25
    rejoin_every: int = 8
    indirect_count: int = 2
    delta_limit: int = 12
    repair_limit: int = 128
    repair_interval_ms: int = 5 * clock.SECOND_MS
    min_suspicion_ms: int = 3 * clock.SECOND_MS
    suspicion_step_ms: int = 1_500
    start_count: int = 3


@attrs.frozen
class _Probe:
    name: str
    incarnation: int
    is_indirect: bool = False


class Detector:
    """Judges the hosts of ``table`` by the answers to probes."""

    def __init__(
        self,
        table: members.Table,
        random: randoms.Random,
        settings: Settings,
    ) -> None:
        self._table = table
        self._random = random
        self._settings = settings
        self._numbers = itertools.count(1)
        self._probes: dict[str, _Probe] = {}
        self._relays: dict[str, str] = {}
        self._accused: collections.deque[str] = collections.deque()

    def expect(self, token: str, name: str, incarnation: int) -> None:
        """Await the reply with ``token`` from a life of host ``name``."""
        self._probes[token] = _Probe(name, incarnation)

    def relay(self, body: bodies.IndirectProbe, reply_token: str) -> Effects:
        """Ping a host for another one."""
        token = f'members:relay:{next(self._numbers)}'
        self._relays[token] = reply_token
        timeout_ms = self._settings.timeout_ms // 2
        return [
            effects.SendPeer(token, body.address, bodies.Ping(), timeout_ms)
        ]

    def settle(self, message: messages.PeerReply, now_ms: int) -> Effects:
        """Judge by the reply to a probe, or pass it on."""
        if message.token in self._relays:
            reply_token = self._relays.pop(message.token)
            is_alive = message.body is not None
            return [effects.ReplyPeer(reply_token, bodies.Pong(is_alive))]
        probe = self._probes.pop(message.token, None)
        if probe is None or isinstance(message.body, bodies.Exchange):
            return []
        if probe.is_indirect:
            self._end_indirect(probe, message.body, now_ms)
            return []
        return self._probe_indirectly(probe, now_ms)

    def next_accused(self) -> bodies.MemberRecord | None:
        """Return a host that this one suspected, to hear its side soon."""
        while self._accused:
            record = self._table.records.get(self._accused.popleft())
            if record and record.state is bodies.MemberState.SUSPECT:
                self._accused.append(record.host.name)
                return record
        return None

    def end_suspicions(self, now_ms: int) -> None:
        """Declare gone the hosts suspected for long enough."""
        step_ms = self._settings.suspicion_step_ms
        host_count = len(self._table.records)
        wait_ms = max(
            self._settings.min_suspicion_ms,
            int(step_ms * math.log2(host_count + 1)),
        )
        for name in self._table.due_suspects(now_ms, wait_ms):
            self._table.set_state(name, bodies.MemberState.GONE, now_ms)

    def _probe_indirectly(self, probe: _Probe, now_ms: int) -> Effects:
        record = self._probed(probe)
        if record is None or record.state is bodies.MemberState.GONE:
            return []
        others = [
            peer
            for peer in self._table.peers()
            if peer.host.name != probe.name
        ]
        count = min(len(others), self._settings.indirect_count)
        if not count:
            self._suspect(probe, now_ms)
        helpers = self._random.sample(others, count)
        return [self._ask_probe(record, helper) for helper in helpers]

    def _ask_probe(
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

    def _end_indirect(
        self, probe: _Probe, body: typing.Any, now_ms: int
    ) -> None:
        """Suspect the host unless a helper reached it or may yet."""
        is_alive = isinstance(body, bodies.Pong) and body.is_alive
        awaited = [
            token for token, other in self._probes.items() if other == probe
        ]
        if is_alive:
            for token in awaited:
                del self._probes[token]
        elif not awaited:
            self._suspect(probe, now_ms)

    def _suspect(self, probe: _Probe, now_ms: int) -> None:
        record = self._probed(probe)
        if record is None:
            return
        state = bodies.MemberState.SUSPECT
        if record.state is bodies.MemberState.LEAVING:
            state = bodies.MemberState.GONE
        if self._table.set_state(probe.name, state, now_ms):
            self._accused.append(probe.name)

    def _probed(self, probe: _Probe) -> bodies.MemberRecord | None:
        """Return the record when the life that was probed still is known."""
        record = self._table.records.get(probe.name)
        if record is None or record.host.incarnation != probe.incarnation:
            return None
        return record
