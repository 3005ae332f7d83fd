"""Orders to engines, from one host per zone and pool.

The holder of a group's lease repeatedly reads what its engines serve,
compares it with the documents and orders the difference, so that a lost
order or a late order of an earlier holder is corrected. An order is sent
only after its audit row was written under the condition that the lease is
still held. Engines that ignore fencing numbers get their first order only
once no order of an earlier holder can still arrive.
"""

import functools
import itertools
import random as randoms
import typing

import attrs

from godwitglade.common import clock
from godwitglade.common import events
from godwitglade.coordination import effects as shared_effects
from godwitglade.coordination import hashing
from godwitglade.coordination import hosts
from godwitglade.coordination import leases as leasing
from godwitglade.coordination import members
from godwitglade.coordination import messages as shared_messages
from godwitglade.coordination import rows
from godwitglade.decisions import documents
from godwitglade.decisions import effects
from godwitglade.decisions import engines
from godwitglade.decisions import messages
from godwitglade.decisions import order_batches
from godwitglade.decisions import pacing
from godwitglade.decisions import placements
from godwitglade.decisions import targets

Effects = list[typing.Any]
LiveMembers = typing.Callable[[str], tuple[members.Member, ...]]

TICK_TOKEN = 'orders:tick'


@attrs.frozen
class Settings:
    """Rates and bounds of orders.

    ``max_order_delay_ms`` bounds the time from sending an order to its
    arrival, time-out included. ``loads_per_minute`` is the limit of the
    weight store for all hosts together, divided among the groups that are
    loading.
    """

    tick_ms: int = 2 * clock.SECOND_MS
    max_order_delay_ms: int = 10 * clock.SECOND_MS
    batch_limit: int = 4
    loads_per_minute: int = 60
    audit_timeout_ms: int = 2 * clock.SECOND_MS
    read_limit: int = 8
    probe_timeout_ms: int = clock.SECOND_MS
    load_age_ms: int = 30 * clock.SECOND_MS


