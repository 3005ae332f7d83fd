"""Reads the chunked body of a request (RFC 9112, section 7.1).

The reader of cheroot reads lines and chunks of any length that the client
chooses, and copies the whole body for each chunk.
"""

import typing

from godwitglade.common import chunk_sizes
from godwitglade.common import input_limits

CRLF = b'\r\n'


class ChunkedBody:
    """The body behind ``rfile``, whose lines end with a line feed.

    ``closed`` tells whether the body was read to its end, with its trailers:
    these would be read as the next request otherwise. ``report`` is called
    with the name of a bound that a client exceeds, and how much it sent.
    """

    def __init__(
        self,
        rfile: typing.Any,
        limits: input_limits.InputLimits,
        report: input_limits.Report = input_limits.ignore,
    ) -> None:
        self._rfile = rfile
        self._limits = limits
        self._report = report
        self._left_bytes = 0
        self._read_bytes = 0
        self._framing_bytes = 0
        self.closed = False

    def read(self, size: int) -> bytes:
        """Return ``size`` bytes, fewer only at the end of the body.

        Raises LimitExceededError, and ValueError for a malformed body.
        """
        parts: list[bytes] = []
        while size > 0 and self._has_bytes():
            part = self._rfile.read(min(size, self._left_bytes))
            if not part:
                raise ValueError('the body is cut short')
            parts.append(part)
            size -= len(part)
            self._read_bytes += len(part)
            self._left_bytes -= len(part)
            if not self._left_bytes and self._rfile.read(2) != CRLF:
                raise ValueError('a chunk is longer than its size')
        return b''.join(parts)

    def _has_bytes(self) -> bool:
        """Read the size of the next chunk when the last one was read."""
        if not self._left_bytes and not self.closed:
            line = self._read_line(self._limits.line_bytes, 400)
            self._left_bytes = chunk_sizes.parse(line)
            self._count_framing(len(line) + len(CRLF))
            if not self._left_bytes:
                self._read_trailers()
                self.closed = True
        return not self.closed

    def _count_framing(self, size_bytes: int) -> None:
        limits = self._limits
        self._framing_bytes += size_bytes
        by_content = self._read_bytes * limits.framing_bytes_per_byte
        if self._framing_bytes > limits.framing_bytes + by_content:
            raise self._exceeded('framing_bytes', self._framing_bytes, 400)

    def _read_trailers(self) -> None:
        limits = self._limits
        size_bytes = count = 0
        while (line := self._read_line(limits.trailer_bytes, 431)) != CRLF:
            if not line.endswith(CRLF):
                raise ValueError('a trailer is cut off')
            count += 1
            size_bytes += len(line)
            if size_bytes > limits.trailer_bytes:
                raise self._exceeded('trailer_bytes', size_bytes, 431)
            if count > limits.trailer_lines:
                raise self._exceeded('trailer_lines', count, 431)

    def _read_line(self, max_bytes: int, status: int) -> bytes:
        line = self._rfile.readline(max_bytes + 1)
        if len(line) > max_bytes:
            raise self._exceeded('line_bytes', len(line), status)
        return line

    def _exceeded(
        self, bound: str, amount: int, status: int
    ) -> input_limits.LimitExceededError:
        self._report(bound, amount)
        return input_limits.LimitExceededError(bound, amount, status)
