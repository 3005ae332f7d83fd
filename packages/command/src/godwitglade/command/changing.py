"""Processing of change: how a change id was settled."""

from godwitglade.command import errors
from godwitglade.command import operators
from godwitglade.command import output
from godwitglade.command import retries
from godwitglade.command import status

NOT_APPLIED = 'not_applied'

_STATUSES = {
    'applied': status.ExitStatus.OK,
    'absent': status.ExitStatus.NOT_FOUND,
    'unknown': status.ExitStatus.UNKNOWN,
    NOT_APPLIED: status.ExitStatus.NOT_FOUND,
}

_MEANINGS = {
    'applied': 'applied as version {0.version} of {0.pipeline}',
    'absent': 'not found; it may still be applied (--settle makes it final)',
    'unknown': 'unknown; ask again later',
    NOT_APPLIED: 'not applied and never will be',
}


def show(
    printer: output.Printer,
    server: operators.Operators,
    change_id: str,
    is_settle: bool,
) -> status.ExitStatus:
    """Print the state of a change id; ``is_settle`` makes it final."""
    found = _ask(printer, server, change_id, is_settle)
    meaning = _MEANINGS.get(found.state, found.state).format(found)
    printer.show(found, lambda: printer.line(f'{change_id}: {meaning}'))
    return _STATUSES.get(found.state, status.ExitStatus.ERROR)


def _ask(
    printer: output.Printer,
    server: operators.Operators,
    change_id: str,
    is_settle: bool,
) -> operators.ChangeState:
    ask = server.settle if is_settle else server.change
    try:
        return retries.retrying(printer.env, _should_retry)(ask, change_id)
    except errors.ServerError as error:
        if not is_never_applied(error):
            raise
        return operators.ChangeState(NOT_APPLIED, change_id)


def is_never_applied(error: BaseException) -> bool:
    """Tell whether the server said that the change is settled so."""
    return getattr(error, 'remote_code', '') == 'change_not_applied'


def _should_retry(error: BaseException) -> bool:
    return retries.is_retryable(error) and not is_never_applied(error)
