"""The CherryPy application that serves callers.

Its threads make no decisions: they post each request to the loop as a
message and turn the effects that the loop returns for it into the response.
"""

import typing

import attrs
import cherrypy

from godwitglade.callers import errors
from godwitglade.callers import exchanges
from godwitglade.callers import rendering
from godwitglade.callers import request_parsing
from godwitglade.common import clock as clocks
from godwitglade.common import codec
from godwitglade.common import errors as common_errors
from godwitglade.common import web
from godwitglade.decisions import effects
from godwitglade.decisions import messages

#: Added to the caller's deadline for the wait for an outcome, and for the
#: wait for each next event of a stream.
OUTCOME_GRACE_MS = 5_000
QUERY_TIMEOUT_MS = 10_000


@attrs.frozen
class Gateway:
    """The interface of the daemon to the application.

    ``post`` sends a message to the loop; ``is_ready`` returns whether new
    requests are accepted.
    """

    post: typing.Callable[[typing.Any], None]
    exchanges: exchanges.Exchanges
    clock: clocks.Clock
    is_ready: typing.Callable[[], bool]
    max_body_bytes: int


def make_app(gateway: Gateway) -> cherrypy.Application:
    """Return the application for use with any WSGI server."""
    return web.make_app(Root(gateway))


class Root:
    """Routes requests by their path."""

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway

    @cherrypy.expose
    def healthz(self) -> bytes:
        """Answer 200 as long as the process runs."""
        return web.json_response(200, b'{"status": "alive"}')

    @cherrypy.expose
    def readyz(self) -> bytes:
        """Answer 200 only while new requests are accepted."""
        if self._gateway.is_ready():
            return web.json_response(200, b'{"status": "ready"}')
        return web.json_response(503, b'{"status": "not_ready"}')

    @cherrypy.expose
    def default(self, *path: str, **_query: str) -> typing.Any:
        """Serve ``/v1/pipelines/{pipeline}/...``."""
        try:
            return self._route(path)
        except common_errors.CodedError as error:
            return web.json_response(
                error.http_status, rendering.error_body(error)
            )

    def _route(self, path: tuple[str, ...]) -> typing.Any:
        match path:
            case ('v1', 'pipelines', pipeline, 'requests'):
                web.check_method('POST')
                return self._serve_request(pipeline)
            case ('v1', 'pipelines', pipeline, 'outcomes', key):
                web.check_method('GET')
                return self._serve_query(pipeline, key)
        raise web.NotFoundError(cherrypy.request.path_info)

    def _serve_request(self, pipeline: str) -> typing.Any:
        headers = request_parsing.parse_headers(cherrypy.request.headers)
        body = web.read_body(self._gateway.max_body_bytes)
        exchange = self._gateway.exchanges.open()
        try:
            message = request_parsing.make_request_message(
                exchange.identifier,
                pipeline,
                headers,
                body,
                self._gateway.clock.monotonic_ms(),
            )
        except common_errors.CodedError:
            self._gateway.exchanges.close(exchange)
            raise
        self._gateway.post(message)
        wait_ms = headers.deadline_ms + OUTCOME_GRACE_MS
        if headers.is_stream:
            return self._stream(exchange, wait_ms)
        return self._answer(exchange, wait_ms)

    def _answer(self, exchange: exchanges.Exchange, wait_ms: int) -> bytes:
        try:
            event = self._gateway.exchanges.wait(exchange, wait_ms)
        finally:
            self._gateway.exchanges.close(exchange)
        if event is None:
            raise errors.OutcomeTimeoutError(exchange.identifier)
        outcome = event.outcome
        cherrypy.response.headers.update(rendering.outcome_headers(outcome))
        fields = rendering.outcome_fields(exchange.identifier, outcome)
        return web.json_response(outcome.http_status, codec.to_json(fields))

    def _stream(
        self, exchange: exchanges.Exchange, wait_ms: int
    ) -> typing.Any:
        """Stream pieces; without any, send the outcome with its status."""
        first = self._gateway.exchanges.wait(exchange, wait_ms)
        if not isinstance(first, effects.SendPiece):
            exchange.events.put(first)
            return self._answer(exchange, wait_ms)
        cherrypy.response.stream = True
        cherrypy.response.headers['Content-Type'] = (
            request_parsing.EVENT_STREAM
        )
        return self._pieces(exchange, first, wait_ms)

    def _pieces(
        self,
        exchange: exchanges.Exchange,
        event: exchanges.CallerEvent | None,
        wait_ms: int,
    ) -> typing.Iterator[bytes]:
        is_finished = False
        events = [event]
        try:
            while isinstance(events[-1], effects.SendPiece):
                yield rendering.piece_event(events)
                events = self._gateway.exchanges.wait_all(exchange, wait_ms)
            *pieces, last = events
            if pieces:
                yield rendering.piece_event(pieces)
            is_finished = True
            yield self._final_event(exchange, last)
        finally:
            self._gateway.exchanges.close(exchange)
            if not is_finished:
                message = messages.CallerDisconnected(exchange.identifier)
                self._gateway.post(message)

    def _final_event(
        self,
        exchange: exchanges.Exchange,
        event: exchanges.CallerEvent | None,
    ) -> bytes:
        if event is None:
            error = errors.OutcomeTimeoutError(exchange.identifier)
            return rendering.stream_event('error', {'reason': error.code})
        fields = rendering.outcome_fields(exchange.identifier, event.outcome)
        return rendering.stream_event('outcome', fields)

    def _serve_query(self, pipeline: str, key: str) -> bytes:
        headers = request_parsing.parse_headers(cherrypy.request.headers)
        exchange = self._gateway.exchanges.open()
        query = messages.OutcomeRequested(
            exchange.identifier, headers.workspace, pipeline, key
        )
        self._gateway.post(query)
        try:
            event = self._gateway.exchanges.wait(exchange, QUERY_TIMEOUT_MS)
        finally:
            self._gateway.exchanges.close(exchange)
        if event is None:
            event = effects.AnswerQuery(exchange.identifier, 'unavailable')
        return web.json_response(200, rendering.query_body(event))
