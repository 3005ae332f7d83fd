"""Choice of engines by what they hold, their queues, paces and memory."""

import random

import attrs
import pytest

from godwitglade.common import events
from godwitglade.coordination import effects as shared_effects
from godwitglade.routing import documents
from godwitglade.routing import engine_choice
from godwitglade.routing import forecasts
from godwitglade.routing import held_prompts
from godwitglade.routing import holder_orders
from godwitglade.routing import host
from godwitglade.routing import messages
from godwitglade.routing import rendezvous
from godwitglade.routing import target_selection
from godwitglade.routing import targets
from tests.routing import builders
from tests.routing import engine_model
from tests.routing import test_request_lifecycle as lifecycle

WINDOW_MS = 10_000
MEMORY = 80_000
PARTS = ((1, 4_000), (2, 2_000), (3, 500))
Workload = engine_model.Workload


@pytest.mark.parametrize(
    ('workload', 'share_of_today', 'readings'),
    [
        pytest.param(Workload(hosts=6), 1.0, 20, id='even, few hosts'),
        pytest.param(Workload(), 1.0, 15, id='even, many hosts'),
        pytest.param(Workload(40, 0.5, 6), 0.1, 10, id='hot, few hosts'),
        pytest.param(Workload(40, 0.5), 0.1, 10, id='hot, many hosts'),
        pytest.param(Workload(40, 0.2, parts=400), 0.2, 65, id='many parts'),
        pytest.param(
            Workload(25, 0.1, 6, slow_engines=2), 0.3, 15, id='slow engines'
        ),
    ],
)
def test_first_events_come_earlier_than_by_the_hash_alone(
    workload, share_of_today, readings
):
    """Guards against queues at the first holder, and against rereading.

    Readings are in percent of the requests; an oracle that knows all caches
    shows that the load can be served without a queue.
    """
    plays = {
        rule: [engine_model.play(rule, workload, seed) for seed in (1, 2, 3)]
        for rule in ('today', 'new', 'oracle')
    }
    p95_ms = {rule: sum(p for p, _ in plays[rule]) / 3 for rule in plays}
    read = {rule: sum(r for _, r in plays[rule]) / 3 for rule in plays}
    assert p95_ms['oracle'] < p95_ms['new']
    assert p95_ms['new'] < share_of_today * p95_ms['today']
    assert read['new'] < readings


def record(held, target, now_ms=0, parts=PARTS):
    return held.record(target, parts, MEMORY, WINDOW_MS, now_ms)


def to_read(held, target, now_ms=1, parts=PARTS):
    return held.tokens_to_read(target, parts, WINDOW_MS, now_ms)


def test_parts_after_the_first_that_is_not_held_are_read():
    held, target = held_prompts.HeldPrompts(), builders.target('t1')
    assert to_read(held, target) == 6_500
    record(held, target)
    assert to_read(held, target, parts=(*PARTS[:2], (9, 700))) == 700
    assert to_read(held, target, parts=((9, 700), *PARTS)) == 7_200


@pytest.mark.parametrize(
    'change',
    [
        lambda held, target: to_read(held, target, WINDOW_MS),
        lambda held, target: setattr(target, 'is_replaced', True),
        lambda held, target: setattr(
            target, 'listed', attrs.evolve(target.listed, started_ms=7)
        ),
        lambda held, target: held.forget(target),
        lambda held, target: held.discard(target, (1,)),
        lambda held, target: record(held, target, 5, ((7, MEMORY),)),
    ],
    ids=['window', 'replaced', 'restarted', 'lost', 'not run', 'pushed out'],
)
def test_engine_that_lost_a_prompt_is_expected_to_read_it(change):
    """Guards against sending to an engine for what it no longer holds."""
    held, target = held_prompts.HeldPrompts(), builders.target('t1')
    record(held, target)
    age_ms = WINDOW_MS if change(held, target) == 6_500 else 6
    assert to_read(held, target, age_ms) == 6_500


def test_memory_for_prompts_is_bounded():
    """Guards against growth under names that callers make up."""
    held = held_prompts.HeldPrompts()
    for n in range(held_prompts.MAX_ENGINES + 9):
        record(held, builders.target(f't{n}'))
    target = builders.target('t')
    for n in range(1_000):
        record(held, target, 0, ((n, 1),))
    assert len(held) == held_prompts.MAX_ENGINES
    parts = [messages.PromptPart(f'{n}', 10**15) for n in range(5_000)]
    condensed = held_prompts.condense(parts)
    assert len(condensed) == held_prompts.MAX_PARTS
    assert condensed[-1][1] == held_prompts.MAX_TOKENS


