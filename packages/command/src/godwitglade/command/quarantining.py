"""Processing of quarantine list and quarantine clear."""

from godwitglade.command import operators
from godwitglade.command import output
from godwitglade.command import status


def show(
    printer: output.Printer, server: operators.Operators
) -> status.ExitStatus:
    """Print the requests in quarantine."""
    body = server.read('quarantine')
    columns = ('fingerprint', 'pipeline', 'reason', 'ends in')
    rows = [
        (
            entry['fingerprint'],
            entry['pipeline'],
            entry['reason'],
            f'{entry["ends_in_ms"] // 1_000} s',
        )
        for entry in body['quarantine']
    ]
    printer.show(body, lambda: printer.table(columns, rows))
    return status.ExitStatus.OK


def clear(
    printer: output.Printer, server: operators.Operators, fingerprint: str
) -> status.ExitStatus:
    """End the quarantine of one fingerprint on every host."""
    body = server.call('DELETE', 'quarantine', fingerprint).body
    printer.show(body, lambda: printer.line(f'{fingerprint}: cleared'))
    return status.ExitStatus.OK
