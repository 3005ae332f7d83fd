"""Stand-ins for the edge program's platform: its store and its targets.

They implement the part of the platform's protocol that the edge program
uses, and return faulty responses on demand. Each connection has a thread.
"""

import base64
import contextlib
import http.client
import itertools
import random
import socket
import socketserver
import threading
import time
import typing
import urllib.parse

import attrs

from bench.standins import server
from godwitglade.common import codec

LIMIT = 'Server-Limit'


@attrs.frozen
class Request:
    """A request as received."""

    method: str
    path: str
    query: dict[str, str]
    headers: typing.Mapping[str, str]
    body: bytes

    @property
    def attempt_id(self) -> str:
        """Return the attempt id in the request's headers."""
        return self.headers.get('X-Attempt-Id', '')


class Server:
    """Serves ``answer(request) -> bytes | iterable of bytes`` on loopback.

    An answer of None resets the connection. An iterable is sent as it is
    produced, and the connection closes after it; bytes leave it open. A
    callable gets the connection's handler, sends by itself and returns whether
    the connection stays open; ``handler.sending`` is held meanwhile.
    """

    ip = '127.0.0.1'

    def __init__(self) -> None:
        self.requests: list[Request] = []
        self.connections = 0
        self._listen((self.ip, 0))
        host, port = self._server.server_address
        self.address = f'{host}:{port}'

    def _listen(self, address: tuple[str, int]) -> None:
        self._server = _Listener(address, self)
        thread = threading.Thread(
            target=self._server.serve_forever, args=(0.02,), daemon=True
        )
        thread.start()

    def answer(self, request: Request) -> typing.Any:
        """Return the response to a request, as the class says."""
        raise NotImplementedError

    def stop(self) -> None:
        """Stop listening."""
        self._server.shutdown()
        self._server.server_close()

    def crash(self) -> None:
        """Stop listening and reset all connections."""
        self.stop()
        self._server.reset_connections()

    def exit(self, closing_s: float = 0.0) -> None:
        """Accept no more connections, close the open ones, then the listener.

        The kernel does so for a process that ends and has read all bytes, in
        the order of the descriptors, which takes ``closing_s`` here.
        """
        self._server.shutdown()
        self._server.close_connections()
        time.sleep(closing_s)
        self._server.server_close()

    def restart(self) -> None:
        """Listen at the same address again."""
        self._listen(self._server.server_address)


class _Listener(socketserver.ThreadingTCPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def __init__(self, address: tuple[str, int], stand_in: Server) -> None:
        self.stand_in = stand_in
        self._open: set[socket.socket] = set()
        super().__init__(address, _Handler)

    def process_request(
        self, request: typing.Any, client_address: typing.Any
    ) -> None:
        self._open.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request: typing.Any) -> None:
        self._open.discard(request)
        super().shutdown_request(request)

    def reset_connections(self) -> None:
        """Reset all connections, also those that a thread still serves."""
        for connection in list(self._open):
            with contextlib.suppress(OSError):
                server.reset_on_close(connection)
                connection.shutdown(socket.SHUT_RDWR)

    def close_connections(self) -> None:
        """Close all connections, also those that a thread still serves."""
        for connection in list(self._open):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)


class _Handler(socketserver.StreamRequestHandler):
    server: _Listener

    def handle(self) -> None:
        stand_in = self.server.stand_in
        stand_in.connections += 1
        self.sending = threading.Lock()
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while (request := read_request(self.rfile)) is not None:
                stand_in.requests.append(request)
                answer = stand_in.answer(request)
                with self.sending:
                    is_open = self._send(answer)
                if not is_open:
                    return
        except OSError:
            # The client closed the connection first.
            return

    def _send(self, answer: typing.Any) -> bool:
        if answer is None:
            server.reset_on_close(self.connection)
            return False
        if isinstance(answer, bytes):
            self.wfile.write(answer)
            return True
        if callable(answer):
            return answer(self)
        for part in answer:
            self.wfile.write(part)
        return False


