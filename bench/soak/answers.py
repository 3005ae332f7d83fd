"""How targets send answers: framing, parts over time, late copies."""

import contextlib
import random
import socket
import threading
import time
import typing

import attrs

from bench.standins import edge_platform

PART_BYTES = 60
#: Shares of answers by what ends them: a length, a last chunk, the connection.
PLAIN_FRAMINGS = {'length': 0.5, 'chunks': 0.2, 'connection': 0.3}
STREAM_FRAMINGS = {'chunks': 0.7, 'connection': 0.3}
#: A slow target's answers take one of these times.
SLOW_S = (0.0, 0.5, 1.0, 2.5)
MAX_COPY_DELAY_S = 0.3
#: A copy that comes in parts is cut after its status line.
STATUS_LINE_BYTES = len(b'HTTP/1.1 200 OK\r\n')


@attrs.frozen
class Answer:
    """An answer that is sent by a call with the handler of a connection.

    ``pause_s`` passes before each part. A copy comes later, whole or in two
    pieces, if ``is_copied``. Without ``has_end`` the answer breaks off.
    """

    headers: dict[str, str]
    parts: list[bytes]
    framing: str
    rng: random.Random
    pause_s: float = 0.0
    is_copied: bool = False
    has_end: bool = True

    def __call__(self, handler: typing.Any) -> bool:
        """Send the answer; return whether the connection stays open."""
        pieces = self._pieces()
        if not self.pause_s:
            handler.wfile.write(b''.join(pieces))
        for number, piece in enumerate(pieces if self.pause_s else ()):
            time.sleep(self.pause_s if number else 0)
            handler.wfile.write(piece)
        if self.framing == 'connection':
            # Nobody can tell later bytes, as of a copy, from the body.
            handler.connection.shutdown(socket.SHUT_WR)
            return False
        if self.is_copied:
            threading.Thread(
                target=self._send_copy,
                args=(handler, b''.join(pieces)),
                daemon=True,
            ).start()
        return self.has_end

    def _pieces(self) -> list[bytes]:
        headers = dict(self.headers)
        parts = self.parts
        if self.framing == 'length':
            headers['Content-Length'] = str(sum(map(len, parts)))
        if self.framing == 'chunks':
            headers['Transfer-Encoding'] = 'chunked'
            parts = [edge_platform.chunk(part) for part in parts]
            parts += [b'0\r\n\r\n'] * self.has_end
        lines = [f'{name}: {value}' for name, value in headers.items()]
        head = '\r\n'.join(['HTTP/1.1 200 OK', *lines, '', ''])
        return [head.encode('latin-1'), *parts]

    def _send_copy(self, handler: typing.Any, copy: bytes) -> None:
        cut = self.rng.choice(
            (len(copy), self.rng.randrange(STATUS_LINE_BYTES, len(copy)))
        )
        # The host may have closed the connection.
        with contextlib.suppress(OSError, ValueError):
            for piece in filter(None, (copy[:cut], copy[cut:])):
                time.sleep(self.rng.uniform(0, MAX_COPY_DELAY_S))
                with handler.sending:
                    handler.wfile.write(piece)


def draw_framing(rng: random.Random, shares: dict[str, float]) -> str:
    """Return what ends an answer."""
    return rng.choices(list(shares), list(shares.values()))[0]


def to_parts(body: bytes) -> list[bytes]:
    """Return a body in parts."""
    starts = range(0, len(body), PART_BYTES)
    return [body[start : start + PART_BYTES] for start in starts]
