"""Processing of token: generates a token and its hash for the settings."""

import secrets

import attrs

from godwitglade.command import output
from godwitglade.command import status
from godwitglade.operators import access

TOKEN_BYTES = 32


@attrs.frozen
class NewToken:
    """A new token and its hash."""

    token: str
    sha256: str


def make(printer: output.Printer) -> status.ExitStatus:
    """Print a new token and its hash, without storing either."""
    token = secrets.token_urlsafe(TOKEN_BYTES)
    new_token = NewToken(token, access.hash_token(token))
    printer.show(new_token, lambda: _render(printer, new_token))
    return status.ExitStatus.OK


def _render(printer: output.Printer, new_token: NewToken) -> None:
    printer.line(f'token: {new_token.token}')
    printer.line(f'sha256: {new_token.sha256}')
