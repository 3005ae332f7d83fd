"""Reads log lines of hosts from files or standard input."""

import datetime
import pathlib
import typing

import attrs

from godwitglade.command import errors
from godwitglade.common import codec
from godwitglade.common import errors as common_errors

#: Events that change the state of a host, independent of any request.
HOST_STATE_EVENTS = frozenset(
    {
        'routes_in_force',
        'settings_reloaded',
        'store_lost',
        'store_regained',
        'started',
        'stopping',
    }
)
COMMON_FIELDS = frozenset(
    {'host', 'zone', 'number', 'event', 'level', 'timestamp'}
)


@attrs.frozen
class LogLine:
    """A log line; ``fields`` excludes the fields common to all lines."""

    at_s: float
    host: str
    event: str
    fields: dict[str, typing.Any]

    def is_about(self, request: str) -> bool:
        """Return whether the line names ``request``."""
        others = self.fields.get('requests') or ()
        return self.fields.get('request') == request or request in others


def parse_lines(texts: typing.Iterable[str]) -> typing.Iterator[LogLine]:
    """Yield the log lines in ``texts``; skip other text.

    Text before the JSON of a line, such as the prefix that a log collector
    adds, is ignored.
    """
    for text in texts:
        _, brace, rest = text.partition('{')
        if not brace:
            continue
        try:
            plain = codec.parse_json(f'{{{rest}'.encode())
            yield _make_line(plain)
        except (common_errors.MalformedError, KeyError, ValueError):
            # The output of a host may also contain other text, such as
            # tracebacks.
            continue


def _make_line(plain: dict[str, typing.Any]) -> LogLine:
    moment = datetime.datetime.fromisoformat(plain['timestamp'])
    fields = {k: v for k, v in plain.items() if k not in COMMON_FIELDS}
    return LogLine(moment.timestamp(), plain['host'], plain['event'], fields)


def read_texts(
    paths: typing.Sequence[pathlib.Path], stdin: typing.Iterable[str]
) -> typing.Iterator[str]:
    """Yield the lines of the files, or of ``stdin`` if there are none.

    Raises OptionError if a file cannot be read.
    """
    if not paths:
        yield from stdin
    for path in paths:
        try:
            with path.open(encoding='utf-8', errors='replace') as file:
                yield from file
        except OSError as error:
            raise errors.OptionError('LOGS', str(error)) from error


def format_time(at_s: float) -> str:
    """Return the time of day in UTC, with milliseconds."""
    moment = datetime.datetime.fromtimestamp(at_s, datetime.timezone.utc)
    return moment.strftime('%H:%M:%S.%f')[:-3]
