"""Carries out the effects that parts of both programs decide on."""

import functools
import typing

from godwitglade.coordination import effects
from godwitglade.daemon import logs
from godwitglade.daemon import pools
from godwitglade.peers import client as peer_client
from godwitglade.peers import replies


class SharedEffector:
    """What the effectors of both programs have in common.

    ``post`` hands results to the loop; ``start_timer`` belongs to the loop
    itself.
    """

    def __init__(
        self,
        peers: peer_client.Client,
        peer_replies: replies.Replies,
        peer_threads: int,
        logger: typing.Any,
        report: pools.Report,
    ) -> None:
        self._peer_client = peers
        self._peer_replies = peer_replies
        self._logger = logger
        self._peers = pools.ThreadPool('peer', peer_threads, report)
        self.post: typing.Callable[[typing.Any], None] = unbound
        self.start_timer: typing.Callable[[str, int], None] = unbound

    @functools.singledispatchmethod
    def carry_out_shared(self, effect: typing.Any) -> None:
        """Carry out an effect that both programs know."""
        raise TypeError(type(effect).__name__)

    def _post_result(
        self, function: typing.Callable, effect: typing.Any
    ) -> None:
        self.post(function(effect))

    @carry_out_shared.register
    def _(self, effect: effects.SendPeer) -> None:
        self._peers.submit(self._post_result, self._peer_client.send, effect)

    @carry_out_shared.register
    def _(self, effect: effects.ReplyPeer) -> None:
        self._peer_replies.deliver(effect.reply_token, effect.body)

    @carry_out_shared.register
    def _(self, effect: effects.StartTimer) -> None:
        self.start_timer(effect.token, effect.due_ms)

    @carry_out_shared.register
    def _(self, effect: effects.LogEvent) -> None:
        logs.log_event(self._logger, effect.event, effect.fields)


def unbound(*_args: typing.Any) -> None:
    """Stand in for what the loop provides, until it does."""
    raise RuntimeError('the effector is not bound to a loop')
