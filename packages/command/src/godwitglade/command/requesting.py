"""Processing of request and outcome: a caller's side of a pipeline."""

import attrs

from godwitglade.command import documents
from godwitglade.command import environment
from godwitglade.command import errors
from godwitglade.command import http_client
from godwitglade.command import operators
from godwitglade.command import outcomes
from godwitglade.command import output
from godwitglade.command import retries
from godwitglade.command import status
from godwitglade.command import streams
from godwitglade.common import codec
from godwitglade.common import errors as common_errors


@attrs.frozen
class Options:
    """A request to send; see the help of ``request``."""

    pipeline: str
    workspace: str
    data: str
    deadline_ms: int | None = None
    priority: str | None = None
    key: str | None = None
    is_stream: bool = False

    def headers(self) -> dict[str, str]:
        """Return the headers that the options ask for."""
        accept = streams.CONTENT_TYPE if self.is_stream else 'application/json'
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
    """Send one request and print its outcome, or its pieces as they come.

    It is sent once: whether to send it again is for the caller to decide.
    """
    body = _read_payload(printer.env, options.data)
    pipeline = operators.quote(options.pipeline)
    address = f'{url}/v1/pipelines/{pipeline}/requests'
    request = http_client.Request('POST', address, options.headers(), body)
    try:
        reply = printer.env.client.send(request)
        found = _read_outcome(printer, address, reply)
    except errors.AnswerLostError as error:
        found = outcomes.make_lost(error)
    printer.show(found, lambda: outcomes.render(printer, found, options.key))
    return found.exit_status


def ask(
    printer: output.Printer,
    url: str,
    pipeline: str,
    workspace: str,
    key: str,
) -> status.ExitStatus:
    """Print the outcome of an earlier request by its key."""
    parts = map(operators.quote, (pipeline, key))
    address = '{}/v1/pipelines/{}/outcomes/{}'.format(url, *parts)
    request = http_client.Request('GET', address, {'X-Workspace': workspace})

    def ask_once() -> outcomes.OutcomeState:
        reply = printer.env.client.send(request)
        return operators.parse_answer(outcomes.OutcomeState, address, reply)

    found = retries.retrying(printer.env)(ask_once)
    printer.show(found, lambda: _render_state(printer, found, key))
    return found.exit_status


def _render_state(
    printer: output.Printer, found: outcomes.OutcomeState, key: str
) -> None:
    if found.outcome is None:
        printer.line(f'{key}: {found.state}')
    else:
        outcomes.render(printer, found.outcome, key)


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
    """Return the outcome; raises AnswerLostError when there is none."""
    try:
        if streams.CONTENT_TYPE in reply.headers.get('Content-Type', ''):
            return _follow(printer, address, reply)
        return codec.from_json(reply.read(), outcomes.OutcomeView)
    except common_errors.MalformedError as error:
        raise errors.AnswerLostError(address, str(error)) from error


def _follow(
    printer: output.Printer, address: str, reply: http_client.Reply
) -> outcomes.OutcomeView:
    """Print each piece as it comes; return the outcome."""
    length = 0
    for event in streams.read_events(reply.chunks):
        if event.kind == 'outcome':
            printer.line('')
            return codec.from_plain(event.data, outcomes.OutcomeView)
        if event.kind == 'piece':
            piece = codec.from_plain(event.data, streams.Piece)
            if piece.offset != length:
                reason = f'offset {piece.offset} instead of {length}'
                raise errors.AnswerLostError(address, reason)
            printer.piece(piece.text)
            length += len(piece.text)
    raise errors.AnswerLostError(address, 'the stream ended early')
