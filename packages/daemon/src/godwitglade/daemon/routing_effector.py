"""Carries out the effects of routing decisions."""

import functools
import typing

import attrs

from godwitglade.callers import routed
from godwitglade.common import events
from godwitglade.coordination import effects as shared_effects
from godwitglade.daemon import logs
from godwitglade.daemon import metrics
from godwitglade.daemon import pools
from godwitglade.daemon import shared_effector
from godwitglade.peers import client as peer_client
from godwitglade.peers import replies
from godwitglade.routing import documents
from godwitglade.routing import effects
from godwitglade.targets import forwarding

#: Threads for messages to other hosts, of which a silent one holds one.
PEER_THREADS = 24
#: Threads for stage calls: one a target of the pools that this host owns.
STAGE_THREADS = 32
FREE_THREADS = 4


class StageClient(typing.Protocol):
    """Speaks the wire of stage targets; blocks."""

    def run(self, effect: effects.RunBatch) -> typing.Any:
        """Make a stage call; return its end as a message."""

    def free(self, effect: effects.FreeResults) -> str | None:
        """Let targets forget results; return what failed."""


@attrs.frozen
class Clients:
    """What effects are carried out with.

    ``refresh_targets`` has the list of targets read soon.
    """

    forwarder: forwarding.Forwarder
    stages: StageClient
    peers: peer_client.Client
    peer_replies: replies.Replies
    exchanges: routed.Exchanges
    refresh_targets: typing.Callable[[], None]


class Effector(shared_effector.SharedEffector):
    """Turns each effect into work on a thread or a direct call.

    ``stop_loop`` belongs to the loop itself, ``stop_listening`` and
    ``limit_callers`` to the callers' listener.
    """

    def __init__(
        self,
        clients: Clients,
        logger: typing.Any,
        measured: metrics.Metrics,
        report: pools.Report,
    ) -> None:
        super().__init__(
            clients.peers, clients.peer_replies, PEER_THREADS, logger, report
        )
        self._clients = clients
        self._metrics = measured
        self._stages = pools.ThreadPool('stage', STAGE_THREADS, report)
        self._frees = pools.ThreadPool('free', FREE_THREADS, report)
        self.stop_listening: typing.Callable[[], None] = (
            shared_effector.unbound
        )
        self.limit_callers: typing.Callable[[documents.Limits], None] = (
            shared_effector.unbound
        )
        self.stop_loop: typing.Callable[[], None] = shared_effector.unbound

    @functools.singledispatchmethod
    def carry_out(self, effect: typing.Any) -> None:
        """Carry out one effect without blocking the loop."""
        self.carry_out_shared(effect)

    def _free(self, effect: effects.FreeResults) -> None:
        failure = self._clients.stages.free(effect)
        if failure is not None:
            # The targets forget the results by themselves a little later.
            fields = {'reason': failure, 'results': len(effect.handles)}
            logs.log_event(self._logger, events.Event.FREE_FAILED, fields)

    @carry_out.register(effects.Forward)
    @carry_out.register(effects.RelayHeld)
    @carry_out.register(effects.Answer)
    @carry_out.register(effects.Abort)
    def _(self, effect: typing.Any) -> None:
        self._clients.exchanges.deliver(effect.request_id, effect)

    @carry_out.register
    def _(self, effect: effects.CancelCall) -> None:
        self._clients.forwarder.cancel(effect)

    @carry_out.register
    def _(self, effect: effects.RunBatch) -> None:
        self._stages.submit(
            self._post_result, self._clients.stages.run, effect
        )

    @carry_out.register
    def _(self, effect: effects.FreeResults) -> None:
        self._frees.submit(self._free, effect)

    @carry_out.register
    def _(self, effect: effects.RefreshTargets) -> None:
        self._clients.refresh_targets()

    @carry_out.register
    def _(self, effect: effects.ForgetTargets) -> None:
        self._clients.forwarder.forget_except(effect.addresses)

    @carry_out.register
    def _(self, effect: effects.LimitCallers) -> None:
        self.limit_callers(effect.limits)

    @carry_out.register
    def _(self, effect: effects.StopListening) -> None:
        self.stop_listening()

    @carry_out.register
    def _(self, effect: effects.Stop) -> None:
        self.stop_loop()

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
