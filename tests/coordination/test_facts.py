"""Facts and workspace use over many hosts."""

import random

import pytest

from bench import fleet
from godwitglade.coordination import bodies
from godwitglade.coordination import effects
from godwitglade.coordination import facts
from godwitglade.coordination import messages
from godwitglade.coordination import usage

KIND = 'quarantine'


def make_fleet(host_count=9, zone_count=3, loss=0.0, warm_ms=15_000):
    made = fleet.Fleet(host_count, zone_count, loss)
    made.run(warm_ms)
    return made


def publish(made, name, kind, key, value, ttl_ms=60_000, is_urgent=False):
    fact = effects.PublishFact(kind, key, value, ttl_ms, is_urgent)
    node = made.nodes[name]
    made.carry_out(node, node.facts.publish(fact, made.now_ms))


def knowing(made, kind, key):
    """Return the number of running hosts that hold the fact."""
    return sum(
        any(one.key == key for one in node.facts.find(kind))
        for node in made.up()
    )


def run_until_known(made, kind, key, count):
    return made.run(30_000, lambda: knowing(made, kind, key) == count)


@pytest.mark.parametrize('loss', [0.0, 0.01, 0.2])
def test_fact_reaches_every_host_and_lapses(loss):
    made = make_fleet(loss=loss)
    publish(made, 'h0', KIND, 'f1', True, ttl_ms=30_000)
    assert run_until_known(made, KIND, 'f1', 9) < 20_000
    made.run(40_000)
    assert knowing(made, KIND, 'f1') == 0


def test_urgent_fact_is_known_within_a_second_at_48_hosts():
    made = make_fleet(48, 4, loss=0.01, warm_ms=40_000)
    publish(made, 'h0', KIND, 'f1', True, is_urgent=True)
    assert run_until_known(made, KIND, 'f1', 47) < 1_000


def test_fact_ended_by_any_host_does_not_come_back():
    made = make_fleet()
    publish(made, 'h0', KIND, 'f1', True)
    run_until_known(made, KIND, 'f1', 9)
    made.cut_zones = {'z1'}
    publish(made, 'h2', KIND, 'f1', None)
    made.run(10_000)
    made.cut_zones = set()
    made.run(40_000)
    assert knowing(made, KIND, 'f1') == 0


def test_each_host_keeps_its_own_strike():
    made = make_fleet()
    publish(made, 'h0', 'strike', 'f1', 'target-1')
    publish(made, 'h1', 'strike', 'f1', 'target-2')
    made.run(15_000)
    for node in made.up():
        values = {one.value for one in node.facts.find('strike')}
        assert values == {'target-1', 'target-2'}


def test_divergence_after_lost_deltas_is_repaired():
    made = make_fleet()
    made.cut_zones = {'z1'}
    for number in range(100):
        publish(made, 'h0', KIND, f'f{number}', True, ttl_ms=600_000)
    made.run(60_000)
    made.cut_zones = set()
    made.run(90_000)
    assert {len(node.facts) for node in made.up()} == {100}


def test_table_and_values_are_bounded():
    made = make_fleet(3, 1, warm_ms=3_000)
    for number in range(facts.FACT_LIMIT + 50):
        publish(made, 'h0', KIND, f'f{number}', True, ttl_ms=60_000 + number)
    publish(made, 'h0', KIND, 'large', 'x' * facts.VALUE_LIMIT_BYTES)
    node = made.nodes['h0']
    assert len(node.facts) == facts.FACT_LIMIT
    assert knowing(made, KIND, 'large') == 0
    assert knowing(made, KIND, 'f0') == 0


def test_host_restarted_without_memory_replaces_its_own_fact():
    made = make_fleet()
    for value in (1, 2, 3):
        publish(made, 'h0', 'strike', 'f1', value)
    made.run(10_000)
    made.stop('h0')
    made.start('h0')
    made.run(20_000)
    publish(made, 'h0', 'strike', 'f1', 4)
    made.run(10_000)
    for node in made.up():
        assert [one.value for one in node.facts.find('strike')] == [4]


def test_use_of_a_workspace_is_estimated_on_every_host():
    made = make_fleet()
    for _ in range(20):
        for name in made.nodes:
            publish(made, name, 'usage', 'atlas', 10)
        made.run(1_000)
    learned = {}
    for name, message in made.delivered:
        if isinstance(message, messages.FactLearned):
            learned[name] = message.value
    assert set(learned.values()) == {80}


def test_usage_estimate_scales_samples_and_lapses():
    estimator = usage.Usage()
    source = random.Random(1)
    for number in range(40):
        count = source.choice((0, 1, 1, 2))
        records = (bodies.UsageRecord('atlas', count),)
        estimator.receive(f'h{number}', records, now_ms=number)
    estimate = estimator.elsewhere(770, 40)['atlas']
    assert 0.6 * 769 < estimate < 1.4 * 769
    assert estimator.elsewhere(770, 60_000) == {}


def test_sample_holds_only_the_largest_counts():
    estimator = usage.Usage()
    for number in range(12_000):
        estimator.publish(f'w{number}', number, 0)
    sample = estimator.sample(1)
    assert len(sample) == usage.SAMPLE_SIZE
    assert sample[0] == bodies.UsageRecord('w11999', 11_999)
