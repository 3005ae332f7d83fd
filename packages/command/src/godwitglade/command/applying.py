"""Processing of apply and remove: one change, its retries and its end."""

import attrs

from godwitglade.command import changing
from godwitglade.command import documents
from godwitglade.command import errors
from godwitglade.command import fleet
from godwitglade.command import operators
from godwitglade.command import output
from godwitglade.command import retries
from godwitglade.command import status

#: New change ids tried after the server gave one up for good.
MAX_CHANGE_IDS = 3


@attrs.frozen
class Options:
    """How to apply: see the help of ``apply``."""

    based_on: int | None = None
    is_overwrite: bool = False
    wait_ms: int | None = None


@attrs.frozen
class Change:
    """One change to send; ``text`` None removes the document."""

    pipeline: str
    based_on: int
    text: str | None


def apply(
    printer: output.Printer,
    server: operators.Operators,
    paths: list[str],
    options: Options,
) -> status.ExitStatus:
    """Apply each document; stop at the first that is not accepted."""
    files = [documents.read_file(printer.env, path) for path in paths]
    changes = [_make_change(server, file, options) for file in files]
    for change in changes:
        result = send(printer, server, change, options.wait_ms)
        if result is not status.ExitStatus.OK:
            return result
    return status.ExitStatus.OK


def remove(
    printer: output.Printer,
    server: operators.Operators,
    pipeline: str,
    options: Options,
) -> status.ExitStatus:
    """Remove a document; its pipeline accepts no more requests."""
    based_on = options.based_on
    if based_on is None:
        based_on, _ = documents.current(server, pipeline)
    change = Change(pipeline, based_on, None)
    return send(printer, server, change, options.wait_ms)


def send(
    printer: output.Printer,
    server: operators.Operators,
    change: Change,
    wait_ms: int | None,
) -> status.ExitStatus:
    """Send a change, print how it ended and wait until it is in force."""
    try:
        accepted = Sender(printer, server, change).run()
    except errors.UnsettledError as error:
        return _show_unknown(printer, change, error.change_id)
    printer.show(
        accepted,
        lambda: printer.line(
            f'{change.pipeline}: version {accepted.version} accepted as '
            f'change {accepted.sequence}'
        ),
    )
    if wait_ms is None:
        return status.ExitStatus.OK
    made = fleet.Change(accepted.sequence, change.pipeline)
    return fleet.wait(printer, server, made, wait_ms)


class Sender:
    """Sends one change until its state is certain or attempts run out.

    The change id makes sending it again harmless. Once an attempt's answer
    was lost, only an answer for that id tells the state.
    """

    def __init__(
        self,
        printer: output.Printer,
        server: operators.Operators,
        change: Change,
    ) -> None:
        self._printer = printer
        self._server = server
        self._change = change
        self._change_id = ''
        self._is_in_doubt = False

    def run(self) -> operators.ChangeState:
        """Return the state of the accepted change.

        Raises UnsettledError when it may have been applied, else the
        server's error.
        """
        for _ in range(MAX_CHANGE_IDS - 1):
            try:
                return self._send_under_new_id()
            except errors.ServerError as error:
                if not changing.is_never_applied(error):
                    raise
        return self._send_under_new_id()

    def _send_under_new_id(self) -> operators.ChangeState:
        self._change_id = self._printer.env.make_id()
        self._is_in_doubt = False
        retry = retries.retrying(self._printer.env, self._should_retry)
        try:
            return retry(self._send_once)
        except errors.CommandError as error:
            if self._is_in_doubt and not self._is_final(error):
                raise errors.UnsettledError(self._change_id) from error
            raise

    def _send_once(self) -> operators.ChangeState:
        change = self._change
        try:
            answer = self._server.apply(
                change.pipeline, change.based_on, self._change_id, change.text
            )
        except errors.AnswerLostError:
            self._is_in_doubt = True
            raise
        if not answer.is_applied:
            self._is_in_doubt = True
            reason = 'the state of the change is not known'
            raise errors.AnswerLostError(change.pipeline, reason)
        return answer

    def _should_retry(self, error: BaseException) -> bool:
        return retries.is_retryable(error) and not self._is_final(error)

    def _is_final(self, error: BaseException) -> bool:
        """Tell whether the change will never be applied under its id."""
        if not isinstance(error, errors.ServerError):
            return False
        if error.remote_code == 'change_conflict':
            # The versions only grow, so that this one never comes back.
            return error.fields.get('version', 0) > self._change.based_on
        return changing.is_never_applied(error)


def _make_change(
    server: operators.Operators,
    file: documents.DocumentFile,
    options: Options,
) -> Change:
    pipeline = file.parse().pipeline
    if options.is_overwrite:
        based_on, _ = documents.current(server, pipeline)
        return Change(pipeline, based_on, file.text)
    known = (options.based_on, file.based_on, 0)
    based_on = next(value for value in known if value is not None)
    return Change(pipeline, based_on, file.text)


def _show_unknown(
    printer: output.Printer, change: Change, change_id: str
) -> status.ExitStatus:
    state = operators.ChangeState('unknown', change_id, change.pipeline)
    printer.show(
        state,
        lambda: printer.line(
            f'{change.pipeline}: unknown whether the change was applied; '
            f'ask with: godwitglade change {change_id}'
        ),
    )
    return status.ExitStatus.UNKNOWN
