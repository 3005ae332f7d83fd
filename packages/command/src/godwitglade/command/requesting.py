"""Processing of request and outcome: a caller's side of a pipeline."""

import typing

import attrs

from godwitglade.command import documents
from godwitglade.command import environment
from godwitglade.command import errors
from godwitglade.command import http_client
from godwitglade.command import operators
from godwitglade.command import output
from godwitglade.command import status
from godwitglade.command import streams
from godwitglade.common import codec
from godwitglade.common import errors as common_errors

_STATUSES = {
    'answered': status.ExitStatus.OK,
    'refused_not_run': status.ExitStatus.REFUSED,
    'failed': status.ExitStatus.FAILED,
    'unknown': status.ExitStatus.UNKNOWN,
}

_STATE_STATUSES = {
    'running': status.ExitStatus.UNKNOWN,
    'unknown': status.ExitStatus.UNKNOWN,
    'absent': status.ExitStatus.NOT_FOUND,
    'unavailable': status.ExitStatus.UNAVAILABLE,
}


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
        accept = 'text/event-stream' if self.is_stream else 'application/json'
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
        outcome = _read_outcome(printer, address, reply)
    except errors.AnswerLostError as error:
        outcome = _lost(error)
    return _show(printer, outcome, options.key)


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

    def ask_once() -> operators.Answer:
        reply = printer.env.client.send(request)
        return operators.parse_answer(address, reply)

    body = operators.retrying(printer.env)(ask_once).body
    outcome = body.get('outcome')
    if body.get('state') == 'settled' and outcome:
        return _show(printer, outcome, key)
    printer.show(body, lambda: printer.line(f'{key}: {body.get("state")}'))
    state = body.get('state')
    return _STATE_STATUSES.get(state, status.ExitStatus.ERROR)


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
) -> dict[str, typing.Any]:
    if 'text/event-stream' in reply.headers.get('Content-Type', ''):
        return _follow(printer, address, reply)
    try:
        body = codec.parse_json(reply.read())
    except common_errors.MalformedError as error:
        raise errors.AnswerLostError(address, str(error)) from error
    if not isinstance(body, dict) or 'outcome' not in body:
        raise errors.AnswerLostError(address, f'status {reply.status}')
    return body


def _follow(
    printer: output.Printer, address: str, reply: http_client.Reply
) -> dict[str, typing.Any]:
    """Print each piece as it comes; return the outcome."""
    length = 0
    try:
        for event in streams.read_events(reply.chunks):
            if event.kind == 'outcome':
                printer.line('')
                return event.data
            if event.kind == 'piece':
                length = _print_piece(printer, address, event.data, length)
    except (common_errors.MalformedError, KeyError, TypeError) as error:
        raise errors.AnswerLostError(address, str(error)) from error
    raise errors.AnswerLostError(address, 'the stream ended early')


def _print_piece(
    printer: output.Printer,
    address: str,
    piece: dict[str, typing.Any],
    length: int,
) -> int:
    if piece['offset'] != length:
        reason = f'offset {piece["offset"]} instead of {length}'
        raise errors.AnswerLostError(address, reason)
    if not printer.is_json:
        print(piece['text'], end='', flush=True, file=printer.env.stdout)
    return length + len(piece['text'])


def _lost(error: errors.AnswerLostError) -> dict[str, typing.Any]:
    return {
        'outcome': 'unknown',
        'reason': error.code,
        'message': str(error),
        'is_retryable': False,
    }


def _show(
    printer: output.Printer,
    outcome: dict[str, typing.Any],
    key: str | None,
) -> status.ExitStatus:
    printer.show(outcome, lambda: _render(printer, outcome, key))
    code = outcome.get('outcome')
    return _STATUSES.get(code, status.ExitStatus.ERROR)


def _render(
    printer: output.Printer, outcome: dict[str, typing.Any], key: str | None
) -> None:
    code = outcome['outcome']
    if code == 'answered':
        _render_answer(printer, outcome)
        return
    wait_ms = outcome.get('retry_after_ms')
    hint = f'; retry after {wait_ms} ms' if wait_ms else ''
    printer.line(f'{code}: {outcome.get("reason")}{hint}')
    if outcome.get('message'):
        printer.line(outcome['message'])
    if code == 'unknown' and key:
        printer.line(f'ask later with: godwitglade outcome ... {key}')


def _render_answer(
    printer: output.Printer, outcome: dict[str, typing.Any]
) -> None:
    results = outcome.get('results') or {}
    for stage, result in results.items():
        printer.line(f'{stage}: {codec.to_json(result).decode()}')
    columns = ('stage', 'target', 'attempts', 'ms')
    rows = [
        (r['stage'], r['target'], r['attempts'], r['elapsed_ms'])
        for r in outcome.get('stages') or ()
    ]
    if rows:
        printer.table(columns, rows)
