"""Questions of callers about the outcome of an earlier request."""

import attrs

from godwitglade.common import errors
from godwitglade.coordination import claim_messages
from godwitglade.decisions import context as contexts
from godwitglade.decisions import effects
from godwitglade.decisions import messages
from godwitglade.decisions import records


@attrs.define(eq=False)
class Query:
    """A question under way: the keys still to be looked at, last first."""

    query_id: str
    keys: list[str]
    is_last: bool = True


def asked(
    context: contexts.Context, message: messages.OutcomeAsked, now_ms: int
) -> contexts.Effects:
    """Look at the claims of the pipeline's non-repeatable stages."""
    document = context.documents.get(message.pipeline)
    stages = document.stages if document else ()
    keys = [
        records.claim_key(
            message.workspace,
            message.pipeline,
            message.idempotency_key,
            stage.name,
        )
        for stage in reversed(stages)
        if not stage.is_repeatable
    ]
    if not keys:
        return [effects.AnswerQuery(message.query_id, 'absent')]
    query = Query(message.query_id, keys)
    context.queries[message.query_id] = query
    return context.claims.look(query.keys.pop(0), query.query_id, now_ms)


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
    return [_answer(query, message)]


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
