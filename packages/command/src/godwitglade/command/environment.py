"""Streams, variables, clock and HTTP client of a run of the command."""

import sys
import time
import typing
import uuid

import attrs

from godwitglade.command import errors
from godwitglade.command import http_client
from godwitglade.common import clock as clocks

DEFAULT_URL = 'http://127.0.0.1:8081'
DEFAULT_CALLERS_URL = 'http://127.0.0.1:8080'


def _make_id() -> str:
    return str(uuid.uuid4())


def _sleep_ms(delay_ms: int) -> None:
    time.sleep(delay_ms / clocks.SECOND_MS)


@attrs.define
class Environment:
    """Access to streams, variables, time and network, replaceable in tests."""

    stdin: typing.TextIO = attrs.Factory(lambda: sys.stdin)
    stdout: typing.TextIO = attrs.Factory(lambda: sys.stdout)
    stderr: typing.TextIO = attrs.Factory(lambda: sys.stderr)
    environ: typing.Mapping[str, str] = attrs.Factory(dict)
    clock: clocks.Clock = attrs.Factory(clocks.Clock)
    client: http_client.HttpClient | None = None
    sleep_ms: typing.Callable[[int], None] = _sleep_ms
    make_id: typing.Callable[[], str] = _make_id

    def __attrs_post_init__(self) -> None:
        if self.client is None:
            self.client = http_client.Urllib3Client(
                self.environ.get('GODWITGLADE_CA_FILE')
            )

    def operators_url(self, option: str | None) -> str:
        """Return the URL of the operators' listener."""
        default = self.environ.get('GODWITGLADE_URL', DEFAULT_URL)
        return (option or default).rstrip('/')

    def callers_url(self, option: str | None) -> str:
        """Return the URL of the callers' listener."""
        default = self.environ.get(
            'GODWITGLADE_CALLERS_URL', DEFAULT_CALLERS_URL
        )
        return (option or default).rstrip('/')

    def token(self, option: str | None) -> str:
        """Return the operator's token; raises OptionError."""
        token = option or self.environ.get('GODWITGLADE_TOKEN')
        if not token:
            raise errors.OptionError(
                '--token', 'set it or GODWITGLADE_TOKEN in the environment'
            )
        return token
