"""Carries out the effects of routing decisions."""

import functools
import typing

import attrs

from godwitglade.callers import routed_exchanges
from godwitglade.common import errors
from godwitglade.common import events
from godwitglade.coordination import effects as shared_effects
from godwitglade.daemon import logs
from godwitglade.daemon import metrics
from godwitglade.daemon import shared_effect_runner
from godwitglade.daemon import thread_pools
from godwitglade.peers import client as peer_client
from godwitglade.peers import replies
from godwitglade.platform import follower
from godwitglade.routing import documents
from godwitglade.routing import effects
from godwitglade.routing import messages
from godwitglade.routing import table_sharing
from godwitglade.targets import forwarding

#: Threads for messages to other hosts; an unresponsive host blocks one.
PEER_THREADS = 24
#: Threads for stage calls: one for each target of the pools owned here.
STAGE_THREADS = 32
FREE_THREADS = 4
ROW_THREADS = 2
CONFIRM_THREADS = 2
PROBE_THREADS = 6


class StageClient(typing.Protocol):
    """Blocking client of the protocol of stage targets."""

    def run(self, effect: effects.RunBatch) -> typing.Any:
        """Make a stage call; return its outcome as a message."""

    def free(self, effect: effects.FreeResults) -> str | None:
        """Release results on targets; return the reason of a failure."""


class QuarantineRows(typing.Protocol):
    """Keeps what crashes targets in the store; raises CodedError."""

    def write(self, trait: str, crashes: tuple[str, ...]) -> None:
        """Write the row of a trait."""

    def remove(self, trait: str) -> None:
        """Remove the row of a trait."""


class StreamRows(typing.Protocol):
    """Keeps the versions of streams in the store; raises CodedError."""

    def write(self, effect: effects.WriteStreams) -> None:
        """Write the row of this host."""

    def remove(self) -> None:
        """Remove the row of this host."""


@attrs.frozen
class Clients:
    """The clients that carry out effects.

    ``followers`` follow tables of the store, by the name of the table.
    """

    forwarder: forwarding.Forwarder
    stages: StageClient
    peers: peer_client.Client
    peer_replies: replies.PendingReplies
    exchanges: routed_exchanges.Exchanges
    quarantine_rows: QuarantineRows
    stream_rows: StreamRows
    followers: typing.Mapping[str, follower.Follower]


