"""Batches of orders to engines, as stored in the audit trail."""

import attrs

from godwitglade.common import codec
from godwitglade.coordination import leases
from godwitglade.coordination import rows
from godwitglade.decisions import documents
from godwitglade.decisions import placements

TABLE = 'order_audit'


@attrs.frozen
class Order:
    """The model and role that an engine is ordered to serve."""

    model: str
    version: str
    adapters: tuple[str, ...]
    role: str | None


@attrs.frozen
class AuditedOrder:
    """One order of an audited batch and its target."""

    target: str
    order: Order


@attrs.frozen
class AuditedBatch:
    """A batch of orders; ``at_ms`` is wall-clock time."""

    group: str
    fencing_number: int
    host: str
    at_ms: int
    orders: tuple[AuditedOrder, ...]


def make_order(model: documents.Model, state: placements.EngineState) -> Order:
    """Return the order to serve ``model`` in the engine's current role."""
    return Order(model.name, model.version, model.adapters, state.role)


def audit_transaction(
    batch: AuditedBatch, number: int, lease: leases.Lease
) -> rows.Transaction:
    """Return the transaction that writes ``batch`` while ``lease`` is held."""
    name = f'{batch.group}/{batch.fencing_number:012d}/{number:06d}'
    key = rows.RowKey(TABLE, name)
    return rows.Transaction(
        (lease.condition, rows.Condition(key, rows.ABSENT)),
        (rows.Write(key, codec.to_plain(batch)),),
    )
