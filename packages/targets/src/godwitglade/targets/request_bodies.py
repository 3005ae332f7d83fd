"""Builds the JSON bodies of requests to targets."""

import functools
import typing

from godwitglade.common import codec
from godwitglade.decisions import documents
from godwitglade.decisions import effects


def encode_call(effect: effects.CallTarget) -> bytes:
    """Return the body of a stage call.

    For an engine, a dict with the key ``input`` supplies fields of the body,
    as `payloads` builds it; any other payload becomes the field ``input``.
    """
    is_engine = effect.path == documents.ENGINE_PATH
    fields = _engine_fields(effect) if is_engine else _pool_fields(effect)
    body = {
        'request_id': effect.request_id,
        'stage': effect.stage,
        'attempt_id': effect.attempt_id,
        # In this protocol, a duration: the time left for the call.
        'deadline_ms': effect.timeout_ms,
        **fields,
    }
    return codec.to_json(body)


def encode_cancel(attempt_id: str) -> bytes:
    """Return the body of a request that cancels an attempt."""
    return codec.to_json({'attempt_id': attempt_id})


def encode_order(effect: effects.OrderEngine) -> bytes:
    """Return the body of an order with its fencing number."""
    body = {'fencing_number': effect.fencing_number, 'order': effect.order}
    return codec.to_json(body)


def _pool_fields(effect: effects.CallTarget) -> dict[str, typing.Any]:
    return {'input': effect.payload}


def _engine_fields(effect: effects.CallTarget) -> dict[str, typing.Any]:
    return {
        **_payload_fields(effect.payload),
        'stream': effect.is_stream,
        'resume_offset': effect.resume_offset,
        'prefix': effect.prefix,
        'priority': effect.priority,
    }


@functools.singledispatch
def _payload_fields(payload: typing.Any) -> dict[str, typing.Any]:
    return {'input': payload}


@_payload_fields.register
def _(payload: dict) -> dict[str, typing.Any]:
    return payload if 'input' in payload else {'input': payload}
