"""Authentication and authorization of users of the operator interface."""

import enum
import hashlib
import hmac
import typing

import attrs

from godwitglade.operators import errors

_SCHEME = 'bearer'


class Role(enum.Enum):
    """Permissions of a token's owner."""

    OPERATOR = 'operator'
    MONITOR = 'monitor'


@attrs.frozen
class Token:
    """The token of a user of the operator interface, stored as SHA-256."""

    name: str
    role: Role
    sha256: str = attrs.field(repr=False)
    team: str = ''

    @property
    def is_monitor(self) -> bool:
        """Tell whether the owner may read everything but change nothing."""
        return self.role is Role.MONITOR


def hash_token(text: str) -> str:
    """Return the SHA-256 of a token in the form stored in settings."""
    return hashlib.sha256(text.encode(errors='replace')).hexdigest()


def authenticate(
    tokens: typing.Iterable[Token], authorization: str | None
) -> Token:
    """Return the token that matches an ``Authorization`` header.

    Raises UnauthenticatedError when none does. The header is compared with
    every token in constant time, so that timing reveals nothing about them.
    """
    scheme, _, text = (authorization or '').partition(' ')
    digest = hash_token(text.strip())
    matches = [
        token for token in tokens if hmac.compare_digest(token.sha256, digest)
    ]
    if scheme.lower() != _SCHEME or not matches:
        raise errors.UnauthenticatedError()
    return matches[0]


def check_read(token: Token, team: str) -> None:
    """Raise ForbiddenError unless the owner may read team's documents."""
    if not token.is_monitor and token.team != team:
        reason = f'the document belongs to team {team}'
        raise errors.ForbiddenError(token.name, 'read', reason)


def check_change(token: Token, team: str) -> None:
    """Raise ForbiddenError unless the owner may change team's documents."""
    check_operator(token)
    if token.team != team:
        reason = f'the document belongs to team {team}'
        raise errors.ForbiddenError(token.name, 'change', reason)


def check_operator(token: Token) -> None:
    """Raise ForbiddenError when the role of the token is monitor."""
    if token.is_monitor:
        reason = 'monitors have read-only access'
        raise errors.ForbiddenError(token.name, 'change', reason)
