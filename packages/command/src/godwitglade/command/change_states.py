"""Processing of change: prints the state of a change id."""

from godwitglade.command import errors
from godwitglade.command import operators_client
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
    'unknown': 'unknown; check again later',
    NOT_APPLIED: 'not applied and never will be',
}


def show(
    printer: output.Printer,
    server: operators_client.Client,
    change_id: str,
    should_settle: bool,
) -> status.ExitStatus:
    """Print the state of a change id; make it final if ``should_settle``."""
    change = _query_state(printer, server, change_id, should_settle)
    meaning = _MEANINGS.get(change.state, change.state).format(change)
    printer.show(change, lambda: printer.line(f'{change_id}: {meaning}'))
    return _STATUSES.get(change.state, status.ExitStatus.ERROR)


def _query_state(
    printer: output.Printer,
    server: operators_client.Client,
    change_id: str,
    should_settle: bool,
) -> operators_client.ChangeState:
    query = server.settle if should_settle else server.change
    try:
        return retries.make_retrying(printer.env, _should_retry)(
            query, change_id
        )
    except errors.ServerError as error:
        if not is_never_applied(error):
            raise
        return operators_client.ChangeState(NOT_APPLIED, change_id)


def is_never_applied(error: BaseException) -> bool:
    """Return whether the server reports that it never applies the change."""
    return getattr(error, 'remote_code', '') == 'change_not_applied'


def _should_retry(error: BaseException) -> bool:
    return retries.is_retryable(error) and not is_never_applied(error)
