"""Processing of audit: prints the audit trail and verifies its chain."""

import datetime
import itertools
import typing

import attrs

from godwitglade.command import operators_client
from godwitglade.command import output
from godwitglade.command import status
from godwitglade.common import clock as clocks
from godwitglade.coordination import audit

PAGE_RECORDS = 500


@attrs.frozen
class VerificationResult:
    """The number of records checked and the first fault, if any."""

    records: int
    fault: audit.AuditFault | None


def show(
    printer: output.Printer,
    server: operators_client.Client,
    after: int,
    limit: int,
) -> status.ExitStatus:
    """Print up to ``limit`` records after sequence ``after``."""
    records = list(itertools.islice(_fetch_records(server, after), limit))
    body = operators_client.Records(tuple(records))
    columns = ('change', 'time', 'author', 'team', 'action', 'document')
    rows = [
        (
            record.sequence,
            _format_time(record.at_ms),
            record.author,
            record.team,
            record.action,
            f'{record.pipeline} version {record.version}',
        )
        for record in records
    ]
    printer.show(body, lambda: printer.table(columns, rows))
    return status.ExitStatus.OK


def verify(
    printer: output.Printer, server: operators_client.Client
) -> status.ExitStatus:
    """Verify the chain of all records, from the first one."""
    counter = itertools.count()
    records = (record for record, _ in zip(_fetch_records(server, 0), counter))
    fault = audit.verify(records)
    checked = next(counter)
    result = VerificationResult(checked, fault)
    if fault is None:
        text = f'{checked} records verified'
    else:
        text = f'record {fault.sequence}: {fault.reason}'
    printer.show(result, lambda: printer.line(text))
    is_intact = fault is None
    return (
        status.ExitStatus.OK if is_intact else status.ExitStatus.AUDIT_BROKEN
    )


def _fetch_records(
    server: operators_client.Client, after: int
) -> typing.Iterator[audit.AuditRecord]:
    while True:
        page = server.audit(after, PAGE_RECORDS).records
        yield from page
        if len(page) < PAGE_RECORDS:
            return
        after = page[-1].sequence


def _format_time(at_ms: int) -> str:
    moment = datetime.datetime.fromtimestamp(
        at_ms / clocks.SECOND_MS, datetime.timezone.utc
    )
    return moment.strftime('%Y-%m-%d %H:%M:%SZ')
