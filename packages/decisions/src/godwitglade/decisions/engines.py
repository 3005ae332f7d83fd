"""What the holder of a group's lease knows of its engines."""

import attrs

from godwitglade.common import clock
from godwitglade.coordination import leases
from godwitglade.decisions import documents
from godwitglade.decisions import order_batches
from godwitglade.decisions import placements
from godwitglade.decisions import targets

#: A known state is read again after this time.
READ_INTERVAL_MS = 30 * clock.SECOND_MS

#: An order is based only on a state read within this time.
FRESH_MS = 10 * clock.SECOND_MS

#: An engine that does not show its model after this time may be ordered
#: again.
LOAD_TIMEOUT_MS = 10 * clock.MINUTE_MS
LOADING_READ_MS = 5 * clock.SECOND_MS

FIRST_BACKOFF_MS = 5 * clock.SECOND_MS
LAST_BACKOFF_MS = 2 * clock.MINUTE_MS


@attrs.define(eq=False)
class Engine:
    """One engine: its state as read, and what was ordered last."""

    target: targets.Target
    state: placements.EngineState | None = None
    read_ms: int | None = None
    asked_ms: int | None = None
    ordered: documents.Model | None = None
    ordered_ms: int = 0
    retry_at_ms: int = 0
    failure_count: int = 0

    def wants_read(self, now_ms: int) -> bool:
        """Tell whether the state has to be read now."""
        if not self.may_read(now_ms):
            return False
        if self.read_ms is None:
            return True
        interval_ms = READ_INTERVAL_MS
        if self.ordered is not None:
            interval_ms = LOADING_READ_MS
        return now_ms - self.read_ms >= interval_ms

    def may_read(self, now_ms: int) -> bool:
        """Tell whether no read is under way and none failed just now."""
        if now_ms < self.retry_at_ms:
            return False
        if self.asked_ms is None:
            return True
        return now_ms - self.asked_ms >= READ_INTERVAL_MS

    def is_fresh(self, now_ms: int) -> bool:
        """Tell whether an order may be based on the state."""
        if self.read_ms is None or now_ms < self.retry_at_ms:
            return False
        return now_ms - self.read_ms < FRESH_MS

    def is_loading(self, now_ms: int) -> bool:
        """Tell whether an order was sent and has not shown yet."""
        if self.ordered is None:
            return False
        return now_ms - self.ordered_ms < LOAD_TIMEOUT_MS

    def take_state(
        self, state: placements.EngineState | None, now_ms: int
    ) -> None:
        """Take a state read, or None when nothing came back."""
        self.asked_ms = None
        if state is None:
            self._back_off(now_ms)
            return
        self.failure_count = 0
        self.state = state
        self.read_ms = now_ms
        if state.model == self.ordered:
            self.ordered = None

    def note_order(self, model: documents.Model, now_ms: int) -> None:
        """Note an order sent; the state has to be read again after it."""
        self.ordered = model
        self.ordered_ms = now_ms
        self.read_ms = None

    def note_lost_order(self, now_ms: int) -> None:
        """Allow the order again soon; whether it arrived is not known."""
        self.ordered = None
        self._back_off(now_ms)

    def _back_off(self, now_ms: int) -> None:
        delay_ms = FIRST_BACKOFF_MS << min(self.failure_count, 8)
        self.retry_at_ms = now_ms + min(delay_ms, LAST_BACKOFF_MS)
        self.failure_count += 1
        self.read_ms = None


@attrs.define(eq=False)
class Group:
    """The engines of one pool in one zone, while their lease is held.

    ``batch`` is the one whose audit row is being written. ``is_refused``
    means that an engine has seen a higher fencing number.
    """

    name: str
    pool: documents.Pool
    lease: leases.Lease
    engines: dict[str, Engine] = attrs.Factory(dict)
    batch: order_batches.AuditedBatch | None = None
    batch_count: int = 0
    next_load_ms: int = 0
    told_loading_ms: int | None = None
    is_refused: bool = False

    @property
    def is_known(self) -> bool:
        """Tell whether each engine was read or did not answer."""
        return all(
            engine.state is not None or engine.failure_count
            for engine in self.engines.values()
        )

    def states(self) -> dict[str, placements.EngineState]:
        """Return the state of each engine; unread ones serve nothing."""
        nothing = placements.EngineState(None)
        return {
            name: engine.state or nothing
            for name, engine in self.engines.items()
        }

    def loading(self, now_ms: int) -> set[str]:
        """Return the engines that have an order under way."""
        return {
            name
            for name, engine in self.engines.items()
            if engine.is_loading(now_ms)
        }

    def orderable(self, names: list[str], now_ms: int) -> list[str]:
        """Return those of ``names`` that answer and have no order."""
        loading = self.loading(now_ms)
        return [
            name
            for name in names
            if name not in loading
            if now_ms >= self.engines[name].retry_at_ms
        ]

    def due(self, now_ms: int) -> list[Engine]:
        """Return the engines whose state has to be read, oldest first."""
        due = [
            engine
            for engine in self.engines.values()
            if engine.wants_read(now_ms)
        ]
        return sorted(due, key=lambda engine: engine.read_ms or 0)

    def update(self, listed: list[targets.Target]) -> None:
        """Take the targets of the host list."""
        by_name = {target.name: target for target in listed}
        for name in self.engines.keys() - by_name.keys():
            del self.engines[name]
        for name, target in by_name.items():
            engine = self.engines.setdefault(name, Engine(target))
            engine.target = target
