"""State of a group's engines, as the holder of its lease tracks it."""

import attrs

from godwitglade.common import clock
from godwitglade.coordination import leases
from godwitglade.decisions import documents
from godwitglade.decisions import order_batches
from godwitglade.decisions import placements
from godwitglade.decisions import targets

#: Interval at which the state of an engine is read again.
READ_INTERVAL_MS = 30 * clock.SECOND_MS

#: An order is based only on a state that is at most this old.
MAX_STATE_AGE_MS = 10 * clock.SECOND_MS

#: An engine that does not report the ordered model after this time may get
#: the order again.
LOAD_TIMEOUT_MS = 10 * clock.MINUTE_MS
LOADING_READ_INTERVAL_MS = 5 * clock.SECOND_MS

FIRST_BACKOFF_MS = 5 * clock.SECOND_MS
MAX_BACKOFF_MS = 2 * clock.MINUTE_MS


@attrs.define(eq=False)
class Engine:
    """One engine: its state as last read and the last order to it.

    ``read_sent_ms`` is set while a read of the state is in flight.
    """

    target: targets.Target
    state: placements.EngineState | None = None
    read_ms: int | None = None
    read_sent_ms: int | None = None
    ordered: documents.Model | None = None
    ordered_ms: int = 0
    retry_at_ms: int = 0
    failure_count: int = 0

    def needs_read(self, now_ms: int) -> bool:
        """Tell whether the state must be read now."""
        if not self.may_read(now_ms):
            return False
        if self.read_ms is None:
            return True
        interval_ms = READ_INTERVAL_MS
        if self.ordered is not None:
            interval_ms = LOADING_READ_INTERVAL_MS
        return now_ms - self.read_ms >= interval_ms

    def may_read(self, now_ms: int) -> bool:
        """Tell whether no read is in flight and no backoff is running."""
        if now_ms < self.retry_at_ms:
            return False
        if self.read_sent_ms is None:
            return True
        return now_ms - self.read_sent_ms >= READ_INTERVAL_MS

    def is_fresh(self, now_ms: int) -> bool:
        """Tell whether the state is recent enough to base an order on."""
        if self.read_ms is None or now_ms < self.retry_at_ms:
            return False
        return now_ms - self.read_ms < MAX_STATE_AGE_MS

    def is_loading(self, now_ms: int) -> bool:
        """Tell whether an order was sent whose model is not reported yet."""
        if self.ordered is None:
            return False
        return now_ms - self.ordered_ms < LOAD_TIMEOUT_MS

    def apply_state(
        self, state: placements.EngineState | None, now_ms: int
    ) -> None:
        """Apply a state that was read, None when the engine did not reply."""
        self.read_sent_ms = None
        if state is None:
            self._back_off(now_ms)
            return
        self.failure_count = 0
        self.state = state
        self.read_ms = now_ms
        if state.model == self.ordered:
            self.ordered = None

    def record_order(self, model: documents.Model, now_ms: int) -> None:
        """Record an order as sent; the state must be read again after it."""
        self.ordered = model
        self.ordered_ms = now_ms
        self.read_ms = None

    def record_lost_order(self, now_ms: int) -> None:
        """Allow the order again after a backoff; it may have arrived."""
        self.ordered = None
        self._back_off(now_ms)

    def _back_off(self, now_ms: int) -> None:
        delay_ms = FIRST_BACKOFF_MS << min(self.failure_count, 8)
        self.retry_at_ms = now_ms + min(delay_ms, MAX_BACKOFF_MS)
        self.failure_count += 1
        self.read_ms = None


@attrs.define(eq=False)
class Group:
    """The engines of one pool in one zone, while this host holds the lease.

    ``batch`` is the batch whose audit row is being written. ``is_refused``
    means that an engine has received a higher fencing number.
    """

    name: str
    pool: documents.Pool
    lease: leases.Lease
    engines: dict[str, Engine] = attrs.Factory(dict)
    batch: order_batches.AuditedBatch | None = None
    batch_count: int = 0
    next_load_ms: int = 0
    loading_published_ms: int | None = None
    is_refused: bool = False

    @property
    def has_read_all(self) -> bool:
        """Tell whether each engine was read or failed to answer."""
        return all(
            engine.state is not None or engine.failure_count
            for engine in self.engines.values()
        )

    def states(self) -> dict[str, placements.EngineState]:
        """Return the state of each engine; an unread one serves no model."""
        nothing = placements.EngineState(None)
        return {
            name: engine.state or nothing
            for name, engine in self.engines.items()
        }

    def loading(self, now_ms: int) -> set[str]:
        """Return the names of engines that are loading an ordered model."""
        return {
            name
            for name, engine in self.engines.items()
            if engine.is_loading(now_ms)
        }

    def orderable(self, names: list[str], now_ms: int) -> list[str]:
        """Return the engines of ``names`` that answer and are not loading."""
        loading = self.loading(now_ms)
        return [
            name
            for name in names
            if name not in loading
            if now_ms >= self.engines[name].retry_at_ms
        ]

    def due_reads(self, now_ms: int) -> list[Engine]:
        """Return the engines whose state must be read, oldest state first."""
        due_reads = [
            engine
            for engine in self.engines.values()
            if engine.needs_read(now_ms)
        ]
        return sorted(due_reads, key=lambda engine: engine.read_ms or 0)

    def update_targets(self, listed: list[targets.Target]) -> None:
        """Apply the targets of the host list."""
        by_name = {target.name: target for target in listed}
        for name in self.engines.keys() - by_name.keys():
            del self.engines[name]
        for name, target in by_name.items():
            engine = self.engines.setdefault(name, Engine(target))
            engine.target = target
