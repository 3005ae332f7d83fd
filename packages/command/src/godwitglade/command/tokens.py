"""Processing of token: makes a token and the hash that settings hold."""

import secrets

from godwitglade.command import output
from godwitglade.command import status
from godwitglade.operators import access

TOKEN_BYTES = 32


def make(printer: output.Printer) -> status.ExitStatus:
    """Print a new token and its hash; neither is kept."""
    token = secrets.token_urlsafe(TOKEN_BYTES)
    body = {'token': token, 'sha256': access.hash_token(token)}
    printer.show(
        body,
        lambda: [printer.line(f'{key}: {body[key]}') for key in body],
    )
    return status.ExitStatus.OK
