"""Builds response bodies for callers: outcomes, stream events, errors."""

import functools
import typing

from godwitglade.common import codec
from godwitglade.common import errors
from godwitglade.decisions import effects
from godwitglade.decisions import outcomes


@functools.singledispatch
def retry_after_ms(outcome: typing.Any) -> int:
    """Return the delay before a retry, or 0 if it is unknown."""
    return 0


@retry_after_ms.register
def _(outcome: outcomes.RefusedNotRun) -> int:
    return outcome.retry_after_ms


@retry_after_ms.register
def _(outcome: outcomes.Failed) -> int:
    return outcome.retry_after_ms


def outcome_fields(
    request_id: str, outcome: outcomes.Outcome
) -> dict[str, typing.Any]:
    """Return the outcome as the plain data of its JSON body."""
    return {
        'outcome': outcome.code,
        'request_id': request_id,
        'is_retryable': outcome.is_retryable,
        **codec.to_plain(outcome),
    }


def outcome_headers(outcome: outcomes.Outcome) -> dict[str, str]:
    """Return ``Retry-After`` in whole seconds if the delay is known."""
    wait_ms = retry_after_ms(outcome)
    if not wait_ms:
        return {}
    return {'Retry-After': str(-(-wait_ms // 1_000))}


def error_body(error: errors.CodedError, request_id: str = '') -> bytes:
    """Return the JSON body of an error whose request was not run."""
    return codec.to_json(
        {
            'outcome': outcomes.RefusedNotRun.code,
            'request_id': request_id,
            'is_retryable': error.is_retryable,
            'reason': error.code,
            'message': str(error),
        }
    )


def query_body(answer: effects.AnswerQuery) -> bytes:
    """Return the JSON body of the reply to an outcome query.

    ``request_id`` in it is the id of the query, not of the request that the
    query asks about.
    """
    outcome = answer.outcome
    fields = (
        None if outcome is None else outcome_fields(answer.query_id, outcome)
    )
    return codec.to_json({'state': answer.state, 'outcome': fields})


def piece_event(pieces: list[effects.SendPiece]) -> bytes:
    """Return one server-sent event for consecutive pieces."""
    text = ''.join(piece.text for piece in pieces)
    return stream_event('piece', {'offset': pieces[0].offset, 'text': text})


def stream_event(kind: str, fields: typing.Any) -> bytes:
    """Return one server-sent event."""
    return b'event: %s\ndata: %s\n\n' % (kind.encode(), codec.to_json(fields))
