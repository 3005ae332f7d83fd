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
class NoAnswerError(errors.CodedError):
    """The loop gave no outcome in time; what ran is not known."""

    code = 'no_outcome'
    http_status = 500
    template = 'no outcome of {request_id}; ask for it by its key'

    request_id: str
