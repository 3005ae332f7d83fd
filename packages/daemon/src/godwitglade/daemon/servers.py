"""HTTP listeners: CherryPy applications on CherryPy's WSGI server."""

import threading
import typing

import attrs
from cheroot import server
from cheroot import wsgi

from godwitglade.common import clock as clocks
from godwitglade.daemon import connections
from godwitglade.daemon import growing_pool

#: Backlog of connections that the kernel accepts for a listener.
LISTEN_BACKLOG = 128
#: Longest time a client may take between bytes of a request.
IDLE_TIMEOUT_S = 10
#: Wait for answers that are being written when a listener stops.
STOP_TIMEOUT_S = 5
MAX_HEADER_BYTES = 16 * 1024
#: Idle connections that a listener keeps; the server's own default is 10.
#: About half of the descriptors of the smallest hosts described (4,100).
KEPT_CONNECTIONS = 2_000
#: Longest time for the head of a request where nobody sets another.
HEAD_TIMEOUT_MS = 10 * clocks.SECOND_MS
SERVER_NAME = 'godwitglade'


@attrs.frozen
class Listener:
    """Where a WSGI application is served, and with at most how many threads.

    The applications bound the size of a body themselves, so that a body too
    large gets a typed error.
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
        """Bind every listener, then serve.

        Raises OSError when one cannot be bound; none is left open then.
        """
        for number, bound in enumerate(self._servers):
            try:
                bound.prepare()
            except OSError:
                self._servers = self._servers[:number]
                self.stop()
                raise
        self._threads = [
            threading.Thread(target=bound.serve, daemon=True)
            for bound in self._servers
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Finish answers being written, then close the listeners."""
        for bound in self._servers:
            bound.stop()


def make_server(listener: Listener) -> wsgi.Server:
    """Return a server for a WSGI application, not yet bound."""
    made = wsgi.Server(
        (listener.host, listener.port),
        listener.app,
        server_name=SERVER_NAME,
        request_queue_size=LISTEN_BACKLOG,
        timeout=IDLE_TIMEOUT_S,
        shutdown_timeout=STOP_TIMEOUT_S,
    )
    made.ssl_adapter = listener.ssl_adapter
    return _configured(made, listener.connection_class, listener.threads)


class GatewayServer(server.HTTPServer):
    """A server whose connections take a thread only once bytes have come."""

    head_timeout_ms = HEAD_TIMEOUT_MS

    def process_conn(self, conn: connections.BoundedConnection) -> None:
        """Serve a connection, or wait for the first bytes of a new one."""
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
) -> GatewayServer:
    """Return a server whose requests ``gateway`` answers, not yet bound."""
    made = GatewayServer(address, gateway, server_name=SERVER_NAME)
    made.request_queue_size = backlog
    made.timeout = IDLE_TIMEOUT_S
    made.shutdown_timeout = STOP_TIMEOUT_S
    return _configured(made, connection_class, threads)


def limit(
    made: GatewayServer, head_bytes: int, head_ms: int, idle_ms: int
) -> None:
    """Bound heads, the time to send one, and that between requests.

    Connections that are open already keep their time-out for writes.
    """
    made.max_request_header_size = head_bytes
    made.head_timeout_ms = head_ms
    made.timeout = idle_ms / clocks.SECOND_MS


def _configured(
    made: server.HTTPServer, connection_class: type, threads: int
) -> server.HTTPServer:
    made.max_request_header_size = MAX_HEADER_BYTES
    made.keep_alive_conn_limit = KEPT_CONNECTIONS
    made.ConnectionClass = connection_class
    made.requests = growing_pool.GrowingPool(made, threads)
    # A reset connection of one client is no fault of the server.
    made.error_log = _drop_log
    return made


def _drop_log(*_args: typing.Any, **_kwargs: typing.Any) -> None:
    return None
