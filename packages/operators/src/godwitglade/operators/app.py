"""The CherryPy application that operators talk to.

Its threads wait for the host through the gateway and decide only who may
ask for what.
"""

import typing

import attrs
import cherrypy

from godwitglade.common import clock as clocks
from godwitglade.common import codec
from godwitglade.common import errors as common_errors
from godwitglade.common import events
from godwitglade.common import kinds
from godwitglade.common import validation
from godwitglade.common import web
from godwitglade.coordination import change_rows
from godwitglade.operators import access
from godwitglade.operators import answers
from godwitglade.operators import errors
from godwitglade.operators import gateway as gateways
from godwitglade.operators import parsing

MAX_BODY_BYTES = 2 * 1_048_576
DEFAULT_AUDIT_LIMIT = 100
MAX_AUDIT_LIMIT = 1_000
MAX_SEQUENCE = 10**12

CHANGE_ID = kinds.Text(
    r'[A-Za-z0-9-]{16,64}', '16..64 letters, digits and dashes', 64
)


@attrs.frozen
class ChangeBody:
    """Body of a change; ``text`` None removes the document."""

    based_on: int
    change_id: str
    text: str | None


CHANGE_BODY = kinds.Object(
    ChangeBody,
    {
        'based_on': kinds.Field(
            kinds.Number(0, MAX_SEQUENCE),
            'Version that the text was edited from; 0 for a new document.',
        ),
        'change_id': kinds.Field(CHANGE_ID, 'Made by the client.'),
        'text': kinds.Field(
            kinds.Optional(kinds.Text(r'(?s).*', 'text', MAX_BODY_BYTES)),
            'New text of the document; null removes it.',
        ),
    },
)


def make_app(
    gateway: gateways.Gateway,
    tokens: tuple[access.Token, ...],
    clock: clocks.Clock,
) -> cherrypy.Application:
    """Return the application; serve it with any WSGI server."""
    return web.make_app(Root(gateway, tokens, clock))


