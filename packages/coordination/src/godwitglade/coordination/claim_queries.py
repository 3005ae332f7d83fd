"""Queries for the state of a claim key that do not claim it."""

import itertools
import typing

from godwitglade.common import codec
from godwitglade.common import errors
from godwitglade.coordination import claim_messages
from godwitglade.coordination import claim_rows
from godwitglade.coordination import effects
from godwitglade.coordination import messages
from godwitglade.coordination import rows


class Queries:
    """The queries of one host that have not ended yet."""

    def __init__(self, store_timeout_ms: int, peer_timeout_ms: int) -> None:
        self._store_timeout_ms = store_timeout_ms
        self._peer_timeout_ms = peer_timeout_ms
        self._queries: dict[str, tuple[str, str]] = {}
        self._sequence = itertools.count(1)

    def start(self, claim_key: str, query_id: str) -> list:
        """Start a query, which ends in one `claim_messages.ClaimLooked`."""
        token = self._new_token(query_id, claim_key)
        keys = (claim_rows.row_key(claim_key),)
        return [effects.ReadRows(token, keys, self._store_timeout_ms)]

    def handle_read(self, message: messages.ReadSettled) -> list:
        """Report the state in the row, or query the owner of the row."""
        query = self._queries.pop(message.token, None)
        if query is None:
            return []
        query_id, claim_key = query
        if isinstance(message.result, rows.Unavailable):
            return _deliver_state(query_id, 'unavailable')
        row = message.result.find(claim_rows.row_key(claim_key))
        content = claim_rows.parse(row) if row else None
        if content is None or content.state is claim_rows.State.NOT_RUN:
            return _deliver_state(query_id, 'absent')
        if content.state is claim_rows.State.DISPATCHED:
            return self._query_owner(query_id, claim_key, row, content)
        if content.outcome is not None:
            return _deliver_state(query_id, 'settled', content.outcome)
        token = self._new_token(query_id, claim_key)
        name = claim_rows.object_name(content.nonce)
        return [effects.ReadObject(token, name)]

    def handle_object(self, message: messages.ObjectRead) -> list:
        """Report a large outcome; the state is unknown if it is missing."""
        query = self._queries.pop(message.token, None)
        if query is None:
            return []
        outcome = parse_outcome(message.content)
        state = 'unknown' if outcome is None else 'settled'
        return _deliver_state(query[0], state, outcome)

    def handle_reply(self, message: messages.PeerReply) -> list:
        """Report the owner's reply; the state is unknown without one."""
        query = self._queries.pop(message.token, None)
        if query is None:
            return []
        reply = message.body
        if not isinstance(reply, claim_messages.ClaimAnswer):
            return _deliver_state(query[0], 'unknown')
        state = 'absent' if reply.state == 'released' else reply.state
        return _deliver_state(query[0], state, reply.outcome)

    def _query_owner(
        self,
        query_id: str,
        claim_key: str,
        row: rows.Row,
        content: claim_rows.ClaimRow,
    ) -> list:
        if not content.address:
            return _deliver_state(query_id, 'unknown')
        question = claim_messages.ClaimQuestion(
            claim_key, content.nonce, content.owner, row.version
        )
        token = self._new_token(query_id, claim_key)
        return [
            effects.SendPeer(
                token, content.address, question, self._peer_timeout_ms
            )
        ]

    def _new_token(self, query_id: str, claim_key: str) -> str:
        token = f'claims:look:{next(self._sequence)}'
        self._queries[token] = (query_id, claim_key)
        return token


def parse_outcome(raw: bytes | None) -> dict[str, typing.Any] | None:
    """Return the outcome in ``raw``, None when absent or malformed."""
    if raw is None:
        return None
    try:
        return codec.from_json(raw, dict[str, typing.Any])
    except errors.MalformedError:
        return None


def _deliver_state(
    query_id: str, state: str, outcome: dict[str, typing.Any] | None = None
) -> list:
    result = claim_messages.ClaimLooked(query_id, state, outcome)
    return [effects.Deliver(result)]
