"""Processing of explain: the story of one request from kept logs."""

import datetime
import pathlib
import typing

import attrs

from godwitglade.command import errors
from godwitglade.command import output
from godwitglade.command import status
from godwitglade.common import codec
from godwitglade.common import errors as common_errors

#: Beliefs that changed this long before the request may still bear on it.
BELIEF_WINDOW_S = 10.0
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
#: Events about a target or an owner that the request met.
ABOUT_OTHERS = frozenset(
    {'target_changed', 'target_suspended', 'owner_lost', 'batch_lost'}
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


@attrs.frozen
class Story:
    """Lines about one request, and the beliefs that may bear on it."""

    request: str
    lines: tuple[Line, ...]


def show(
    printer: output.Printer,
    request: str,
    paths: typing.Sequence[pathlib.Path],
    stdin: typing.Iterable[str],
) -> status.ExitStatus:
    """Print the story of ``request``; raises OptionError if unknown."""
    lines = list(read(texts(paths, stdin)))
    story = tell(request, lines)
    if not story.lines:
        reason = f'{request} stands in none of {len(lines)} log lines'
        raise errors.OptionError('--request', reason)
    columns = ('time', 'host', 'event', 'details')
    rows = [
        (time_of(line.at_s), line.host, line.event, _details(line))
        for line in story.lines
    ]
    printer.show(story, lambda: printer.table(columns, rows))
    return status.ExitStatus.OK


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


def tell(request: str, lines: typing.Sequence[Line]) -> Story:
    """Return the story of ``request``, in the order of time."""
    own = [line for line in lines if line.is_about(request)]
    if not own:
        return Story(request, ())
    start_s = min(line.at_s for line in own) - BELIEF_WINDOW_S
    end_s = max(line.at_s for line in own)
    hosts = {line.host for line in own}
    named = {
        value
        for line in own
        for name in ('target', 'call', 'owner')
        if (value := line.fields.get(name))
    }

    def bears_on(line: Line) -> bool:
        is_near = start_s <= line.at_s <= end_s and line.host in hosts
        if not is_near or line.is_about(request):
            return False
        values = line.fields.values()
        is_named = any(v in named for v in values if isinstance(v, str))
        is_other = line.event in ABOUT_OTHERS and is_named
        return line.event in BELIEFS or is_other

    found = own + [line for line in lines if bears_on(line)]
    return Story(request, tuple(sorted(found, key=lambda line: line.at_s)))


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


def _details(line: Line) -> str:
    shown = {k: v for k, v in line.fields.items() if k != 'requests'}
    return ' '.join(f'{name}={value}' for name, value in shown.items())
