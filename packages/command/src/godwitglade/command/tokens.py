"""Processing of token: makes a token and the hash that settings hold."""

import secrets

import attrs

from godwitglade.command import output
from godwitglade.command import status
from godwitglade.operators import access

TOKEN_BYTES = 32


@attrs.frozen
class MadeToken:
    """A token and its hash."""

    token: str
    sha256: str


def make(printer: output.Printer) -> status.ExitStatus:
    """Print a new token and its hash; neither is kept."""
    token = secrets.token_urlsafe(TOKEN_BYTES)
    made = MadeToken(token, access.hash_token(token))
    printer.show(made, lambda: _render(printer, made))
    return status.ExitStatus.OK


def _render(printer: output.Printer, made: MadeToken) -> None:
    printer.line(f'token: {made.token}')
    printer.line(f'sha256: {made.sha256}')
