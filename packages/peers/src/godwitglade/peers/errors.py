"""Errors in the messages between hosts."""

import attrs

from godwitglade.common import errors


@attrs.define(auto_exc=True, str=False)
class SignatureError(errors.CodedError):
    """The signature of the message is missing or invalid."""

    code = 'peer_signature_invalid'
    http_status = 401
    template = 'the signature of the message is invalid'


@attrs.define(auto_exc=True, str=False)
class StaleMessageError(errors.CodedError):
    """The signing time of the message is too far from the current time."""

    code = 'peer_message_stale'
    http_status = 401
    is_retryable = True
    template = 'the signing time differs from the current time by {skew_ms} ms'

    skew_ms: int


@attrs.define(auto_exc=True, str=False)
class UnknownKindError(errors.CodedError):
    """No message kind is registered for the class of the body."""

    code = 'peer_kind_unregistered'
    template = 'no kind is registered for {class_name}'

    class_name: str


@attrs.define(auto_exc=True, str=False)
class MessageTooLargeError(errors.CodedError):
    """The message exceeds the size limit."""

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
