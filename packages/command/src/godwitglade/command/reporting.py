"""Processing of report: statistics of requests from the logs of hosts."""

import collections
import pathlib
import statistics
import typing

import attrs

from godwitglade.command import errors
from godwitglade.command import log_lines
from godwitglade.command import output
from godwitglade.command import status

#: Events that end a routed request, with the field that holds its outcome.
#: Requests of pipelines, which end with request_settled, are not counted.
OUTCOME_FIELDS = {'request_ended': 'outcome', 'request_refused': 'reason'}
#: Events about the state of a host, of targets and of owners, including
#: dropped log lines.
STATE_EVENTS = log_lines.HOST_STATE_EVENTS | {
    'target_changed',
    'target_suspended',
    'owner_lost',
    'logs_dropped',
}
PLOT_SIZE_INCHES = (10.0, 4.0)


@attrs.frozen
class RouteTimes:
    """Times of a route's requests, from their arrival to their end.

    ``slowest_percent_ms`` is the 99th percentile.
    """

    route: str
    requests: int
    median_ms: float
    slowest_percent_ms: float


@attrs.frozen
class StateChanges:
    """The number of state changes of one event, their hosts and times."""

    event: str
    changes: int
    hosts: int
    first_s: float
    last_s: float


@attrs.frozen
class Report:
    """Statistics of log lines of several hosts.

    ``by_second`` counts outcomes by second, counted from ``start_s``;
    ``beliefs`` are the state changes by log event.
    """

    lines: int
    start_s: float
    outcomes: dict[str, int]
    by_second: dict[int, dict[str, int]]
    routes: tuple[RouteTimes, ...]
    stages: dict[str, int]
    beliefs: tuple[StateChanges, ...]


def show(
    printer: output.Printer,
    paths: typing.Sequence[pathlib.Path],
    stdin: typing.Iterable[str],
    plot: pathlib.Path | None,
) -> status.ExitStatus:
    """Print the report; raises OptionError if there are no log lines."""
    texts = log_lines.read_texts(paths, stdin)
    lines = list(log_lines.parse_lines(texts))
    if not lines:
        raise errors.OptionError('LOGS', 'the input has no log lines')
    report = summarize(lines)
    if plot is not None:
        draw(report, plot)
    printer.show(report, lambda: _print(printer, report))
    return status.ExitStatus.OK


def summarize(lines: typing.Sequence[log_lines.LogLine]) -> Report:
    """Return the report of ``lines``, which may be in any order."""
    start_s = min(line.at_s for line in lines)
    ended = [
        (line, _outcome(line))
        for line in lines
        if line.event in OUTCOME_FIELDS
    ]
    by_second: dict[int, collections.Counter] = collections.defaultdict(
        collections.Counter
    )
    for line, outcome in ended:
        by_second[int(line.at_s - start_s)][outcome] += 1
    failed = [line for line in lines if line.event == 'stage_failed']
    return Report(
        lines=len(lines),
        start_s=start_s,
        outcomes=_sorted_counts(outcome for _, outcome in ended),
        by_second={s: dict(by_second[s]) for s in sorted(by_second)},
        routes=tuple(_route_times(lines)),
        stages=_sorted_counts(
            f'{line.fields.get("route")} stage {line.fields.get("stage")}: '
            f'{line.fields.get("ending")}'
            for line in failed
        ),
        beliefs=tuple(_state_changes(lines)),
    )


def draw(report: Report, path: pathlib.Path) -> None:
    """Plot outcomes by second.

    Raises OptionError if matplotlib is missing or the file cannot be
    written.
    """
    try:
        from matplotlib import figure as figures
    except ImportError as error:
        reason = 'matplotlib is not installed'
        raise errors.OptionError('--plot', reason) from error
    figure = figures.Figure(figsize=PLOT_SIZE_INCHES, layout='constrained')
    axes = figure.subplots()
    seconds = range(max(report.by_second, default=0) + 1)
    series = [
        [report.by_second.get(s, {}).get(outcome, 0) for s in seconds]
        for outcome in report.outcomes
    ]
    if series:
        axes.stackplot(seconds, series, labels=list(report.outcomes))
        axes.legend(loc='upper left', fontsize='small')
    axes.set(
        xlabel='time since the first log line / s',
        ylabel='requests ended per second',
    )
    try:
        figure.savefig(path)
    except (OSError, ValueError) as error:
        raise errors.OptionError('--plot', str(error)) from error


def _outcome(line: log_lines.LogLine) -> str:
    return str(line.fields.get(OUTCOME_FIELDS[line.event], 'unknown'))


def _sorted_counts(values: typing.Iterable[str]) -> dict[str, int]:
    return dict(collections.Counter(values).most_common())


def _route_times(
    lines: typing.Iterable[log_lines.LogLine],
) -> typing.Iterator[RouteTimes]:
    times: dict[str, list[float]] = collections.defaultdict(list)
    for line in lines:
        elapsed_ms = line.fields.get('elapsed_ms')
        if line.event == 'request_ended' and elapsed_ms is not None:
            times[str(line.fields.get('route'))].append(elapsed_ms)
    for route, values in sorted(times.items()):
        # statistics.quantiles needs at least two values.
        cuts = statistics.quantiles([*values, values[-1]], n=100)
        yield RouteTimes(
            route, len(values), statistics.median(values), cuts[98]
        )


def _state_changes(
    lines: typing.Iterable[log_lines.LogLine],
) -> typing.Iterator[StateChanges]:
    lines_by_event: dict[str, list[log_lines.LogLine]] = (
        collections.defaultdict(list)
    )
    for line in lines:
        if line.event in STATE_EVENTS:
            lines_by_event[line.event].append(line)
    for event, changed in sorted(lines_by_event.items()):
        moments = [line.at_s for line in changed]
        hosts = {line.host for line in changed}
        yield StateChanges(
            event, len(changed), len(hosts), min(moments), max(moments)
        )


def _print(printer: output.Printer, report: Report) -> None:
    printer.table(('outcome', 'requests'), report.outcomes.items())
    printer.line('')
    columns = ('second', 'requests', 'outcomes')
    printer.table(columns, map(_second_row, report.by_second.items()))
    printer.line('')
    columns = ('route', 'requests', 'median ms', 'p99 ms')
    printer.table(
        columns,
        (
            (r.route, r.requests, r.median_ms, round(r.slowest_percent_ms))
            for r in report.routes
        ),
    )
    printer.line('')
    printer.table(('failed stage', 'requests'), report.stages.items())
    printer.line('')
    columns = ('belief', 'changes', 'hosts', 'first', 'last')
    printer.table(
        columns,
        (
            (
                b.event,
                b.changes,
                b.hosts,
                log_lines.format_time(b.first_s),
                log_lines.format_time(b.last_s),
            )
            for b in report.beliefs
        ),
    )


def _second_row(
    item: tuple[int, dict[str, int]],
) -> tuple[int, int, str]:
    second, counts = item
    parts = ' '.join(f'{name}={count}' for name, count in counts.items())
    return second, sum(counts.values()), parts
