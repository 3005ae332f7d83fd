"""Table, object store and host list in memory, and effects carried out."""

import functools
import itertools
import typing

from godwitglade.coordination import change_rows
from godwitglade.coordination import changes
from godwitglade.coordination import effects as shared_effects
from godwitglade.coordination import messages as shared_messages
from godwitglade.coordination import rows
from godwitglade.decisions import effects
from godwitglade.decisions import messages
from proof import running
from proof import table as table_module

STORE_LATENCY_MS = 2
CONNECT_REFUSED_MS = 1


class Platform:
    """The platform's services and their faults.

    ``answers_to_lose`` counts writes that take effect without an answer;
    ``is_silent`` keeps every answer back; ``slow_ms`` adds to the latency.
    """

    def __init__(self, world: typing.Any) -> None:
        self.world = world
        self.table = table_module.Table()
        self.objects: dict[str, bytes] = {}
        self.is_down = False
        self.is_silent = False
        self.answers_to_lose = 0
        self.slow_ms = 0
        self.writes = 0

    def load(self, texts: dict[str, str]) -> None:
        """Store documents by the operators' own transactions."""
        part = changes.Changes(self.world.random)
        for name, text in texts.items():
            team = self.world.documents[name].team
            request = change_rows.ChangeRequest(
                name, 0, f'initial-{name}', text, 'operator', team, 0
            )
            wanted = part.submit(name, request, 0)
            while wanted:
                wanted = self._load_step(part, wanted)

    def _load_step(self, part: changes.Changes, wanted: list) -> list:
        found = []
        for effect in wanted:
            if isinstance(effect, shared_effects.ReadRows):
                result = self.table.read(effect.keys)
                read = shared_messages.ReadSettled(effect.token, result)
                found += part.handle(read, 0)
            if isinstance(effect, shared_effects.Transact):
                result = self.table.apply(effect.transaction)
                done = shared_messages.TransactionSettled(effect.token, result)
                found += part.handle(done, 0)
        return found

    def version_of(self, pipeline: str) -> int:
        """Return the stored version of a document."""
        key = change_rows.document_key(pipeline)
        found = self.table.read([key]).rows
        return found[0].value['version'] if found else 0

    def is_reachable(self, host: running.RunningHost) -> bool:
        """Tell whether a connection from the host would succeed."""
        return not self.is_down and not self.world.is_cut(host.zone, None)

    def transact(
        self, host: running.RunningHost, effect: shared_effects.Transact
    ) -> None:
        """Run a transaction with whatever fault is in force."""
        reply = self.world.replier(host)
        token = effect.token

        def settle(delay_ms: int, result: typing.Any) -> None:
            reply(delay_ms, shared_messages.TransactionSettled(token, result))

        def apply() -> None:
            result = self.table.apply(effect.transaction)
            self.writes += 1
            if not is_lost:
                settle(STORE_LATENCY_MS // 2, result)

        if not self.is_reachable(host):
            settle(CONNECT_REFUSED_MS, rows.Unavailable())
            return
        is_lost = self.is_silent or self.answers_to_lose > 0
        self.answers_to_lose = max(0, self.answers_to_lose - 1)
        delay_ms = STORE_LATENCY_MS // 2 + self.slow_ms
        if is_lost or delay_ms >= effect.timeout_ms:
            is_lost = True
            settle(effect.timeout_ms, rows.Unknown())
        self.world.after(delay_ms, apply)

    def read(
        self,
        host: running.RunningHost,
        token: str,
        timeout_ms: int,
        run: typing.Callable[[], rows.Rows],
    ) -> None:
        """Answer a read, or say that the service was not reached."""
        reply = self.world.replier(host)
        unavailable = shared_messages.ReadSettled(token, rows.Unavailable())
        if not self.is_reachable(host):
            reply(CONNECT_REFUSED_MS, unavailable)
        elif self.is_silent or self.slow_ms >= timeout_ms:
            reply(timeout_ms, unavailable)
        else:
            found = shared_messages.ReadSettled(token, run())
            reply(STORE_LATENCY_MS + self.slow_ms, found)


_reply_tokens = itertools.count(1)


@functools.singledispatch
def carry_out(
    effect: typing.Any,
    world: typing.Any,
    host: running.RunningHost,
) -> None:
    """Do what a host's effect asks for; logs and metrics are dropped."""


@carry_out.register
def _(effect: shared_effects.Transact, world, host) -> None:
    world.platform.transact(host, effect)


@carry_out.register
def _(effect: shared_effects.ReadRows, world, host) -> None:
    platform = world.platform
    platform.read(
        host,
        effect.token,
        effect.timeout_ms,
        lambda: platform.table.read(effect.keys),
    )


@carry_out.register
def _(effect: shared_effects.ScanRows, world, host) -> None:
    platform = world.platform
    platform.read(
        host,
        effect.token,
        effect.timeout_ms,
        lambda: platform.table.scan(effect.table, effect.after, effect.limit),
    )


@carry_out.register
def _(effect: shared_effects.ReadObject, world, host) -> None:
    platform = world.platform
    is_up = platform.is_reachable(host) and not platform.is_silent
    content = platform.objects.get(effect.name) if is_up else None
    read = shared_messages.ObjectRead(effect.token, content)
    world.replier(host)(STORE_LATENCY_MS, read)


@carry_out.register
def _(effect: shared_effects.WriteObject, world, host) -> None:
    if world.platform.is_reachable(host):
        world.platform.objects[effect.name] = effect.content


@carry_out.register
def _(effect: shared_effects.StartTimer, world, host) -> None:
    fired = shared_messages.TimerFired(effect.token)
    world.replier(host)(effect.due_ms - world.now_ms, fired)


@carry_out.register
def _(effect: shared_effects.SendPeer, world, host) -> None:
    reply = world.replier(host)
    peer = world.host_at(effect.address)
    nothing = shared_messages.PeerReply(effect.token, None)
    if peer is None or peer.decider is None:
        reply(CONNECT_REFUSED_MS, nothing)
        return
    if world.is_cut(host.zone, peer.zone):
        reply(effect.timeout_ms, nothing)
        return
    token = f'peer:{next(_reply_tokens)}'
    exchange = [reply, effect.token, host.zone]
    world.platform_exchanges[token] = exchange
    world.after(
        effect.timeout_ms,
        lambda: _end_exchange(world, token, None),
    )
    message = running.peer_message(host, effect.body, token)
    latency_ms = world.latency_ms(host.zone, peer.zone)
    world.replier(peer)(latency_ms, message)


@carry_out.register
def _(effect: shared_effects.ReplyPeer, world, host) -> None:
    exchange = world.platform_exchanges.get(effect.reply_token)
    if exchange is None or world.is_cut(host.zone, exchange[2]):
        return
    latency_ms = world.latency_ms(host.zone, exchange[2])
    token, body = effect.reply_token, effect.body
    world.after(latency_ms, lambda: _end_exchange(world, token, body))


def _end_exchange(world, token: str, body: typing.Any) -> None:
    exchange = world.platform_exchanges.pop(token, None)
    if exchange is not None:
        reply, sender_token, _ = exchange
        reply(0, shared_messages.PeerReply(sender_token, body))


@carry_out.register
def _(effect: effects.ReadHostList, world, host) -> None:
    if not world.platform.is_reachable(host):
        return
    entries, listed = world.host_list()
    reply = world.replier(host)
    reply(STORE_LATENCY_MS, messages.EntryHostsListed(entries))
    reply(STORE_LATENCY_MS, messages.TargetsListed(listed))


@carry_out.register
def _(effect: effects.CallTarget, world, host) -> None:
    world.targets[effect.target.name].call(host, effect)


@carry_out.register
def _(effect: effects.CancelCall, world, host) -> None:
    world.targets[effect.target.name].cancel(effect.attempt_id)


@carry_out.register
def _(effect: effects.ProbeTarget, world, host) -> None:
    world.targets[effect.target.name].probe(host, effect)


@carry_out.register
def _(effect: effects.OrderEngine, world, host) -> None:
    world.targets[effect.target.name].order(host, effect)


@carry_out.register
def _(effect: effects.DropConnections, world, host) -> None:
    world.targets[effect.target.name].silent_to.discard(host.name)


@carry_out.register
def _(effect: effects.AnswerCaller, world, host) -> None:
    sent = next(
        r
        for r in world.requests.values()
        if r.message.request_id == effect.request_id
    )
    sent.outcomes.append(effect.outcome)


@carry_out.register
def _(effect: effects.AnswerOperator, world, host) -> None:
    world.changes.setdefault(effect.query_id, []).append(effect.result)


@carry_out.register
def _(effect: effects.Exit, world, host) -> None:
    world.exit_host(host.name)
