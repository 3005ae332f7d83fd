"""Errors of requests whose body cannot be read; free of any server."""

import attrs

from godwitglade.common import errors


@attrs.define(auto_exc=True, str=False)
class BodyTooLargeError(errors.CodedError):
    """The request body exceeds the size limit."""

    code = 'body_too_large'
    http_status = 413
    template = 'the body exceeds {limit_bytes} bytes'

    limit_bytes: int


@attrs.define(auto_exc=True, str=False)
class BodyTooSlowError(errors.CodedError):
    """The request body did not arrive in time."""

    code = 'body_too_slow'
    http_status = 408
    is_retryable = True
    template = 'the body did not arrive in time'
