"""Log events about requests."""

import typing

from godwitglade.common import events
from godwitglade.coordination import effects as shared_effects
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
