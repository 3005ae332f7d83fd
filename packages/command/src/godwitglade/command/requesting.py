"""Processing of request and outcome: sends requests to a pipeline."""

import attrs

from godwitglade.command import documents
from godwitglade.command import environment
from godwitglade.command import errors
from godwitglade.command import http_client
from godwitglade.command import operators_client
from godwitglade.command import outcomes
from godwitglade.command import output
from godwitglade.command import retries
from godwitglade.command import server_sent_events
from godwitglade.command import status
from godwitglade.common import codec
from godwitglade.common import errors as common_errors


@attrs.frozen
class Options:
    """Options of a request; see the help of ``request``."""

    pipeline: str
    workspace: str
    data: str
    deadline_ms: int | None = None
    priority: str | None = None
    key: str | None = None
    is_stream: bool = False

    def headers(self) -> dict[str, str]:
        """Return the HTTP headers for the options."""
        accept = (
            server_sent_events.CONTENT_TYPE
            if self.is_stream
            else 'application/json'
        )
        values = {
            'Accept': accept,
            'Content-Type': 'application/json',
            'X-Workspace': self.workspace,
            'X-Deadline-Ms': self.deadline_ms,
            'X-Priority': self.priority,
            'Idempotency-Key': self.key,
        }
        return {k: str(v) for k, v in values.items() if v is not None}


def send(
    printer: output.Printer, url: str, options: Options
) -> status.ExitStatus:
    """Send a request and print its outcome, or its pieces as they arrive.

    The request is not retried: that decision is left to the caller.
    """
    body = _read_payload(printer.env, options.data)
    pipeline = operators_client.quote_segment(options.pipeline)
    address = f'{url}/v1/pipelines/{pipeline}/requests'
    request = http_client.Request('POST', address, options.headers(), body)
    try:
        reply = printer.env.client.send(request)
        view = _read_outcome(printer, address, reply)
    except errors.AnswerLostError as error:
        view = outcomes.make_unknown(error)
    printer.show(view, lambda: outcomes.render(printer, view, options.key))
    return view.exit_status


def show_outcome(
    printer: output.Printer,
    url: str,
    pipeline: str,
    workspace: str,
    key: str,
) -> status.ExitStatus:
    """Print the outcome of an earlier request by its idempotency key."""
    parts = map(operators_client.quote_segment, (pipeline, key))
    address = '{}/v1/pipelines/{}/outcomes/{}'.format(url, *parts)
    request = http_client.Request('GET', address, {'X-Workspace': workspace})

    def query_state() -> outcomes.OutcomeState:
        reply = printer.env.client.send(request)
        return operators_client.parse_reply(
            outcomes.OutcomeState, address, reply
        )

    state = retries.make_retrying(printer.env)(query_state)
    printer.show(state, lambda: _render_state(printer, state, key))
    return state.exit_status


def _render_state(
    printer: output.Printer, state: outcomes.OutcomeState, key: str
) -> None:
    if state.outcome is None:
        printer.line(f'{key}: {state.state}')
    else:
        outcomes.render(printer, state.outcome, key)


def _read_payload(env: environment.Environment, data: str) -> bytes:
    is_file = data == '-' or data.startswith('@')
    text = documents.read_text(env, data.lstrip('@')) if is_file else data
    try:
        codec.parse_json(text.encode())
    except (common_errors.MalformedError, UnicodeEncodeError) as error:
        raise errors.OptionError('--data', f'is not JSON: {error}') from error
    return text.encode()


def _read_outcome(
    printer: output.Printer, address: str, reply: http_client.Reply
) -> outcomes.OutcomeView:
    """Return the outcome; raises AnswerLostError if it is incomplete."""
    try:
        if server_sent_events.CONTENT_TYPE in reply.headers.get(
            'Content-Type', ''
        ):
            return _print_stream(printer, address, reply)
        return codec.from_json(reply.read(), outcomes.OutcomeView)
    except common_errors.MalformedError as error:
        raise errors.AnswerLostError(address, str(error)) from error


def _print_stream(
    printer: output.Printer, address: str, reply: http_client.Reply
) -> outcomes.OutcomeView:
    """Print each piece as it arrives and return the outcome."""
    length = 0
    for event in server_sent_events.read_events(reply.chunks):
        if event.kind == 'outcome':
            printer.line('')
            return codec.from_plain(event.data, outcomes.OutcomeView)
        if event.kind == 'piece':
            piece = codec.from_plain(event.data, server_sent_events.Piece)
            if piece.offset != length:
                reason = f'offset {piece.offset} instead of {length}'
                raise errors.AnswerLostError(address, reason)
            printer.piece(piece.text)
            length += len(piece.text)
    raise errors.AnswerLostError(address, 'the stream ended early')
