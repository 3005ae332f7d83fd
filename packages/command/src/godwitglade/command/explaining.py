"""Processing of explain: the story of one request from kept logs."""

import pathlib
import typing

import attrs

from godwitglade.command import errors
from godwitglade.command import log_lines
from godwitglade.command import output
from godwitglade.command import status

#: Beliefs that changed this long before the request may still bear on it.
BELIEF_WINDOW_S = 10.0
#: Events about a target or an owner that the request met.
ABOUT_OTHERS = frozenset(
    {'target_changed', 'target_suspended', 'owner_lost', 'batch_lost'}
)


@attrs.frozen
class Story:
    """Lines about one request, and the beliefs that may bear on it."""

    request: str
    lines: tuple[log_lines.Line, ...]


def show(
    printer: output.Printer,
    request: str,
    paths: typing.Sequence[pathlib.Path],
    stdin: typing.Iterable[str],
) -> status.ExitStatus:
    """Print the story of ``request``; raises OptionError if unknown."""
    lines = list(log_lines.read(log_lines.texts(paths, stdin)))
    story = tell(request, lines)
    if not story.lines:
        reason = f'{request} stands in none of {len(lines)} log lines'
        raise errors.OptionError('--request', reason)
    columns = ('time', 'host', 'event', 'details')
    rows = [
        (log_lines.time_of(line.at_s), line.host, line.event, _details(line))
        for line in story.lines
    ]
    printer.show(story, lambda: printer.table(columns, rows))
    return status.ExitStatus.OK


def tell(request: str, lines: typing.Sequence[log_lines.Line]) -> Story:
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

    def bears_on(line: log_lines.Line) -> bool:
        is_near = start_s <= line.at_s <= end_s and line.host in hosts
        if not is_near or line.is_about(request):
            return False
        values = line.fields.values()
        is_named = any(v in named for v in values if isinstance(v, str))
        is_other = line.event in ABOUT_OTHERS and is_named
        return line.event in log_lines.BELIEFS or is_other

    found = own + [line for line in lines if bears_on(line)]
    return Story(request, tuple(sorted(found, key=lambda line: line.at_s)))


def _details(line: log_lines.Line) -> str:
    shown = {k: v for k, v in line.fields.items() if k != 'requests'}
    return ' '.join(f'{name}={value}' for name, value in shown.items())
