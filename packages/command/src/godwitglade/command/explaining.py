"""Processing of explain: the timeline of one request from log files."""

import pathlib
import typing

import attrs

from godwitglade.command import errors
from godwitglade.command import log_lines
from godwitglade.command import output
from godwitglade.command import status

#: State changes up to this long before the request may have affected it.
STATE_WINDOW_S = 10.0
#: Events about targets, owners and batches that a request depends on.
DEPENDENCY_EVENTS = frozenset(
    {'target_changed', 'target_suspended', 'owner_lost', 'batch_lost'}
)


@attrs.frozen
class Timeline:
    """Log lines about a request and events that may have affected it."""

    request: str
    lines: tuple[log_lines.LogLine, ...]


def show(
    printer: output.Printer,
    request: str,
    paths: typing.Sequence[pathlib.Path],
    stdin: typing.Iterable[str],
) -> status.ExitStatus:
    """Print the timeline of ``request``.

    Raises OptionError if no log line is about it.
    """
    lines = list(log_lines.parse_lines(log_lines.read_texts(paths, stdin)))
    timeline = build_timeline(request, lines)
    if not timeline.lines:
        reason = f'{request} does not occur in {len(lines)} log lines'
        raise errors.OptionError('--request', reason)
    columns = ('time', 'host', 'event', 'details')
    rows = [
        (
            log_lines.format_time(line.at_s),
            line.host,
            line.event,
            _details(line),
        )
        for line in timeline.lines
    ]
    printer.show(timeline, lambda: printer.table(columns, rows))
    return status.ExitStatus.OK


def build_timeline(
    request: str, lines: typing.Sequence[log_lines.LogLine]
) -> Timeline:
    """Return the timeline of ``request``, ordered by time."""
    request_lines = [line for line in lines if line.is_about(request)]
    if not request_lines:
        return Timeline(request, ())
    start_s = min(line.at_s for line in request_lines) - STATE_WINDOW_S
    end_s = max(line.at_s for line in request_lines)
    hosts = {line.host for line in request_lines}
    related_names = {
        value
        for line in request_lines
        for name in ('target', 'call', 'owner')
        if (value := line.fields.get(name))
    }

    def is_related(line: log_lines.LogLine) -> bool:
        is_in_window = start_s <= line.at_s <= end_s and line.host in hosts
        if not is_in_window or line.is_about(request):
            return False
        values = line.fields.values()
        has_related_name = any(
            v in related_names for v in values if isinstance(v, str)
        )
        is_dependency_event = (
            line.event in DEPENDENCY_EVENTS and has_related_name
        )
        return line.event in log_lines.HOST_STATE_EVENTS or is_dependency_event

    timeline_lines = request_lines + [
        line for line in lines if is_related(line)
    ]
    return Timeline(
        request, tuple(sorted(timeline_lines, key=lambda line: line.at_s))
    )


def _details(line: log_lines.LogLine) -> str:
    shown = {k: v for k, v in line.fields.items() if k != 'requests'}
    return ' '.join(f'{name}={value}' for name, value in shown.items())