class EffectRunner(shared_effect_runner.SharedEffectRunner):
    """Carries out each effect on a thread pool or by a direct call.

    ``stop_loop`` stops the loop; ``stop_listening`` and ``limit_callers``
    act on the callers' listener. They are set once these exist.
    """

    def __init__(
        self,
        clients: Clients,
        logger: typing.Any,
        metrics_: metrics.Metrics,
        report: thread_pools.ReportException,
    ) -> None:
        super().__init__(
            clients.peers, clients.peer_replies, PEER_THREADS, logger, report
        )
        self._clients = clients
        self._metrics = metrics_
        self._stage_threads = thread_pools.ThreadPool(
            'stage', STAGE_THREADS, report
        )
        self._free_threads = thread_pools.ThreadPool(
            'free', FREE_THREADS, report
        )
        self._confirm_threads = thread_pools.ThreadPool(
            'confirm', CONFIRM_THREADS, report
        )
        self._row_threads = thread_pools.ThreadPool('row', ROW_THREADS, report)
        self._probe_threads = thread_pools.ThreadPool(
            'probe', PROBE_THREADS, report
        )
        self.stop_listening: typing.Callable[[], None] = (
            shared_effect_runner.raise_unbound
        )
        self.limit_callers: typing.Callable[[documents.Limits], None] = (
            shared_effect_runner.raise_unbound
        )
        self.stop_loop: typing.Callable[[], None] = (
            shared_effect_runner.raise_unbound
        )

    @functools.singledispatchmethod
    def carry_out(self, effect: typing.Any) -> None:
        """Carry out one effect without blocking the loop."""
        self.carry_out_shared(effect)

    def _free(self, effect: effects.FreeResults) -> None:
        failure = self._clients.stages.free(effect)
        if failure is not None:
            # The targets expire these results by themselves later.
            fields = {'reason': failure, 'results': len(effect.handles)}
            logs.log_event(self._logger, events.Event.FREE_FAILED, fields)

    def _change_row(
        self,
        event: events.Event,
        fields: dict[str, typing.Any],
        change: typing.Callable[[], None],
    ) -> bool:
        """Write or remove a row; return False if the store did not.

        The loop asks for it again.
        """
        try:
            change()
        except errors.CodedError as error:
            fields = fields | {'reason': str(error)}
            logs.log_event(self._logger, event, fields)
            return False
        return True

    def _change_quarantine_row(
        self, trait: str, change: typing.Callable[[], None]
    ) -> None:
        event = events.Event.QUARANTINE_ROW_FAILED
        self._row_threads.submit(
            self._change_row, event, {'trait': trait}, change
        )

    def _change_stream_row(self, change: typing.Callable[[], None]) -> None:
        self._row_threads.submit(self._report_stream_row, change)

    def _report_stream_row(self, change: typing.Callable[[], None]) -> None:
        event = events.Event.STREAM_ROW_FAILED
        is_written = self._change_row(event, {}, change)
        self.post(messages.StreamsRowWritten(is_written))

    @carry_out.register(effects.Forward)
    @carry_out.register(effects.ForwardHeldResponse)
    @carry_out.register(effects.Answer)
    @carry_out.register(effects.AbortResponse)
    def _(self, effect: typing.Any) -> None:
        self._clients.exchanges.deliver(effect.request_id, effect)

    @carry_out.register
    def _(self, effect: effects.ReleaseStream) -> None:
        self._clients.exchanges.release(effect.request_id)

    @carry_out.register
    def _(self, effect: effects.ConfirmProcess) -> None:
        self._clients.forwarder.confirm(effect)

    @carry_out.register
    def _(self, effect: effects.CancelCall) -> None:
        self._clients.forwarder.cancel(effect)

    @carry_out.register
    def _(self, effect: effects.RunBatch) -> None:
        self._stage_threads.submit(
            self._post_result, self._clients.stages.run, effect
        )

    @carry_out.register
    def _(self, effect: effects.ProbeTarget) -> None:
        self._probe_threads.submit(
            self._post_result, self._clients.forwarder.probe, effect
        )

    @carry_out.register
    def _(self, effect: effects.FreeResults) -> None:
        self._free_threads.submit(self._free, effect)

    @carry_out.register
    def _(self, effect: effects.WriteQuarantine) -> None:
        rows = self._clients.quarantine_rows
        write = functools.partial(rows.write, effect.trait, effect.crashes)
        self._change_quarantine_row(effect.trait, write)

    @carry_out.register
    def _(self, effect: effects.RemoveQuarantine) -> None:
        remove = functools.partial(
            self._clients.quarantine_rows.remove, effect.trait
        )
        self._change_quarantine_row(effect.trait, remove)

    @carry_out.register
    def _(self, effect: effects.WriteStreams) -> None:
        write = functools.partial(self._clients.stream_rows.write, effect)
        self._change_stream_row(write)

    @carry_out.register
    def _(self, effect: effects.RemoveStreams) -> None:
        self._change_stream_row(self._clients.stream_rows.remove)

    @carry_out.register
    def _(self, effect: effects.RefreshTargets) -> None:
        followers = self._clients.followers
        followers[table_sharing.Table.TARGETS.value].request_full_read()

    @carry_out.register
    def _(self, effect: effects.ConfirmTargets) -> None:
        targets_follower = self._clients.followers[
            table_sharing.Table.TARGETS.value
        ]
        self._confirm_threads.submit(targets_follower.confirm)

    @carry_out.register
    def _(self, effect: effects.ReadTable) -> None:
        self._clients.followers[effect.table].request_full_read()

    @carry_out.register
    def _(self, effect: effects.FollowTables) -> None:
        for follower_ in self._clients.followers.values():
            follower_.set_following(effect.is_following, effect.is_reader)

    @carry_out.register
    def _(self, effect: effects.CloseOtherConnections) -> None:
        self._clients.forwarder.close_unlisted(effect.addresses)

    @carry_out.register
    def _(self, effect: effects.SetCallerLimits) -> None:
        self.limit_callers(effect.limits)

    @carry_out.register
    def _(self, effect: effects.StopListening) -> None:
        self.stop_listening()

    @carry_out.register
    def _(self, effect: effects.Stop) -> None:
        self.stop_loop()

    @carry_out.register
    def _(self, effect: effects.SetGauge) -> None:
        self._metrics.set_gauge(effect.name, effect.value)

    @carry_out.register
    def _(self, effect: shared_effects.LogEvent) -> None:
        self.carry_out_shared(effect)
        self._metrics.count_event(effect.event)

    @carry_out.register
    def _(self, effect: shared_effects.Timing) -> None:
        self._metrics.observe(effect.name, effect.elapsed_ms)

    @carry_out.register
    def _(self, effect: shared_effects.Count) -> None:
        self._metrics.count(effect.name, effect.by)
