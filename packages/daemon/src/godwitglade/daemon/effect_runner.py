"""Carries out the effects of decisions on the daemon's thread pools."""

import functools
import typing

import attrs
import statsd

from godwitglade.callers import exchanges
from godwitglade.coordination import effects as shared_effects
from godwitglade.coordination import members
from godwitglade.daemon import shared_effect_runner
from godwitglade.daemon import thread_pools
from godwitglade.decisions import effects
from godwitglade.decisions import messages
from godwitglade.peers import client as peer_client
from godwitglade.peers import replies
from godwitglade.platform import host_list
from godwitglade.platform import objects
from godwitglade.platform import table
from godwitglade.targets import target_client

#: Threads for each kind of remote service, whose calls may block.
STORE_THREADS = 8
PEER_THREADS = 8
PROBE_THREADS = 4


@attrs.frozen
class Clients:
    """The blocking clients that carry out effects."""

    targets: target_client.TargetClient
    table: table.TableClient
    objects: objects.ObjectClient
    host_list: host_list.HostListClient
    peers: peer_client.Client


class EffectRunner(shared_effect_runner.SharedEffectRunner):
    """Carries out each effect on a thread pool or by a direct call.

    ``stop_loop`` stops the loop; it is set once the loop exists.
    """

    def __init__(
        self,
        clients: Clients,
        exchanges_: exchanges.Exchanges,
        peer_replies: replies.PendingReplies,
        logger: typing.Any,
        metrics: statsd.StatsClient | None,
        max_calls: int,
        report: thread_pools.ReportException,
    ) -> None:
        super().__init__(
            clients.peers, peer_replies, PEER_THREADS, logger, report
        )
        self._clients = clients
        self._exchanges = exchanges_
        self._metrics = metrics
        self._call_threads = thread_pools.ThreadPool('call', max_calls, report)
        self._store_threads = thread_pools.ThreadPool(
            'store', STORE_THREADS, report
        )
        self._probe_threads = thread_pools.ThreadPool(
            'probe', PROBE_THREADS, report
        )
        self.stop_loop: typing.Callable[[], None] = (
            shared_effect_runner.raise_unbound
        )

    def stop(self) -> None:
        """Cancel queued work without waiting for running work."""
        for threads in (
            self._call_threads,
            self._store_threads,
            self._peer_threads,
            self._probe_threads,
        ):
            threads.stop()

    @functools.singledispatchmethod
    def carry_out(self, effect: typing.Any) -> None:
        """Carry out one effect without blocking the loop."""
        self.carry_out_shared(effect)

    def _read_host_list(self, query: effects.ReadHostList) -> None:
        host_list_read = self._clients.host_list.read(query)
        if not isinstance(host_list_read, host_list.HostList):
            return
        entries = tuple(
            members.HostEntry(entry.name, entry.zone, entry.address)
            for entry in host_list_read.entry_hosts
        )
        self.post(
            messages.HostListRead(query, host_list_read.targets, entries)
        )

    @carry_out.register
    def _(self, effect: effects.CallTarget) -> None:
        self._call_threads.submit(
            self._clients.targets.call, effect, self.post
        )

    @carry_out.register
    def _(self, effect: effects.CancelCall) -> None:
        self._probe_threads.submit(self._clients.targets.cancel, effect)

    @carry_out.register
    def _(self, effect: effects.ProbeTarget) -> None:
        self._probe_threads.submit(
            self._clients.targets.probe, effect, self.post
        )

    @carry_out.register
    def _(self, effect: effects.DropConnections) -> None:
        self._clients.targets.drop_connections(effect)

    @carry_out.register
    def _(self, effect: effects.OrderEngine) -> None:
        self._probe_threads.submit(
            self._post_result, self._clients.targets.order, effect
        )

    @carry_out.register
    def _(self, effect: effects.AnswerCaller) -> None:
        self._exchanges.deliver(effect.request_id, effect)

    @carry_out.register
    def _(self, effect: effects.SendPiece) -> None:
        self._exchanges.deliver(effect.request_id, effect)

    @carry_out.register
    def _(self, effect: effects.AnswerQuery) -> None:
        self._exchanges.deliver(effect.query_id, effect)

    @carry_out.register
    def _(self, effect: effects.AnswerOperator) -> None:
        self._exchanges.deliver(effect.query_id, effect)

    @carry_out.register
    def _(self, effect: effects.ReadHostList) -> None:
        self._store_threads.submit(self._read_host_list, effect)

    @carry_out.register
    def _(self, effect: effects.Exit) -> None:
        self.stop_loop()

    @carry_out.register
    def _(self, effect: shared_effects.Transact) -> None:
        self._store_threads.submit(
            self._post_result, self._clients.table.transact, effect
        )

    @carry_out.register
    def _(self, effect: shared_effects.ReadRows) -> None:
        self._store_threads.submit(
            self._post_result, self._clients.table.read, effect
        )

    @carry_out.register
    def _(self, effect: shared_effects.ScanRows) -> None:
        self._store_threads.submit(
            self._post_result, self._clients.table.scan, effect
        )

    @carry_out.register
    def _(self, effect: shared_effects.ReadObject) -> None:
        self._store_threads.submit(
            self._post_result, self._clients.objects.read, effect
        )

    @carry_out.register
    def _(self, effect: shared_effects.WriteObject) -> None:
        self._store_threads.submit(self._clients.objects.write, effect)

    @carry_out.register
    def _(self, effect: shared_effects.Count) -> None:
        if self._metrics is not None:
            self._metrics.incr(effect.name, effect.by)

    @carry_out.register
    def _(self, effect: shared_effects.Timing) -> None:
        if self._metrics is not None:
            self._metrics.timing(effect.name, effect.elapsed_ms)
