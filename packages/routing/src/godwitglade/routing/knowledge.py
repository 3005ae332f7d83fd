"""What this host knows of the document, and how old that knowledge is.

Answers the days on which keys are withdrawn while the store turns some
hosts away: a request with a key is served only as long as the document is
known to have been the newest recently enough.
"""

import attrs

from godwitglade.routing import documents

#: Share of the revocation bound within which the document must have been
#: read; the rest is for requests that arrived just before.
REVOCATION_SHARE = 0.9


@attrs.define(eq=False)
class Knowledge:
    """The newest document and the moment at which it was the newest.

    ``revoke_ms`` bounds how long a withdrawn key may still pass, None for
    no bound. ``confirmed_ms`` is the start of the last read that found the
    document unchanged or newer.
    """

    revoke_ms: int | None = None
    document: documents.Document | None = None
    confirmed_ms: int | None = None

    def take(self, document: documents.Document, read_from_ms: int) -> bool:
        """Take in a document read; tell whether it is a newer one."""
        held = self.document
        if held is not None and document.version < held.version:
            return False
        self.confirm(read_from_ms)
        if held is not None and document.version == held.version:
            return False
        self.document = document
        return True

    def confirm(self, read_from_ms: int) -> None:
        """Note that the document held was the newest at a moment."""
        self.confirmed_ms = max(self.confirmed_ms or 0, read_from_ms)

    def age_ms(self, now_ms: int) -> int | None:
        """Return the time since the document was known to be the newest."""
        if self.confirmed_ms is None:
            return None
        return now_ms - self.confirmed_ms

    def may_accept_keys(self, now_ms: int) -> bool:
        """Tell whether no key can have been withdrawn for too long."""
        if self.revoke_ms is None:
            return True
        age_ms = self.age_ms(now_ms)
        if age_ms is None:
            return False
        return age_ms < self.revoke_ms * REVOCATION_SHARE
