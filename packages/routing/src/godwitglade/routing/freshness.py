"""Hosts tell each other that the document they hold is the newest.

Answers the days on which the store turns some hosts away: such a host goes
on serving requests with keys as long as others read the store. It never
takes over a document this way, only the moment at which its own was still
the newest.
"""

import typing

import attrs

from godwitglade.coordination import bodies
from godwitglade.coordination import membership as memberships
from godwitglade.routing import knowledge

Effects = list[typing.Any]


class Freshness:
    """Carries the document's version and age on the hosts' exchange.

    Hosts share no clock, and a message may have been under way for any
    time. So only replies count: what a reply says held after the exchange
    that it answers was sent, by this host's own clock.
    """

    def __init__(self, knowledge_: knowledge.Knowledge) -> None:
        self._knowledge = knowledge_

    def bind(self, membership: memberships.Membership) -> None:
        """Do nothing: the document does not depend on the members."""

    def attach(
        self,
        exchange: bodies.Exchange,
        theirs: bodies.Exchange | None,
        now_ms: int,
    ) -> bodies.Exchange:
        """Return ``exchange`` with this host's document version and age."""
        document = self._knowledge.document
        return attrs.evolve(
            exchange,
            sequence=0 if document is None else document.version,
            document_age_ms=self._knowledge.age_ms(now_ms),
            sent_ms=now_ms,
            answers_ms=None if theirs is None else theirs.sent_ms,
        )

    def receive(self, exchange: bodies.Exchange, now_ms: int) -> Effects:
        """Take in the age of the same version in a reply."""
        document = self._knowledge.document
        age_ms = exchange.document_age_ms
        asked_ms = exchange.answers_ms
        if document is None or age_ms is None or asked_ms is None:
            return []
        if exchange.sequence == document.version:
            self._knowledge.confirm(asked_ms - age_ms)
        return []
