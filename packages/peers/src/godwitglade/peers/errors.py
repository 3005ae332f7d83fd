"""Errors of the messages between hosts."""

import attrs

from godwitglade.common import errors


@attrs.define(auto_exc=True, str=False)
class SignatureError(errors.CodedError):
    """A message without a valid signature."""

    code = 'peer_signature_invalid'
    http_status = 401
    template = 'the signature of the message is not valid'


@attrs.define(auto_exc=True, str=False)
class StaleMessageError(errors.CodedError):
    """A message signed too long ago or with a clock that is ahead."""

    code = 'peer_message_stale'
    http_status = 401
    is_retryable = True
    template = 'the message was signed {skew_ms} ms from the present time'

    skew_ms: int


@attrs.define(auto_exc=True, str=False)
class UnknownKindError(errors.CodedError):
    """A class of bodies that has no name on the wire."""

    code = 'peer_kind_unregistered'
    template = 'no kind is registered for {class_name}'

    class_name: str


@attrs.define(auto_exc=True, str=False)
class MessageTooLargeError(errors.CodedError):
    """A message longer than the bound."""

    code = 'peer_message_too_large'
    http_status = 413
    template = 'the message is longer than {limit_bytes} bytes'

    limit_bytes: int


@attrs.define(auto_exc=True, str=False)
class NoReplyError(errors.CodedError):
    """The loop gave no reply in time or does not know the kind."""

    code = 'peer_no_reply'
    http_status = 503
    is_retryable = True
    template = 'no reply to a message of kind {kind}'

    kind: str
