"""What hosts attach to exchanges: the age of their document, evacuations.

A host that cannot read the store continues to serve requests with keys as
long as others can read it. It never receives a document this way, only the
time at which its own document was still the newest. It does receive newer
sets of evacuated zones, so that it need not reach the store for them.
"""

import typing

import attrs

from godwitglade.coordination import bodies
from godwitglade.coordination import membership as memberships
from godwitglade.routing import ages
from godwitglade.routing import document_state
from godwitglade.routing import evacuations

Effects = list[typing.Any]


class Freshness:
    """Attaches the document's version and age to exchanges between hosts.

    Hosts share no clock, and a message may be delayed for any time. So only
    replies are used: the age in a reply was true at some time after this
    host sent the exchange being answered, by its own clock.
    """

    def __init__(
        self,
        document_state_: document_state.DocumentState,
        evacuations_: evacuations.Evacuations | None = None,
    ) -> None:
        self._document_state = document_state_
        self._evacuations = evacuations_ or evacuations.Evacuations()

    def bind(self, membership: memberships.Membership) -> None:
        """Do nothing: the document does not depend on the members."""

    def attach(
        self,
        exchange: bodies.Exchange,
        peer_exchange: bodies.Exchange | None,
        now_ms: int,
    ) -> bodies.Exchange:
        """Return ``exchange`` with this host's document version and age."""
        document = self._document_state.document
        return attrs.evolve(
            exchange,
            sequence=0 if document is None else document.version,
            document_age_ms=self._document_state.age_ms(now_ms),
            sent_ms=now_ms,
            answers_ms=(
                None if peer_exchange is None else peer_exchange.sent_ms
            ),
            **self._evacuations.attached(),
        )

    def receive(self, exchange: bodies.Exchange, now_ms: int) -> Effects:
        """Apply a newer set of zones, and the document's age in a reply."""
        told = self._evacuations.receive(exchange)
        document = self._document_state.document
        if document is None or exchange.sequence != document.version:
            return told
        known_ms = ages.holds_up_to_ms(
            exchange.document_age_ms, exchange.answers_ms, now_ms
        )
        if known_ms is not None:
            self._document_state.confirm(known_ms)
        return told
