"""Engine orders: rollouts, fencing, paused holders and store outages."""

import random

import attrs
import pytest

from godwitglade.coordination import effects as shared_effects
from godwitglade.coordination import hosts
from godwitglade.coordination import leases
from godwitglade.coordination import members
from godwitglade.coordination import messages as shared_messages
from godwitglade.coordination import rows
from godwitglade.decisions import documents
from godwitglade.decisions import effects
from godwitglade.decisions import messages
from godwitglade.decisions import orders
from godwitglade.decisions import placements
from godwitglade.decisions import targets

OLD = documents.Model('scribe', '1')
NEW = documents.Model('scribe', '2')
IDLE = targets.Load(0, 0, 8)
BUSY = targets.Load(8, 0, 8)


def make_document(models, checks_fencing=True):
    stages = tuple(
        documents.Stage(
            f's{index}',
            documents.StageKind.GENERATE,
            'llm',
            1_000,
            model=model,
        )
        for index, model in enumerate(models)
    )
    pool = documents.Pool('llm', checks_fencing)
    return documents.Document('scans', 'team', 5_000, stages, (), (pool,))


@attrs.define
class Engine:
    """An engine that checks or ignores fencing numbers."""

    checks_fencing: bool = True
    model: documents.Model | None = OLD
    number: int = 0
    load: targets.Load = IDLE
    is_dropping_next_order: bool = False
    history: list = attrs.Factory(list)

    def answer(self, effect):
        if effect.order is not None:
            if self.is_dropping_next_order:
                self.is_dropping_next_order = False
                return messages.OrderEnded(effect.token, False)
            if self.checks_fencing and effect.fencing_number < self.number:
                return messages.OrderEnded(effect.token, True, self.state())
            self.number = effect.fencing_number
            order = effect.order
            self.model = documents.Model(
                order.model, order.version, order.adapters
            )
            self.history.append((effect.fencing_number, order.version))
        return messages.OrderEnded(effect.token, False, self.state())

    def state(self):
        if self.model is None:
            return {'model': None, 'version': None, 'adapters': []}
        return attrs.asdict(self.model) | {
            'model': self.model.name,
            'role': 'mixed',
        }


class Host:
    """A host that competes for leases; it can pause and delay its orders."""

    def __init__(self, name, cluster):
        self.cluster = cluster
        self.id = hosts.HostId(name, 'north', 1)
        self.is_paused = False
        self.is_delaying_orders = False
        self.delayed_orders = []
        self.refusal_count = 0
        rng = random.Random(1)
        self.leases = leases.Leases(self.id, rng)
        self.orders = orders.Orders(self.id, rng, self.leases, cluster.live)

    def deliver(self, message):
        for component in (self.leases, self.orders):
            for effect in component.handle(message, self.cluster.now_ms):
                self.execute(effect)

    def execute(self, effect):
        cluster = self.cluster
        match effect:
            case shared_effects.ReadRows() | shared_effects.Transact():
                self.deliver(cluster.run_store(effect))
            case shared_effects.Deliver(message):
                self.deliver(message)
            case shared_effects.PublishFact(kind, key, value):
                fact = shared_messages.FactChanged(
                    kind, key, value, self.id.name
                )
                for host in cluster.hosts:
                    host.deliver(fact)
            case effects.OrderEngine() if (
                effect.order and self.is_delaying_orders
            ):
                self.delayed_orders.append(effect)
            case effects.OrderEngine():
                self.send(effect)
            case effects.ProbeTarget(target):
                load = cluster.engines[target.name].load
                self.deliver(messages.LoadReported(target.name, load))
            case shared_effects.LogEvent():
                self.refusal_count += effect.event.name == 'ORDER_REFUSED'

    def send(self, effect):
        """Send like the targets' client: never after ``send_until_ms``."""
        if effect.order is None or self.cluster.now_ms < effect.send_until_ms:
            engine = self.cluster.engines[effect.target.name]
            self.deliver(engine.answer(effect))


