"""HTTP listeners: CherryPy applications on CherryPy's WSGI server."""

import contextlib
import errno
import select
import socket
import threading
import time
import typing

import attrs
from cheroot import connections as cheroot_connections
from cheroot import server
from cheroot import wsgi

from godwitglade.common import clock as clocks
from godwitglade.common import input_limits
from godwitglade.daemon import client_waits
from godwitglade.daemon import connection_counts
from godwitglade.daemon import connections
from godwitglade.daemon import growing_pool

#: Connections that the kernel queues until the listener accepts them.
LISTEN_BACKLOG = 128
#: Longest wait for the next bytes of a request.
IDLE_TIMEOUT_S = 10
#: Longest wait for responses in progress when a listener stops.
STOP_TIMEOUT_S = 5
MAX_HEADER_BYTES = 16 * 1024
#: Default limit on the time to receive the headers of a request.
HEADER_TIMEOUT_MS = 10 * clocks.SECOND_MS
SERVER_NAME = 'godwitglade'
#: Wait for a connection to end when no other one can be accepted.
ACCEPT_PAUSE_S = 0.005
_EXHAUSTED = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
)


@attrs.frozen
class Listener:
    """Address, WSGI application and maximum number of threads of a server.

    The applications limit the size of a body themselves, so that the response
    to a body that is too large is a typed error.
    """

    host: str
    port: int
    app: typing.Any
    threads: int
    ssl_adapter: typing.Any = None
    connection_class: type = connections.BoundedConnection


