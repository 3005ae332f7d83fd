"""Outcomes as callers get them, and how they are shown."""

import typing

import attrs

from godwitglade.command import errors
from godwitglade.command import output
from godwitglade.command import status
from godwitglade.common import codec
from godwitglade.decisions import outcomes

_STATUSES = {
    outcomes.Answered.code: status.ExitStatus.OK,
    outcomes.RefusedNotRun.code: status.ExitStatus.REFUSED,
    outcomes.Failed.code: status.ExitStatus.FAILED,
    outcomes.Unknown.code: status.ExitStatus.UNKNOWN,
}

_STATE_STATUSES = {
    'running': status.ExitStatus.UNKNOWN,
    'unknown': status.ExitStatus.UNKNOWN,
    'absent': status.ExitStatus.NOT_FOUND,
    'unavailable': status.ExitStatus.UNAVAILABLE,
}


@attrs.frozen
class OutcomeView:
    """An outcome of any type; fields that it does not have are empty."""

    outcome: str
    request_id: str = ''
    is_retryable: bool = False
    reason: str = ''
    message: str = ''
    retry_after_ms: int = 0
    stage: str = ''
    ran: tuple[str, ...] = ()
    results: dict[str, typing.Any] = attrs.Factory(dict)
    stages: tuple[outcomes.StageReport, ...] = ()

    @property
    def exit_status(self) -> status.ExitStatus:
        """Return the status that the command ends with."""
        return _STATUSES.get(self.outcome, status.ExitStatus.ERROR)


@attrs.frozen
class OutcomeState:
    """What is known of an earlier request."""

    state: str
    outcome: OutcomeView | None = None

    @property
    def exit_status(self) -> status.ExitStatus:
        """Return the status that the command ends with."""
        if self.outcome is not None:
            return self.outcome.exit_status
        return _STATE_STATUSES.get(self.state, status.ExitStatus.ERROR)


def make_lost(error: errors.AnswerLostError) -> OutcomeView:
    """Return the outcome of a request whose answer was lost."""
    return OutcomeView(
        outcomes.Unknown.code, reason=error.code, message=str(error)
    )


def render(
    printer: output.Printer, found: OutcomeView, key: str | None
) -> None:
    """Print an outcome for people; ``key`` is the request's, if any."""
    if found.outcome == outcomes.Answered.code:
        _render_answer(printer, found)
        return
    wait_ms = found.retry_after_ms
    hint = f'; retry after {wait_ms} ms' if wait_ms else ''
    printer.line(f'{found.outcome}: {found.reason}{hint}')
    if found.message:
        printer.line(found.message)
    if found.outcome == outcomes.Unknown.code and key:
        printer.line(f'ask later with: godwitglade outcome ... {key}')


def _render_answer(printer: output.Printer, found: OutcomeView) -> None:
    for stage, result in found.results.items():
        printer.line(f'{stage}: {codec.to_json(result).decode()}')
    columns = ('stage', 'target', 'attempts', 'ms')
    rows = [
        (report.stage, report.target, report.attempts, report.elapsed_ms)
        for report in found.stages
    ]
    if rows:
        printer.table(columns, rows)