def read_request(rfile: typing.BinaryIO) -> Request | None:
    """Return the next complete request, or None at the connection's end."""
    line = rfile.readline()
    if not line:
        return None
    method, target, _ = line.decode('latin-1').split(' ', 2)
    headers = http.client.parse_headers(rfile)
    length = int(headers.get('Content-Length', 0))
    body = rfile.read(length)
    if len(body) < length:
        return None
    path, _, query = target.partition('?')
    parameters = dict(urllib.parse.parse_qsl(query))
    return Request(method, path, parameters, headers, body)


def response(status: int, headers: dict[str, str], body: bytes = b'') -> bytes:
    """Return an encoded response with a Content-Length."""
    lines = [f'HTTP/1.1 {status} {http.client.responses[status]}']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


class Store(Server):
    """Rows with versions; while ``is_down``, every call gets 503."""

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str], dict[str, typing.Any]] = {}
        self._version = 0
        self._oldest_version = 0
        self._era = 1
        self._changed = threading.Condition()
        self._is_stopped = False
        self._is_down = False
        super().__init__()

    @property
    def is_down(self) -> bool:
        """Return whether every call gets 503, also feeds in progress."""
        return self._is_down

    @is_down.setter
    def is_down(self, is_down: bool) -> None:
        self._is_down = is_down
        self._notify()

    def stop(self) -> None:
        """Stop listening, and end the feeds that wait for a change."""
        self._is_stopped = True
        self._notify()
        super().stop()

    def _notify(self) -> None:
        with self._changed:
            self._changed.notify_all()

    def put(self, table: str, key: str, value: typing.Any) -> None:
        """Write a row; values other than bytes are written as JSON."""
        raw = value if isinstance(value, bytes) else codec.to_json(value)
        self._write(table, key, encode(raw))

    def delete(self, table: str, key: str) -> None:
        """Remove a row."""
        self._version += 1
        row = {'table': table, 'part': '', 'key': key, 'deleted': True}
        self._rows[table, key] = row | {'schemaVersion': self._version}
        self._notify()

    def discard_history(self) -> None:
        """Discard the history; feeds from an older version get 410."""
        self._version += 1
        self._oldest_version = self._version

    def copy(self) -> typing.Any:
        """Return a copy of all rows, for `restore`."""
        return dict(self._rows), self._version

    def restore(self, copied: typing.Any) -> None:
        """Go back to a copy; its later versions are given out again."""
        rows, self._version = copied
        self._rows = dict(rows)
        self._era += 1
        self._notify()

    def answer(self, request: Request) -> bytes | None:
        """Answer one call."""
        if self._is_stopped:
            return None
        if self.is_down:
            return response(503, {})
        if request.path == '/api/rows-get':
            rows = [
                row
                for row in self._rows_after(request.query['table'], 0)
                if 'deleted' not in row
            ]
            return self._rows_response(sorted(rows, key=lambda r: r['key']))
        if request.path == '/api/rows-feed':
            return self._feed(request.query)
        changes = codec.parse_json(request.body)
        for row in changes['write']:
            self._write(row['table'], row['key'], row['value'])
        for row in changes['remove']:
            self.delete(row['table'], row['key'])
        return self._rows_response([])

    def _write(self, table: str, key: str, value: str) -> None:
        self._version += 1
        self._rows[table, key] = {
            'table': table,
            'part': '',
            'key': key,
            'value': value,
            'schemaVersion': self._version,
        }
        self._notify()

    def _feed(self, query: dict[str, str]) -> bytes | None:
        after, era = int(query['after']), self._era
        if not self._oldest_version <= after <= self._version:
            return response(410, {'Store-Era': str(self._era)})
        until_s = time.monotonic() + int(query['waitMs']) / 1_000
        with self._changed:
            while not (rows := self._rows_after(query['table'], after)):
                left_s = until_s - time.monotonic()
                if left_s <= 0 or self._is_stopped:
                    break
                self._changed.wait(left_s)
                if self._era != era:
                    # The store was away for a moment.
                    return None
                if self._is_down:
                    return response(503, {})
        return self._rows_response(rows)

    def _rows_after(
        self, table: str, after: int
    ) -> list[dict[str, typing.Any]]:
        rows = [r for r in list(self._rows.values()) if r['table'] == table]
        newer = [row for row in rows if row['schemaVersion'] > after]
        return sorted(newer, key=lambda row: row['schemaVersion'])

    def _rows_response(self, rows: list[dict[str, typing.Any]]) -> bytes:
        plain = {
            'rows': rows,
            'hasMore': False,
            'schemaVersion': self._version,
            'nowMs': 0,
        }
        headers = {
            'Content-Type': 'application/json',
            'Store-Era': str(self._era),
        }
        return response(200, headers, codec.to_json(plain))


