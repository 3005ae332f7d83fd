"""Claims of several hosts on one table, stepped by the caller.

A transaction that a host sends stays pending until the caller applies,
delays or refuses it. Used by the tests of claims and to replay model traces.
"""

import collections
import random

import attrs

from godwitglade.coordination import claim_rows
from godwitglade.coordination import claims
from godwitglade.coordination import effects
from godwitglade.coordination import hosts
from godwitglade.coordination import messages
from godwitglade.coordination import rows
from proof import table as table_module

KEY = 'workspace/pipeline/key/stage'
DIGEST = 'digest'
SEND_BY_MS = 5_000
OUTCOME = {'outcome': 'answered'}


@attrs.define
class HostState:
    """One host's claims, its pending writes and its delivered messages."""

    claims: claims.Claims
    writes: collections.deque = attrs.Factory(collections.deque)
    lingering: list = attrs.Factory(list)
    timers: list = attrs.Factory(list)
    verdicts: list = attrs.Factory(list)
    lookups: list = attrs.Factory(list)
    nonce: str = ''
    sent: list = attrs.Factory(list)
    is_down: bool = False
    paused_ms: int = 0

    @property
    def verdict(self) -> str:
        """Return the name of the last verdict; empty if there is none."""
        if not self.verdicts:
            return ''
        return type(self.verdicts[-1].verdict).__name__


