"""TLS for a listener; changed certificates are loaded without a restart."""

import os
import ssl
import threading
import typing

import attrs
from cheroot import errors as cheroot_errors
from cheroot import makefile
from cheroot import ssl as cheroot_ssl

from godwitglade.common import clock as clocks
from godwitglade.common import errors
from godwitglade.common import events
from godwitglade.daemon import settings_types

#: Shortest time between two checks of the files; a new connection triggers
#: a check that is due.
CHECK_INTERVAL_MS = 5 * clocks.SECOND_MS

Log = typing.Callable[[events.Event, dict[str, typing.Any]], None]


@attrs.define(auto_exc=True, str=False)
class CertificateError(errors.CodedError):
    """The certificate or private key cannot be used."""

    code = 'certificate_unusable'
    template = '{path}: {reason}'

    path: str
    reason: str


@attrs.frozen
class FileStamp:
    """File metadata that differs between two contents of a file."""

    inode: int
    modified_ns: int
    size_bytes: int


def make_adapter(
    listener: settings_types.Listener, clock: clocks.Clock, log: Log
) -> 'ReloadingAdapter | None':
    """Return the TLS adapter of a listener, None when it has no TLS.

    Raises CertificateError.
    """
    if not listener.has_tls:
        return None
    return ReloadingAdapter(
        listener.certificate_path, listener.key_path, clock, log
    )


class ReloadingAdapter(cheroot_ssl.Adapter):
    """Wraps accepted sockets and reloads changed certificate files.

    New connections use the new certificate; open ones keep theirs. A pair of
    files that cannot be used is logged, and the previous pair stays in use.
    """

    def __init__(
        self, certificate: str, key: str, clock: clocks.Clock, log: Log
    ) -> None:
        super().__init__(certificate, key)
        self._clock = clock
        self._log = log
        self._lock = threading.Lock()
        self._stamps = self._read_stamps()
        self._next_check_ms = clock.monotonic_ms() + CHECK_INTERVAL_MS
        self.context = load_context(certificate, key)

    def bind(self, sock):
        """Return the listening socket unchanged."""
        return sock

    def wrap(self, sock):
        """Return the socket wrapped in TLS and the WSGI environment entries.

        The thread that first reads performs the handshake, so that a client
        with a slow handshake does not block new connections.
        """
        self._reload_if_due()
        try:
            wrapped = self.context.wrap_socket(
                sock, server_side=True, do_handshake_on_connect=False
            )
        except OSError as error:
            raise cheroot_errors.FatalSSLAlert(*error.args) from error
        return wrapped, self.get_environ()

    def get_environ(self):
        """Return the entries for the WSGI environment."""
        return {'wsgi.url_scheme': 'https', 'HTTPS': 'on'}

    def makefile(self, sock, mode='r', bufsize=-1):
        """Return a file object of the socket."""
        is_reader = 'r' in mode
        file_class = (
            makefile.StreamReader if is_reader else makefile.StreamWriter
        )
        return file_class(sock, mode, bufsize)

    def _reload_if_due(self) -> None:
        now_ms = self._clock.monotonic_ms()
        with self._lock:
            if now_ms < self._next_check_ms:
                return
            self._next_check_ms = now_ms + CHECK_INTERVAL_MS
            try:
                self._reload_if_changed()
            except CertificateError as error:
                fields = {'path': error.path, 'reason': error.reason}
                self._log(events.Event.CERTIFICATE_REFUSED, fields)

    def _reload_if_changed(self) -> None:
        stamps = self._read_stamps()
        if stamps == self._stamps:
            return
        # Set before loading, so that an unusable pair is reported only once.
        self._stamps = stamps
        self.context = load_context(self.certificate, self.private_key)
        fields = {'path': self.certificate}
        self._log(events.Event.CERTIFICATE_LOADED, fields)

    def _read_stamps(self) -> tuple[FileStamp, FileStamp]:
        return (read_stamp(self.certificate), read_stamp(self.private_key))


def read_stamp(path: str) -> FileStamp:
    """Return the metadata of the file at ``path``.

    Raises CertificateError when the file cannot be accessed.
    """
    try:
        status = os.stat(path)
    except (OSError, ValueError) as error:
        raise CertificateError(path, str(error)) from error
    return FileStamp(status.st_ino, status.st_mtime_ns, status.st_size)


def load_context(certificate: str, key: str) -> ssl.SSLContext:
    """Return a server-side context for a certificate and its key.

    Raises CertificateError when they cannot be used.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        context.load_cert_chain(certificate, key)
    except (OSError, ValueError) as error:
        raise CertificateError(certificate, str(error)) from error
    return context