class Servers:
    """Starts and stops the listeners of a daemon."""

    def __init__(self, listeners: typing.Iterable[Listener]) -> None:
        self._servers = [make_server(listener) for listener in listeners]
        self._threads: list[threading.Thread] = []

    def start(self) -> None:
        """Bind all listeners, then serve requests.

        Raises OSError when a listener cannot be bound; all are closed then.
        """
        for index, listener_server in enumerate(self._servers):
            try:
                listener_server.prepare()
            except OSError:
                self._servers = self._servers[:index]
                self.stop()
                raise
        self._threads = [
            threading.Thread(target=listener_server.serve, daemon=True)
            for listener_server in self._servers
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Finish responses in progress, then close the listeners."""
        for listener_server in self._servers:
            listener_server.stop()


def make_server(listener: Listener) -> wsgi.Server:
    """Return a server for a WSGI application, not bound yet."""
    http_server = wsgi.Server(
        (listener.host, listener.port),
        listener.app,
        server_name=SERVER_NAME,
        request_queue_size=LISTEN_BACKLOG,
        timeout=IDLE_TIMEOUT_S,
        shutdown_timeout=STOP_TIMEOUT_S,
    )
    http_server.ssl_adapter = listener.ssl_adapter
    http_server.keep_alive_conn_limit = connections.DEFAULTS.max_connections
    return _configure(http_server, listener.connection_class, listener.threads)


class _Connections(cheroot_connections.ConnectionManager):
    """Idle connections; those with a request are served before the end.

    A new connection over a bound ends an idle one. Otherwise it is accepted
    later, or closed if its address has more than its share.
    """

    _is_waiting = False

    def _from_server_socket(
        self, server_socket: socket.socket
    ) -> connections.BoundedConnection | None:
        if self.server.counts.is_full:
            bound = 'max_connections'
            if not self._is_waiting:
                self.server.report(bound, self.server.counts.total + 1)
            self._is_waiting = not self._end_idle(bound, '')
            if self._is_waiting:
                # The kernel queues new connections until one has ended.
                time.sleep(ACCEPT_PAUSE_S)
                return None
        try:
            conn = super()._from_server_socket(server_socket)
        except OSError as error:
            if error.errno not in _EXHAUSTED:
                raise
            # The listener stays readable, so the loop would not pause.
            self.server.report('descriptors', self.server.counts.total)
            if not self._end_idle('max_connections', ''):
                time.sleep(ACCEPT_PAUSE_S)
            return None
        if conn is None:
            return None
        conn.address, conn.counts = conn.remote_addr, self.server.counts
        bound = conn.counts.add(conn.address)
        if bound is None:
            return conn
        self.server.report(bound, conn.counts.total)
        if self._end_idle(bound, conn.address):
            return conn
        conn.set_reset_on_close(True)
        conn.close()
        return None

    def _end_idle(self, bound: str, address: str) -> bool:
        """Close the idle connection to do without; return if there is one."""
        idle = {
            conn: descriptor
            for descriptor, conn in list(self._selector.connections)
            if conn is not self.server
        }
        while ended := connection_counts.choose_ended(bound, address, idle):
            descriptor = idle.pop(ended)
            if _has_data(descriptor):
                continue
            self._selector.unregister(descriptor)
            with contextlib.suppress(OSError):
                ended.close()
            return True
        return False

    def close(self) -> None:
        """Serve the requests that have arrived; close the rest.

        Each connection is checked right before it is closed: to close many
        takes long on a busy host.
        """
        for descriptor, conn in list(self._selector.connections):
            if conn is self.server:
                continue
            self._selector.unregister(descriptor)
            if _has_data(descriptor):
                self.server.process_conn(conn)
                continue
            with contextlib.suppress(OSError):
                conn.close()
        super().close()


def _has_data(descriptor: int) -> bool:
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(0))


class GatewayServer(server.HTTPServer):
    """A server that assigns no thread to a connection without data."""

    header_timeout_ms = HEADER_TIMEOUT_MS
    limits = input_limits.InputLimits()
    report: input_limits.Report = staticmethod(input_limits.ignore)
    waits: client_waits.ClientWaits | None = None

    def prepare(self) -> None:
        """Bind the address; raises OSError."""
        super().prepare()
        self._connections = _Connections(self)

    def process_conn(self, conn: connections.BoundedConnection) -> None:
        """Serve a connection, or wait for the first bytes on a new one."""
        if conn.is_new:
            conn.is_new = False
            self.put_conn(conn)
        else:
            super().process_conn(conn)


def make_gateway_server(
    address: tuple[str, int],
    gateway: type[server.Gateway],
    threads: int,
    connection_class: type = connections.BoundedConnection,
    backlog: int = LISTEN_BACKLOG,
    limits: input_limits.InputLimits = input_limits.InputLimits(),
    max_connections: int | None = None,
    report: input_limits.Report = input_limits.ignore,
) -> GatewayServer:
    """Return a server that passes requests to ``gateway``, not bound yet.

    Without ``max_connections`` the bound is that of the callers' listener.
    """
    http_server = GatewayServer(address, gateway, server_name=SERVER_NAME)
    http_server.limits, http_server.report = limits, report
    # `_Connections` limits all connections, not only idle ones.
    http_server.keep_alive_conn_limit = None
    max_connections = max_connections or limits.max_connections
    http_server.counts = connection_counts.ConnectionCounts(
        max_connections, max(int(max_connections * limits.address_share), 1)
    )
    http_server.waits = client_waits.ClientWaits(
        max(int(threads * limits.waiting_share), 1), report
    )
    http_server.request_queue_size = backlog
    http_server.timeout = IDLE_TIMEOUT_S
    http_server.shutdown_timeout = STOP_TIMEOUT_S
    return _configure(http_server, connection_class, threads)


def stop_all(http_servers: typing.Iterable[server.HTTPServer]) -> None:
    """Stop listeners at the same time; return when all their threads ended."""
    threads = [
        threading.Thread(target=http_server.stop, daemon=True)
        for http_server in http_servers
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def set_limits(
    http_server: GatewayServer,
    max_header_bytes: int,
    header_timeout_ms: int,
    idle_timeout_ms: int,
) -> None:
    """Limit the size and time of headers and the time between requests.

    Connections that are already open keep their timeout for writes.
    """
    http_server.max_request_header_size = max_header_bytes
    http_server.header_timeout_ms = header_timeout_ms
    http_server.timeout = idle_timeout_ms / clocks.SECOND_MS


def _configure(
    http_server: server.HTTPServer, connection_class: type, threads: int
) -> server.HTTPServer:
    http_server.max_request_header_size = MAX_HEADER_BYTES
    http_server.ConnectionClass = connection_class
    http_server.requests = growing_pool.GrowingPool(http_server, threads)
    # Connections that clients reset are not faults of the server.
    http_server.error_log = _discard_log
    return http_server


def _discard_log(*_args: typing.Any, **_kwargs: typing.Any) -> None:
    return None
