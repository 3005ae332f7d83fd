"""Receives messages of other hosts on CherryPy's HTTP server.

The owner of a stage pool receives hundreds of messages a second. Without the
dispatcher and tools of a CherryPy application, one takes less than half of
the processor time.
"""

import typing

from cheroot import server as cheroot_server

from godwitglade.common import body_reading
from godwitglade.common import codec
from godwitglade.common import errors
from godwitglade.common import input_limits
from godwitglade.common import request_errors
from godwitglade.peers import client
from godwitglade.peers import receiver as receivers

JSON = 'application/json'


class PeerGateway(cheroot_server.Gateway):
    """Serves ``POST /v1/peer``; subclasses set ``receiver``."""

    receiver: typing.ClassVar[receivers.Receiver]
    memory: typing.ClassVar = input_limits.BodyMemory(
        input_limits.InputLimits()
    )

    def respond(self) -> None:
        """Answer a message, or respond with a typed error."""
        reader = body_reading.BodyReader(self.memory)
        try:
            self._respond(reader)
        finally:
            reader.release()

    def _respond(self, reader: body_reading.BodyReader) -> None:
        request = self.req
        if (request.method, request.path) != (b'POST', client.PATH.encode()):
            self._send('404 Not Found', b'', {})
            return
        try:
            request_raw = self._read_body(reader)
            request_headers = {
                name.decode('latin-1'): value.decode('latin-1')
                for name, value in request.inheaders.items()
            }
            raw, headers = self.receiver.receive(request_headers, request_raw)
        except errors.CodedError as error:
            fields = {'code': error.code, 'reason': str(error)}
            status = f'{error.http_status} Error'
            self._send(status, codec.to_json(fields), {})
            return
        headers['Content-Type'] = JSON
        self.receiver.count_traffic(request_headers, request_raw, headers, raw)
        self._send('200 OK', raw, headers)

    def _read_body(self, reader: body_reading.BodyReader) -> bytes:
        """Return the body; raises CodedError."""
        limit_bytes = receivers.BODY_LIMIT_BYTES
        # Without a valid length cheroot rejects the request or reads chunks.
        if int(self.req.inheaders.get(b'Content-Length', 0)) > limit_bytes:
            raise request_errors.BodyTooLargeError(limit_bytes)
        try:
            body = reader.read(self.req.rfile, limit_bytes + 1)
        except TimeoutError as error:
            raise request_errors.BodyTooSlowError() from error
        except ValueError as error:
            raise errors.MalformedError('$', str(error)) from error
        if len(body) > limit_bytes:
            raise request_errors.BodyTooLargeError(limit_bytes)
        return body

    def _send(self, status: str, body: bytes, headers: dict[str, str]) -> None:
        request = self.req
        request.status = status.encode()
        request.outheaders = [
            (name.encode('latin-1'), value.encode('latin-1'))
            for name, value in headers.items()
        ]
        request.outheaders.append((b'Content-Length', str(len(body)).encode()))
        request.ensure_headers_sent()
        if body:
            request.write(body)
