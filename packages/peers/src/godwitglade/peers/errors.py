"""Errors in the messages between hosts."""

import attrs

from godwitglade.common import errors


@attrs.define(auto_exc=True, str=False)
class SignatureError(errors.CodedError):
    """A message without a valid signature."""

    code = 'peer_signature_invalid'
    http_status = 401
    template = 'the signature of the message is invalid'


@attrs.define(auto_exc=True, str=False)
class StaleMessageError(errors.CodedError):
    """A message whose signing time is too far from the present time."""

    code = 'peer_message_stale'
    http_status = 401
    is_retryable = True
    template = (
        'the signing time of the message differs by {skew_ms} ms from now'
    )

    skew_ms: int


@attrs.define(auto_exc=True, str=False)
class UnknownKindError(errors.CodedError):
    """A body class that has no registered kind."""

    code = 'peer_kind_unregistered'
    template = 'no kind is registered for {class_name}'

    class_name: str


@attrs.define(auto_exc=True, str=False)
class MessageTooLargeError(errors.CodedError):
    """A message that exceeds the size limit."""

    code = 'peer_message_too_large'
    http_status = 413
    template = 'the message exceeds {limit_bytes} bytes'

    limit_bytes: int


@attrs.define(auto_exc=True, str=False)
class NoReplyError(errors.CodedError):
    """The loop returned no reply in time or does not support the kind."""

    code = 'peer_no_reply'
    http_status = 503
    is_retryable = True
    template = 'no reply to a message of kind {kind}'

    kind: str