def encode(raw: bytes) -> str:
    """Return bytes encoded as a row's value."""
    return base64.b64encode(raw).decode()


def decode(value: str) -> bytes:
    """Return the decoded bytes of a row's value."""
    return base64.b64decode(value)


class Target(Server):
    """A target; each request uses one of ``behaviours``, the last repeats."""

    def __init__(self, name: str, pool: str, zone: str = 'z1') -> None:
        self.name = name
        self.pool = pool
        self.zone = zone
        self.behaviours: list[str] = ['ok']
        self.freed_handles: list[str] = []
        self.named_limit: str | None = None
        self.extra_headers: dict[str, str] = {}
        self.born = 1_700_000_000_000
        self._numbers = itertools.count()
        super().__init__()

    @property
    def runs(self) -> list[Request]:
        """Return the callers' requests that were received."""
        own_paths = ('/api/stage-run', '/api/stage-free', '/api/report')
        return [r for r in self.requests if r.path not in own_paths]

    def entry(self, **fields: typing.Any) -> dict[str, typing.Any]:
        """Return the target's entry in the store."""
        return {
            'service': self.pool,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': 4,
            'state': 'ready',
            'coldRemainingMs': 0,
            'sequence': 1,
            'born': self.born,
            **fields,
        }

    def answer(self, request: Request) -> typing.Any:
        """Return the response to a call under the present behaviour."""
        if request.headers.get('X-Expect-Instance', self.name) != self.name:
            return response(421, {'X-Instance-Id': self.name})
        is_endless = self.behaviours[0].startswith('endless')
        if request.path == '/api/stage-run' and not is_endless:
            return self._run_stage(request)
        if request.path == '/api/report' and self.behaviours[0] != 'silent':
            return response(200, {}, codec.to_json({'born': self.born}))
        if request.path == '/api/stage-free':
            self.freed_handles += codec.parse_json(request.body)['handles']
            return response(200, {}, b'{}')
        behaviour = self.behaviours[0]
        if len(self.behaviours) > 1:
            self.behaviours.pop(0)
        return BEHAVIOURS[behaviour](self, request)

    def headers(self, request: Request) -> dict[str, str]:
        """Return the headers of a correct response."""
        named = {} if self.named_limit is None else {LIMIT: self.named_limit}
        return {
            'X-Attempt-Id': request.attempt_id,
            'X-Server-Signature': f'signed-{self.name}',
            'X-Instance-Load': '1,0,4',
            **named,
            **self.extra_headers,
        }

    def restart(self) -> None:
        """Start again at the same address, under the same name."""
        self.born += 1_000
        super().restart()

    def _run_stage(self, request: Request) -> bytes:
        entries = codec.parse_json(request.body)['entries']
        results = [
            {'handle': f'{self.address}/{next(self._numbers)}'}
            for _ in entries
        ]
        return response(200, {}, codec.to_json({'entries': results}))


def _ok(target: Target, request: Request) -> bytes:
    return response(200, target.headers(request), b'whole')


def _error(target: Target, request: Request) -> bytes:
    return response(500, target.headers(request), b'failed')


def _not_run(target: Target, request: Request) -> bytes:
    return response(503, {'X-Not-Executed': '1', **target.extra_headers})


