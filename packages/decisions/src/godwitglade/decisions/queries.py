"""Queries of the outcome of an earlier request."""

import typing

import attrs

from godwitglade.common import errors
from godwitglade.coordination import claim_messages
from godwitglade.decisions import context as contexts
from godwitglade.decisions import documents
from godwitglade.decisions import effects
from godwitglade.decisions import messages
from godwitglade.decisions import records

#: Receives the answer to a query of the host itself.
OnAnswer = typing.Callable[[effects.AnswerQuery, int], contexts.Effects]


@attrs.define(eq=False)
class Query:
    """An open query; ``keys`` are still to be looked up, last stage first."""

    query_id: str
    keys: list[str]
    on_answer: OnAnswer | None = None
    is_last: bool = True


def query_outcome(
    context: contexts.Context, message: messages.OutcomeRequested, now_ms: int
) -> contexts.Effects:
    """Look up the claims of the pipeline's non-repeatable stages."""
    document = context.documents.get(message.pipeline)
    keys = claim_keys(document, message.workspace, message.idempotency_key)
    if not keys:
        return [effects.AnswerQuery(message.query_id, 'absent')]
    return start(context, message.query_id, keys, now_ms)


def claim_keys(
    document: documents.Document | None,
    workspace: str,
    idempotency_key: str,
) -> list[str]:
    """Return the claim keys of a request, later stages first."""
    stages = document.stages if document else ()
    return [
        records.claim_key(
            workspace, document.pipeline, idempotency_key, stage.name
        )
        for stage in reversed(stages)
        if not stage.is_repeatable
    ]


def start(
    context: contexts.Context,
    query_id: str,
    keys: list[str],
    now_ms: int,
    on_answer: OnAnswer | None = None,
) -> contexts.Effects:
    """Look up ``keys``; ``on_answer`` gets the answer instead of a caller."""
    query = Query(query_id, keys, on_answer)
    context.queries[query_id] = query
    return context.claims.look_up(query.keys.pop(0), query_id, now_ms)


def claim_looked_up(
    context: contexts.Context,
    message: claim_messages.ClaimLooked,
    now_ms: int,
) -> contexts.Effects:
    """Answer with the state of the last stage that has a claim."""
    query = context.queries[message.query_id]
    if message.state == 'absent' and query.keys:
        query.is_last = False
        key = query.keys.pop(0)
        return context.claims.look_up(key, query.query_id, now_ms)
    del context.queries[message.query_id]
    answer = _answer(query, message)
    if query.on_answer is not None:
        return query.on_answer(answer, now_ms)
    return [answer]


def _answer(
    query: Query, message: claim_messages.ClaimLooked
) -> effects.AnswerQuery:
    if message.state != 'settled':
        return effects.AnswerQuery(query.query_id, message.state)
    try:
        outcome = records.from_record(message.outcome or {})
    except errors.MalformedError:
        return effects.AnswerQuery(query.query_id, 'unknown')
    if not query.is_last:
        # An earlier stage ran, but the request did not complete.
        return effects.AnswerQuery(query.query_id, 'unknown')
    return effects.AnswerQuery(query.query_id, 'settled', outcome)
