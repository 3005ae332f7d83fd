"""Processing of apply and remove: sends changes and retries them."""

import attrs

from godwitglade.command import change_states
from godwitglade.command import documents
from godwitglade.command import errors
from godwitglade.command import operators_client
from godwitglade.command import output
from godwitglade.command import retries
from godwitglade.command import rollout
from godwitglade.command import status

#: Change ids tried in turn when the server will never apply one of them.
MAX_CHANGE_IDS = 3


@attrs.frozen
class Options:
    """Options of a change; see the help of ``apply``."""

    based_on: int | None = None
    is_overwrite: bool = False
    wait_ms: int | None = None


@attrs.frozen
class Change:
    """One change to send; it removes the document if ``text`` is None."""

    pipeline: str
    based_on: int
    text: str | None


def apply(
    printer: output.Printer,
    server: operators_client.Client,
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
    server: operators_client.Client,
    pipeline: str,
    options: Options,
) -> status.ExitStatus:
    """Remove a document; its pipeline accepts no more requests."""
    based_on = options.based_on
    if based_on is None:
        based_on, _ = documents.fetch_current(server, pipeline)
    change = Change(pipeline, based_on, None)
    return send(printer, server, change, options.wait_ms)


def send(
    printer: output.Printer,
    server: operators_client.Client,
    change: Change,
    wait_ms: int | None,
) -> status.ExitStatus:
    """Send a change, print its result and wait until it is in force.

    It does not wait if ``wait_ms`` is None.
    """
    try:
        accepted = ChangeSender(printer, server, change).run()
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
    accepted_change = rollout.AcceptedChange(
        accepted.sequence, change.pipeline
    )
    return rollout.wait(printer, server, accepted_change, wait_ms)


class ChangeSender:
    """Sends one change until its state is certain or attempts run out.

    The server applies a change id at most once, which makes retries safe.
    Once the answer to an attempt is lost, only an answer for the same
    change id shows whether the change was applied.
    """

    def __init__(
        self,
        printer: output.Printer,
        server: operators_client.Client,
        change: Change,
    ) -> None:
        self._printer = printer
        self._server = server
        self._change = change
        self._change_id = ''
        self._may_be_applied = False

    def run(self) -> operators_client.ChangeState:
        """Return the state of the accepted change.

        Raises UnsettledError when the change may have been applied, and
        the error of the last attempt otherwise.
        """
        for _ in range(MAX_CHANGE_IDS - 1):
            try:
                return self._send_under_new_id()
            except errors.ServerError as error:
                if not change_states.is_never_applied(error):
                    raise
        return self._send_under_new_id()

    def _send_under_new_id(self) -> operators_client.ChangeState:
        self._change_id = self._printer.env.make_id()
        self._may_be_applied = False
        retry = retries.make_retrying(self._printer.env, self._should_retry)
        try:
            return retry(self._send_once)
        except errors.CommandError as error:
            if self._may_be_applied and not self._is_final(error):
                raise errors.UnsettledError(self._change_id) from error
            raise

    def _send_once(self) -> operators_client.ChangeState:
        change = self._change
        try:
            state = self._server.apply(
                change.pipeline, change.based_on, self._change_id, change.text
            )
        except errors.AnswerLostError:
            self._may_be_applied = True
            raise
        if not state.is_applied:
            self._may_be_applied = True
            reason = 'the server does not know the state of the change'
            raise errors.AnswerLostError(change.pipeline, reason)
        return state

    def _should_retry(self, error: BaseException) -> bool:
        return retries.is_retryable(error) and not self._is_final(error)

    def _is_final(self, error: BaseException) -> bool:
        """Return whether the change will never be applied under its id."""
        if not isinstance(error, errors.ServerError):
            return False
        if error.remote_code == 'change_conflict':
            # Versions only increase, so the conflict is permanent.
            return error.fields.get('version', 0) > self._change.based_on
        return change_states.is_never_applied(error)


def _make_change(
    server: operators_client.Client,
    file: documents.DocumentFile,
    options: Options,
) -> Change:
    pipeline = file.parse().pipeline
    if options.is_overwrite:
        based_on, _ = documents.fetch_current(server, pipeline)
        return Change(pipeline, based_on, file.text)
    candidates = (options.based_on, file.based_on, 0)
    based_on = next(value for value in candidates if value is not None)
    return Change(pipeline, based_on, file.text)


def _show_unknown(
    printer: output.Printer, change: Change, change_id: str
) -> status.ExitStatus:
    state = operators_client.ChangeState('unknown', change_id, change.pipeline)
    printer.show(
        state,
        lambda: printer.line(
            f'{change.pipeline}: unknown whether the change was applied; '
            f'check with: godwitglade change {change_id}'
        ),
    )
    return status.ExitStatus.UNKNOWN
