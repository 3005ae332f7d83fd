"""Engine orders: rollouts, fencing, paused holders and a store down."""

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
    """An engine; it checks fencing numbers or ignores them."""

    checks_fencing: bool = True
    model: documents.Model | None = OLD
    number: int = 0
    load: targets.Load = IDLE
    drops_next_order: bool = False
    history: list = attrs.Factory(list)

    def answer(self, effect):
        if effect.order is not None:
            if self.drops_next_order:
                self.drops_next_order = False
                return messages.OrderAnswered(effect.token, False)
            if self.checks_fencing and effect.fencing_number < self.number:
                return messages.OrderAnswered(effect.token, True, self.state())
            self.number = effect.fencing_number
            order = effect.order
            self.model = documents.Model(
                order.model, order.version, order.adapters
            )
            self.history.append((effect.fencing_number, order.version))
        return messages.OrderAnswered(effect.token, False, self.state())

    def state(self):
        if self.model is None:
            return {'model': None, 'version': None, 'adapters': []}
        return attrs.asdict(self.model) | {
            'model': self.model.name,
            'role': 'mixed',
        }


class Host:
    """One contender; it can be paused, with its effects kept back."""

    def __init__(self, name, world):
        self.world = world
        self.id = hosts.HostId(name, 'north', 1)
        self.is_paused = False
        self.keeps_orders = False
        self.kept = []
        self.refused = 0
        rng = random.Random(1)
        self.leases = leases.Leases(self.id, rng)
        self.orders = orders.Orders(self.id, rng, self.leases, world.live)

    def hand(self, message):
        for part in (self.leases, self.orders):
            for effect in part.handle(message, self.world.now_ms):
                self.carry_out(effect)

    def carry_out(self, effect):
        world = self.world
        match effect:
            case shared_effects.ReadRows() | shared_effects.Transact():
                self.hand(world.run_store(effect))
            case shared_effects.Deliver(message):
                self.hand(message)
            case shared_effects.PublishFact(kind, key, value):
                learned = shared_messages.FactLearned(
                    kind, key, value, self.id.name
                )
                for host in world.hosts:
                    host.hand(learned)
            case effects.OrderEngine() if effect.order and self.keeps_orders:
                self.kept.append(effect)
            case effects.OrderEngine():
                self.send(effect)
            case effects.ProbeTarget(target):
                load = world.engines[target.name].load
                self.hand(messages.LoadReported(target.name, load))
            case shared_effects.LogEvent():
                self.refused += effect.event.name == 'ORDER_REFUSED'

    def send(self, effect):
        """Send as the targets' client does: never after the bound."""
        if effect.order is None or self.world.now_ms < effect.send_until_ms:
            engine = self.world.engines[effect.target.name]
            self.hand(engine.answer(effect))


