"""TLS listeners: certificates reloaded, slow handshakes kept apart."""

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


class Served:
    """A listener with TLS on loopback."""

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

    def name(self):
        """Return the name in the certificate that a client is shown."""
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
def served(tmp_path):
    certificates.write_pair(tmp_path, 'first')
    running = Served(tmp_path)
    yield running
    running.stop()


def test_new_certificate_is_used_without_a_restart(served, tmp_path):
    assert served.name() == 'first'
    certificates.write_pair(tmp_path, 'second')
    assert served.name() == 'first'
    served.clock.advance(tls.CHECK_INTERVAL_MS)
    assert served.name() == 'second'
    assert served.get() == b'https'
    assert served.logged == [events.Event.CERTIFICATE_LOADED]


def test_bad_certificate_leaves_the_one_before(served, tmp_path):
    (tmp_path / 'c.pem').write_text('nothing')
    served.clock.advance(tls.CHECK_INTERVAL_MS)
    assert served.name() == 'first'
    served.clock.advance(tls.CHECK_INTERVAL_MS)
    assert served.get() == b'https'
    assert served.logged == [events.Event.CERTIFICATE_REFUSED]


def test_client_without_handshake_does_not_block_others(served):
    with socket.create_connection(served.address, 10):
        assert served.get() == b'https'


def test_listener_without_certificate_has_no_adapter():
    listener = settings_types.Listener('127.0.0.1:1')
    assert tls.make_adapter(listener, clocks.ManualClock(), print) is None


def test_unusable_pair_is_a_typed_error_at_the_start(tmp_path):
    path = str(tmp_path / 'none.pem')
    listener = settings_types.Listener('127.0.0.1:1', path, path)
    with pytest.raises(tls.CertificateError):
        tls.make_adapter(listener, clocks.ManualClock(), print)
