"""The operators' gateway of this host, which calls the daemon's loop."""

import typing

from godwitglade.callers import exchanges
from godwitglade.common import codec
from godwitglade.common import events
from godwitglade.coordination import audit
from godwitglade.coordination import change_results
from godwitglade.coordination import change_rows
from godwitglade.coordination import effects as shared_effects
from godwitglade.coordination import rows
from godwitglade.daemon import loop as loops
from godwitglade.daemon import views
from godwitglade.decisions import messages
from godwitglade.operators import errors
from godwitglade.operators import gateway
from godwitglade.platform import table

ANSWER_TIMEOUT_MS = 15_000
LOOP_TIMEOUT_MS = 5_000
AUDIT_TIMEOUT_MS = 5_000
AUDIT_TABLE = 'audit'
AUDIT_TOKEN = 'operators:audit'

MakeMessage = typing.Callable[[str], typing.Any]


class HostGateway:
    """Implements `operators.gateway.Gateway` over the loop of a daemon."""

    def __init__(
        self,
        loop: loops.Loop,
        exchanges_: exchanges.Exchanges,
        table_client: table.TableClient,
        log: typing.Callable[[events.Event, dict[str, typing.Any]], None],
    ) -> None:
        self._loop = loop
        self._exchanges = exchanges_
        self._table = table_client
        self._log = log

    def apply(
        self, request: change_rows.ChangeRequest
    ) -> change_results.ChangeResult:
        """Apply a change to a document."""
        return self._request_change(
            lambda query_id: messages.ChangeRequested(query_id, request),
            request.change_id,
        )

    def change(self, change_id: str) -> change_results.ChangeResult:
        """Return how a change id was settled, without settling it."""
        return self._request_change(
            lambda query_id: messages.ChangeLookupRequested(
                query_id, change_id
            ),
            change_id,
        )

    def settle(self, change_id: str) -> change_results.ChangeResult:
        """Make the state of a change id final.

        Raises StoreUnavailableError when the store cannot be reached.
        """
        result = self._request_change(
            lambda query_id: messages.ChangeSettleRequested(
                query_id, change_id
            ),
            change_id,
        )
        if isinstance(result, change_results.ChangeUnavailable):
            raise errors.StoreUnavailableError(result.retry_after_ms)
        return result

    def documents(self) -> tuple[gateway.DocumentView, ...]:
        """Return the documents in force, ordered by pipeline."""
        return self._loop.call(views.documents_of, LOOP_TIMEOUT_MS)

    def document(self, pipeline: str) -> gateway.DocumentView | None:
        """Return the document in force of ``pipeline``, if any."""
        matches = (d for d in self.documents() if d.pipeline == pipeline)
        return next(matches, None)

    def status(self, at_least: int = 0) -> gateway.StatusView:
        """Query all hosts and return the documents in force on each."""
        self._request(
            lambda query_id: messages.StatusRequested(query_id, at_least)
        )
        return self._loop.call(views.status_of, LOOP_TIMEOUT_MS)

    def audit(self, after: int, limit: int) -> tuple[audit.AuditRecord, ...]:
        """Return up to ``limit`` records after sequence ``after``."""
        effect = shared_effects.ScanRows(
            AUDIT_TOKEN,
            AUDIT_TABLE,
            change_rows.sequence_key(AUDIT_TABLE, after).key,
            limit,
            AUDIT_TIMEOUT_MS,
        )
        result = self._table.scan(effect).result
        if isinstance(result, rows.Unavailable):
            raise errors.StoreUnavailableError(result.retry_after_ms)
        return tuple(
            codec.from_plain(row.value, audit.AuditRecord)
            for row in result.rows
        )

    def quarantine(self) -> tuple[gateway.QuarantineView, ...]:
        """Return the requests in quarantine."""
        return self._loop.call(views.quarantine_of, LOOP_TIMEOUT_MS)

    def clear_quarantine(self, fingerprint: str) -> bool:
        """End a quarantine on all hosts; return False when there was none."""
        fingerprints = {entry.fingerprint for entry in self.quarantine()}
        self._loop.post(messages.QuarantineEndRequested(fingerprint))
        return fingerprint in fingerprints

    def log(self, event: events.Event, fields: dict[str, typing.Any]) -> None:
        """Write a numbered event to the log."""
        self._log(event, fields)

    def _request_change(
        self, make_message: MakeMessage, change_id: str
    ) -> change_results.ChangeResult:
        result = self._request(make_message)
        if result is None:
            return change_results.ChangeUnknown(change_id)
        return result

    def _request(self, make_message: MakeMessage) -> typing.Any:
        """Return the result of a message, None when it times out."""
        exchange = self._exchanges.open()
        try:
            self._loop.post(make_message(exchange.identifier))
            answer = self._exchanges.wait(exchange, ANSWER_TIMEOUT_MS)
        finally:
            self._exchanges.close(exchange)
        return None if answer is None else answer.result
