"""Errors of the command and the exit statuses that they cause."""

import typing

import attrs

from godwitglade.command import status
from godwitglade.common import errors

_STATUSES = {
    'document_invalid': status.ExitStatus.INVALID,
    'invalid': status.ExitStatus.INVALID,
    'change_conflict': status.ExitStatus.CONFLICT,
    'unauthenticated': status.ExitStatus.FORBIDDEN,
    'forbidden': status.ExitStatus.FORBIDDEN,
    'store_unavailable': status.ExitStatus.UNAVAILABLE,
    'change_not_applied': status.ExitStatus.UNAVAILABLE,
    'name_not_found': status.ExitStatus.NOT_FOUND,
}


@attrs.define(auto_exc=True, str=False)
class CommandError(errors.CodedError):
    """An error that ends the command with `exit_status`."""

    code = 'command'
    exit_status: typing.ClassVar[status.ExitStatus] = status.ExitStatus.ERROR


@attrs.define(auto_exc=True, str=False)
class OptionError(CommandError):
    """An option is missing or has an invalid value."""

    code = 'option'
    exit_status = status.ExitStatus.USAGE
    template = '{option}: {reason}'

    option: str
    reason: str


@attrs.define(auto_exc=True, str=False)
class NotSentError(CommandError):
    """The server could not be reached, so no request was sent."""

    code = 'not_sent'
    is_retryable = True
    exit_status = status.ExitStatus.UNAVAILABLE
    template = '{url} is unreachable: {reason}'

    url: str
    reason: str


@attrs.define(auto_exc=True, str=False)
class AnswerLostError(CommandError):
    """The request was sent, but no complete response arrived."""

    code = 'answer_lost'
    is_retryable = True
    exit_status = status.ExitStatus.UNKNOWN
    template = 'no complete response from {url}: {reason}'

    url: str
    reason: str


@attrs.define(auto_exc=True, str=False)
class UnsettledError(CommandError):
    """It is unknown whether change ``change_id`` was applied."""

    code = 'unsettled'
    exit_status = status.ExitStatus.UNKNOWN
    template = 'it is unknown whether change {change_id} was applied'

    change_id: str


@attrs.define(auto_exc=True, str=False)
class ServerError(CommandError):
    """A typed error in the server's response.

    ``fields`` holds all fields of the error's body.
    """

    code = 'server'
    template = '{message}'

    http_status: int
    remote_code: str
    message: str
    is_retryable: bool
    fields: dict[str, typing.Any]

    @property
    def exit_status(self) -> status.ExitStatus:
        """Return the exit status for the server's error code."""
        return _STATUSES.get(self.remote_code, status.ExitStatus.ERROR)
