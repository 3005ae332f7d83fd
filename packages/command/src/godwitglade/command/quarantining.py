"""Processing of ``quarantine list`` and ``quarantine clear``."""

from godwitglade.command import operators_client
from godwitglade.command import output
from godwitglade.command import status
from godwitglade.common import clock as clocks


def show(
    printer: output.Printer, server: operators_client.Client
) -> status.ExitStatus:
    """Print the requests in quarantine."""
    body = server.quarantine()
    columns = ('fingerprint', 'pipeline', 'reason', 'ends in')
    rows = [
        (
            entry.fingerprint,
            entry.pipeline,
            entry.reason,
            f'{entry.ends_in_ms // clocks.SECOND_MS} s',
        )
        for entry in body.quarantine
    ]
    printer.show(body, lambda: printer.table(columns, rows))
    return status.ExitStatus.OK


def clear(
    printer: output.Printer, server: operators_client.Client, fingerprint: str
) -> status.ExitStatus:
    """End the quarantine of one fingerprint on every host."""
    cleared = server.clear(fingerprint)
    printer.show(cleared, lambda: printer.line(f'{fingerprint}: cleared'))
    return status.ExitStatus.OK
