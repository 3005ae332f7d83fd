"""Errors of the operator interface."""

import attrs

from godwitglade.common import errors
from godwitglade.common import validation


@attrs.define(auto_exc=True, str=False)
class DocumentError(validation.FaultsError):
    """The document is invalid; ``faults`` lists all faults."""

    code = 'document_invalid'


@attrs.define(auto_exc=True, str=False)
class UnauthenticatedError(errors.CodedError):
    """The bearer token is missing or unknown."""

    code = 'unauthenticated'
    http_status = 401
    template = 'a valid bearer token is required'


@attrs.define(auto_exc=True, str=False)
class ForbiddenError(errors.CodedError):
    """The owner of the token lacks permission for this action."""

    code = 'forbidden'
    http_status = 403
    template = '{name} may not {action}: {reason}'

    name: str
    action: str
    reason: str


@attrs.define(auto_exc=True, str=False)
class NotFoundError(errors.CodedError):
    """No object with this name exists."""

    code = 'name_not_found'
    http_status = 404
    template = '{kind} {name!r} does not exist'

    kind: str
    name: str


@attrs.define(auto_exc=True, str=False)
class ChangeConflictError(errors.CodedError):
    """The document changed since the version it was edited from.

    ``version`` and ``text`` describe the current document: ``text`` is None
    when it was removed, and ``version`` is 0 when it never existed.
    """

    code = 'change_conflict'
    http_status = 409
    template = '{pipeline} is at version {version}, not {based_on}'

    pipeline: str
    based_on: int
    version: int
    text: str | None


@attrs.define(auto_exc=True, str=False)
class ChangeIdReusedError(errors.CodedError):
    """The change id already belongs to another change."""

    code = 'change_id_reused'
    http_status = 409
    template = 'change id {change_id} belongs to another change'

    change_id: str


@attrs.define(auto_exc=True, str=False)
class ChangeNotAppliedError(errors.CodedError):
    """The change was not and never will be applied under its id.

    The client may send the same change again under a new id.
    """

    code = 'change_not_applied'
    http_status = 503
    is_retryable = True
    template = 'change {change_id} was not applied and never will be'

    change_id: str


@attrs.define(auto_exc=True, str=False)
class StoreUnavailableError(errors.CodedError):
    """The table service gave no usable answer; nothing was changed."""

    code = 'store_unavailable'
    http_status = 503
    is_retryable = True
    template = 'the table service is unavailable; nothing was changed'

    retry_after_ms: int