def _busy_after_run(target: Target, request: Request) -> bytes:
    return response(503, target.headers(request))


def _misdirected(target: Target, request: Request) -> bytes:
    return response(421, {'X-Instance-Id': 'other'})


def _foreign(target: Target, request: Request) -> bytes:
    headers = target.headers(request) | {'X-Attempt-Id': 'foreign'}
    return response(200, headers, b'whole')


def _unsigned(target: Target, request: Request) -> bytes:
    headers = {'X-Attempt-Id': request.attempt_id}
    return response(200, headers, b'whole')


def _encoded(target: Target, request: Request) -> bytes:
    headers = target.headers(request) | {'Content-Encoding': 'gzip'}
    return response(200, headers, b'whole')


def _extra(target: Target, request: Request) -> bytes:
    return _ok(target, request) + _foreign(target, request)


def _short(target: Target, request: Request) -> typing.Iterator[bytes]:
    yield _ok(target, request)[:-2]


def _head_cut(target: Target, request: Request) -> typing.Iterator[bytes]:
    head, _, _ = _ok(target, request).partition(b'\r\n\r\n')
    yield head[: random.randrange(len(head))]


def _empty(target: Target, request: Request) -> bytes:
    return response(200, target.headers(request))


def _page(target: Target, request: Request) -> bytes:
    headers = target.headers(request) | {'Content-Type': 'text/html'}
    return response(200, headers, b'id: 9\n\n')


def _garbage(target: Target, request: Request) -> typing.Iterator[bytes]:
    yield b'\x00\x01 no answer\r\n\r\n'


def _reset(target: Target, request: Request) -> None:
    return None


def _silent(target: Target, request: Request) -> typing.Iterator[bytes]:
    time.sleep(3)
    yield b''


def head_of_stream(target: Target, request: Request) -> bytes:
    """Return the status line and headers of a chunked stream."""
    headers = target.headers(request) | {'Content-Type': 'text/event-stream'}
    lines = [f'{name}: {value}' for name, value in headers.items()]
    head = ['HTTP/1.1 200 OK', *lines, 'Transfer-Encoding: chunked', '', '']
    return '\r\n'.join(head).encode('latin-1')


def chunk(content: bytes) -> bytes:
    """Return one chunk of a chunked body."""
    return b'%x\r\n%b\r\n' % (len(content), content)


def event(number: int) -> bytes:
    """Return one server-sent event of a stream."""
    return b'id: %d\ndata: piece %d\n\n' % (number, number)


def _stream(target: Target, request: Request) -> typing.Iterator[bytes]:
    first = int(request.headers.get('Last-Event-Id') or 0) + 1
    yield head_of_stream(target, request)
    for number in range(first, 7):
        yield chunk(event(number))
    yield b'0\r\n\r\n'


def _stream_again(target: Target, request: Request) -> typing.Iterator[bytes]:
    yield head_of_stream(target, request)
    yield chunk(event(1) + event(2))
    yield chunk(event(3)) + b'0\r\n\r\n'


def _stream_cut(target: Target, request: Request) -> typing.Iterator[bytes]:
    yield head_of_stream(target, request)
    yield chunk(event(1) + event(2))
    yield chunk(event(3)[:9])


def _stream_cut_after(
    events: bytes,
) -> typing.Callable[[Target, Request], typing.Iterator[bytes]]:
    def stream(target: Target, request: Request) -> typing.Iterator[bytes]:
        yield head_of_stream(target, request)
        yield chunk(events)

    return stream


def _stream_crash(target: Target, request: Request) -> typing.Iterator[bytes]:
    yield head_of_stream(target, request)
    target.crash()


def _crash(target: Target, request: Request) -> None:
    target.crash()


def _stream_slow(target: Target, request: Request) -> typing.Iterator[bytes]:
    yield head_of_stream(target, request)
    for number in range(1, 100):
        yield chunk(event(number))
        time.sleep(0.05)


def _head_without_length(target: Target, request: Request) -> bytes:
    head, _, _ = head_of_stream(target, request).partition(b'Transfer-')
    return head + b'\r\n'


