"""Changes of documents in the table service, with lost results settled.

A change is one transaction on the rows of `change_rows`. When its result is
lost, a refusal is inserted at the row of its change id. Either the insert
fails because the change was applied, or the change can no longer be applied.
Only in the latter case is the change reported as not applied.
"""

import functools
import random
import typing

import attrs

from godwitglade.common import clock
from godwitglade.common import errors
from godwitglade.common import events
from godwitglade.coordination import change_results
from godwitglade.coordination import change_rows
from godwitglade.coordination import effects
from godwitglade.coordination import messages
from godwitglade.coordination import rows

READ_TIMEOUT_MS = 2 * clock.SECOND_MS
TRANSACT_TIMEOUT_MS = 3 * clock.SECOND_MS
MAX_APPLY_ATTEMPTS = 8
MAX_SETTLE_ATTEMPTS = 5
SETTLE_BACKOFF_MS = 200
RETRY_AFTER_MS = 1 * clock.SECOND_MS
TOKEN_PREFIX = 'changes'


@attrs.frozen
class _Apply:
    query_id: str
    request: change_rows.ChangeRequest
    basis: change_rows.Basis | None = None
    attempt: int = 0


@attrs.frozen
class _Settle:
    query_id: str
    change_id: str
    request: change_rows.ChangeRequest | None = None
    attempt: int = 0


@attrs.frozen
class _LookUp:
    query_id: str
    change_id: str


_Effects = list[typing.Any]


