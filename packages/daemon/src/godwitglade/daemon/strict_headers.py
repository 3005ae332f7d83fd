"""Rejects requests whose headers two HTTP parsers could read differently.

A request with two lengths, or with a header folded over several lines, can
hide a second request inside the first (request smuggling).
"""

import typing

from cheroot import server

from godwitglade.daemon import connections

#: Headers that may occur only once, because parsers can read duplicates
#: differently and so frame a request in two ways.
SINGLE_HEADERS = frozenset(
    (b'Content-Length', b'Transfer-Encoding', b'Host', b'Authorization')
)
_TOKEN = frozenset(
    b"!#$%&'*+-.^_`|~0123456789"
    b'abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ'
)


class _StrictHeaders(dict):
    """Headers by name; raises ValueError for a forbidden duplicate."""

    def __setitem__(self, name: bytes, value: bytes) -> None:
        if name in self and name in SINGLE_HEADERS:
            raise ValueError(f'Header {name.decode()} occurs more than once.')
        # cheroot joins some repeated headers itself; such a value already
        # starts with the earlier one.
        if name in self and not value.startswith(self[name]):
            value = self[name] + b', ' + value
        super().__setitem__(name, value)


class _HeaderLines:
    """Header lines; raises ValueError for a folded one."""

    def __init__(self, rfile: typing.Any) -> None:
        self._rfile = rfile

    def readline(self) -> bytes:
        line = self._rfile.readline()
        if line[:1] in (b' ', b'\t'):
            raise ValueError('Folded header line.')
        return line


class StrictHeaderReader(server.HeaderReader):
    """Rejects headers that two parsers could read as different requests."""

    def __call__(self, rfile: typing.Any, hdict: dict | None = None) -> dict:
        parsed = _StrictHeaders()
        super().__call__(_HeaderLines(rfile), parsed)
        length = parsed.get(b'Content-Length')
        if length is not None and b'Transfer-Encoding' in parsed:
            raise ValueError(
                'Both Content-Length and Transfer-Encoding are present.'
            )
        if length is not None and not length.isdigit():
            raise ValueError('Malformed Content-Length.')
        coding = parsed.get(b'Transfer-Encoding', b'chunked')
        if coding.strip().lower() != b'chunked':
            raise ValueError('Unsupported transfer coding.')
        hdict = {} if hdict is None else hdict
        hdict.update(parsed)
        return hdict

    def _transform_key(self, key_name: bytes) -> bytes:
        if not key_name or not _TOKEN.issuperset(key_name):
            raise ValueError('Malformed header name.')
        return key_name.title()


class Request(connections.ClosingRequest):
    """A request whose headers are read strictly."""

    header_reader = StrictHeaderReader()

    def parse_request(self) -> None:
        """Read the headers; limit the time for headers and body separately."""
        conn = self.conn
        conn.limit_read_time('head_time_ms', self.server.header_timeout_ms)
        super().parse_request()
        conn.limit_read_time('body_timeout_ms', conn.limits.body_timeout_ms)


class Connection(connections.BoundedConnection):
    """A caller's connection."""

    RequestHandlerClass = Request
