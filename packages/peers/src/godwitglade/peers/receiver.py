"""Receives messages of other hosts, whichever server reads them."""

import typing

import attrs

from godwitglade.common import errors as common_errors
from godwitglade.coordination import messages
from godwitglade.peers import client
from godwitglade.peers import codec as codecs
from godwitglade.peers import errors
from godwitglade.peers import replies as pending_replies
from godwitglade.peers import signing
from godwitglade.peers import traffic as traffics

REPLY_TIMEOUT_MS = 2_000
BODY_LIMIT_BYTES = 4 * 1024 * 1024


@attrs.frozen
class Receiver:
    """Verifies and decodes messages, and waits for the loop's replies.

    ``post`` sends a message to the loop; the daemon delivers the loop's
    `effects.ReplyPeer` to ``replies``. Without ``traffic`` the bytes are not
    counted.
    """

    post: typing.Callable[[messages.PeerMessage], None]
    replies: pending_replies.PendingReplies
    codec: codecs.Codec
    signer: signing.Signer
    traffic: traffics.Traffic | None = None

    def receive(
        self, headers: typing.Mapping[str, str], raw: bytes
    ) -> tuple[bytes, dict[str, str]]:
        """Return the body and headers of the reply to a message.

        Raises CodedError if the message is not accepted or gets no reply.
        """
        self.signer.check(
            headers.get(client.TIMESTAMP_HEADER, ''),
            headers.get(client.SIGNATURE_HEADER, ''),
            raw,
        )
        envelope = self.codec.decode(raw)
        if envelope.sender is None:
            raise common_errors.MalformedError('$.sender', 'is missing')
        body = self._await_reply(envelope)
        reply_raw = self.codec.encode(codecs.Envelope(body))
        timestamp_ms, signature = self.signer.sign(reply_raw)
        reply_headers = {
            client.TIMESTAMP_HEADER: str(timestamp_ms),
            client.SIGNATURE_HEADER: signature,
        }
        return reply_raw, reply_headers

    def _await_reply(self, envelope: codecs.Envelope) -> typing.Any:
        if isinstance(envelope.body, codecs.UnknownBody):
            raise errors.NoReplyError(envelope.body.kind)
        token = self.replies.open()
        self.post(messages.PeerMessage(envelope.sender, envelope.body, token))
        body = self.replies.wait(token, REPLY_TIMEOUT_MS)
        if body is None:
            raise errors.NoReplyError(self.codec.kind_of(envelope.body))
        return body

    def count_traffic(
        self,
        request_headers: dict[str, str],
        request_raw: bytes,
        reply_headers: dict[str, str],
        reply_raw: bytes,
    ) -> None:
        """Count the bytes of a message and its reply."""
        if self.traffic is None:
            return
        sent_headers = reply_headers | {'Content-Length': str(len(reply_raw))}
        sent = client.STATUS_LINE_BYTES + len(reply_raw)
        received = client.REQUEST_LINE_BYTES + len(request_raw)
        self.traffic.add(
            sent + traffics.header_bytes(sent_headers),
            received + traffics.header_bytes(request_headers),
        )
