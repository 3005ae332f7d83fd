"""The CherryPy application that other hosts talk to."""

import typing

import attrs
import cherrypy

from godwitglade.common import codec as json_codec
from godwitglade.common import errors as common_errors
from godwitglade.coordination import messages
from godwitglade.peers import client
from godwitglade.peers import codec as codecs
from godwitglade.peers import errors
from godwitglade.peers import replies as waiting
from godwitglade.peers import signing
from godwitglade.peers import traffic as traffics

REPLY_TIMEOUT_MS = 2_000
BODY_LIMIT_BYTES = 4 * 1024 * 1024
JSON = 'application/json'


@attrs.frozen
class Gateway:
    """What the application needs of the daemon.

    ``post`` gives a message to the loop, whose `effects.ReplyPeer` the
    daemon passes to ``replies``.
    """

    post: typing.Callable[[messages.PeerMessage], None]
    replies: waiting.Replies
    codec: codecs.Codec
    signer: signing.Signer
    traffic: traffics.Traffic


def make_app(gateway: Gateway) -> cherrypy.Application:
    """Return the application; serve it with any WSGI server."""
    config = {
        '/': {
            'request.process_request_body': False,
            'request.show_tracebacks': False,
            'tools.encode.on': False,
            'tools.trailing_slash.on': False,
        }
    }
    app = cherrypy.Application(Root(gateway), '', config)
    # The structured log replaces CherryPy's access and error logs.
    app.log.screen = False
    app.log.access = _log_nothing
    return app


class Root:
    """Serves ``POST /v1/peer``."""

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway

    @cherrypy.expose
    def default(self, *path: str, **_query: str) -> bytes:
        """Answer a peer's message, or a typed error."""
        if path != ('v1', 'peer') or cherrypy.request.method != 'POST':
            raise cherrypy.NotFound()
        try:
            return self._serve()
        except common_errors.CodedError as error:
            cherrypy.response.status = error.http_status
            cherrypy.response.headers['Content-Type'] = JSON
            fields = {'code': error.code, 'reason': str(error)}
            return json_codec.to_json(fields)

    def _serve(self) -> bytes:
        raw = _read_body()
        headers = cherrypy.request.headers
        self._gateway.signer.check(
            headers.get(client.TIMESTAMP_HEADER, ''),
            headers.get(client.SIGNATURE_HEADER, ''),
            raw,
        )
        envelope = self._gateway.codec.decode(raw)
        if envelope.sender is None:
            raise common_errors.MalformedError('$.sender', 'is missing')
        return self._render(self._reply_to(envelope), raw)

    def _reply_to(self, envelope: codecs.Envelope) -> typing.Any:
        if isinstance(envelope.body, codecs.UnknownBody):
            raise errors.NoReplyError(envelope.body.kind)
        replies = self._gateway.replies
        token = replies.open()
        self._gateway.post(
            messages.PeerMessage(envelope.sender, envelope.body, token)
        )
        body = replies.wait(token, REPLY_TIMEOUT_MS)
        if body is None:
            raise errors.NoReplyError(
                self._gateway.codec.kind_of(envelope.body)
            )
        return body

    def _render(self, body: typing.Any, request_raw: bytes) -> bytes:
        raw = self._gateway.codec.encode(codecs.Envelope(body))
        timestamp_ms, signature = self._gateway.signer.sign(raw)
        headers = cherrypy.response.headers
        headers['Content-Type'] = JSON
        headers[client.TIMESTAMP_HEADER] = str(timestamp_ms)
        headers[client.SIGNATURE_HEADER] = signature
        self._count(raw, request_raw)
        return raw

    def _count(self, raw: bytes, request_raw: bytes) -> None:
        sent_headers = dict(cherrypy.response.headers) | {
            'Content-Length': str(len(raw))
        }
        sent = client.STATUS_LINE_BYTES + len(raw)
        received = client.REQUEST_LINE_BYTES + len(request_raw)
        self._gateway.traffic.add(
            sent + traffics.header_bytes(sent_headers),
            received + traffics.header_bytes(dict(cherrypy.request.headers)),
        )


def _log_nothing() -> None:
    return None


def _read_body() -> bytes:
    declared = cherrypy.request.headers.get('Content-Length', '0')
    if declared.isdigit() and int(declared) > BODY_LIMIT_BYTES:
        raise errors.MessageTooLargeError(BODY_LIMIT_BYTES)
    body = cherrypy.request.rfile.read(BODY_LIMIT_BYTES + 1)
    if len(body) > BODY_LIMIT_BYTES:
        raise errors.MessageTooLargeError(BODY_LIMIT_BYTES)
    return body
