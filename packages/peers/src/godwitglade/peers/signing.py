"""Signatures that hosts authenticate each other by.

A message is signed over its time and its body. The freshness window bounds
how long a recorded message can be sent again; what hosts exchange is
idempotent, so that a repetition within it is harmless.
"""

import hashlib
import hmac

from godwitglade.common import clock as clocks
from godwitglade.peers import errors

FRESHNESS_MS = 30 * clocks.SECOND_MS


class Signer:
    """Signs and checks with a secret that all hosts share.

    ``previous_secret`` is accepted too while secrets are being replaced.
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
        self._accepted = [one for one in secrets if one is not None]

    def sign(self, body: bytes) -> tuple[int, str]:
        """Return the time in milliseconds and the signature of ``body``."""
        timestamp_ms = self._clock.wall_ms()
        return timestamp_ms, _signature(self._secret, timestamp_ms, body)

    def check(self, timestamp: str, signature: str, body: bytes) -> None:
        """Raise SignatureError or StaleMessageError unless valid."""
        if not (timestamp.isascii() and timestamp.isdigit()):
            raise errors.SignatureError()
        timestamp_ms = int(timestamp[:20])
        given = signature.encode('utf-8', 'replace')
        is_valid = any(
            hmac.compare_digest(
                _signature(secret, timestamp_ms, body).encode(), given
            )
            for secret in self._accepted
        )
        if not is_valid:
            raise errors.SignatureError()
        skew_ms = abs(self._clock.wall_ms() - timestamp_ms)
        if skew_ms > FRESHNESS_MS:
            raise errors.StaleMessageError(skew_ms)


def _signature(secret: bytes, timestamp_ms: int, body: bytes) -> str:
    signed = b'%d\n%b' % (timestamp_ms, body)
    return hmac.new(secret, signed, hashlib.sha256).hexdigest()