@pytest.mark.parametrize('token_ms', [1 / 37, 1 / 110])
def test_reading_speed_is_learnt(token_ms):
    times = forecasts.EngineTimes()
    for n in range(300):
        tokens, running = 1_000 * (n % 7), n % 5
        elapsed_ms = 20 + tokens * token_ms + 9 * running
        times.record_read(tokens, running, elapsed_ms)
    assert times.token_ms == pytest.approx(token_ms, rel=0.1)
    assert times.running_ms == pytest.approx(9, rel=0.2)


def test_reading_speed_stays_within_its_bounds():
    """Guards against times that have another cause, or loads that lie."""
    times = forecasts.EngineTimes()
    for n in range(300):
        times.record_read(n % 2 * 6_000, 10**9, 10.0)
        times.record_read(n % 2 * 6_000, n % 3, 9_000.0 * (1 - n % 2))
    low, high = forecasts.TOKEN_MS_BOUNDS
    assert low <= times.token_ms <= high


ENGINE = documents.Engine(slots=8, memory_tokens=20_000)
POOL = engine_choice.Pool('p', ENGINE, 3)


class Chooser(engine_choice.EngineChooser):
    """Sends prompts of one shared part to three engines."""

    def __init__(self):
        super().__init__(WINDOW_MS, lambda: 60)
        self.holders = [builders.target(f't{n}', slots=8) for n in range(3)]

    def send(self, name, now_ms, is_answered=True, tokens=100):
        prompt = engine_choice.Prompt(PARTS, tokens, name)
        choice = self.choose(prompt, POOL, self.holders, True, now_ms)
        self.start(name, prompt, POOL, choice, now_ms)
        if is_answered:
            self.record_start(name, None, now_ms)
            self.end(name, now_ms + 1_000)
        return self.holders.index(choice.target)


def test_host_that_knows_nothing_follows_the_agreed_order():
    assert Chooser().send('r', 0) == 0


@pytest.mark.parametrize(
    ('load', 'holder'),
    [
        (targets.Load(6, 0, 8), 0),
        (targets.Load(8, 1, 8), 1),
        (targets.Load(8, 4, 8, 400), 1),
        (targets.Load(10**9, 10**9, 8), 1),
        (targets.Load(None, None, 8, 200), 0),
    ],
)
def test_queue_that_costs_more_than_reading_moves_a_prompt(load, holder):
    chooser = Chooser()
    target_selection.record_load(chooser.holders[0], load, 0)
    assert chooser.send('r', 10) == holder
    assert chooser.send('s', 30_000) == 0


def test_engine_that_does_not_answer_is_left():
    """Guards against queues that an engine reports only after they end."""
    chooser = Chooser()
    assert chooser.send('r0', 0, is_answered=False) == 0
    assert chooser.send('r1', 2_000) != 0


def test_popular_prompt_spreads_and_returns_when_it_cools():
    chooser = Chooser()
    used = {chooser.send(f'r{n}', 50 * n) for n in range(100)}
    assert used == {0, 1, 2}
    later = [chooser.send(f's{n}', 10**6 * (n + 1)) for n in range(9)]
    assert set(later) == {0}


@pytest.mark.parametrize('reported', [False, True])
def test_engine_without_memory_is_left_while_another_has_room(reported):
    """Guards against prompts that crash an engine together."""
    chooser = Chooser()
    if reported:
        chooser.times('p').memory_tokens = 5_000
        load = targets.Load(4, 0, 8)
        target_selection.record_load(chooser.holders[0], load, 0)
    else:
        chooser.send('r', 0, is_answered=False, tokens=15_000)
    assert chooser.send('s', 1, tokens=6_000) != 0


