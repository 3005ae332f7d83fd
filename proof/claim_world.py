"""Several hosts' claims before one table, each step taken by hand.

A transaction that a host sends stays pending until the test decides what
becomes of it. Used by the tests of claims and to replay model traces.
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
    """One host's claims, its pending writes and what it has delivered."""

    claims: claims.Claims
    writes: collections.deque = attrs.Factory(collections.deque)
    lingering: list = attrs.Factory(list)
    timers: list = attrs.Factory(list)
    verdicts: list = attrs.Factory(list)
    looked: list = attrs.Factory(list)
    nonce: str = ''
    sent: list = attrs.Factory(list)
    is_down: bool = False
    paused_ms: int = 0

    @property
    def verdict(self) -> str:
        """Return the name of the last verdict, empty before it."""
        if not self.verdicts:
            return ''
        return type(self.verdicts[-1].verdict).__name__


class ClaimWorld:
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
        """Begin a claim with a nonce named after the host."""
        state = self.hosts[host]
        state.nonce = f'{host}:{len(state.verdicts)}:{self.now_ms}:{key}'
        now_ms = self.local_ms(host)
        send_by_ms = now_ms + for_ms
        self._carry_out(
            host,
            state.claims.claim(key, digest, send_by_ms, now_ms, state.nonce),
        )

    def answer_write(self, host: int) -> None:
        """Apply the oldest pending write and answer it."""
        pending = self.hosts[host].writes.popleft()
        self._settle(host, pending, self.table.apply(pending.transaction))

    def answer_writes(self) -> None:
        """Apply and answer pending writes until none is left."""
        while any(state.writes for state in self.hosts):
            for host, state in enumerate(self.hosts):
                if state.writes:
                    self.answer_write(host)

    def lose_answer(self, host: int) -> None:
        """Apply the oldest pending write; its answer is lost."""
        pending = self.hosts[host].writes.popleft()
        self.table.apply(pending.transaction)
        self._settle(host, pending, rows.Unknown())

    def delay_write(self, host: int) -> None:
        """Answer nothing; the write lingers until `land`."""
        pending = self.hosts[host].writes.popleft()
        self.hosts[host].lingering.append(pending)
        self._settle(host, pending, rows.Unknown())

    def land(self, host: int) -> None:
        """Apply the oldest lingering write, long after its time-out."""
        pending = self.hosts[host].lingering.pop(0)
        self.table.apply(pending.transaction)

    def refuse_write(self, host: int) -> None:
        """Answer that the table was not reached."""
        pending = self.hosts[host].writes.popleft()
        self._settle(host, pending, rows.Unavailable())

    def send(self, host: int, key: str = KEY) -> bool:
        """Send the call if the host may right now; tell whether it did."""
        state = self.hosts[host]
        may = state.claims.may_send(key, state.nonce, self.local_ms(host))
        if may:
            state.sent.append(key)
        return may

    def settle(self, host: int, outcome: dict | None = None) -> None:
        """Record the outcome of the host's claim."""
        state = self.hosts[host]
        recorded = state.claims.settle(
            KEY, state.nonce, outcome or OUTCOME, self.local_ms(host)
        )
        self._carry_out(host, recorded)

    def release(self, host: int) -> None:
        """Free the host's claim, whose call was not sent."""
        state = self.hosts[host]
        freed = state.claims.release(
            KEY, state.nonce, 'x', self.local_ms(host)
        )
        self._carry_out(host, freed)

    def look(self, host: int) -> str:
        """Return the state that the host finds the key in."""
        state = self.hosts[host]
        self._carry_out(host, state.claims.look(KEY, 'q', self.local_ms(host)))
        return state.looked[-1].state

    def crash(self, host: int) -> None:
        """End the host's process; what it sent may still land."""
        state = self.hosts[host]
        state.is_down = True
        state.lingering += state.writes
        state.writes.clear()
        state.timers.clear()

    def advance(self, by_ms: int) -> None:
        """Move the clock and fire due timers in order."""
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
        """Move the host's clock without letting its timers fire."""
        self.hosts[host].paused_ms += by_ms

    def local_ms(self, host: int) -> int:
        """Return the time of the host's clock."""
        return self.now_ms + self.hosts[host].paused_ms

    def fire(self, host: int, is_deadline: bool) -> None:
        """Fire the host's deadline timer, or else its other timer."""
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
        """Return how often the call was sent, by all hosts."""
        return sum(len(state.sent) for state in self.hosts)

    def _new_host(self, index: int, seed: int) -> HostState:
        owner = hosts.HostId(f'host-{index}', 'zone-a', 1)
        source = random.Random(seed * 100 + index)
        return HostState(claims.Claims(owner, source, address=str(index)))

    def _settle(self, host: int, pending, result) -> None:
        settled = messages.TransactionSettled(pending.token, result)
        self._handle(host, settled)

    def _handle(self, host: int, message) -> None:
        state = self.hosts[host]
        if not state.is_down:
            self._carry_out(
                host, state.claims.handle(message, self.local_ms(host))
            )

    def _carry_out(self, host: int, wanted: list) -> None:
        for effect in wanted:
            self._carry_out_one(host, effect)

    def _carry_out_one(self, host: int, effect) -> None:
        state = self.hosts[host]
        match effect:
            case effects.Transact():
                state.writes.append(effect)
            case effects.StartTimer():
                state.timers.append(effect)
            case effects.Deliver(message=claims.ClaimSettled() as verdict):
                state.verdicts.append(verdict)
            case effects.Deliver(message=looked):
                state.looked.append(looked)
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
                self._ask(host, int(address), token, body)

    def _ask(self, host: int, peer: int, token: str, body) -> None:
        answers = []
        state = self.hosts[peer]
        if not state.is_down:
            sender = hosts.HostId(f'host-{host}', 'zone-a', 1)
            question = messages.PeerMessage(sender, body, 'r')
            wanted = state.claims.handle(question, self.local_ms(peer))
            answers = [e for e in wanted if isinstance(e, effects.ReplyPeer)]
            self._carry_out(peer, wanted)
        answer = answers[0].body if answers else None
        self._handle(host, messages.PeerReply(token, answer))
