"""Lines of the logs of hosts, from files or standard input."""

import datetime
import pathlib
import typing

import attrs

from godwitglade.command import errors
from godwitglade.common import codec
from godwitglade.common import errors as common_errors

#: Events that change what a host believes, whatever the request.
BELIEFS = frozenset(
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
class Line:
    """One line of a log."""

    at_s: float
    host: str
    event: str
    fields: dict[str, typing.Any]

    def is_about(self, request: str) -> bool:
        """Tell whether the line names a request."""
        others = self.fields.get('requests') or ()
        return self.fields.get('request') == request or request in others


def read(found: typing.Iterable[str]) -> typing.Iterator[Line]:
    """Yield the log lines in ``found``; other text is passed over.

    Whatever stands before a line's JSON, such as a collector's prefix, is
    dropped.
    """
    for text in found:
        _, brace, rest = text.partition('{')
        if not brace:
            continue
        try:
            plain = codec.parse_json(f'{{{rest}'.encode())
            yield _line(plain)
        except (common_errors.MalformedError, KeyError, ValueError):
            # Not a line of ours; an output may hold a traceback as well.
            continue


def _line(plain: dict[str, typing.Any]) -> Line:
    moment = datetime.datetime.fromisoformat(plain['timestamp'])
    fields = {k: v for k, v in plain.items() if k not in COMMON_FIELDS}
    return Line(moment.timestamp(), plain['host'], plain['event'], fields)


def texts(
    paths: typing.Sequence[pathlib.Path], stdin: typing.Iterable[str]
) -> typing.Iterator[str]:
    """Yield the lines of files, or of the input if there are none."""
    if not paths:
        yield from stdin
    for path in paths:
        try:
            with path.open(encoding='utf-8', errors='replace') as file:
                yield from file
        except OSError as error:
            raise errors.OptionError('LOGS', str(error)) from error


def time_of(at_s: float) -> str:
    """Return a moment as a time of day, in UTC."""
    moment = datetime.datetime.fromtimestamp(at_s, datetime.timezone.utc)
    return moment.strftime('%H:%M:%S.%f')[:-3]
