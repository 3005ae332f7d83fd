"""In-memory platform services, and execution of the hosts' effects."""

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
from proof import processes
from proof import table as table_module

STORE_LATENCY_MS = 2
CONNECT_REFUSED_MS = 1


class Platform:
    """The platform's services and the faults injected into them.

    ``answers_to_lose`` counts the next writes that apply without a reply;
    ``is_silent`` withholds every reply; ``slow_ms`` adds to the latency.
    """

    def __init__(self, simulation: typing.Any) -> None:
        self.simulation = simulation
        self.table = table_module.Table()
        self.objects: dict[str, bytes] = {}
        self.is_down = False
        self.is_silent = False
        self.answers_to_lose = 0
        self.slow_ms = 0
        self.writes = 0

    def store_documents(self, texts: dict[str, str]) -> None:
        """Store documents with the transactions of an operator's change."""
        component = changes.Changes(self.simulation.random)
        for name, text in texts.items():
            team = self.simulation.documents[name].team
            request = change_rows.ChangeRequest(
                name, 0, f'initial-{name}', text, 'operator', team, 0
            )
            pending_effects = component.submit(name, request, 0)
            while pending_effects:
                pending_effects = self._execute_change_effects(
                    component, pending_effects
                )

    def _execute_change_effects(
        self, component: changes.Changes, pending_effects: list
    ) -> list:
        new_effects = []
        for effect in pending_effects:
            if isinstance(effect, shared_effects.ReadRows):
                result = self.table.read(effect.keys)
                read = shared_messages.ReadSettled(effect.token, result)
                new_effects += component.handle(read, 0)
            if isinstance(effect, shared_effects.Transact):
                result = self.table.apply(effect.transaction)
                done = shared_messages.TransactionSettled(effect.token, result)
                new_effects += component.handle(done, 0)
        return new_effects

    def version_of(self, pipeline: str) -> int:
        """Return the stored version of a document."""
        key = change_rows.document_key(pipeline)
        found = self.table.read([key]).rows
        return found[0].value['version'] if found else 0

    def is_reachable(self, host: processes.HostProcess) -> bool:
        """Tell whether a connection from the host would succeed."""
        return not self.is_down and not self.simulation.is_partitioned(
            host.zone, None
        )

    def transact(
        self, host: processes.HostProcess, effect: shared_effects.Transact
    ) -> None:
        """Run a transaction, subject to the faults injected at present."""
        reply = self.simulation.reply_sender(host)
        token = effect.token

        def send_result(delay_ms: int, result: typing.Any) -> None:
            reply(delay_ms, shared_messages.TransactionSettled(token, result))

        def apply() -> None:
            result = self.table.apply(effect.transaction)
            self.writes += 1
            if not is_lost:
                send_result(STORE_LATENCY_MS // 2, result)

        if not self.is_reachable(host):
            send_result(CONNECT_REFUSED_MS, rows.Unavailable())
            return
        is_lost = self.is_silent or self.answers_to_lose > 0
        self.answers_to_lose = max(0, self.answers_to_lose - 1)
        delay_ms = STORE_LATENCY_MS // 2 + self.slow_ms
        if is_lost or delay_ms >= effect.timeout_ms:
            is_lost = True
            send_result(effect.timeout_ms, rows.Unknown())
        self.simulation.schedule_after(delay_ms, apply)

    def read(
        self,
        host: processes.HostProcess,
        token: str,
        timeout_ms: int,
        run: typing.Callable[[], rows.Rows],
    ) -> None:
        """Reply to a read, or report the service as unavailable."""
        reply = self.simulation.reply_sender(host)
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
def execute_effect(
    effect: typing.Any,
    simulation: typing.Any,
    host: processes.HostProcess,
) -> None:
    """Execute a host's effect; logs and metrics are ignored."""


@execute_effect.register
def _(effect: shared_effects.Transact, simulation, host) -> None:
    simulation.platform.transact(host, effect)


@execute_effect.register
def _(effect: shared_effects.ReadRows, simulation, host) -> None:
    platform = simulation.platform
    platform.read(
        host,
        effect.token,
        effect.timeout_ms,
        lambda: platform.table.read(effect.keys),
    )


@execute_effect.register
def _(effect: shared_effects.ScanRows, simulation, host) -> None:
    platform = simulation.platform
    platform.read(
        host,
        effect.token,
        effect.timeout_ms,
        lambda: platform.table.scan(effect.table, effect.after, effect.limit),
    )


@execute_effect.register
def _(effect: shared_effects.ReadObject, simulation, host) -> None:
    platform = simulation.platform
    is_up = platform.is_reachable(host) and not platform.is_silent
    content = platform.objects.get(effect.name) if is_up else None
    read = shared_messages.ObjectRead(effect.token, content)
    simulation.reply_sender(host)(STORE_LATENCY_MS, read)


@execute_effect.register
def _(effect: shared_effects.WriteObject, simulation, host) -> None:
    if simulation.platform.is_reachable(host):
        simulation.platform.objects[effect.name] = effect.content


@execute_effect.register
def _(effect: shared_effects.StartTimer, simulation, host) -> None:
    fired = shared_messages.TimerFired(effect.token)
    simulation.reply_sender(host)(effect.due_ms - simulation.now_ms, fired)


@execute_effect.register
def _(effect: shared_effects.SendPeer, simulation, host) -> None:
    reply = simulation.reply_sender(host)
    peer = simulation.host_at(effect.address)
    no_reply = shared_messages.PeerReply(effect.token, None)
    if peer is None or peer.decider is None:
        reply(CONNECT_REFUSED_MS, no_reply)
        return
    if simulation.is_partitioned(host.zone, peer.zone):
        reply(effect.timeout_ms, no_reply)
        return
    token = f'peer:{next(_reply_tokens)}'
    exchange = [reply, effect.token, host.zone]
    simulation.peer_exchanges[token] = exchange
    simulation.schedule_after(
        effect.timeout_ms,
        lambda: _end_exchange(simulation, token, None),
    )
    message = processes.peer_message(host, effect.body, token)
    latency_ms = simulation.latency_ms(host.zone, peer.zone)
    simulation.reply_sender(peer)(latency_ms, message)


@execute_effect.register
def _(effect: shared_effects.ReplyPeer, simulation, host) -> None:
    exchange = simulation.peer_exchanges.get(effect.reply_token)
    if exchange is None or simulation.is_partitioned(host.zone, exchange[2]):
        return
    latency_ms = simulation.latency_ms(host.zone, exchange[2])
    token, body = effect.reply_token, effect.body
    simulation.schedule_after(
        latency_ms, lambda: _end_exchange(simulation, token, body)
    )


def _end_exchange(simulation, token: str, body: typing.Any) -> None:
    exchange = simulation.peer_exchanges.pop(token, None)
    if exchange is not None:
        reply, sender_token, _ = exchange
        reply(0, shared_messages.PeerReply(sender_token, body))


@execute_effect.register
def _(effect: effects.ReadHostList, simulation, host) -> None:
    if not simulation.platform.is_reachable(host):
        return
    entries, targets = simulation.host_list()
    reply = simulation.reply_sender(host)
    reply(STORE_LATENCY_MS, messages.EntryHostsListed(entries))
    reply(STORE_LATENCY_MS, messages.TargetsListed(targets))


@execute_effect.register
def _(effect: effects.CallTarget, simulation, host) -> None:
    simulation.targets[effect.target.name].call(host, effect)


@execute_effect.register
def _(effect: effects.CancelCall, simulation, host) -> None:
    simulation.targets[effect.target.name].cancel(effect.attempt_id)


@execute_effect.register
def _(effect: effects.ProbeTarget, simulation, host) -> None:
    simulation.targets[effect.target.name].probe(host, effect)


@execute_effect.register
def _(effect: effects.OrderEngine, simulation, host) -> None:
    simulation.targets[effect.target.name].order(host, effect)


@execute_effect.register
def _(effect: effects.DropConnections, simulation, host) -> None:
    simulation.targets[effect.target.name].silent_to.discard(host.name)


@execute_effect.register
def _(effect: effects.AnswerCaller, simulation, host) -> None:
    sent = next(
        r
        for r in simulation.requests.values()
        if r.message.request_id == effect.request_id
    )
    sent.outcomes.append(effect.outcome)


@execute_effect.register
def _(effect: effects.AnswerOperator, simulation, host) -> None:
    simulation.changes.setdefault(effect.query_id, []).append(effect.result)


@execute_effect.register
def _(effect: effects.Exit, simulation, host) -> None:
    simulation.exit_host(host.name)
