"""Log events about requests."""

import typing

from godwitglade.common import events
from godwitglade.coordination import effects as shared_effects
from godwitglade.routing import effects
from godwitglade.routing import messages
from godwitglade.routing import request as request_


def request_event(
    event: events.Event, request: request_.Request, **fields: typing.Any
) -> shared_effects.LogEvent:
    """Return a log event about a request in flight."""
    common_fields = {
        'request': request.arrived.attempt_id,
        'route': request.route.name,
    }
    return shared_effects.LogEvent(event, common_fields | fields)


def cancel_call(
    request: request_.Request, reason: str, now_ms: int
) -> list[typing.Any]:
    """Return the effects that cancel a request's call and log why."""
    log = request_event(
        events.Event.CALL_CANCELLED,
        request,
        target=request.target.name,
        send=request.sends,
        reason=reason,
        after_ms=now_ms - request.sent_ms,
    )
    return [effects.CancelCall(request.request_id, request.calls), log]


def body_event(message: messages.BodyEnded) -> shared_effects.LogEvent:
    """Return the log event of a body that ended."""
    fields = {
        'request': message.attempt_id,
        'target': message.target,
        'call': message.call,
        'framing': message.framing,
        'received_bytes': message.received_bytes,
        'end': message.end,
        'cancelled': message.is_cancelled,
        'confirmed': message.is_confirmed,
    }
    return shared_effects.LogEvent(events.Event.BODY_ENDED, fields)


def refusal_event(
    message: messages.RequestArrived, status: int, reason: str
) -> shared_effects.LogEvent:
    """Return the log event of a request refused on arrival."""
    fields = {
        'request': message.attempt_id,
        'status': status,
        'reason': reason,
    }
    return shared_effects.LogEvent(events.Event.REQUEST_REFUSED, fields)
