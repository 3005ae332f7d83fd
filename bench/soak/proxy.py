"""A loopback proxy whose links can be delayed, reset, cut and silenced."""

import asyncio
import enum
import socket
import threading
import typing

from bench.standins import server

#: How often a link that is cut looks whether it is whole again.
POLL_S = 0.02
CHUNK_BYTES = 65_536


class Mode(enum.Enum):
    """What a link does to the bytes that it carries."""

    PASS = enum.auto()
    DELAY = enum.auto()
    #: Connections are reset, new ones at once.
    RESET = enum.auto()
    #: Bytes towards the server wait until the link is whole again.
    CUT_TO = enum.auto()
    CUT_BACK = enum.auto()
    #: Both directions are cut.
    SILENT = enum.auto()


_CUTS_TO = frozenset({Mode.CUT_TO, Mode.SILENT})
_CUTS_BACK = frozenset({Mode.CUT_BACK, Mode.SILENT})


class Link:
    """Carries connections to ``address``; ``mode`` may change at any time."""

    def __init__(self, address: str, delay_s: float = 0.3) -> None:
        host, _, port = address.rpartition(':')
        self._far = (host, int(port))
        self._delay_s = delay_s
        self._mode = Mode.PASS
        self._open: set[asyncio.StreamWriter] = set()
        listener = socket.create_server(('127.0.0.1', 0), backlog=512)
        self.address = '127.0.0.1:%d' % listener.getsockname()[1]
        asyncio.run_coroutine_threadsafe(
            asyncio.start_server(self._serve, sock=listener), LOOP
        ).result()

    @property
    def mode(self) -> Mode:
        """Return what the link does now."""
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
            far_reader, far_writer = await asyncio.open_connection(*self._far)
        except OSError:
            _reset(writer)
            return
        self._open |= {writer, far_writer}
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, _CUTS_TO),
                self._pump(far_reader, writer, _CUTS_BACK),
            )
        except OSError:
            # One side is gone; the other has to notice.
            _reset(writer)
            _reset(far_writer)
        finally:
            self._open -= {writer, far_writer}
            writer.close()
            far_writer.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        cuts: typing.Collection[Mode],
    ) -> None:
        while True:
            chunk = await reader.read(CHUNK_BYTES)
            if self._mode is Mode.DELAY:
                await asyncio.sleep(self._delay_s)
            while self._mode in cuts:
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


#: All links share one thread.
LOOP = _start_loop()