class Root:
    """Routes a path to its resource, for an operator with a token."""

    def __init__(
        self,
        gateway: gateways.Gateway,
        tokens: tuple[access.Token, ...],
        clock: clocks.Clock,
    ) -> None:
        self._gateway = gateway
        self._tokens = tokens
        self._clock = clock

    @cherrypy.expose
    def default(self, *path: str, **query: str) -> bytes:
        """Serve every resource; errors are typed JSON bodies."""
        try:
            header = cherrypy.request.headers.get('Authorization')
            token = access.identify(self._tokens, header)
            status, body = self._route(token, path, query)
            return web.answer(status, codec.to_json(body))
        except common_errors.CodedError as error:
            return self._refuse(error)

    def _refuse(self, error: common_errors.CodedError) -> bytes:
        headers = cherrypy.response.headers
        if isinstance(error, errors.UnauthenticatedError):
            headers['WWW-Authenticate'] = 'Bearer'
        if isinstance(error, errors.StoreUnavailableError):
            headers['Retry-After'] = str(-(-error.retry_after_ms // 1_000))
        if error.http_status in (401, 403):
            fields = {
                'code': error.code,
                'reason': str(error),
                'address': cherrypy.request.remote.ip,
            }
            self._gateway.log(events.Event.OPERATOR_REFUSED, fields)
        return web.answer(error.http_status, web.error_body(error))

    def _route(
        self,
        token: access.Token,
        path: tuple[str, ...],
        query: dict[str, str],
    ) -> tuple[int, typing.Any]:
        match path:
            case ('v1', 'documents'):
                web.check_method('GET')
                return 200, {'documents': self._documents(token)}
            case ('v1', 'documents', pipeline):
                return self._document(token, pipeline)
            case ('v1', 'changes', change_id):
                return self._change(token, change_id)
            case ('v1', 'status'):
                web.check_method('GET')
                return 200, self._gateway.status(_at_least(query))
            case ('v1', 'audit'):
                web.check_method('GET')
                return 200, {'records': self._audit(query)}
            case ('v1', 'quarantine'):
                web.check_method('GET')
                return 200, {'quarantine': self._gateway.quarantine()}
            case ('v1', 'quarantine', fingerprint):
                web.check_method('DELETE')
                return self._clear(token, fingerprint)
        raise web.NotFoundError(cherrypy.request.path_info)

    def _documents(self, token: access.Token) -> list[gateways.DocumentView]:
        return [
            view
            for view in self._gateway.documents()
            if token.is_monitor or view.team == token.team
        ]

    def _document(
        self, token: access.Token, pipeline: str
    ) -> tuple[int, typing.Any]:
        if web.check_method('GET', 'PUT') == 'PUT':
            return self._apply(token, pipeline)
        view = self._gateway.document(pipeline)
        if view is None:
            raise errors.NotFoundError('document', pipeline)
        access.check_read(token, view.team)
        return 200, view

    def _apply(
        self, token: access.Token, pipeline: str
    ) -> tuple[int, typing.Any]:
        access.check_operator(token)
        plain = codec.parse_json(web.read_body(MAX_BODY_BYTES))
        body = validation.read(CHANGE_BODY, plain)
        if body.text is not None:
            self._check_text(token, pipeline, body.text)
        request = change_rows.ChangeRequest(
            pipeline=pipeline,
            based_on=body.based_on,
            change_id=body.change_id,
            text=body.text,
            author=token.name,
            team=token.team,
            at_ms=self._clock.wall_ms(),
        )
        return _to_pair(self._gateway.apply(request), token)

    def _check_text(
        self, token: access.Token, pipeline: str, text: str
    ) -> None:
        document = parsing.parse_document(text)
        access.check_change(token, document.team)
        if document.pipeline != pipeline:
            reason = f'must be {pipeline!r}, not {document.pipeline!r}'
            fault = validation.Fault('pipeline', reason)
            raise errors.DocumentError((fault,))

    def _change(
        self, token: access.Token, change_id: str
    ) -> tuple[int, typing.Any]:
        """Look up a change id; DELETE makes its state final."""
        method = web.check_method('GET', 'DELETE')
        _check_value(CHANGE_ID, change_id, 'change_id')
        if method == 'GET':
            return _to_pair(self._gateway.change(change_id), token)
        access.check_operator(token)
        return _to_pair(self._gateway.settle(change_id), token)

    def _audit(self, query: dict[str, str]) -> typing.Any:
        after = _number(query, 'after', 0, kinds.Number(0, MAX_SEQUENCE))
        limit = _number(
            query,
            'limit',
            DEFAULT_AUDIT_LIMIT,
            kinds.Number(1, MAX_AUDIT_LIMIT, 'records'),
        )
        return self._gateway.audit(after, limit)

    def _clear(
        self, token: access.Token, fingerprint: str
    ) -> tuple[int, typing.Any]:
        access.check_operator(token)
        found = (
            view
            for view in self._gateway.quarantine()
            if view.fingerprint == fingerprint
        )
        view = next(found, None)
        document = self._gateway.document(view.pipeline) if view else None
        if document is not None:
            access.check_change(token, document.team)
        if not self._gateway.clear_quarantine(fingerprint):
            raise errors.NotFoundError('quarantine', fingerprint)
        return 200, {'state': 'cleared', 'fingerprint': fingerprint}


def _to_pair(result, token: access.Token) -> tuple[int, typing.Any]:
    answer = answers.to_answer(result, token)
    return answer.http_status, answer.body


def _at_least(query: dict[str, str]) -> int:
    return _number(query, 'at_least', 0, kinds.Number(0, MAX_SEQUENCE))


def _number(
    query: dict[str, str], name: str, default: int, kind: kinds.Number
) -> int:
    text = query.get(name)
    if text is None:
        return default
    is_number = type(text) is str and text.isascii() and text.isdigit()
    value = int(text) if is_number and len(text) < 20 else text
    return _check_value(kind, value, name)


def _check_value(kind, value, path: str) -> typing.Any:
    faults: list[validation.Fault] = []
    checked = validation.check(kind, value, path, faults)
    if faults:
        raise validation.FaultsError(tuple(faults))
    return checked
