"""Processing of status, and waiting until a change is in force."""

import attrs

from godwitglade.command import errors
from godwitglade.command import operators
from godwitglade.command import output
from godwitglade.command import status
from godwitglade.operators import gateway

POLL_MS = 250
LIVE = 'live'
#: States of hosts that are heard from.
HEARD = (LIVE, 'leaving')


@attrs.frozen
class Change:
    """An accepted change: its number and the pipeline it changes."""

    sequence: int
    pipeline: str


@attrs.frozen
class Progress:
    """Where a change is in force, among the hosts known."""

    in_force: tuple[str, ...]
    behind: tuple[str, ...]
    not_heard: tuple[str, ...]

    @property
    def is_complete(self) -> bool:
        """Tell whether every live host has the change in force."""
        return bool(self.in_force) and not self.behind

    def __str__(self) -> str:
        total = len(self.in_force) + len(self.behind)
        text = f'in force on {len(self.in_force)} of {total} live hosts'
        if self.not_heard:
            text += f'; not heard from: {", ".join(self.not_heard)}'
        return text


def measure(found: gateway.StatusView, change: Change) -> Progress:
    """Return where ``change`` is in force."""
    hosts = all_hosts(found)
    live = [host for host in hosts if host.state == LIVE]
    return Progress(
        tuple(host.name for host in live if _holds(host, change)),
        tuple(host.name for host in live if not _holds(host, change)),
        tuple(host.name for host in hosts if host.state not in HEARD),
    )


def _holds(host: gateway.HostView, change: Change) -> bool:
    is_refused = change.pipeline in host.refused
    return host.sequence >= change.sequence and not is_refused


def all_hosts(found: gateway.StatusView) -> list[gateway.HostView]:
    """Return the host that answered and those that it knows of."""
    refused = tuple(entry.pipeline for entry in found.refused)
    answering = gateway.HostView(
        found.host, found.zone, '', LIVE, found.sequence, 0, refused
    )
    others = (host for host in found.hosts if host.name != found.host)
    return sorted([answering, *others], key=lambda host: host.name)


def show(
    printer: output.Printer, server: operators.Operators
) -> status.ExitStatus:
    """Print the change in force per host and the documents' versions."""
    found = server.status()
    printer.show(found, lambda: _render(printer, found))
    return status.ExitStatus.OK


def _render(printer: output.Printer, found: gateway.StatusView) -> None:
    columns = ('host', 'zone', 'state', 'change', 'heard', 'in force')
    hosts = all_hosts(found)
    newest = max(host.sequence for host in hosts)
    rows = [
        (
            host.name,
            host.zone,
            host.state,
            host.sequence,
            _heard(host.heard_ago_ms),
            _in_force(host, newest),
        )
        for host in hosts
    ]
    printer.table(columns, rows)
    printer.line('')
    printer.table(('pipeline', 'version'), sorted(found.documents.items()))
    for entry in found.refused:
        printer.line(
            f'not in force on {found.host}: {entry.pipeline} version '
            f'{entry.version}: {entry.reason}'
        )


def _heard(ago_ms: int | None) -> str:
    return 'never' if ago_ms is None else f'{ago_ms} ms ago'


def _in_force(host: gateway.HostView, newest: int) -> str:
    if host.state not in HEARD:
        return 'not heard from since'
    if host.refused:
        return f'refused: {", ".join(host.refused)}'
    behind = newest - host.sequence
    return 'current' if behind == 0 else f'{behind} changes behind'


def wait(
    printer: output.Printer,
    server: operators.Operators,
    change: Change,
    wait_ms: int,
) -> status.ExitStatus:
    """Wait until ``change`` is in force on every live host."""
    clock = printer.env.clock
    until_ms = clock.monotonic_ms() + wait_ms
    shown = ''
    while True:
        progress = _poll(server, change)
        if str(progress) != shown:
            shown = str(progress)
            printer.note(shown)
        if progress is not None and progress.is_complete:
            return status.ExitStatus.OK
        if clock.monotonic_ms() >= until_ms:
            return _give_up(printer, progress)
        printer.env.sleep_ms(POLL_MS)


def _poll(server: operators.Operators, change: Change) -> Progress | None:
    try:
        return measure(server.poll_status(change.sequence), change)
    except errors.CommandError as error:
        if not error.is_retryable:
            raise
        return None


def _give_up(
    printer: output.Printer, progress: Progress | None
) -> status.ExitStatus:
    behind = ', '.join(progress.behind) if progress else 'status unknown'
    printer.note(f'not in force everywhere in time; behind: {behind}')
    return status.ExitStatus.NOT_IN_FORCE
