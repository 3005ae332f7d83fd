"""TLS listeners: reloaded certificates and slow handshakes."""

import socket
import ssl
import threading

from cheroot import wsgi
from cryptography import x509
import pytest
import urllib3

from godwitglade.common import clock as clocks
from godwitglade.common import events
from godwitglade.daemon import settings_types
from godwitglade.daemon import tls
from tests.daemon import certificates


class TlsServer:
    """A running server with TLS on loopback."""

    def __init__(self, folder):
        self.clock = clocks.ManualClock()
        self.logged = []
        listener = settings_types.Listener(
            '127.0.0.1:1', str(folder / 'c.pem'), str(folder / 'k.pem')
        )
        self.server = wsgi.Server(('127.0.0.1', 0), self.answer, 2)
        self.server.ssl_adapter = tls.make_adapter(
            listener, self.clock, lambda *entry: self.logged.append(entry[0])
        )
        self.server.timeout = 30
        self.server.error_log = lambda *_args, **_fields: None
        self.server.prepare()
        self.address = self.server.bind_addr
        self.thread = threading.Thread(target=self.server.serve)
        self.thread.start()

    def answer(self, environ, start_response):
        start_response('200 OK', [('Content-Type', 'text/plain')])
        return [environ['wsgi.url_scheme'].encode()]

    def certificate_name(self):
        """Return the subject name in the certificate that the server sends."""
        context = ssl.create_default_context()
        context.check_hostname = False
        context.verify_mode = ssl.CERT_NONE
        with socket.create_connection(self.address, 10) as plain:
            with context.wrap_socket(plain) as wrapped:
                raw = wrapped.getpeercert(binary_form=True)
        subject = x509.load_der_x509_certificate(raw).subject
        return subject.rfc4514_string().removeprefix('CN=')

    def get(self):
        pool = urllib3.PoolManager(cert_reqs='CERT_NONE', retries=False)
        with pytest.warns(urllib3.exceptions.InsecureRequestWarning):
            url = 'https://{}:{}/'.format(*self.address)
            return pool.request('GET', url, timeout=10).data

    def stop(self):
        self.server.stop()
        self.thread.join()


@pytest.fixture
def tls_server(tmp_path):
    certificates.write_pair(tmp_path, 'first')
    running = TlsServer(tmp_path)
    yield running
    running.stop()


def test_new_certificate_is_used_without_restart(tls_server, tmp_path):
    assert tls_server.certificate_name() == 'first'
    certificates.write_pair(tmp_path, 'second')
    assert tls_server.certificate_name() == 'first'
    tls_server.clock.advance(tls.CHECK_INTERVAL_MS)
    assert tls_server.certificate_name() == 'second'
    assert tls_server.get() == b'https'
    assert tls_server.logged == [events.Event.CERTIFICATE_LOADED]


def test_unusable_certificate_leaves_previous_in_use(tls_server, tmp_path):
    (tmp_path / 'c.pem').write_text('nothing')
    tls_server.clock.advance(tls.CHECK_INTERVAL_MS)
    assert tls_server.certificate_name() == 'first'
    tls_server.clock.advance(tls.CHECK_INTERVAL_MS)
    assert tls_server.get() == b'https'
    assert tls_server.logged == [events.Event.CERTIFICATE_REFUSED]


def test_client_without_handshake_does_not_block_others(tls_server):
    with socket.create_connection(tls_server.address, 10):
        assert tls_server.get() == b'https'


def test_listener_without_certificate_has_no_adapter():
    listener = settings_types.Listener('127.0.0.1:1')
    assert tls.make_adapter(listener, clocks.ManualClock(), print) is None


def test_unusable_pair_at_start_raises_typed_error(tmp_path):
    path = str(tmp_path / 'none.pem')
    listener = settings_types.Listener('127.0.0.1:1', path, path)
    with pytest.raises(tls.CertificateError):
        tls.make_adapter(listener, clocks.ManualClock(), print)