class Changes:
    """Applies, looks up and settles changes; free of I/O.

    Each call ends in one `effects.Deliver` of a
    `change_results.ChangeCallEnded`.
    """

    def __init__(self, random: random.Random) -> None:
        self._random = random
        self._next_token = 0
        self._pending: dict[str, _Apply | _Settle | _LookUp] = {}

    @property
    def pending_count(self) -> int:
        """Return the number of calls that have not ended yet."""
        return len(self._pending)

    def submit(
        self, query_id: str, request: change_rows.ChangeRequest, now_ms: int
    ) -> _Effects:
        """Apply a change; repeating the same change gives the same result."""
        return self._read_basis(_Apply(query_id, request))

    def look_up(self, query_id: str, change_id: str, now_ms: int) -> _Effects:
        """Report how ``change_id`` was settled without settling it."""
        key = change_rows.change_id_key(change_id)
        return self._read(_LookUp(query_id, change_id), key)

    def settle(self, query_id: str, change_id: str, now_ms: int) -> _Effects:
        """Make the state of ``change_id`` final: applied or not applied."""
        return self._insert_refusal(_Settle(query_id, change_id))

    @functools.singledispatchmethod
    def handle(self, message: typing.Any, now_ms: int) -> _Effects:
        """Process the result of an effect that this class returned."""
        return []

    @handle.register
    def _on_read(self, message: messages.ReadSettled, now_ms: int) -> _Effects:
        pending = self._pending.pop(message.token, None)
        if pending is None:
            return []
        if isinstance(message.result, rows.Unavailable):
            return self._end(pending, _result_of_unavailable(message.result))
        return self._run_step(self._after_read, pending, message.result)

    @handle.register
    def _on_transaction(
        self, message: messages.TransactionSettled, now_ms: int
    ) -> _Effects:
        pending = self._pending.pop(message.token, None)
        if pending is None:
            return []
        is_apply = isinstance(pending, _Apply)
        step = self._after_apply if is_apply else self._after_refusal
        return self._run_step(step, pending, message.result, now_ms)

    @handle.register
    def _on_timer(self, message: messages.TimerFired, now_ms: int) -> _Effects:
        pending = self._pending.pop(message.token, None)
        return [] if pending is None else self._insert_refusal(pending)

    def _after_read(
        self, pending: _Apply | _LookUp, found: rows.Rows
    ) -> _Effects:
        if isinstance(pending, _LookUp):
            state = change_rows.read_change_id(found, pending.change_id)
            absent = change_results.ChangeAbsent(pending.change_id)
            result = (
                absent if state is None else _result_of_state(pending, state)
            )
            return self._end(pending, result)
        request = pending.request
        state = change_rows.read_change_id(found, request.change_id)
        if state is not None:
            return self._end(pending, _result_of_state(pending, state))
        basis = change_rows.read_basis(found, request.pipeline)
        return self._transact(attrs.evolve(pending, basis=basis))

    def _transact(self, pending: _Apply) -> _Effects:
        refusal = _check_basis(pending.request, pending.basis)
        if refusal is not None:
            return self._end(pending, refusal)
        token = self._register(pending)
        transaction = change_rows.build(pending.request, pending.basis)
        return [effects.Transact(token, transaction, TRANSACT_TIMEOUT_MS)]

    def _after_apply(
        self, pending: _Apply, result: rows.TransactionResult, now_ms: int
    ) -> _Effects:
        if isinstance(result, rows.Committed):
            return self._accept(pending)
        if isinstance(result, rows.Unavailable):
            return self._end(pending, _result_of_unavailable(result))
        if isinstance(result, rows.Conflict):
            return self._after_conflict(pending, result)
        request = pending.request
        settle = _Settle(pending.query_id, request.change_id, request)
        return self._insert_refusal(settle)

    def _accept(self, pending: _Apply) -> _Effects:
        request = pending.request
        accepted = change_results.ChangeAccepted(
            request.change_id,
            request.pipeline,
            pending.basis.document.version + 1,
            pending.basis.head.sequence + 1,
        )
        return self._end(pending, accepted)

    def _after_conflict(
        self, pending: _Apply, conflict: rows.Conflict
    ) -> _Effects:
        change_id = pending.request.change_id
        found = rows.Rows(conflict.rows)
        state = change_rows.read_change_id(found, change_id)
        if state is not None:
            return self._end(pending, _result_of_state(pending, state))
        return self._retry(pending)

    def _retry(self, pending: _Apply) -> _Effects:
        # A conflict returns only the rows that changed; read all rows again.
        attempt = pending.attempt + 1
        if attempt >= MAX_APPLY_ATTEMPTS:
            delay_ms = self._random.randint(
                RETRY_AFTER_MS // 2, RETRY_AFTER_MS
            )
            return self._end(
                pending, change_results.ChangeUnavailable(delay_ms)
            )
        retried = attrs.evolve(pending, basis=None, attempt=attempt)
        return self._read_basis(retried)

    def _read_basis(self, pending: _Apply) -> _Effects:
        request = pending.request
        return self._read(
            pending,
            change_rows.HEAD_KEY,
            change_rows.document_key(request.pipeline),
            change_rows.change_id_key(request.change_id),
        )

    def _insert_refusal(self, pending: _Settle) -> _Effects:
        token = self._register(pending)
        transaction = change_rows.build_refusal(pending.change_id)
        return [effects.Transact(token, transaction, TRANSACT_TIMEOUT_MS)]

    def _after_refusal(
        self, pending: _Settle, result: rows.TransactionResult, now_ms: int
    ) -> _Effects:
        if isinstance(result, rows.Committed):
            not_applied = change_results.ChangeNotApplied(pending.change_id)
            return self._end(pending, not_applied)
        if isinstance(result, rows.Conflict):
            found = rows.Rows(result.rows)
            state = change_rows.read_change_id(found, pending.change_id)
            if state is not None:
                return self._end(pending, _result_of_state(pending, state))
        return self._retry_refusal(pending, now_ms)

    def _retry_refusal(self, pending: _Settle, now_ms: int) -> _Effects:
        attempt = pending.attempt + 1
        if attempt >= MAX_SETTLE_ATTEMPTS:
            return self._end(
                pending, change_results.ChangeUnknown(pending.change_id)
            )
        token = self._register(attrs.evolve(pending, attempt=attempt))
        longest_ms = SETTLE_BACKOFF_MS << attempt
        delay_ms = self._random.randint(longest_ms // 2, longest_ms)
        return [effects.StartTimer(token, now_ms + delay_ms)]

    def _read(self, pending: _Apply | _LookUp, *keys) -> _Effects:
        token = self._register(pending)
        return [effects.ReadRows(token, keys, READ_TIMEOUT_MS)]

    def _register(self, pending: _Apply | _Settle | _LookUp) -> str:
        self._next_token += 1
        token = f'{TOKEN_PREFIX}:{self._next_token}'
        self._pending[token] = pending
        return token

    def _run_step(self, step, pending, *arguments) -> _Effects:
        try:
            return step(pending, *arguments)
        except errors.MalformedError as error:
            fields = {'reason': str(error)}
            event = events.Event.CHANGE_ROWS_MALFORMED
            logged = effects.LogEvent(event, fields)
            return [
                logged,
                *self._end(pending, _result_of_malformed_rows(pending)),
            ]

    def _end(self, pending, result: change_results.ChangeResult) -> _Effects:
        settled = change_results.ChangeCallEnded(pending.query_id, result)
        return [*_log(result), effects.Deliver(settled)]


def _check_basis(
    request: change_rows.ChangeRequest, basis: change_rows.Basis
) -> change_results.ChangeResult | None:
    current = basis.document
    if current.team not in ('', request.team):
        return change_results.ChangeForbidden(request.pipeline, current.team)
    if current.version != request.based_on:
        return change_results.ChangeConflict(
            request.pipeline, request.based_on, current.version, current.text
        )
    return None


def _result_of_state(
    pending: _Apply | _Settle | _LookUp, state: change_rows.ChangeIdRow
) -> change_results.ChangeResult:
    request = getattr(pending, 'request', None)
    change_id = request.change_id if request else pending.change_id
    if state.state is change_rows.IdState.REFUSED:
        return change_results.ChangeNotApplied(change_id)
    if request is not None and state.digest != request.digest:
        return change_results.ChangeIdReused(change_id)
    return change_results.ChangeAccepted(
        change_id, state.pipeline, state.version, state.sequence
    )


def _result_of_malformed_rows(
    pending: _Apply | _Settle | _LookUp,
) -> change_results.ChangeResult:
    if isinstance(pending, _Apply):
        return change_results.ChangeUnavailable(RETRY_AFTER_MS)
    return change_results.ChangeUnknown(pending.change_id)


def _result_of_unavailable(
    result: rows.Unavailable,
) -> change_results.ChangeUnavailable:
    return change_results.ChangeUnavailable(result.retry_after_ms)


@functools.singledispatch
def _log(result: change_results.ChangeResult) -> _Effects:
    return []


@_log.register
def _log_accepted(result: change_results.ChangeAccepted) -> _Effects:
    event = events.Event.CHANGE_APPLIED
    return [effects.LogEvent(event, attrs.asdict(result))]


@_log.register
def _log_unknown(result: change_results.ChangeUnknown) -> _Effects:
    event = events.Event.CHANGE_UNSETTLED
    return [effects.LogEvent(event, attrs.asdict(result))]
