"""Who an operator is and what it may do."""

import enum
import hashlib
import hmac
import typing

import attrs

from godwitglade.operators import errors

_SCHEME = 'bearer'


class Role(enum.Enum):
    """What the owner of a token may do."""

    OPERATOR = 'operator'
    MONITOR = 'monitor'


@attrs.frozen
class Token:
    """An operator's token, as the SHA-256 of its text."""

    name: str
    role: Role
    sha256: str = attrs.field(repr=False)
    team: str = ''

    @property
    def is_monitor(self) -> bool:
        """Tell whether the owner reads everything and changes nothing."""
        return self.role is Role.MONITOR


def hash_token(text: str) -> str:
    """Return the SHA-256 of a token as settings hold it."""
    return hashlib.sha256(text.encode(errors='replace')).hexdigest()


def identify(
    tokens: typing.Iterable[Token], authorization: str | None
) -> Token:
    """Return the token in an ``Authorization`` header.

    Raises UnauthenticatedError. Every token is compared, in constant time,
    so that the time taken shows nothing of them.
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
    """Raise ForbiddenError unless the owner may read documents of team."""
    if not token.is_monitor and token.team != team:
        reason = f'the document belongs to team {team}'
        raise errors.ForbiddenError(token.name, 'read', reason)


def check_change(token: Token, team: str) -> None:
    """Raise ForbiddenError unless the owner may change what is team's."""
    check_operator(token)
    if token.team != team:
        reason = f'it belongs to team {team}'
        raise errors.ForbiddenError(token.name, 'change', reason)


def check_operator(token: Token) -> None:
    """Raise ForbiddenError when the owner may change nothing."""
    if token.is_monitor:
        reason = 'a monitor changes nothing'
        raise errors.ForbiddenError(token.name, 'change', reason)
