"""The settings of one host as attrs classes."""

import enum

import attrs

from godwitglade.operators import access


class LogLevel(enum.Enum):
    """Lowest severity that is logged."""

    DEBUG = 'debug'
    INFO = 'info'
    WARNING = 'warning'
    ERROR = 'error'


@attrs.frozen
class Listener:
    """Address of a server, with TLS when a certificate and key are given."""

    address: str
    certificate_path: str | None = None
    key_path: str | None = None

    @property
    def has_tls(self) -> bool:
        """Return whether the listener uses TLS."""
        return self.certificate_path is not None

    @property
    def host_and_port(self) -> tuple[str, int]:
        """Return the IP number, without brackets, and the port."""
        return split_address(self.address)


@attrs.frozen
class Platform:
    """URLs of the platform's services."""

    table_url: str
    objects_url: str
    host_list_url: str
    spill_zones: tuple[str, ...] = ()


@attrs.frozen
class Secret:
    """Source of the shared secret of all hosts: a file or a variable."""

    path: str | None = None
    variable: str | None = None


@attrs.frozen
class Threads:
    """Numbers of threads for blocking input and output."""

    callers: int = 64
    operators: int = 4
    peers: int = 6
    targets: int = 64
    platform: int = 6


@attrs.frozen
class Bounds:
    """Limits on the requests that a host accepts."""

    max_body_bytes: int = 1_048_576
    max_in_flight: int = 512
    max_queued: int = 1_024
    drain_ms: int = 3_000


@attrs.frozen
class Settings:
    """All settings of a host."""

    host: str
    zone: str
    callers: Listener
    operators: Listener
    peers: Listener
    platform: Platform
    secret: Secret
    peers_ca_path: str | None = None
    tokens: tuple[access.Token, ...] = ()
    statsd_address: str | None = None
    log_level: LogLevel = LogLevel.INFO
    threads: Threads = Threads()
    bounds: Bounds = Bounds()


def split_address(address: str) -> tuple[str, int]:
    """Return the IP number and the port of a valid ``address``."""
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)
