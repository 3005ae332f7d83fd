"""Sends messages to other hosts over HTTP."""

import typing

import urllib3

from godwitglade.common import errors as common_errors
from godwitglade.common import whole_responses
from godwitglade.coordination import effects
from godwitglade.coordination import hosts
from godwitglade.coordination import messages
from godwitglade.peers import codec as codecs
from godwitglade.peers import errors
from godwitglade.peers import signing
from godwitglade.peers import traffic as traffics

PATH = '/v1/peer'
TIMESTAMP_HEADER = 'X-Timestamp-Ms'
SIGNATURE_HEADER = 'X-Signature'

#: Number of hosts to which a connection is kept open, one each. The host
#: that owns a stage pool exchanges messages with every host; the largest
#: supported deployment has 300.
MAX_HOST_POOLS = 300
CONNECT_TIMEOUT_MS = 500
REPLY_LIMIT_BYTES = 4 * 1024 * 1024

#: Approximate sizes of request line and status line with their blank lines.
REQUEST_LINE_BYTES = 26
STATUS_LINE_BYTES = 19

#: ValueError and OverflowError are raised for an address that is no host and
#: port, TypeError for a message that cannot be written as JSON.
SEND_ERRORS = (
    urllib3.exceptions.HTTPError,
    common_errors.CodedError,
    OSError,
    ValueError,
    OverflowError,
    TypeError,
)


class Client:
    """Carries out `effects.SendPeer`; thread-safe.

    Without ``traffic`` the bytes are not counted.
    """

    def __init__(
        self,
        self_id: hosts.HostId,
        codec: codecs.Codec,
        signer: signing.Signer,
        traffic: traffics.Traffic | None = None,
        scheme: str = 'http',
        **tls_options: typing.Any,
    ) -> None:
        self._self_id = self_id
        self._codec = codec
        self._signer = signer
        self._traffic = traffic
        self._scheme = scheme
        self._pools = whole_responses.TimedPoolManager(
            num_pools=MAX_HOST_POOLS, maxsize=1, retries=False, **tls_options
        )

    def send(self, effect: effects.SendPeer) -> messages.PeerReply:
        """Send and wait; the body is None if no valid reply arrives."""
        try:
            body = self._exchange(effect)
        except SEND_ERRORS:
            body = None
        return messages.PeerReply(effect.token, body)

    def _exchange(self, effect: effects.SendPeer) -> typing.Any:
        envelope = codecs.Envelope(effect.body, self._self_id)
        raw = self._codec.encode(envelope)
        headers = signed_headers(self._signer, raw)
        response, data = self._post(effect, raw, headers)
        if self._traffic is not None:
            self._count_traffic(
                effect.address, raw, headers, response, len(data)
            )
        if response.status != 200:
            return None
        self._signer.check(
            response.headers.get(TIMESTAMP_HEADER, ''),
            response.headers.get(SIGNATURE_HEADER, ''),
            data,
        )
        return self._codec.decode(data).body

    def _post(
        self, effect: effects.SendPeer, raw: bytes, headers: dict[str, str]
    ) -> tuple[urllib3.BaseHTTPResponse, bytes]:
        timeout = urllib3.Timeout(
            connect=min(CONNECT_TIMEOUT_MS, effect.timeout_ms) / 1_000,
            total=effect.timeout_ms / 1_000,
        )
        host, _, port = effect.address.rpartition(':')
        # PoolManager.request would parse the URL and encode the body again.
        pool = self._pools.connection_from_host(host, int(port), self._scheme)
        response = pool.urlopen(
            'POST',
            PATH,
            body=raw,
            headers=headers,
            timeout=timeout,
            retries=False,
            redirect=False,
            preload_content=False,
        )
        data = response.read(REPLY_LIMIT_BYTES + 1)
        if len(data) > REPLY_LIMIT_BYTES:
            response.close()
            raise errors.MessageTooLargeError(REPLY_LIMIT_BYTES)
        response.release_conn()
        return response, data

    def _count_traffic(
        self,
        address: str,
        raw: bytes,
        headers: dict[str, str],
        response: urllib3.BaseHTTPResponse,
        data_bytes: int,
    ) -> None:
        request_headers = headers | {
            'Host': address,
            'Content-Length': str(len(raw)),
        }
        sent = REQUEST_LINE_BYTES + len(raw)
        received = STATUS_LINE_BYTES + data_bytes
        self._traffic.add(
            sent + traffics.header_bytes(request_headers),
            received + traffics.header_bytes(dict(response.headers)),
        )


def signed_headers(signer: signing.Signer, raw: bytes) -> dict[str, str]:
    """Return headers that authenticate ``raw`` and omit urllib3's own."""
    timestamp_ms, signature = signer.sign(raw)
    return {
        TIMESTAMP_HEADER: str(timestamp_ms),
        SIGNATURE_HEADER: signature,
        'User-Agent': urllib3.util.SKIP_HEADER,
        'Accept-Encoding': urllib3.util.SKIP_HEADER,
    }
