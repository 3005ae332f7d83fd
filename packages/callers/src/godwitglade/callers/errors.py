"""Errors of the callers' interface; each is reported as a refusal."""

import attrs

from godwitglade.common import errors


@attrs.define(auto_exc=True, str=False)
class HeaderError(errors.CodedError):
    """A header is missing or has an invalid value."""

    code = 'bad_header'
    http_status = 400
    template = 'header {header}: {reason}'

    header: str
    reason: str


@attrs.define(auto_exc=True, str=False)
class OutcomeTimeoutError(errors.CodedError):
    """No outcome was returned in time; what has run is unknown."""

    code = 'no_outcome'
    http_status = 500
    template = (
        'no outcome for request {request_id} in time; '
        'query it by its idempotency key'
    )

    request_id: str
