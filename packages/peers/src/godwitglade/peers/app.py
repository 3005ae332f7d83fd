"""The CherryPy application that receives messages of other hosts."""

import cherrypy

from godwitglade.common import codec as json_codec
from godwitglade.common import errors as common_errors
from godwitglade.common import web
from godwitglade.peers import receiver as receivers


def make_app(receiver: receivers.Receiver) -> cherrypy.Application:
    """Return the application for use with any WSGI server."""
    return web.make_app(Root(receiver))


class Root:
    """Serves ``POST /v1/peer``."""

    def __init__(self, receiver: receivers.Receiver) -> None:
        self._receiver = receiver

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
        request_raw = web.read_body(receivers.BODY_LIMIT_BYTES)
        request_headers = dict(cherrypy.request.headers)
        raw, headers = self._receiver.receive(request_headers, request_raw)
        cherrypy.response.headers['Content-Type'] = web.JSON
        cherrypy.response.headers.update(headers)
        self._receiver.count_traffic(
            request_headers, request_raw, dict(cherrypy.response.headers), raw
        )
        return raw