class Orders:
    """Makes engines serve the models that documents ask for.

    Only groups whose lease this host holds are handled.
    """

    def __init__(
        self,
        self_id: hosts.HostId,
        random: randoms.Random,
        leases: leasing.Leases,
        live_members: LiveMembers,
        wall_offset_ms: int = 0,
        settings: Settings = Settings(),
    ) -> None:
        self._self_id = self_id
        self._random = random
        self._leases = leases
        self._live_members = live_members
        self._wall_offset_ms = wall_offset_ms
        self._settings = settings
        self._numbers = itertools.count(1)
        self._documents: dict[str, documents.Document] = {}
        self._targets: dict[str, list[targets.Target]] = {}
        self._loads: dict[str, tuple[targets.Load, int]] = {}
        self._groups: dict[str, engines.Group] = {}
        self._pending: dict[str, tuple[str, str]] = {}
        self._pacing = pacing.Pacing(settings.loads_per_minute)
        self._is_stopping = False

    def start(self, now_ms: int) -> Effects:
        """Start the periodic timer."""
        jitter_ms = self._random.randrange(self._settings.tick_ms)
        return [shared_effects.StartTimer(TICK_TOKEN, now_ms + jitter_ms)]

    def stop(self, now_ms: int) -> Effects:
        """Release every lease, so that another host takes over at once."""
        self._is_stopping = True
        return self._leases.set_wanted((), now_ms)

    @functools.singledispatchmethod
    def handle(self, message: typing.Any, now_ms: int) -> Effects:
        """Handle a message; ignore those for other components."""
        return []

    @handle.register
    def _(self, message: messages.DocumentsInForce, now_ms: int) -> Effects:
        for pipeline, document in message.documents.items():
            self._documents.pop(pipeline, None)
            if document is not None:
                self._documents[pipeline] = document
        return []

    @handle.register
    def _(self, message: messages.TargetsListed, now_ms: int) -> Effects:
        zone = self._self_id.zone
        self._targets = {}
        for target in message.targets:
            is_live = target.state is targets.TargetState.LIVE
            if target.zone == zone and is_live:
                self._targets.setdefault(target.pool, []).append(target)
        names = {target.name for target in message.targets}
        for name in self._loads.keys() - names:
            del self._loads[name]
        return []

    @handle.register
    def _(self, message: messages.LoadReported, now_ms: int) -> Effects:
        self._loads[message.target] = (message.load, now_ms)
        return []

    @handle.register
    def _(self, message: shared_messages.FactChanged, now_ms: int) -> Effects:
        self._pacing.apply_fact(message)
        return []

    @handle.register
    def _(self, message: messages.StopRequested, now_ms: int) -> Effects:
        return self.stop(now_ms)

    @handle.register
    def _(self, message: leasing.LeaseLost, now_ms: int) -> Effects:
        self._groups.pop(message.name, None)
        return []

    @handle.register
    def _(self, message: shared_messages.TimerFired, now_ms: int) -> Effects:
        if message.token != TICK_TOKEN:
            return []
        next_ms = now_ms + self._settings.tick_ms
        emitted: Effects = [shared_effects.StartTimer(TICK_TOKEN, next_ms)]
        if self._is_stopping:
            return emitted
        wanted = placements.wanted_models(self._documents.values())
        names = self._own_groups(wanted)
        emitted += self._leases.set_wanted(names, now_ms)
        for name, pool_name in names.items():
            group = self._held_group(name, pool_name, now_ms)
            if group is not None:
                emitted += self._reconcile(group, wanted[pool_name], now_ms)
        return emitted

    @handle.register
    def _(self, message: messages.OrderEnded, now_ms: int) -> Effects:
        group_name, target_name = self._pending.pop(message.token, ('', ''))
        group = self._groups.get(group_name)
        engine = group and group.engines.get(target_name)
        if engine is None:
            return []
        state = placements.parse_state(message.state)
        if ':read:' in message.token:
            engine.apply_state(state, now_ms)
            return []
        if not message.is_refused:
            if state is None:
                engine.record_lost_order(now_ms)
            return []
        # Another host holds a higher number: this host's lease has ended.
        group.is_refused = True
        return [_log(events.Event.ORDER_REFUSED, group, target=target_name)]

    @handle.register
    def _(
        self, message: shared_messages.TransactionSettled, now_ms: int
    ) -> Effects:
        group_name, _ = self._pending.pop(message.token, ('', ''))
        group = self._groups.get(group_name)
        if group is None or group.batch is None:
            return []
        batch, group.batch = group.batch, None
        group.batch_count += 1
        if not isinstance(message.result, rows.Committed):
            return []
        return self._send(group, batch, now_ms)

    def _own_groups(self, wanted: dict[str, typing.Any]) -> dict[str, str]:
        """Return the groups that rendezvous hashing assigns to this host."""
        zone = self._self_id.zone
        names = [member.host.name for member in self._live_members(zone)]
        return {
            f'{zone}/{pool}': pool
            for pool in wanted
            if pool in self._targets
            if self._self_id.name in hashing.choose(f'{zone}/{pool}', names)
        }

    def _held_group(
        self, name: str, pool_name: str, now_ms: int
    ) -> engines.Group | None:
        lease = self._leases.held(name, now_ms)
        if lease is None:
            self._groups.pop(name, None)
            return None
        group = self._groups.get(name)
        pool = placements.merged_pool(self._documents.values(), pool_name)
        if group is None or group.lease.fencing_number != lease.fencing_number:
            group = engines.Group(name, pool, lease)
            self._groups[name] = group
        group.lease = lease
        group.pool = pool
        group.update_targets(self._targets.get(pool_name, []))
        return None if group.is_refused else group

    def _reconcile(
        self,
        group: engines.Group,
        models: tuple[documents.Model, ...],
        now_ms: int,
    ) -> Effects:
        if not self._is_delay_over(group, now_ms):
            return []
        states = group.states()
        assigned = placements.assign(group.name, models, states)
        mismatched = [
            name
            for name, model in assigned.items()
            if states[name].model != model
        ]
        limit = self._settings.read_limit
        emitted: Effects = [
            self._read_state(group, engine, now_ms)
            for engine in group.due_reads(now_ms)[:limit]
        ]
        if mismatched and group.batch is None and group.has_read_all:
            emitted += self._start_batch(
                group, mismatched, states, assigned, now_ms
            )
        return emitted

    def _is_delay_over(self, group: engines.Group, now_ms: int) -> bool:
        """Tell whether no order of an earlier holder can still take effect."""
        if group.pool.checks_fencing:
            return True
        return (
            now_ms - group.lease.acquired_ms
            >= self._settings.max_order_delay_ms
        )

    def _read_state(
        self, group: engines.Group, engine: engines.Engine, now_ms: int
    ) -> effects.OrderEngine:
        engine.read_sent_ms = now_ms
        token = self._register_token('read', group.name, engine.target.name)
        until_ms = group.lease.valid_until_ms
        return effects.OrderEngine(token, engine.target, None, 0, until_ms)

    def _start_batch(
        self,
        group: engines.Group,
        mismatched: list[str],
        states: dict[str, placements.EngineState],
        assigned: dict[str, documents.Model],
        now_ms: int,
    ) -> Effects:
        """Write the audit row of the orders that may be sent now."""
        emitted = self._pacing.publish(group, now_ms)
        if now_ms < group.next_load_ms:
            return emitted
        loads = self._fresh_loads(now_ms)
        chosen = placements.choose_to_load(
            group.orderable(mismatched, now_ms),
            states,
            group.loading(now_ms),
            loads,
        )
        chosen = chosen[: self._settings.batch_limit]
        if not chosen:
            return emitted + self._probe_loads(group, loads)
        stale = [
            group.engines[name]
            for name in chosen
            if not group.engines[name].is_fresh(now_ms)
        ]
        if stale:
            return emitted + [
                self._read_state(group, engine, now_ms)
                for engine in stale
                if engine.may_read(now_ms)
            ]
        orders = tuple(
            order_batches.AuditedOrder(
                name, order_batches.make_order(assigned[name], states[name])
            )
            for name in chosen
        )
        return emitted + [self._audit(group, orders, now_ms)]

    def _fresh_loads(self, now_ms: int) -> dict[str, targets.Load]:
        return {
            name: load
            for name, (load, reported_ms) in self._loads.items()
            if now_ms - reported_ms < self._settings.load_age_ms
        }

    def _probe_loads(
        self, group: engines.Group, loads: dict[str, targets.Load]
    ) -> Effects:
        """Request the loads that decide whether an engine can be spared."""
        unreported = [
            engine.target
            for name, engine in group.engines.items()
            if name not in loads
        ]
        return [
            effects.ProbeTarget(target, self._settings.probe_timeout_ms)
            for target in unreported[: self._settings.read_limit]
        ]

    def _audit(
        self,
        group: engines.Group,
        orders: tuple[order_batches.AuditedOrder, ...],
        now_ms: int,
    ) -> shared_effects.Transact:
        batch = order_batches.AuditedBatch(
            group.name,
            group.lease.fencing_number,
            str(self._self_id),
            now_ms + self._wall_offset_ms,
            orders,
        )
        group.batch = batch
        transaction = order_batches.audit_transaction(
            batch, group.batch_count, group.lease
        )
        token = self._register_token('audit', group.name, '')
        return shared_effects.Transact(
            token, transaction, self._settings.audit_timeout_ms
        )

    def _send(
        self,
        group: engines.Group,
        batch: order_batches.AuditedBatch,
        now_ms: int,
    ) -> Effects:
        lease = self._leases.held(group.name, now_ms)
        is_same = lease and lease.fencing_number == batch.fencing_number
        if not is_same or group.is_refused:
            return []
        self._pacing.delay_next_load(group, len(batch.orders), now_ms)
        until_ms = lease.valid_until_ms
        if not group.pool.checks_fencing:
            until_ms -= self._settings.max_order_delay_ms
        return [
            effect
            for audited in batch.orders
            if audited.target in group.engines
            for effect in self._send_order(group, audited, until_ms, now_ms)
        ]

    def _send_order(
        self,
        group: engines.Group,
        audited: order_batches.AuditedOrder,
        until_ms: int,
        now_ms: int,
    ) -> Effects:
        engine = group.engines[audited.target]
        order = audited.order
        model = documents.Model(order.model, order.version, order.adapters)
        engine.record_order(model, now_ms)
        token = self._register_token('order', group.name, audited.target)
        number = group.lease.fencing_number
        return [
            effects.OrderEngine(token, engine.target, order, number, until_ms),
            _log(
                events.Event.ENGINE_ORDERED,
                group,
                target=audited.target,
                model=order.model,
                version=order.version,
            ),
        ]

    def _register_token(self, purpose: str, group: str, target: str) -> str:
        token = f'orders:{purpose}:{next(self._numbers)}'
        self._pending[token] = (group, target)
        return token


def _log(
    event: events.Event, group: engines.Group, **fields: typing.Any
) -> shared_effects.LogEvent:
    number = group.lease.fencing_number
    common_fields = {'group': group.name, 'fencing_number': number}
    return shared_effects.LogEvent(event, common_fields | fields)
