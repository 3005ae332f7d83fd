"""Processing of change: how a change id was settled."""

from godwitglade.command import errors
from godwitglade.command import operators
from godwitglade.command import output
from godwitglade.command import status

_STATUSES = {
    'applied': status.ExitStatus.OK,
    'absent': status.ExitStatus.NOT_FOUND,
    'unknown': status.ExitStatus.UNKNOWN,
    'not_applied': status.ExitStatus.NOT_FOUND,
}

_MEANINGS = {
    'applied': 'applied as version {version} of {pipeline}',
    'absent': 'not found; it may still be applied (--settle makes it final)',
    'unknown': 'unknown; ask again later',
    'not_applied': 'not applied and never will be',
}


def show(
    printer: output.Printer,
    server: operators.Operators,
    change_id: str,
    is_settle: bool,
) -> status.ExitStatus:
    """Print the state of a change id; ``is_settle`` makes it final."""
    method = 'DELETE' if is_settle else 'GET'
    body = _ask(printer, server, method, change_id)
    text = _MEANINGS[body['state']].format(**body)
    printer.show(body, lambda: printer.line(f'{change_id}: {text}'))
    return _STATUSES[body['state']]


def _ask(
    printer: output.Printer,
    server: operators.Operators,
    method: str,
    change_id: str,
) -> dict:
    def ask() -> dict:
        return server.call(method, 'changes', change_id).body

    try:
        return operators.retrying(printer.env, _should_retry)(ask)
    except errors.ServerError as error:
        if error.remote_code != 'change_not_applied':
            raise
        return {'state': 'not_applied', 'change_id': change_id}


def _should_retry(error: BaseException) -> bool:
    is_settled = getattr(error, 'remote_code', '') == 'change_not_applied'
    return operators.is_retryable(error) and not is_settled
