"""Carries out the effects that the daemon and the edge program share."""

import functools
import typing

from godwitglade.coordination import effects
from godwitglade.daemon import logs
from godwitglade.daemon import thread_pools
from godwitglade.peers import client as peer_client
from godwitglade.peers import replies


class SharedEffectRunner:
    """Base class of the effect runners of both programs.

    ``post`` sends results to the loop and ``start_timer`` starts a timer of
    the loop; both are set once the loop exists.
    """

    def __init__(
        self,
        peers: peer_client.Client,
        peer_replies: replies.PendingReplies,
        peer_threads: int,
        logger: typing.Any,
        report: thread_pools.ReportException,
    ) -> None:
        self._peer_client = peers
        self._peer_replies = peer_replies
        self._logger = logger
        self._peer_threads = thread_pools.ThreadPool(
            'peer', peer_threads, report
        )
        self.post: typing.Callable[[typing.Any], None] = raise_unbound
        self.start_timer: typing.Callable[[str, int], None] = raise_unbound

    @functools.singledispatchmethod
    def carry_out_shared(self, effect: typing.Any) -> None:
        """Carry out an effect that both programs use."""
        raise TypeError(type(effect).__name__)

    def _post_result(
        self, function: typing.Callable, effect: typing.Any
    ) -> None:
        self.post(function(effect))

    @carry_out_shared.register
    def _(self, effect: effects.SendPeer) -> None:
        self._peer_threads.submit(
            self._post_result, self._peer_client.send, effect
        )

    @carry_out_shared.register
    def _(self, effect: effects.ReplyPeer) -> None:
        self._peer_replies.deliver(effect.reply_token, effect.body)

    @carry_out_shared.register
    def _(self, effect: effects.StartTimer) -> None:
        self.start_timer(effect.token, effect.due_ms)

    @carry_out_shared.register
    def _(self, effect: effects.LogEvent) -> None:
        logs.log_event(self._logger, effect.event, effect.fields)


def raise_unbound(*_args: typing.Any) -> None:
    """Raise RuntimeError: a callback of the loop is not set yet."""
    raise RuntimeError('the effect runner is not bound to a loop')
