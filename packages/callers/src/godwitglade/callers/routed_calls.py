"""Executes the effects of the loop for a caller's routed request."""

import typing

from godwitglade.callers import routed_exchanges
from godwitglade.routing import effects
from godwitglade.routing import messages
from godwitglade.targets import forwarding

#: The loop ends every exchange; this bounds the wait should it fail to. It
#: must exceed each route's timeout.
EFFECT_WAIT_S = 60.0

Post = typing.Callable[[typing.Any], None]


def execute(
    exchange: routed_exchanges.Exchange,
    context: forwarding.ForwardingContext,
    forwarder: forwarding.Forwarder,
    post: Post,
) -> None:
    """Execute the effects of an exchange until the caller has its answer."""
    context.may_start = exchange.may_start
    while True:
        effect = exchange.effect_queue.get(timeout=EFFECT_WAIT_S)
        if isinstance(effect, effects.Forward):
            if _forward(context, effect, forwarder, post):
                return
        elif isinstance(effect, effects.ForwardHeldResponse):
            forwarding.relay(context.caller, context.failed_response)
            return
        elif isinstance(effect, effects.AbortResponse):
            context.caller.abort()
        else:
            context.caller.send_error(
                effect.status, effect.reason, effect.retry_after_ms
            )
            return


def _forward(
    context: forwarding.ForwardingContext,
    effect: effects.Forward,
    forwarder: forwarding.Forwarder,
    post: Post,
) -> bool:
    """Make a target call; return whether the caller has its response."""
    try:
        message = forwarder.forward(context, effect)
    except forwarding.CallerDisconnectedError:
        post(messages.ResponseNotWritten(effect.request_id))
        context.caller.abort()
    post(message)
    return isinstance(message, messages.ResponseCompleted)