class ClaimSimulation:
    """Hosts ``0`` to ``count - 1`` with one table and one clock."""

    def __init__(self, count: int = 2, seed: int = 1) -> None:
        self.now_ms = 0
        self.table = table_module.Table()
        self.objects: dict[str, bytes] = {}
        self.hosts = [self._new_host(index, seed) for index in range(count)]

    def claim(
        self,
        host: int,
        key: str = KEY,
        digest: str = DIGEST,
        for_ms: int = SEND_BY_MS,
    ) -> None:
        """Start a claim with a nonce that contains the host."""
        state = self.hosts[host]
        state.nonce = f'{host}:{len(state.verdicts)}:{self.now_ms}:{key}'
        now_ms = self.local_ms(host)
        send_by_ms = now_ms + for_ms
        self._execute_effects(
            host,
            state.claims.claim(key, digest, send_by_ms, now_ms, state.nonce),
        )

    def answer_write(self, host: int) -> None:
        """Apply the oldest pending write and report its result."""
        pending = self.hosts[host].writes.popleft()
        self._report_result(
            host, pending, self.table.apply(pending.transaction)
        )

    def answer_writes(self) -> None:
        """Apply pending writes and report their results until none is left."""
        while any(state.writes for state in self.hosts):
            for host, state in enumerate(self.hosts):
                if state.writes:
                    self.answer_write(host)

    def lose_answer(self, host: int) -> None:
        """Apply the oldest pending write; its result is lost."""
        pending = self.hosts[host].writes.popleft()
        self.table.apply(pending.transaction)
        self._report_result(host, pending, rows.Unknown())

    def delay_write(self, host: int) -> None:
        """Report no result; `apply_delayed_write` applies the write later."""
        pending = self.hosts[host].writes.popleft()
        self.hosts[host].lingering.append(pending)
        self._report_result(host, pending, rows.Unknown())

    def apply_delayed_write(self, host: int) -> None:
        """Apply the oldest delayed write, after its time-out."""
        pending = self.hosts[host].lingering.pop(0)
        self.table.apply(pending.transaction)

    def refuse_write(self, host: int) -> None:
        """Report to the host that the table is unavailable."""
        pending = self.hosts[host].writes.popleft()
        self._report_result(host, pending, rows.Unavailable())

    def send(self, host: int, key: str = KEY) -> bool:
        """Send the call if the host may now; tell whether it did."""
        state = self.hosts[host]
        may_send = state.claims.may_send(key, state.nonce, self.local_ms(host))
        if may_send:
            state.sent.append(key)
        return may_send

    def settle(self, host: int, outcome: dict | None = None) -> None:
        """Record the outcome of the host's claim."""
        state = self.hosts[host]
        settle_effects = state.claims.settle(
            KEY, state.nonce, outcome or OUTCOME, self.local_ms(host)
        )
        self._execute_effects(host, settle_effects)

    def release(self, host: int) -> None:
        """Release the host's claim, whose call was not sent."""
        state = self.hosts[host]
        release_effects = state.claims.release(
            KEY, state.nonce, 'x', self.local_ms(host)
        )
        self._execute_effects(host, release_effects)

    def look_up(self, host: int) -> str:
        """Return the state of the key that a query of the host reports."""
        state = self.hosts[host]
        self._execute_effects(
            host, state.claims.look_up(KEY, 'q', self.local_ms(host))
        )
        return state.lookups[-1].state

    def crash(self, host: int) -> None:
        """End the host's process; its pending writes may still apply."""
        state = self.hosts[host]
        state.is_down = True
        state.lingering += state.writes
        state.writes.clear()
        state.timers.clear()

    def advance(self, by_ms: int) -> None:
        """Advance the clock and fire due timers in order."""
        end_ms = self.now_ms + by_ms
        while True:
            due = [
                (timer.due_ms, host, timer)
                for host, state in enumerate(self.hosts)
                for timer in state.timers
                if timer.due_ms <= end_ms
            ]
            if not due:
                break
            due_ms, host, timer = min(due, key=lambda entry: entry[:2])
            self.now_ms = max(self.now_ms, due_ms)
            self.hosts[host].timers.remove(timer)
            self._handle(host, messages.TimerFired(timer.token))
        self.now_ms = end_ms

    def pause(self, host: int, by_ms: int) -> None:
        """Advance the host's clock without firing its timers."""
        self.hosts[host].paused_ms += by_ms

    def local_ms(self, host: int) -> int:
        """Return the time of the host's clock."""
        return self.now_ms + self.hosts[host].paused_ms

    def fire(self, host: int, is_deadline: bool) -> None:
        """Fire the host's deadline timer, or otherwise its retry timer."""
        timers = self.hosts[host].timers
        timer = next(
            t for t in timers if (t.due_ms == SEND_BY_MS) is is_deadline
        )
        timers.remove(timer)
        self._handle(host, messages.TimerFired(timer.token))

    def row(self) -> claim_rows.ClaimRow | None:
        """Return the content of the key's row."""
        found = self.table.rows_by_key.get(claim_rows.row_key(KEY))
        return claim_rows.parse(found) if found else None

    @property
    def sent_count(self) -> int:
        """Return how often all hosts together sent the call."""
        return sum(len(state.sent) for state in self.hosts)

    def _new_host(self, index: int, seed: int) -> HostState:
        owner = hosts.HostId(f'host-{index}', 'zone-a', 1)
        source = random.Random(seed * 100 + index)
        return HostState(claims.Claims(owner, source, address=str(index)))

    def _report_result(self, host: int, pending, result) -> None:
        settled = messages.TransactionSettled(pending.token, result)
        self._handle(host, settled)

    def _handle(self, host: int, message) -> None:
        state = self.hosts[host]
        if not state.is_down:
            self._execute_effects(
                host, state.claims.handle(message, self.local_ms(host))
            )

    def _execute_effects(self, host: int, new_effects: list) -> None:
        for effect in new_effects:
            self._execute_effect(host, effect)

    def _execute_effect(self, host: int, effect) -> None:
        state = self.hosts[host]
        match effect:
            case effects.Transact():
                state.writes.append(effect)
            case effects.StartTimer():
                state.timers.append(effect)
            case effects.Deliver(message=claims.ClaimSettled() as verdict):
                state.verdicts.append(verdict)
            case effects.Deliver(message=lookup):
                state.lookups.append(lookup)
            case effects.ReadRows(token=token, keys=keys):
                read = self.table.read(keys)
                self._handle(host, messages.ReadSettled(token, read))
            case effects.ScanRows(token=token):
                read = self.table.scan(
                    effect.table, effect.after, effect.limit
                )
                self._handle(host, messages.ReadSettled(token, read))
            case effects.WriteObject(name=name, content=content):
                self.objects[name] = content
            case effects.ReadObject(token=token, name=name):
                read = self.objects.get(name)
                self._handle(host, messages.ObjectRead(token, read))
            case effects.SendPeer(token=token, address=address, body=body):
                self._query_peer(host, int(address), token, body)

    def _query_peer(self, host: int, peer: int, token: str, body) -> None:
        replies = []
        state = self.hosts[peer]
        if not state.is_down:
            sender = hosts.HostId(f'host-{host}', 'zone-a', 1)
            query = messages.PeerMessage(sender, body, 'r')
            new_effects = state.claims.handle(query, self.local_ms(peer))
            replies = [
                e for e in new_effects if isinstance(e, effects.ReplyPeer)
            ]
            self._execute_effects(peer, new_effects)
        reply = replies[0].body if replies else None
        self._handle(host, messages.PeerReply(token, reply))
