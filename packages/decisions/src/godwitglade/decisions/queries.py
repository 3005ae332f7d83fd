"""Questions of callers about the outcome of an earlier request."""

import typing

import attrs

from godwitglade.common import errors
from godwitglade.coordination import claim_messages
from godwitglade.decisions import context as contexts
from godwitglade.decisions import documents
from godwitglade.decisions import effects
from godwitglade.decisions import messages
from godwitglade.decisions import records

#: Takes the answer of a question that the host itself asked.
Ended = typing.Callable[[effects.AnswerQuery, int], contexts.Effects]


@attrs.define(eq=False)
class Query:
    """A question under way: the keys still to be looked at, last first."""

    query_id: str
    keys: list[str]
    ended: Ended | None = None
    is_last: bool = True


def asked(
    context: contexts.Context, message: messages.OutcomeAsked, now_ms: int
) -> contexts.Effects:
    """Look at the claims of the pipeline's non-repeatable stages."""
    document = context.documents.get(message.pipeline)
    keys = claim_keys(document, message.workspace, message.idempotency_key)
    if not keys:
        return [effects.AnswerQuery(message.query_id, 'absent')]
    return begin(context, message.query_id, keys, now_ms)


def claim_keys(
    document: documents.Document | None,
    workspace: str,
    idempotency_key: str,
) -> list[str]:
    """Return the claim keys of a request, those of later stages first."""
    stages = document.stages if document else ()
    return [
        records.claim_key(
            workspace, document.pipeline, idempotency_key, stage.name
        )
        for stage in reversed(stages)
        if not stage.is_repeatable
    ]


def begin(
    context: contexts.Context,
    query_id: str,
    keys: list[str],
    now_ms: int,
    ended: Ended | None = None,
) -> contexts.Effects:
    """Look at ``keys``; ``ended`` takes the answer in a caller's place."""
    query = Query(query_id, keys, ended)
    context.queries[query_id] = query
    return context.claims.look(query.keys.pop(0), query_id, now_ms)


def looked(
    context: contexts.Context,
    message: claim_messages.ClaimLooked,
    now_ms: int,
) -> contexts.Effects:
    """Answer with the state of the last stage that has a claim."""
    query = context.queries[message.query_id]
    if message.state == 'absent' and query.keys:
        query.is_last = False
        key = query.keys.pop(0)
        return context.claims.look(key, query.query_id, now_ms)
    del context.queries[message.query_id]
    answer = _answer(query, message)
    if query.ended is not None:
        return query.ended(answer, now_ms)
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
        # An earlier stage ran, the request as a whole did not finish.
        return effects.AnswerQuery(query.query_id, 'unknown')
    return effects.AnswerQuery(query.query_id, 'settled', outcome)
