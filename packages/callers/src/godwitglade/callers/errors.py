"""Errors of the callers' interface; each refuses a request unsent."""

import attrs

from godwitglade.common import errors


@attrs.define(auto_exc=True, str=False)
class HeaderError(errors.CodedError):
    """A header is absent or has a value that is not allowed."""

    code = 'bad_header'
    http_status = 400
    template = 'header {header}: {reason}'

    header: str
    reason: str


@attrs.define(auto_exc=True, str=False)
class BodyTooLargeError(errors.CodedError):
    """The body is larger than the settings allow."""

    code = 'body_too_large'
    http_status = 413
    template = 'the body exceeds {limit_bytes} bytes'

    limit_bytes: int


@attrs.define(auto_exc=True, str=False)
class NotFoundError(errors.CodedError):
    """No resource has this path."""

    code = 'not_found'
    http_status = 404
    template = 'no resource at {path}'

    path: str


@attrs.define(auto_exc=True, str=False)
class MethodError(errors.CodedError):
    """The resource does not take this method."""

    code = 'method_not_allowed'
    http_status = 405
    template = '{path} takes {allowed}'

    path: str
    allowed: str


@attrs.define(auto_exc=True, str=False)
class NoAnswerError(errors.CodedError):
    """The loop gave no outcome in time; what ran is not known."""

    code = 'no_outcome'
    http_status = 500
    template = 'no outcome of {request_id}; ask for it by its key'

    request_id: str
