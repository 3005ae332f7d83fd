"""Outcomes in responses to callers, and their rendering."""

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
    """An outcome of any type; fields that do not apply are empty."""

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
        """Return the exit status of the command."""
        return _STATUSES.get(self.outcome, status.ExitStatus.ERROR)


@attrs.frozen
class OutcomeState:
    """The state of an earlier request."""

    state: str
    outcome: OutcomeView | None = None

    @property
    def exit_status(self) -> status.ExitStatus:
        """Return the exit status of the command."""
        if self.outcome is not None:
            return self.outcome.exit_status
        return _STATE_STATUSES.get(self.state, status.ExitStatus.ERROR)


def make_unknown(error: errors.AnswerLostError) -> OutcomeView:
    """Return the unknown outcome of a request whose answer was lost."""
    return OutcomeView(
        outcomes.Unknown.code, reason=error.code, message=str(error)
    )


def render(
    printer: output.Printer, view: OutcomeView, key: str | None
) -> None:
    """Print an outcome as text; ``key`` is its idempotency key, if any."""
    if view.outcome == outcomes.Answered.code:
        _render_answer(printer, view)
        return
    wait_ms = view.retry_after_ms
    hint = f'; retry after {wait_ms} ms' if wait_ms else ''
    printer.line(f'{view.outcome}: {view.reason}{hint}')
    if view.message:
        printer.line(view.message)
    if view.outcome == outcomes.Unknown.code and key:
        printer.line(f'check later with: godwitglade outcome ... {key}')


def _render_answer(printer: output.Printer, view: OutcomeView) -> None:
    for stage, result in view.results.items():
        printer.line(f'{stage}: {codec.to_json(result).decode()}')
    columns = ('stage', 'target', 'attempts', 'ms')
    rows = [
        (report.stage, report.target, report.attempts, report.elapsed_ms)
        for report in view.stages
    ]
    if rows:
        printer.table(columns, rows)
