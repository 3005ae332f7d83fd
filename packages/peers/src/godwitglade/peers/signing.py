"""HMAC signatures by which hosts authenticate their messages.

The signature covers the time and the body of a message. The freshness window
limits how long a recorded message can be replayed; within it a replay is
harmless, because the messages between hosts are idempotent.
"""

import hashlib
import hmac

from godwitglade.common import clock as clocks
from godwitglade.peers import errors

FRESHNESS_WINDOW_MS = 30 * clocks.SECOND_MS


class Signer:
    """Signs and verifies messages with a secret that all hosts share.

    Signatures with ``previous_secret`` are accepted too, for rotation.
    """

    def __init__(
        self,
        secret: bytes,
        clock: clocks.Clock,
        previous_secret: bytes | None = None,
    ) -> None:
        self._secret = secret
        self._clock = clock
        secrets = (secret, previous_secret)
        self._accepted_secrets = [
            value for value in secrets if value is not None
        ]

    def sign(self, body: bytes) -> tuple[int, str]:
        """Return the time in milliseconds and the signature of ``body``."""
        timestamp_ms = self._clock.wall_ms()
        return timestamp_ms, _signature(self._secret, timestamp_ms, body)

    def check(self, timestamp: str, signature: str, body: bytes) -> None:
        """Verify a message; raises SignatureError or StaleMessageError."""
        if not (timestamp.isascii() and timestamp.isdigit()):
            raise errors.SignatureError()
        timestamp_ms = int(timestamp[:20])
        received = signature.encode('utf-8', 'replace')
        is_valid = any(
            hmac.compare_digest(
                _signature(secret, timestamp_ms, body).encode(), received
            )
            for secret in self._accepted_secrets
        )
        if not is_valid:
            raise errors.SignatureError()
        skew_ms = abs(self._clock.wall_ms() - timestamp_ms)
        if skew_ms > FRESHNESS_WINDOW_MS:
            raise errors.StaleMessageError(skew_ms)


def _signature(secret: bytes, timestamp_ms: int, body: bytes) -> str:
    signed = b'%d\n%b' % (timestamp_ms, body)
    return hmac.new(secret, signed, hashlib.sha256).hexdigest()