class World:
    """Hosts, engines and a store, ticked together."""

    def __init__(self, engine_count=6, host_count=1, checks_fencing=True):
        self.now_ms = 0
        self.rows = {}
        self.is_down = False
        self.checks_fencing = checks_fencing
        self.gone = set()
        self.engines = {
            f'e{i}': Engine(checks_fencing) for i in range(engine_count)
        }
        self.hosts = [Host(f'h{i}', self) for i in range(host_count)]
        self.apply([OLD])
        listed = tuple(
            targets.Target(name, 'llm', 'north', '127.0.0.1:1')
            for name in self.engines
        )
        self.tell(messages.TargetsListed(listed))

    def live(self, zone):
        return tuple(
            members.Member(host.id, '', None, 0, None)
            for host in self.hosts
            if host.id.name not in self.gone
        )

    def tell(self, message):
        for host in self.hosts:
            host.hand(message)

    def apply(self, models):
        document = make_document(models, self.checks_fencing)
        self.tell(messages.DocumentsInForce({'scans': document}))

    def run(self, duration_ms, check=lambda: None):
        for _ in range(duration_ms // 2_000):
            self.now_ms += 2_000
            for host in self.hosts:
                if not host.is_paused:
                    for token in (leases.TICK_TOKEN, orders.TICK_TOKEN):
                        host.hand(shared_messages.TimerFired(token))
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
        for one in transaction.conditions:
            held = self.rows.get(one.key)
            if (held.version if held else 0) != one.version:
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
    world = World()
    for engine in world.engines.values():
        engine.load = targets.Load(5, 0, 8)
    world.run(20_000)
    world.apply([NEW])
    changed_at_once = []

    def check():
        changed_at_once.append(world.models().count(NEW))

    world.run(120_000, check)
    assert world.models() == [NEW] * 6
    steps = zip(changed_at_once, changed_at_once[1:])
    assert max(after - before for before, after in steps) == 1
    assert len(world.audit()) == 6


def test_no_order_while_the_load_needs_every_engine():
    world = World()
    for engine in world.engines.values():
        engine.load = BUSY
    world.run(20_000)
    world.apply([NEW])
    world.run(60_000)
    assert world.models() == [OLD] * 6
    world.engines['e3'].load = IDLE
    world.engines['e4'].load = IDLE
    world.run(120_000)
    assert world.models() == [NEW] * 6


def test_empty_engines_load_first():
    world = World()
    world.engines['e5'].model = None
    world.run(30_000)
    assert world.models() == [OLD] * 6


def test_no_order_without_the_store():
    world = World()
    world.run(20_000)
    world.is_down = True
    world.apply([NEW])
    world.run(120_000)
    assert world.models() == [OLD] * 6
    assert world.audit() == []


def test_lost_order_is_given_again_after_reading_the_state():
    world = World(engine_count=2)
    world.run(20_000)
    world.apply([NEW])
    world.engines['e0'].drops_next_order = True
    world.run(180_000)
    assert world.models() == [NEW] * 2


@pytest.mark.parametrize('checks_fencing', [True, False])
def test_paused_holder_gives_no_order_after_waking(checks_fencing):
    world = World(2, 2, checks_fencing)
    world.run(30_000)
    first = world.holder()
    first.keeps_orders = True
    world.apply([NEW])
    world.run(10_000)
    assert first.kept
    first.is_paused = True
    world.gone = {first.id.name}
    world.run(150_000)
    assert world.holder() is not first
    assert world.models() == [NEW] * 2
    world.apply([OLD])
    world.run(120_000)
    for effect in first.kept:
        first.send(effect)
    first.is_paused = False
    world.run(60_000)
    assert world.models() == [OLD] * 2
    numbers = [
        number
        for engine in world.engines.values()
        for number, _ in engine.history
    ]
    assert first.kept[0].fencing_number < min(numbers)


def test_stray_order_is_refused_or_corrected():
    for checks_fencing in (True, False):
        world = World(2, 2, checks_fencing)
        world.run(30_000)
        first = world.holder()
        first.keeps_orders = True
        world.apply([NEW])
        world.run(10_000)
        first.is_paused = True
        world.gone = {first.id.name}
        world.run(150_000)
        world.apply([OLD])
        world.run(120_000)
        stray = first.kept[0]
        answer = world.engines[stray.target.name].answer(stray)
        assert answer.is_refused == checks_fencing
        world.run(120_000)
        assert world.models() == [OLD] * 2


def test_successor_waits_for_lingering_orders_only_where_it_must():
    for checks_fencing, is_early in ((True, True), (False, False)):
        world = World(2, 1, checks_fencing)
        world.apply([NEW])
        world.run(12_000)
        assert (NEW in world.models()) == is_early


def test_refused_holder_stops():
    world = World(2)
    world.run(20_000)
    world.engines['e0'].number = 99
    world.apply([NEW])
    world.run(120_000)
    assert world.hosts[0].refused == 1
    assert world.engines['e0'].model == OLD


def test_loads_are_paced_over_all_groups():
    world = World(40)
    for engine in world.engines.values():
        engine.model = None
    for group in range(9):
        fact = shared_messages.FactLearned('loading', f'g{group}', True, 'x')
        world.tell(fact)
    world.run(140_000)
    assert 4 <= world.models().count(OLD) <= 16


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
def test_models_share_engines_with_few_moves(served, wanted, assigned):
    states = {
        f'e{index}': placements.EngineState(model)
        for index, model in enumerate(served)
    }
    found = placements.assign('north/llm', tuple(wanted), states)
    moved = [
        name
        for name, model in found.items()
        if states[name].model not in (None, model)
    ]
    before = {
        f'e{index}': model
        for index, model in enumerate(assigned)
        if served[index] not in (None, model)
    }
    assert sorted(moved) == sorted(before)
    assert sorted(map(str, found.values())) == sorted(map(str, assigned))


@pytest.mark.parametrize(
    'plain, model',
    [
        ({'model': 'a', 'version': '1'}, documents.Model('a', '1')),
        ({'model': None, 'version': None}, None),
        ({}, None),
    ],
)
def test_state_is_read(plain, model):
    assert placements.parse_state(plain).model == model


@pytest.mark.parametrize(
    'plain', [None, [], 'x', {'model': 'a', 'version': '1', 'adapters': 3}]
)
def test_malformed_state_is_none(plain):
    assert placements.parse_state(plain) is None
