"""Reading what became of a key, without taking it."""

import itertools
import typing

from godwitglade.common import codec
from godwitglade.common import errors
from godwitglade.coordination import claim_messages
from godwitglade.coordination import claim_rows
from godwitglade.coordination import effects
from godwitglade.coordination import messages
from godwitglade.coordination import rows


class Looks:
    """The queries of one host that are under way."""

    def __init__(self, store_timeout_ms: int, peer_timeout_ms: int) -> None:
        self._store_timeout_ms = store_timeout_ms
        self._peer_timeout_ms = peer_timeout_ms
        self._queries: dict[str, tuple[str, str]] = {}
        self._sequence = itertools.count(1)

    def look(self, claim_key: str, query_id: str) -> list:
        """Begin a query; it ends in one `claim_messages.ClaimLooked`."""
        token = self._token(query_id, claim_key)
        keys = (claim_rows.row_key(claim_key),)
        return [effects.ReadRows(token, keys, self._store_timeout_ms)]

    def handle_read(self, message: messages.ReadSettled) -> list:
        """Act on the row, or ask its owner."""
        query = self._queries.pop(message.token, None)
        if query is None:
            return []
        query_id, claim_key = query
        if isinstance(message.result, rows.Unavailable):
            return _looked(query_id, 'unavailable')
        row = message.result.find(claim_rows.row_key(claim_key))
        content = claim_rows.parse(row) if row else None
        if content is None or content.state is claim_rows.State.NOT_RUN:
            return _looked(query_id, 'absent')
        if content.state is claim_rows.State.DISPATCHED:
            return self._ask(query_id, claim_key, row, content)
        if content.outcome is not None:
            return _looked(query_id, 'settled', content.outcome)
        token = self._token(query_id, claim_key)
        name = claim_rows.object_name(content.nonce)
        return [effects.ReadObject(token, name)]

    def handle_object(self, message: messages.ObjectRead) -> list:
        """Act on a large outcome; a lost one leaves the state unknown."""
        query = self._queries.pop(message.token, None)
        if query is None:
            return []
        outcome = parse_outcome(message.content)
        state = 'unknown' if outcome is None else 'settled'
        return _looked(query[0], state, outcome)

    def handle_reply(self, message: messages.PeerReply) -> list:
        """Act on the owner's answer, or on none."""
        query = self._queries.pop(message.token, None)
        if query is None:
            return []
        answer = message.body
        if not isinstance(answer, claim_messages.ClaimAnswer):
            return _looked(query[0], 'unknown')
        state = 'absent' if answer.state == 'released' else answer.state
        return _looked(query[0], state, answer.outcome)

    def _ask(
        self,
        query_id: str,
        claim_key: str,
        row: rows.Row,
        content: claim_rows.ClaimRow,
    ) -> list:
        if not content.address:
            return _looked(query_id, 'unknown')
        question = claim_messages.ClaimQuestion(
            claim_key, content.nonce, content.owner, row.version
        )
        token = self._token(query_id, claim_key)
        return [
            effects.SendPeer(
                token, content.address, question, self._peer_timeout_ms
            )
        ]

    def _token(self, query_id: str, claim_key: str) -> str:
        token = f'claims:look:{next(self._sequence)}'
        self._queries[token] = (query_id, claim_key)
        return token


def parse_outcome(raw: bytes | None) -> dict[str, typing.Any] | None:
    """Return the outcome in an object's bytes, None when there is none."""
    if raw is None:
        return None
    try:
        return codec.from_json(raw, dict[str, typing.Any])
    except errors.MalformedError:
        return None


def _looked(
    query_id: str, state: str, outcome: dict[str, typing.Any] | None = None
) -> list:
    looked = claim_messages.ClaimLooked(query_id, state, outcome)
    return [effects.Deliver(looked)]
