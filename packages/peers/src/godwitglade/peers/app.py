"""The CherryPy application that receives messages of other hosts."""

import typing

import attrs
import cherrypy

from godwitglade.common import codec as json_codec
from godwitglade.common import errors as common_errors
from godwitglade.common import web
from godwitglade.coordination import messages
from godwitglade.peers import client
from godwitglade.peers import codec as codecs
from godwitglade.peers import errors
from godwitglade.peers import replies as pending_replies
from godwitglade.peers import signing
from godwitglade.peers import traffic as traffics

REPLY_TIMEOUT_MS = 2_000
BODY_LIMIT_BYTES = 4 * 1024 * 1024


@attrs.frozen
class Gateway:
    """The interface of the daemon to the application.

    ``post`` sends a message to the loop; the daemon delivers the loop's
    `effects.ReplyPeer` to ``replies``.
    """

    post: typing.Callable[[messages.PeerMessage], None]
    replies: pending_replies.PendingReplies
    codec: codecs.Codec
    signer: signing.Signer
    traffic: traffics.Traffic


def make_app(gateway: Gateway) -> cherrypy.Application:
    """Return the application for use with any WSGI server."""
    return web.make_app(Root(gateway))


class Root:
    """Serves ``POST /v1/peer``."""

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway

    @cherrypy.expose
    def default(self, *path: str, **_query: str) -> bytes:
        """Return the reply to a peer's message, or a typed error."""
        if path != ('v1', 'peer') or cherrypy.request.method != 'POST':
            raise cherrypy.NotFound()
        try:
            return self._serve()
        except common_errors.CodedError as error:
            fields = {'code': error.code, 'reason': str(error)}
            body = json_codec.to_json(fields)
            return web.json_response(error.http_status, body)

    def _serve(self) -> bytes:
        raw = web.read_body(BODY_LIMIT_BYTES)
        headers = cherrypy.request.headers
        self._gateway.signer.check(
            headers.get(client.TIMESTAMP_HEADER, ''),
            headers.get(client.SIGNATURE_HEADER, ''),
            raw,
        )
        envelope = self._gateway.codec.decode(raw)
        if envelope.sender is None:
            raise common_errors.MalformedError('$.sender', 'is missing')
        return self._signed_response(self._await_reply(envelope), raw)

    def _await_reply(self, envelope: codecs.Envelope) -> typing.Any:
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

    def _signed_response(self, body: typing.Any, request_raw: bytes) -> bytes:
        raw = self._gateway.codec.encode(codecs.Envelope(body))
        timestamp_ms, signature = self._gateway.signer.sign(raw)
        headers = cherrypy.response.headers
        headers['Content-Type'] = web.JSON
        headers[client.TIMESTAMP_HEADER] = str(timestamp_ms)
        headers[client.SIGNATURE_HEADER] = signature
        self._count_traffic(raw, request_raw)
        return raw

    def _count_traffic(self, raw: bytes, request_raw: bytes) -> None:
        sent_headers = dict(cherrypy.response.headers) | {
            'Content-Length': str(len(raw))
        }
        sent = client.STATUS_LINE_BYTES + len(raw)
        received = client.REQUEST_LINE_BYTES + len(request_raw)
        self._gateway.traffic.add(
            sent + traffics.header_bytes(sent_headers),
            received + traffics.header_bytes(dict(cherrypy.request.headers)),
        )