class Cluster:
    """Hosts, engines and a store, driven by one clock."""

    def __init__(self, engine_count=6, host_count=1, checks_fencing=True):
        self.now_ms = 0
        self.rows = {}
        self.is_down = False
        self.checks_fencing = checks_fencing
        self.unreachable = set()
        self.engines = {
            f'e{i}': Engine(checks_fencing) for i in range(engine_count)
        }
        self.hosts = [Host(f'h{i}', self) for i in range(host_count)]
        self.apply([OLD])
        listed = tuple(
            targets.Target(name, 'llm', 'north', '127.0.0.1:1')
            for name in self.engines
        )
        self.broadcast(messages.TargetsListed(listed))

    def live(self, zone):
        return tuple(
            members.Member(host.id, '', None, 0, None)
            for host in self.hosts
            if host.id.name not in self.unreachable
        )

    def broadcast(self, message):
        for host in self.hosts:
            host.deliver(message)

    def apply(self, models):
        document = make_document(models, self.checks_fencing)
        self.broadcast(messages.DocumentsInForce({'scans': document}))

    def advance(self, duration_ms, check=lambda: None):
        for _ in range(duration_ms // 2_000):
            self.now_ms += 2_000
            for host in self.hosts:
                if not host.is_paused:
                    for token in (leases.TICK_TOKEN, orders.TICK_TOKEN):
                        host.deliver(shared_messages.TimerFired(token))
            check()

    def run_store(self, effect):
        if isinstance(effect, shared_effects.ReadRows):
            found = [self.rows[k] for k in effect.keys if k in self.rows]
            result = rows.Unavailable() if self.is_down else None
            result = result or rows.Rows(tuple(found))
            return shared_messages.ReadSettled(effect.token, result)
        result = self._transact(effect.transaction)
        return shared_messages.TransactionSettled(effect.token, result)

    def _transact(self, transaction):
        if self.is_down:
            return rows.Unavailable()
        for condition in transaction.conditions:
            held = self.rows.get(condition.key)
            if (held.version if held else 0) != condition.version:
                return rows.Conflict((held,) if held else ())
        versions = []
        for write in transaction.writes:
            held = self.rows.get(write.key)
            version = held.version + 1 if held else 1
            self.rows[write.key] = rows.Row(write.key, version, write.value)
            versions.append(version)
        return rows.Committed(tuple(versions))

    def holder(self):
        return next(
            host
            for host in self.hosts
            if host.leases.held('north/llm', self.now_ms)
        )

    def models(self):
        return [engine.model for engine in self.engines.values()]

    def audit(self):
        return [key for key in self.rows if key.table == 'order_audit']


def test_rollout_reaches_every_engine_and_keeps_capacity():
    cluster = Cluster()
    for engine in cluster.engines.values():
        engine.load = targets.Load(5, 0, 8)
    cluster.advance(20_000)
    cluster.apply([NEW])
    changed_at_once = []

    def check():
        changed_at_once.append(cluster.models().count(NEW))

    cluster.advance(120_000, check)
    assert cluster.models() == [NEW] * 6
    steps = zip(changed_at_once, changed_at_once[1:])
    assert max(after - before for before, after in steps) == 1
    assert len(cluster.audit()) == 6


def test_no_order_while_the_load_needs_every_engine():
    cluster = Cluster()
    for engine in cluster.engines.values():
        engine.load = BUSY
    cluster.advance(20_000)
    cluster.apply([NEW])
    cluster.advance(60_000)
    assert cluster.models() == [OLD] * 6
    cluster.engines['e3'].load = IDLE
    cluster.engines['e4'].load = IDLE
    cluster.advance(120_000)
    assert cluster.models() == [NEW] * 6


def test_empty_engines_load_first():
    cluster = Cluster()
    cluster.engines['e5'].model = None
    cluster.advance(30_000)
    assert cluster.models() == [OLD] * 6


def test_no_order_without_the_store():
    cluster = Cluster()
    cluster.advance(20_000)
    cluster.is_down = True
    cluster.apply([NEW])
    cluster.advance(120_000)
    assert cluster.models() == [OLD] * 6
    assert cluster.audit() == []


def test_lost_order_is_repeated_after_a_read():
    cluster = Cluster(engine_count=2)
    cluster.advance(20_000)
    cluster.apply([NEW])
    cluster.engines['e0'].is_dropping_next_order = True
    cluster.advance(180_000)
    assert cluster.models() == [NEW] * 2


@pytest.mark.parametrize('checks_fencing', [True, False])
def test_resumed_holder_sends_no_order(checks_fencing):
    cluster = Cluster(2, 2, checks_fencing)
    cluster.advance(30_000)
    first = cluster.holder()
    first.is_delaying_orders = True
    cluster.apply([NEW])
    cluster.advance(10_000)
    assert first.delayed_orders
    first.is_paused = True
    cluster.unreachable = {first.id.name}
    cluster.advance(150_000)
    assert cluster.holder() is not first
    assert cluster.models() == [NEW] * 2
    cluster.apply([OLD])
    cluster.advance(120_000)
    for effect in first.delayed_orders:
        first.send(effect)
    first.is_paused = False
    cluster.advance(60_000)
    assert cluster.models() == [OLD] * 2
    numbers = [
        number
        for engine in cluster.engines.values()
        for number, _ in engine.history
    ]
    assert first.delayed_orders[0].fencing_number < min(numbers)


def test_stray_order_is_refused_or_corrected():
    for checks_fencing in (True, False):
        cluster = Cluster(2, 2, checks_fencing)
        cluster.advance(30_000)
        first = cluster.holder()
        first.is_delaying_orders = True
        cluster.apply([NEW])
        cluster.advance(10_000)
        first.is_paused = True
        cluster.unreachable = {first.id.name}
        cluster.advance(150_000)
        cluster.apply([OLD])
        cluster.advance(120_000)
        stray = first.delayed_orders[0]
        answer = cluster.engines[stray.target.name].answer(stray)
        assert answer.is_refused == checks_fencing
        cluster.advance(120_000)
        assert cluster.models() == [OLD] * 2


def test_new_holder_waits_for_late_orders_without_fencing():
    for checks_fencing, is_sent_early in ((True, True), (False, False)):
        cluster = Cluster(2, 1, checks_fencing)
        cluster.apply([NEW])
        cluster.advance(12_000)
        assert (NEW in cluster.models()) == is_sent_early


def test_refused_holder_sends_no_more_orders():
    cluster = Cluster(2)
    cluster.advance(20_000)
    cluster.engines['e0'].number = 99
    cluster.apply([NEW])
    cluster.advance(120_000)
    assert cluster.hosts[0].refusal_count == 1
    assert cluster.engines['e0'].model == OLD


def test_groups_share_the_load_limit():
    cluster = Cluster(40)
    for engine in cluster.engines.values():
        engine.model = None
    for group in range(9):
        fact = shared_messages.FactChanged('loading', f'g{group}', True, 'x')
        cluster.broadcast(fact)
    cluster.advance(140_000)
    assert 4 <= cluster.models().count(OLD) <= 16


@pytest.mark.parametrize(
    'served, wanted, assigned',
    [
        ([OLD, OLD], [NEW], [NEW, NEW]),
        ([OLD, None, OLD], [OLD], [OLD, OLD, OLD]),
        ([NEW, OLD, None, None], [OLD, NEW], [NEW, OLD, OLD, NEW]),
        ([OLD, OLD, OLD, OLD], [OLD, NEW], [OLD, OLD, NEW, NEW]),
        ([], [OLD], []),
    ],
)
def test_assignment_moves_few_engines(served, wanted, assigned):
    states = {
        f'e{index}': placements.EngineState(model)
        for index, model in enumerate(served)
    }
    new_models = placements.assign('north/llm', tuple(wanted), states)
    moved = [
        name
        for name, model in new_models.items()
        if states[name].model not in (None, model)
    ]
    before = {
        f'e{index}': model
        for index, model in enumerate(assigned)
        if served[index] not in (None, model)
    }
    assert sorted(moved) == sorted(before)
    assert sorted(map(str, new_models.values())) == sorted(map(str, assigned))


@pytest.mark.parametrize(
    'plain, model',
    [
        ({'model': 'a', 'version': '1'}, documents.Model('a', '1')),
        ({'model': None, 'version': None}, None),
        ({}, None),
    ],
)
def test_state_is_parsed(plain, model):
    assert placements.parse_state(plain).model == model


@pytest.mark.parametrize(
    'plain', [None, [], 'x', {'model': 'a', 'version': '1', 'adapters': 3}]
)
def test_malformed_state_is_none(plain):
    assert placements.parse_state(plain) is None
