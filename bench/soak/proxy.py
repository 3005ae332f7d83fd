"""A loopback proxy whose links can delay, reset and block traffic."""

import asyncio
import enum
import socket
import threading
import typing

from bench.standins import server

#: How often a blocked link checks whether it is still blocked.
POLL_S = 0.02
CHUNK_BYTES = 65_536
#: Outgoing connections take ports of 127.0.0.1 only, so that those of servers
#: that are down stay free.
IP = '127.0.0.2'


class Mode(enum.Enum):
    """What a link does to the bytes that it carries."""

    PASS = enum.auto()
    DELAY = enum.auto()
    #: Existing connections are reset, and new ones on arrival.
    RESET = enum.auto()
    #: Bytes to the server wait until the mode changes.
    BLOCK_TO_SERVER = enum.auto()
    #: Bytes from the server wait until the mode changes.
    BLOCK_FROM_SERVER = enum.auto()
    BLOCK_BOTH = enum.auto()


_BLOCKS_TO_SERVER = frozenset({Mode.BLOCK_TO_SERVER, Mode.BLOCK_BOTH})
_BLOCKS_FROM_SERVER = frozenset({Mode.BLOCK_FROM_SERVER, Mode.BLOCK_BOTH})


class Link:
    """Forwards connections to a server; ``mode`` may change at any time."""

    def __init__(self, address: str, delay_s: float = 0.3) -> None:
        host, _, port = address.rpartition(':')
        self._server_address = (host, int(port))
        self._delay_s = delay_s
        self._mode = Mode.PASS
        self._open: set[asyncio.StreamWriter] = set()
        self._listen(0)

    def _listen(self, port: int) -> None:
        listener = socket.create_server((IP, port), backlog=512)
        self.address = f'{IP}:{listener.getsockname()[1]}'
        self._listener = asyncio.run_coroutine_threadsafe(
            asyncio.start_server(self._serve, sock=listener), LOOP
        ).result()

    def refuse(self) -> None:
        """Refuse connections from now on; the open ones stay."""

        async def stop() -> None:
            self._listener.close()

        asyncio.run_coroutine_threadsafe(stop(), LOOP).result()

    def accept(self) -> None:
        """Accept connections again at the same address."""
        if not self._listener.is_serving():
            self._listen(int(self.address.rpartition(':')[2]))

    def close(self) -> None:
        """Refuse connections from now on, and reset the open ones."""
        self.refuse()
        LOOP.call_soon_threadsafe(self._reset_all)

    @property
    def mode(self) -> Mode:
        """Return the present mode."""
        return self._mode

    @mode.setter
    def mode(self, mode: Mode) -> None:
        self._mode = mode
        if mode is Mode.RESET:
            LOOP.call_soon_threadsafe(self._reset_all)

    def _reset_all(self) -> None:
        for writer in list(self._open):
            _reset(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            if self._mode is Mode.RESET:
                raise ConnectionResetError
            server_reader, server_writer = await asyncio.open_connection(
                *self._server_address
            )
        except OSError:
            _reset(writer)
            return
        self._open |= {writer, server_writer}
        try:
            await asyncio.gather(
                self._forward(reader, server_writer, _BLOCKS_TO_SERVER),
                self._forward(server_reader, writer, _BLOCKS_FROM_SERVER),
            )
        except OSError:
            # One side has closed; reset both so that the other notices.
            _reset(writer)
            _reset(server_writer)
        finally:
            self._open -= {writer, server_writer}
            writer.close()
            server_writer.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        blocking_modes: typing.Collection[Mode],
    ) -> None:
        while True:
            chunk = await reader.read(CHUNK_BYTES)
            if self._mode is Mode.DELAY:
                await asyncio.sleep(self._delay_s)
            while self._mode in blocking_modes:
                await asyncio.sleep(POLL_S)
            if not chunk:
                break
            writer.write(chunk)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info('socket')
    if sock is not None and sock.fileno() >= 0:
        server.reset_on_close(sock)
    writer.transport.abort()


def _start_loop() -> asyncio.AbstractEventLoop:
    loop = asyncio.new_event_loop()
    threading.Thread(target=loop.run_forever, daemon=True).start()
    return loop


#: The event loop of all links, on a thread of its own.
LOOP = _start_loop()
