"""Maps the result of a change to a response body or a typed error."""

import functools

import attrs

from godwitglade.coordination import change_results
from godwitglade.operators import access
from godwitglade.operators import errors


@attrs.frozen
class Applied:
    """Response body for a change that was applied."""

    state: str
    change_id: str
    pipeline: str
    version: int
    sequence: int


@attrs.frozen
class Unsettled:
    """Response body for a change id whose state is not final."""

    state: str
    change_id: str


@attrs.frozen
class Response:
    """Status and body of a successful response."""

    http_status: int
    body: Applied | Unsettled


@functools.singledispatch
def to_response(
    result: change_results.ChangeResult, token: access.Token
) -> Response:
    """Return the response to ``result``; raise CodedError for failures."""
    raise NotImplementedError(type(result).__name__)


@to_response.register
def _accepted(result: change_results.ChangeAccepted, token) -> Response:
    return Response(200, Applied('applied', **attrs.asdict(result)))


@to_response.register
def _unknown(result: change_results.ChangeUnknown, token) -> Response:
    return Response(202, Unsettled('unknown', result.change_id))


@to_response.register
def _absent(result: change_results.ChangeAbsent, token) -> Response:
    return Response(200, Unsettled('absent', result.change_id))


@to_response.register
def _conflict(result: change_results.ChangeConflict, token) -> Response:
    raise errors.ChangeConflictError(**attrs.asdict(result))


@to_response.register
def _forbidden(result: change_results.ChangeForbidden, token) -> Response:
    reason = f'{result.pipeline} belongs to team {result.owner}'
    raise errors.ForbiddenError(token.name, 'change', reason)


@to_response.register
def _reused(result: change_results.ChangeIdReused, token) -> Response:
    raise errors.ChangeIdReusedError(result.change_id)


@to_response.register
def _not_applied(result: change_results.ChangeNotApplied, token) -> Response:
    raise errors.ChangeNotAppliedError(result.change_id)


@to_response.register
def _unavailable(result: change_results.ChangeUnavailable, token) -> Response:
    raise errors.StoreUnavailableError(result.retry_after_ms)
