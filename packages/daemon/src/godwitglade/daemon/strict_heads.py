"""Heads of requests that no two readers could take differently.

A head that names its length twice, or that goes on over several lines, may
hide a second request in the first one.
"""

import typing

from cheroot import server

from godwitglade.daemon import connections

#: Headers that may stand only once: two of them frame a request twice.
SINGLE_HEADERS = frozenset(
    (b'Content-Length', b'Transfer-Encoding', b'Host', b'Authorization')
)
_TOKEN = frozenset(
    b"!#$%&'*+-.^_`|~0123456789"
    b'abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ'
)


class _StrictHeaders(dict):
    """Headers by name; raises ValueError for one that stands twice."""

    def __setitem__(self, name: bytes, value: bytes) -> None:
        if name in self and name in SINGLE_HEADERS:
            raise ValueError(f'{name.decode()} stands twice')
        if name in self and not value.startswith(self[name]):
            value = self[name] + b', ' + value
        super().__setitem__(name, value)


class _Lines:
    """Lines of a head; raises ValueError for one that goes on."""

    def __init__(self, rfile: typing.Any) -> None:
        self._rfile = rfile

    def readline(self) -> bytes:
        line = self._rfile.readline()
        if line[:1] in (b' ', b'\t'):
            raise ValueError('Folded header line.')
        return line


class StrictHeaderReader(server.HeaderReader):
    """Refuses heads that two readers could take for different requests."""

    def __call__(self, rfile: typing.Any, hdict: dict | None = None) -> dict:
        found = _StrictHeaders()
        super().__call__(_Lines(rfile), found)
        length = found.get(b'Content-Length')
        if length is not None and b'Transfer-Encoding' in found:
            raise ValueError('Both a length and a transfer coding.')
        if length is not None and not length.isdigit():
            raise ValueError('Malformed Content-Length.')
        coding = found.get(b'Transfer-Encoding', b'chunked')
        if coding.strip().lower() != b'chunked':
            raise ValueError('Unknown transfer coding.')
        hdict = {} if hdict is None else hdict
        hdict.update(found)
        return hdict

    def _transform_key(self, key_name: bytes) -> bytes:
        if not key_name or not _TOKEN.issuperset(key_name):
            raise ValueError('Malformed header name.')
        return key_name.title()


class Request(connections.ClosingRequest):
    """A request that is read strictly."""

    header_reader = StrictHeaderReader()

    def parse_request(self) -> None:
        """Read the head, and bound the time for head and body apart."""
        self.conn.bound_reading(self.server.head_timeout_ms)
        super().parse_request()
        self.conn.bound_reading(self.conn.read_timeout_ms)


class Connection(connections.BoundedConnection):
    """A caller's connection."""

    RequestHandlerClass = Request
