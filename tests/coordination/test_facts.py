"""Tests of facts and workspace usage across many hosts."""

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
    cluster = fleet.Fleet(host_count, zone_count, loss)
    cluster.run(warm_ms)
    return cluster


def publish(cluster, name, kind, key, value, ttl_ms=60_000, is_urgent=False):
    fact = effects.PublishFact(kind, key, value, ttl_ms, is_urgent)
    node = cluster.nodes[name]
    cluster.carry_out(node, node.facts.publish(fact, cluster.now_ms))


def count_holders(cluster, kind, key):
    """Return the number of running hosts that store the fact."""
    return sum(
        any(record.key == key for record in node.facts.find(kind))
        for node in cluster.running_nodes()
    )


def run_until_known(cluster, kind, key, count):
    return cluster.run(
        30_000, lambda: count_holders(cluster, kind, key) == count
    )


@pytest.mark.parametrize('loss', [0.0, 0.01, 0.2])
def test_fact_reaches_every_host_and_expires(loss):
    cluster = make_fleet(loss=loss)
    publish(cluster, 'h0', KIND, 'f1', True, ttl_ms=30_000)
    assert run_until_known(cluster, KIND, 'f1', 9) < 20_000
    cluster.run(40_000)
    assert count_holders(cluster, KIND, 'f1') == 0


def test_urgent_fact_is_known_within_a_second_at_48_hosts():
    cluster = make_fleet(48, 4, loss=0.01, warm_ms=40_000)
    publish(cluster, 'h0', KIND, 'f1', True, is_urgent=True)
    assert run_until_known(cluster, KIND, 'f1', 47) < 1_000


def test_fact_removed_by_any_host_is_not_restored():
    cluster = make_fleet()
    publish(cluster, 'h0', KIND, 'f1', True)
    run_until_known(cluster, KIND, 'f1', 9)
    cluster.partitioned_zones = {'z1'}
    publish(cluster, 'h2', KIND, 'f1', None)
    cluster.run(10_000)
    cluster.partitioned_zones = set()
    cluster.run(40_000)
    assert count_holders(cluster, KIND, 'f1') == 0


def test_each_host_keeps_its_own_strike():
    cluster = make_fleet()
    publish(cluster, 'h0', 'strike', 'f1', 'target-1')
    publish(cluster, 'h1', 'strike', 'f1', 'target-2')
    cluster.run(15_000)
    for node in cluster.running_nodes():
        values = {record.value for record in node.facts.find('strike')}
        assert values == {'target-1', 'target-2'}


def test_divergence_after_lost_deltas_is_repaired():
    cluster = make_fleet()
    cluster.partitioned_zones = {'z1'}
    for number in range(100):
        publish(cluster, 'h0', KIND, f'f{number}', True, ttl_ms=600_000)
    cluster.run(60_000)
    cluster.partitioned_zones = set()
    cluster.run(90_000)
    assert {len(node.facts) for node in cluster.running_nodes()} == {100}


def test_table_and_values_are_bounded():
    cluster = make_fleet(3, 1, warm_ms=3_000)
    for number in range(facts.FACT_LIMIT + 50):
        publish(
            cluster, 'h0', KIND, f'f{number}', True, ttl_ms=60_000 + number
        )
    publish(cluster, 'h0', KIND, 'large', 'x' * facts.VALUE_LIMIT_BYTES)
    node = cluster.nodes['h0']
    assert len(node.facts) == facts.FACT_LIMIT
    assert count_holders(cluster, KIND, 'large') == 0
    assert count_holders(cluster, KIND, 'f0') == 0


def test_host_restarted_without_memory_replaces_its_own_fact():
    cluster = make_fleet()
    for value in (1, 2, 3):
        publish(cluster, 'h0', 'strike', 'f1', value)
    cluster.run(10_000)
    cluster.stop('h0')
    cluster.start('h0')
    cluster.run(20_000)
    publish(cluster, 'h0', 'strike', 'f1', 4)
    cluster.run(10_000)
    for node in cluster.running_nodes():
        assert [record.value for record in node.facts.find('strike')] == [4]


def test_workspace_usage_is_estimated_on_every_host():
    cluster = make_fleet()
    for _ in range(20):
        for name in cluster.nodes:
            publish(cluster, name, 'usage', 'atlas', 10)
        cluster.run(1_000)
    estimates = {}
    for name, message in cluster.delivered:
        if isinstance(message, messages.FactChanged):
            estimates[name] = message.value
    assert set(estimates.values()) == {80}


def test_usage_estimate_scales_samples_and_expires():
    estimator = usage.UsageEstimator()
    rng = random.Random(1)
    for number in range(40):
        count = rng.choice((0, 1, 1, 2))
        records = (bodies.UsageRecord('atlas', count),)
        estimator.receive(f'h{number}', records, now_ms=number)
    estimate = estimator.estimate_other_hosts(770, 40)['atlas']
    assert 0.6 * 769 < estimate < 1.4 * 769
    assert estimator.estimate_other_hosts(770, 60_000) == {}


def test_sample_holds_only_the_largest_counts():
    estimator = usage.UsageEstimator()
    for number in range(12_000):
        estimator.publish(f'w{number}', number, 0)
    sample = estimator.sample(1)
    assert len(sample) == usage.SAMPLE_SIZE
    assert sample[0] == bodies.UsageRecord('w11999', 11_999)
