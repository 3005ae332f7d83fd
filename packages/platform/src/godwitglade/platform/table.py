"""Client of the platform's transactional table service."""

import functools
import typing
import urllib.parse

from godwitglade.common import codec
from godwitglade.common import errors
from godwitglade.coordination import effects
from godwitglade.coordination import messages
from godwitglade.coordination import rows
from godwitglade.platform import service

#: Statuses of requests that the service rejects before executing them.
REJECTED_STATUSES = frozenset((400, 401, 403, 404, 405, 411, 413, 415, 429))
REJECTED_RETRY_MS = 1_000


class TableClient:
    """Runs transactions and reads with blocking calls; thread-safe."""

    def __init__(self, table_service: service.Service) -> None:
        self._service = table_service

    def transact(
        self, effect: effects.Transact
    ) -> messages.TransactionSettled:
        """Run a transaction; an uncertain outcome gives `rows.Unknown`."""
        exchange = self._service.exchange(
            'POST',
            '/v1/transactions',
            effect.timeout_ms,
            _encode_transaction(effect.transaction),
        )
        result = _transaction_result(exchange)
        return messages.TransactionSettled(effect.token, result)

    def read(self, effect: effects.ReadRows) -> messages.ReadSettled:
        """Read rows by key."""
        body = {'keys': [codec.to_plain(key) for key in effect.keys]}
        exchange = self._service.exchange(
            'POST', '/v1/reads', effect.timeout_ms, codec.to_json(body)
        )
        return messages.ReadSettled(effect.token, _read_result(exchange))

    def scan(self, effect: effects.ScanRows) -> messages.ReadSettled:
        """Read up to ``limit`` rows of a table in key order."""
        query = urllib.parse.urlencode(
            {
                'table': effect.table,
                'after': effect.after,
                'limit': effect.limit,
            }
        )
        exchange = self._service.exchange(
            'GET', f'/v1/rows?{query}', effect.timeout_ms
        )
        return messages.ReadSettled(effect.token, _read_result(exchange))


def _encode_transaction(transaction: rows.Transaction) -> bytes:
    conditions = [
        {**codec.to_plain(condition.key), 'version': condition.version}
        for condition in transaction.conditions
    ]
    writes = [
        {**codec.to_plain(write.key), 'value': write.value}
        for write in transaction.writes
    ]
    return codec.to_json({'conditions': conditions, 'writes': writes})


@functools.singledispatch
def _transaction_result(exchange: service.Exchange) -> rows.TransactionResult:
    return rows.Unknown()


@_transaction_result.register
def _(exchange: service.NotSent) -> rows.TransactionResult:
    return rows.Unavailable(exchange.retry_after_ms)


@_transaction_result.register
def _(exchange: service.Answer) -> rows.TransactionResult:
    if exchange.status in REJECTED_STATUSES:
        return rows.Unavailable(REJECTED_RETRY_MS)
    try:
        if exchange.status == 200:
            return rows.Committed(_parse_versions(exchange.content))
        if exchange.status == 409:
            return rows.Conflict(_parse_rows(exchange.content))
    except errors.MalformedError:
        return rows.Unknown()
    return rows.Unknown()


@functools.singledispatch
def _read_result(exchange: service.Exchange) -> rows.ReadResult:
    return rows.Unavailable()


@_read_result.register
def _(exchange: service.NotSent) -> rows.ReadResult:
    return rows.Unavailable(exchange.retry_after_ms)


@_read_result.register
def _(exchange: service.Answer) -> rows.ReadResult:
    if exchange.status != 200:
        return rows.Unavailable()
    try:
        return rows.Rows(_parse_rows(exchange.content))
    except errors.MalformedError:
        return rows.Unavailable()


def _parse_versions(content: bytes) -> tuple[int, ...]:
    plain = _parse_object(content)
    return codec.from_plain(plain.get('versions'), tuple[int, ...])


def _parse_rows(content: bytes) -> tuple[rows.Row, ...]:
    plain = _parse_object(content)
    entries = codec.from_plain(plain.get('rows'), list[dict[str, typing.Any]])
    return tuple(_parse_row(entry) for entry in entries)


def _parse_object(content: bytes) -> dict[str, typing.Any]:
    return codec.from_json(content, dict[str, typing.Any])


def _parse_row(entry: dict[str, typing.Any]) -> rows.Row:
    return rows.Row(
        key=codec.from_plain(entry, rows.RowKey),
        version=codec.from_plain(entry.get('version'), int),
        value=codec.from_plain(entry.get('value'), dict[str, typing.Any]),
    )
