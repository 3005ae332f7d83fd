"""Processing of status, and waiting for a change to be in force."""

import attrs

from godwitglade.command import errors
from godwitglade.command import operators_client
from godwitglade.command import output
from godwitglade.command import status
from godwitglade.operators import gateway

POLL_MS = 250
LIVE = 'live'
#: States of hosts that are still in contact.
REACHABLE_STATES = (LIVE, 'leaving')


@attrs.frozen
class AcceptedChange:
    """An accepted change: its sequence number and its pipeline."""

    sequence: int
    pipeline: str


@attrs.frozen
class Progress:
    """Hosts that have a change in force, and hosts that do not.

    ``not_heard`` names the hosts that are not in contact.
    """

    in_force: tuple[str, ...]
    behind: tuple[str, ...]
    not_heard: tuple[str, ...]

    @property
    def is_complete(self) -> bool:
        """Return whether every live host has the change in force."""
        return bool(self.in_force) and not self.behind

    def __str__(self) -> str:
        total = len(self.in_force) + len(self.behind)
        text = f'in force on {len(self.in_force)} of {total} live hosts'
        if self.not_heard:
            text += f'; not heard from: {", ".join(self.not_heard)}'
        return text


def measure_progress(
    view: gateway.StatusView, change: AcceptedChange
) -> Progress:
    """Return on which hosts ``change`` is in force."""
    hosts = all_hosts(view)
    live = [host for host in hosts if host.state == LIVE]
    return Progress(
        tuple(host.name for host in live if _has_in_force(host, change)),
        tuple(host.name for host in live if not _has_in_force(host, change)),
        tuple(
            host.name for host in hosts if host.state not in REACHABLE_STATES
        ),
    )


def _has_in_force(host: gateway.HostView, change: AcceptedChange) -> bool:
    is_refused = change.pipeline in host.refused
    return host.sequence >= change.sequence and not is_refused


def all_hosts(view: gateway.StatusView) -> list[gateway.HostView]:
    """Return the host that sent the view and the hosts that it knows."""
    refused = tuple(entry.pipeline for entry in view.refused)
    answering = gateway.HostView(
        view.host, view.zone, '', LIVE, view.sequence, 0, refused
    )
    others = (host for host in view.hosts if host.name != view.host)
    return sorted([answering, *others], key=lambda host: host.name)


def show(
    printer: output.Printer, server: operators_client.Client
) -> status.ExitStatus:
    """Print the change in force on each host and the document versions."""
    view = server.status()
    printer.show(view, lambda: _render(printer, view))
    return status.ExitStatus.OK


def _render(printer: output.Printer, view: gateway.StatusView) -> None:
    columns = ('host', 'zone', 'state', 'change', 'heard', 'in force')
    hosts = all_hosts(view)
    newest = max(host.sequence for host in hosts)
    rows = [
        (
            host.name,
            host.zone,
            host.state,
            host.sequence,
            _format_last_contact(host.heard_ago_ms),
            _format_in_force(host, newest),
        )
        for host in hosts
    ]
    printer.table(columns, rows)
    printer.line('')
    printer.table(('pipeline', 'version'), sorted(view.documents.items()))
    for entry in view.refused:
        printer.line(
            f'not in force on {view.host}: {entry.pipeline} version '
            f'{entry.version}: {entry.reason}'
        )


def _format_last_contact(ago_ms: int | None) -> str:
    return 'never' if ago_ms is None else f'{ago_ms} ms ago'


def _format_in_force(host: gateway.HostView, newest: int) -> str:
    if host.state not in REACHABLE_STATES:
        return 'not heard from since'
    if host.refused:
        return f'refused: {", ".join(host.refused)}'
    behind = newest - host.sequence
    return 'current' if behind == 0 else f'{behind} changes behind'


def wait(
    printer: output.Printer,
    server: operators_client.Client,
    change: AcceptedChange,
    wait_ms: int,
) -> status.ExitStatus:
    """Wait until ``change`` is in force on every live host."""
    clock = printer.env.clock
    deadline_ms = clock.monotonic_ms() + wait_ms
    shown = ''
    while True:
        progress = _poll_progress(server, change)
        if str(progress) != shown:
            shown = str(progress)
            printer.stderr_line(shown)
        if progress is not None and progress.is_complete:
            return status.ExitStatus.OK
        if clock.monotonic_ms() >= deadline_ms:
            return _report_timeout(printer, progress)
        printer.env.sleep_ms(POLL_MS)


def _poll_progress(
    server: operators_client.Client, change: AcceptedChange
) -> Progress | None:
    try:
        return measure_progress(server.poll_status(change.sequence), change)
    except errors.CommandError as error:
        if not error.is_retryable:
            raise
        return None


def _report_timeout(
    printer: output.Printer, progress: Progress | None
) -> status.ExitStatus:
    behind = ', '.join(progress.behind) if progress else 'status unknown'
    printer.stderr_line(f'not in force everywhere in time; behind: {behind}')
    return status.ExitStatus.NOT_IN_FORCE