def _unframed(target: Target, request: Request) -> typing.Iterator[bytes]:
    yield _head_without_length(target, request)
    yield b'whole'


def _stream_unframed(
    target: Target, request: Request
) -> typing.Iterator[bytes]:
    yield _head_without_length(target, request)
    first = int(request.headers.get('Last-Event-Id') or 0) + 1
    for number in range(first, 7):
        yield event(number)


def _stream_unframed_cut(
    target: Target, request: Request
) -> typing.Iterator[bytes]:
    yield _head_without_length(target, request)
    yield event(1) + event(2)[:9]


def _unframed_slow(target: Target, request: Request) -> typing.Iterator[bytes]:
    yield _head_without_length(target, request)
    for _ in range(50):
        yield b'part'
        time.sleep(0.05)


def _unframed_exit(target: Target, request: Request) -> typing.Iterator[bytes]:
    yield _head_without_length(target, request)
    yield b'who'
    target.exit()


def _unframed_exit_late(
    target: Target, request: Request
) -> typing.Iterator[bytes]:
    yield _head_without_length(target, request)
    yield b'who'
    target.exit(closing_s=0.05)


def _error_unframed_slow(
    target: Target, request: Request
) -> typing.Iterator[bytes]:
    head = _head_without_length(target, request)
    yield head.replace(b'200 OK', b'500 Internal Server Error')
    for _ in range(50):
        yield b'part'
        time.sleep(0.05)


def _stream_unframed_slow(
    target: Target, request: Request
) -> typing.Iterator[bytes]:
    yield _head_without_length(target, request)
    for number in range(1, 100):
        yield event(number)
        time.sleep(0.05)


def _stream_unframed_exit(
    target: Target, request: Request
) -> typing.Iterator[bytes]:
    yield _head_without_length(target, request)
    yield event(1) + event(2)
    target.exit()


def _endless(start: bytes) -> typing.Callable[[Target, Request], typing.Any]:
    def behaviour(target: Target, request: Request) -> typing.Iterator[bytes]:
        yield start
        while True:
            time.sleep(0.03)
            yield b'x'

    return behaviour


def _stream_flood(target: Target, request: Request) -> typing.Iterator[bytes]:
    yield head_of_stream(target, request)
    while True:
        yield chunk(b'x' * 60_000)


BEHAVIOURS: dict[str, typing.Callable[[Target, Request], typing.Any]] = {
    'ok': _ok,
    'error': _error,
    'not_run': _not_run,
    'busy_after_run': _busy_after_run,
    'misdirected': _misdirected,
    'foreign': _foreign,
    'unsigned': _unsigned,
    'encoded': _encoded,
    'extra': _extra,
    'short': _short,
    'head_cut': _head_cut,
    'empty': _empty,
    'page': _page,
    'garbage': _garbage,
    'reset': _reset,
    'silent': _silent,
    'stream': _stream,
    'stream_again': _stream_again,
    'stream_cut': _stream_cut,
    'stream_comment_cut': _stream_cut_after(b': comment\n\n'),
    'stream_without_ids_cut': _stream_cut_after(b'data: x\n\n'),
    'stream_slow': _stream_slow,
    'stream_crash': _stream_crash,
    'crash': _crash,
    'unframed': _unframed,
    'stream_unframed': _stream_unframed,
    'stream_unframed_cut': _stream_unframed_cut,
    'unframed_slow': _unframed_slow,
    'unframed_exit': _unframed_exit,
    'unframed_exit_late': _unframed_exit_late,
    'error_unframed_slow': _error_unframed_slow,
    'stream_unframed_slow': _stream_unframed_slow,
    'stream_unframed_exit': _stream_unframed_exit,
    'endless_status': _endless(b''),
    'endless_head': _endless(b'HTTP/1.1 200 OK\r\nX-A: '),
    'endless_body': _endless(b'HTTP/1.1 200 OK\r\n\r\n'),
    'stream_flood': _stream_flood,
}
