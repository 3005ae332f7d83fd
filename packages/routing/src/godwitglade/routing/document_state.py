"""The newest document known to this host, and its last confirmation.

Keys may be withdrawn while a host cannot read the store. A request with a
key is therefore served only if the document was confirmed to be the newest
recently enough.
"""

import attrs

from godwitglade.routing import documents

#: Share of the revocation time within which the document must have been
#: confirmed; the rest covers requests that arrived just before its end.
REVOCATION_SHARE = 0.9


@attrs.define(eq=False)
class DocumentState:
    """The document and the last time at which it was the newest.

    ``revoke_ms`` is the longest time that a withdrawn key may still be
    accepted, None for no bound. ``confirmed_ms`` is the start of the last
    read that returned this document, by this host or by a peer.
    """

    revoke_ms: int | None = None
    document: documents.Document | None = None
    confirmed_ms: int | None = None

    def apply(self, document: documents.Document, read_from_ms: int) -> bool:
        """Apply a document read; return whether it is newer."""
        current = self.document
        if current is not None and document.version < current.version:
            return False
        self.confirm(read_from_ms)
        if current is not None and document.version == current.version:
            return False
        self.document = document
        return True

    def confirm(self, read_from_ms: int) -> None:
        """Record that the document was the newest at ``read_from_ms``."""
        self.confirmed_ms = max(self.confirmed_ms or 0, read_from_ms)

    def age_ms(self, now_ms: int) -> int | None:
        """Return the time since the document was last confirmed."""
        if self.confirmed_ms is None:
            return None
        return now_ms - self.confirmed_ms

    def may_accept_keys(self, now_ms: int) -> bool:
        """Return whether the document is recent enough to check keys."""
        if self.revoke_ms is None:
            return True
        age_ms = self.age_ms(now_ms)
        if age_ms is None:
            return False
        return age_ms < self.revoke_ms * REVOCATION_SHARE
