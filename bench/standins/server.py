"""The HTTP server of all stand-ins, which injects the faults."""

import argparse
import http.server
import os
import socket
import struct
import sys
import threading
import time
import typing
import urllib.parse

import attrs

from bench.standins import faults as fault_types
from godwitglade.common import codec

LISTEN_BACKLOG = 256
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


@attrs.frozen
class Request:
    """A request with its raw body."""

    method: str
    path: str
    query: dict[str, str]
    content: bytes
    etag: str = ''

    @property
    def plain(self) -> dict[str, typing.Any]:
        """Return the body parsed as a JSON object."""
        return codec.parse_json(self.content)


@attrs.frozen
class Reply:
    """A complete reply; ``content``, if set, is sent instead of ``plain``."""

    plain: typing.Any = attrs.Factory(dict)
    status: int = 200
    content: bytes | None = None
    etag: str = ''

    def encode(self) -> bytes:
        """Return the body."""
        if self.content is not None:
            return self.content
        return codec.to_json(self.plain)


@attrs.frozen
class Stream:
    """A reply of server-sent events."""

    events: typing.Iterable[typing.Any]


class DropConnection(Exception):
    """Raised to end the connection without a reply."""


def reset_on_close(connection: socket.socket) -> None:
    """Make closing a connection reset it."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)


class StandIn:
    """Serves ``handle`` on a loopback port and applies faults.

    Subclasses define ``handle(request) -> Reply | Stream``. ``ends_process``
    tells whether a crash ends the process or only this server.
    """

    def __init__(self, port: int = 0, ends_process: bool = False) -> None:
        self._faults = fault_types.NONE
        self._lock = threading.Lock()
        self._ends_process = ends_process
        self._faults_changed = threading.Event()
        self._server = _Server(('127.0.0.1', port), self)

    @property
    def address(self) -> str:
        """Return ``ip:port``."""
        return '127.0.0.1:%d' % self._server.server_address[1]

    @property
    def url(self) -> str:
        """Return the base URL."""
        return f'http://{self.address}'

    def handle(self, request: Request) -> Reply | Stream:
        """Return the reply to a request."""
        raise NotImplementedError

    def not_run(self, reason: str) -> Reply:
        """Return the reply of a target that did not run a call."""
        return Reply({'not_run': True, 'reason': reason}, 503)

    def start(self) -> 'StandIn':
        """Start serving on a thread and return the stand-in."""
        threading.Thread(target=self.serve, daemon=True).start()
        return self

    def serve(self) -> None:
        """Serve until `stop`."""
        self._server.serve_forever(poll_interval=0.05)

    def stop(self) -> None:
        """Close the listener and all connections."""
        self._faults_changed.set()
        self._server.shutdown()
        self._server.server_close()
        self._server.close_connections()

    def set_faults(self, **fields: typing.Any) -> None:
        """Replace the faults; without arguments, clear them."""
        with self._lock:
            self._faults = fault_types.Faults(**fields)
            if self._faults.silence_open:
                self._server.silence_open()
            changed, self._faults_changed = (
                self._faults_changed,
                threading.Event(),
            )
        changed.set()

    def faults_for_call(self, path: str) -> fault_types.Faults:
        """Return the faults that apply to a call, and count the call."""
        with self._lock:
            current = self._faults
            is_exhausted = current.calls == 0
            if is_exhausted or not path.startswith(current.path):
                return fault_types.NONE
            if current.calls is not None:
                self._faults = attrs.evolve(current, calls=current.calls - 1)
            return current

    def run(
        self, request: Request, faults: fault_types.Faults
    ) -> Reply | Stream:
        """Return the reply to a request under ``faults``."""
        self._apply_faults_before_call(faults)
        if faults.error_status is not None:
            return Reply({'error': 'fault'}, faults.error_status)
        if faults.leaving or faults.busy:
            return self.not_run('leaving' if faults.leaving else 'busy')
        reply = self.handle(request)
        if faults.lose_answer_after_effect:
            raise DropConnection
        if faults.garbage:
            return Reply(content=b'{"broken')
        return reply

    def await_fault_change(self) -> None:
        """Wait until the faults are replaced or the server stops."""
        self._faults_changed.wait()

    def _apply_faults_before_call(self, faults: fault_types.Faults) -> None:
        if faults.crash:
            self._crash()
        if faults.silence:
            self.await_fault_change()
            raise DropConnection
        if faults.down or faults.reset:
            raise DropConnection
        time.sleep(faults.slow_ms / 1_000)

    def _crash(self) -> typing.NoReturn:
        if self._ends_process:
            os._exit(1)
        self.stop()
        raise DropConnection


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    block_on_close = False
    request_queue_size = LISTEN_BACKLOG

    def __init__(self, address: tuple[str, int], stand_in: StandIn) -> None:
        self.stand_in = stand_in
        self.silenced: set[socket.socket] = set()
        self._open: set[socket.socket] = set()
        super().__init__(address, _Handler)

    def process_request(
        self, request: socket.socket, client_address: typing.Any
    ) -> None:
        self._open.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request: socket.socket) -> None:
        self._open.discard(request)
        self.silenced.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request: typing.Any, address: typing.Any) -> None:
        # Clients that disconnect early are expected.
        if not isinstance(sys.exception(), OSError):
            super().handle_error(request, address)

    def silence_open(self) -> None:
        self.silenced = set(self._open)

    def close_connections(self) -> None:
        for connection in list(self._open):
            _shut_down(connection)


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True
    server: _Server

    def log_message(self, *_args: typing.Any) -> None:
        return

    def handle_one_request(self) -> None:
        try:
            super().handle_one_request()
        except OSError:
            self.close_connection = True

    def serve_request(self) -> None:
        request = self._read_request()
        if request.path == '/faults':
            self._send_reply(self._serve_faults(request))
            return
        stand_in = self.server.stand_in
        if self.connection in self.server.silenced:
            stand_in.await_fault_change()
            self.close_connection = True
            return
        faults = stand_in.faults_for_call(request.path)
        try:
            reply = stand_in.run(request, faults)
        except DropConnection:
            self._drop(is_reset=faults.reset)
            return
        if isinstance(reply, Stream):
            self._send_stream(reply, faults.cut_stream_after)
        else:
            self._send_reply(reply)

    do_GET = do_POST = do_PUT = do_DELETE = serve_request

    def _read_request(self) -> Request:
        parts = urllib.parse.urlsplit(self.path)
        length = int(self.headers.get('Content-Length', '0'))
        return Request(
            method=self.command,
            path=parts.path,
            query=dict(urllib.parse.parse_qsl(parts.query)),
            content=self.rfile.read(length),
            etag=self.headers.get('If-None-Match', ''),
        )

    def _serve_faults(self, request: Request) -> Reply:
        self.server.stand_in.set_faults(**request.plain)
        return Reply()

    def _drop(self, is_reset: bool) -> None:
        self.close_connection = True
        if is_reset:
            reset_on_close(self.connection)
            # Closing without a shutdown sends the reset.
            self.connection.close()

    def _send_reply(self, reply: Reply) -> None:
        body = b'' if reply.status == 304 else reply.encode()
        etag = f'ETag: {reply.etag}\r\n' if reply.etag else ''
        head = (
            f'HTTP/1.1 {reply.status} Status\r\n'
            'Content-Type: application/json\r\n'
            f'{etag}Content-Length: {len(body)}\r\n\r\n'
        )
        self.wfile.write(head.encode() + body)

    def _send_stream(self, stream: Stream, cut_after: int | None) -> None:
        self.wfile.write(
            b'HTTP/1.1 200 OK\r\n'
            b'Content-Type: text/event-stream\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n'
        )
        for number, event in enumerate(stream.events):
            if number == cut_after:
                self.close_connection = True
                return
            data = b'data: ' + codec.to_json(event) + b'\n\n'
            self.wfile.write(b'%x\r\n%b\r\n' % (len(data), data))
        self.wfile.write(b'0\r\n\r\n')


def _shut_down(connection: socket.socket) -> None:
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The connection is already closed.
        pass


def make_parser(description: str) -> argparse.ArgumentParser:
    """Return a parser with the arguments that all stand-ins accept."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument('--port', type=int, default=0)
    return parser


def serve_process(stand_in: StandIn) -> None:
    """Print the address, then serve until interrupted."""
    print(stand_in.address, flush=True)
    try:
        stand_in.serve()
    except KeyboardInterrupt:
        return
