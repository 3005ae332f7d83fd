"""How the end of a change is answered: a body, or a typed error."""

import functools

import attrs

from godwitglade.coordination import change_results
from godwitglade.operators import access
from godwitglade.operators import errors


@attrs.frozen
class Applied:
    """Body for a change that was applied."""

    state: str
    change_id: str
    pipeline: str
    version: int
    sequence: int


@attrs.frozen
class Unsettled:
    """Body for a change id whose state is not final."""

    state: str
    change_id: str


@attrs.frozen
class Answer:
    """Status and body of an answer that is not an error."""

    http_status: int
    body: Applied | Unsettled


@functools.singledispatch
def to_answer(
    result: change_results.ChangeResult, token: access.Token
) -> Answer:
    """Return the answer for ``result``; raises what is an error."""
    raise NotImplementedError(type(result).__name__)


@to_answer.register
def _accepted(result: change_results.ChangeAccepted, token) -> Answer:
    return Answer(200, Applied('applied', **attrs.asdict(result)))


@to_answer.register
def _unknown(result: change_results.ChangeUnknown, token) -> Answer:
    return Answer(202, Unsettled('unknown', result.change_id))


@to_answer.register
def _absent(result: change_results.ChangeAbsent, token) -> Answer:
    return Answer(200, Unsettled('absent', result.change_id))


@to_answer.register
def _conflict(result: change_results.ChangeConflict, token) -> Answer:
    raise errors.ChangeConflictError(**attrs.asdict(result))


@to_answer.register
def _forbidden(result: change_results.ChangeForbidden, token) -> Answer:
    reason = f'{result.pipeline} belongs to team {result.owner}'
    raise errors.ForbiddenError(token.name, 'change', reason)


@to_answer.register
def _reused(result: change_results.ChangeIdReused, token) -> Answer:
    raise errors.ChangeIdReusedError(result.change_id)


@to_answer.register
def _not_applied(result: change_results.ChangeNotApplied, token) -> Answer:
    raise errors.ChangeNotAppliedError(result.change_id)


@to_answer.register
def _unavailable(result: change_results.ChangeUnavailable, token) -> Answer:
    raise errors.StoreUnavailableError(result.retry_after_ms)