def test_prompt_that_names_too_many_tokens_is_not_learnt_from():
    """Guards against one caller who spoils the choices for all others."""
    chooser = Chooser()
    for n in range(50):
        tokens = held_prompts.MAX_TOKENS // (1 + n % 3)
        prompt = engine_choice.Prompt(((n, tokens),), tokens, f'r{n}')
        args = prompt, POOL, chooser.holders
        choice = chooser.choose(*args, False, n)
        chooser.start(f'r{n}', prompt, POOL, choice, n)
        chooser.record_start(f'r{n}', targets.Load(1, 0, 8), n + 9)
        chooser.end(f'r{n}', n + 9)
    times = chooser.times('p')
    assert times.token_ms == forecasts.TOKEN_MS
    assert times.memory_tokens <= ENGINE.memory_tokens


def test_order_is_made_once_for_a_part_whatever_the_number_of_targets(
    monkeypatch,
):
    """Guards against choices that take longer in larger pools."""
    directory = targets.Directory()
    listed = [builders.listed(f't{n}', 'p') for n in range(12_000)]
    directory.replace(listed, 1, 0)
    orders, scored = holder_orders.HolderOrders(directory), []
    scorer = rendezvous.scorer
    monkeypatch.setattr(
        rendezvous, 'scorer', lambda key: scored.append(key) or scorer(key)
    )
    order = orders.first('p', '', 'x')
    assert order == tuple(rendezvous.rank('x', (t.name for t in listed))[:16])
    directory.update([], [], 2, 0)
    assert orders.first('p', '', 'x') == order
    assert scored == ['x', 'x']
    directory.update([], [order[0]], 3, 0)
    assert orders.first('p', '', 'x')[:15] == order[1:]


def sent(window_ms, engine, has_pace=True):
    """Return the log fields and counters of requests that share parts.

    A response before them tells the pace of a target, or does not.
    """
    harness = lifecycle.Harness(lifecycle.ROUTES['stream'], target_count=20)
    document = builders.document(
        lifecycle.ROUTES['stream'],
        pools=(documents.Pool('app', engine=engine),),
        version=2,
    )
    harness.document_state.apply(document, 0)
    harness.requests.chooser.window_ms = window_ms
    harness.arrive(request_id='before')
    load = targets.Load(0, 0, 1, has_pace=has_pace)
    for message in (
        messages.StreamStarted('before', 1, load),
        messages.ResponseCompleted('before', 1, 200),
    ):
        harness.requests.handle(message, 0)
    logged = []
    for n in range(40):
        part = messages.PromptPart(f'p{n % 5}', 6_300)
        own = messages.PromptPart(f'own{n}', 10)
        logged += harness.arrive(request_id=f'r{n}', prompt=(part, own))
    kind = events.Event.REQUEST_SENT
    fields = [e.fields for e in logged if getattr(e, 'event', None) is kind]
    counts = [e for e in logged if isinstance(e, shared_effects.Count)]
    return fields, counts


def test_choice_without_window_engine_or_pace_is_that_of_the_hash():
    """Guards against parts read again where all engines are alike."""
    plain = [fields['target'] for fields in sent(None, None)[0]]
    for window_ms, engine, has_pace in (
        (None, ENGINE, True),
        (0, ENGINE, True),
        (10_000, None, True),
        (10_000, ENGINE, False),
    ):
        fields, counts = sent(window_ms, engine, has_pace)
        assert [f['target'] for f in fields] == plain
        assert not any('holder' in f for f in fields)
        assert not counts


def test_log_of_a_send_tells_the_holder_and_what_is_read():
    """Guards against a choice that is not used where it should be."""
    (first, *_), counts = sent(WINDOW_MS, ENGINE)
    names = [f't{n}' for n in range(20)]
    assert first['target'] == rendezvous.first('p0', names)
    assert (first['holder'], first['read_tokens']) == (0, 10)
    assert sum(c.by for c in counts if c.name == 'prompts.sent') == 40


@pytest.mark.parametrize(
    ('window_ms', 'weighs', 'expected'),
    [(9_000, True, 9_000), (9_000, False, None), (None, True, None)],
)
def test_choice_can_be_switched_off(window_ms, weighs, expected):
    bounds = host.Settings(reuse_window_ms=window_ms, weighs_prompts=weighs)
    components = host.make_components(
        lifecycle.SELF, '10.0.1.1:1', random.Random(1), bounds
    )
    chooser = components.requests.chooser
    assert chooser.window_ms == expected
    decider = host.Host(components)
    decider.handle(messages.SettingsReloaded(host.Settings()), 1)
    assert chooser.window_ms is None
    decider.handle(messages.SettingsReloaded(bounds), 2)
    assert chooser.window_ms == expected
