"""Documents, retry budgets, pool owners, progress, target choice, stops."""

import random

import pytest

from godwitglade.routing import budget
from godwitglade.routing import document_state
from godwitglade.routing import documents
from godwitglade.routing import forecasts
from godwitglade.routing import pipeline
from godwitglade.routing import rendezvous
from godwitglade.routing import stopping
from godwitglade.routing import target_selection
from godwitglade.routing import targets
from tests.routing import builders

DOCUMENT = builders.document(
    builders.route(name='short', prefix='/a/'),
    builders.route(name='long', prefix='/a/b/'),
    builders.route(name='other', host='other.example', prefix='/'),
)


@pytest.mark.parametrize(
    ('host', 'path', 'name'),
    [
        ('desk.example', '/a/x', 'short'),
        ('desk.example', '/a/b/x', 'long'),
        ('desk.example', '/a/b', 'short'),
        ('DESK.example:8080', '/a/x?y=/a/b/', 'short'),
        ('other.example', '/a/b/x', 'other'),
        ('desk.example', '/c/', None),
        ('none.example', '/a/x', None),
    ],
)
def test_longest_prefix_of_the_host_wins(host, path, name):
    route = DOCUMENT.match(host, path)
    assert (route and route.name) == name


@pytest.mark.parametrize(
    ('versions', 'held'), [([1, 3, 2], 3), ([5, 4, 4], 5), ([2, 2], 2)]
)
def test_document_never_goes_back(versions, held):
    state = document_state.DocumentState()
    for at_ms, version in enumerate(versions):
        state.apply(builders.document(version=version), at_ms)
    assert state.document.version == held


def test_older_document_does_not_refresh_the_age():
    state = document_state.DocumentState(5_000)
    state.apply(builders.document(version=4), 0)
    state.apply(builders.document(version=3), 4_000)
    assert state.age_ms(4_000) == 4_000


def test_budget_counts_a_sliding_window():
    retry_budget = budget.RetryBudget(0.5, 0.0, 1_000)
    for _ in range(10):
        retry_budget.record_request(0)
    spent = [retry_budget.spend(1, 10) for _ in range(10)]
    assert sum(spent) == int(budget.SAFETY_FACTOR * 5)
    assert not retry_budget.spend(1, 1_010)


def test_hosts_share_the_allowance():
    alone = budget.RetryBudget(0.0, 20.0, 1_000)
    shared = budget.RetryBudget(0.0, 20.0, 1_000)
    assert sum(alone.spend(1, 0) for _ in range(30)) == 16
    assert sum(shared.spend(4, 0) for _ in range(30)) == 4


def test_leaving_host_changes_the_owner_of_its_own_pools_only():
    names = [f'h{n}' for n in range(9)]
    pools = [f'p{n}' for n in range(60)]
    before = {pool: rendezvous.rank(pool, names)[0] for pool in pools}
    after = {pool: rendezvous.rank(pool, names[1:])[0] for pool in pools}
    moved = {pool for pool in pools if before[pool] != after[pool]}
    assert moved == {pool for pool in pools if before[pool] == 'h0'}


STAGES = (
    documents.Stage('encode', (), 1_000),
    documents.Stage('encode', (), 10),
    documents.Stage('rank', (1,), 100),
)


def test_stage_without_items_is_left_out():
    progress = pipeline.Progress(STAGES, (0, 2))
    assert progress.ready_stages() == [1]
    progress.started.add(1)
    progress.handles[1] = ('a', 'b')
    assert progress.is_complete


def test_results_are_those_that_no_stage_follows():
    progress = pipeline.Progress(STAGES, (1, 2, 1))
    progress.handles = {0: ('x',), 1: ('a', 'b'), 2: ('y',)}
    progress.zones = {0: 'z1', 1: 'z2', 2: 'z2'}
    assert progress.results() == ('x', 'y')
    assert progress.zone_of_results() == 'z1'
    assert progress.zone_of_inputs(2) == 'z2'
    assert progress.input_bytes(2) == 20
    assert progress.later_stages(1) == [2]


def test_more_counts_than_stages_are_refused():
    with pytest.raises(ValueError, match='4 counts for 3 stages'):
        pipeline.Progress(STAGES, (1, 1, 1, 1))


def test_forecast_decreases_with_time():
    forecasts_ = forecasts.Forecasts()
    forecasts_.record_wait('encode', 400, 1_000)
    assert forecasts_.wait_ms('encode', 1_100) == 300
    assert forecasts_.wait_ms('encode', 1_000 + forecasts.WAIT_TTL_MS) == 0


def choose(pool, preferences, now_ms=0):
    return target_selection.choose(
        pool, preferences, 'z1', random.Random(1), now_ms
    )


def test_prompts_with_a_shared_part_go_to_one_engine_near_their_inputs():
    pool = [builders.target(f't{n}', zone=f'z{n % 3}') for n in range(9)]
    preferences = target_selection.Preferences('z2', 'part')
    chosen = {choose(pool, preferences).name for _ in range(20)}
    assert len(chosen) == 1
    assert choose(pool, preferences).listed.zone == 'z2'


def test_engine_much_fuller_than_the_others_is_skipped():
    pool = [builders.target(f't{n}', slots=10) for n in range(3)]
    preferences = target_selection.Preferences('z1', 'part')
    first = choose(pool, preferences)
    first.in_flight = 9
    assert choose(pool, preferences) is not first


def test_target_that_was_tried_is_not_chosen_again():
    pool = [builders.target('t1'), builders.target('t2')]
    preferences = target_selection.Preferences('z1', tried=frozenset({'t1'}))
    assert choose(pool, preferences).name == 't2'
    preferences = target_selection.Preferences(
        'z1', tried=frozenset({'t1', 't2'})
    )
    assert choose(pool, preferences) is None


@pytest.mark.parametrize(
    ('is_unreachable', 'failures', 'is_suspended'),
    [(True, 1, True), (False, 1, False), (False, 3, True)],
)
def test_failing_target_is_suspended(is_unreachable, failures, is_suspended):
    target = builders.target('t1')
    for _ in range(failures):
        target_selection.record_failure(target, is_unreachable, 100)
    assert target.is_usable(101) is not is_suspended


def test_calls_that_fail_together_suspend_their_target_once():
    target = builders.target('t1')
    for _ in range(9):
        target_selection.record_failure(target, False, 100)
    assert target.is_usable(100 + target_selection.SUSPENSION_MS)
    assert target.is_usable(100 + target_selection.MAX_SUSPENSION_MS)


def test_expired_load_report_is_ignored():
    target = builders.target('t1', slots=4)
    target_selection.record_load(target, targets.Load(4, 4, 4), 0)
    assert target_selection.fullness(target, 10) == 2.0
    assert (
        target_selection.fullness(target, target_selection.LOAD_TTL_MS) == 0.0
    )


def test_malformed_load_does_not_replace_a_fresh_one():
    target = builders.target('t1', slots=4)
    target_selection.record_load(target, targets.Load(4, 4, 4), 0)
    unknown = targets.Load(None, None, None, malformed='x')
    target_selection.record_load(target, unknown, 5)
    assert target_selection.fullness(target, 10) == 2.0


@pytest.mark.parametrize(
    ('pace_percent', 'age_ms', 'fullness'),
    [(100, 0, 0.25), (300, 0, 1.25), (300, 500, 0.75), (300, 1_000, 0.0)],
)
def test_slow_target_counts_as_fuller_while_its_pace_is_fresh(
    pace_percent, age_ms, fullness
):
    target = builders.target('t1', slots=4)
    load = targets.Load(1, 0, 4, pace_percent)
    target_selection.record_load(target, load, 0)
    assert target_selection.paced_fullness(target, age_ms) == fullness


@pytest.mark.parametrize('affinity', ['', 'part'])
def test_target_that_slows_down_gets_no_request(affinity):
    """Guards against filling slow engines as much as fast ones."""
    pool = [builders.target(f't{n}', slots=2) for n in range(2)]
    preferences = target_selection.Preferences('z1', affinity)
    first = choose(pool, preferences)
    load = targets.Load(0, 0, 2, 400)
    target_selection.record_load(first, load, 0)
    assert choose(pool, preferences) is not first


@pytest.mark.parametrize(
    ('is_idle', 'is_closed', 'elapsed_ms', 'may_end'),
    [
        (True, False, stopping.LISTENER_GRACE_MS - 1, False),
        (True, False, stopping.LISTENER_GRACE_MS, False),
        (True, True, stopping.LISTENER_GRACE_MS, True),
        (False, True, 5_000, False),
        (False, True, 7_000, True),
        (False, False, 7_000, True),
    ],
)
def test_stop_waits_for_open_work_and_late_arrivals(
    is_idle, is_closed, elapsed_ms, may_end
):
    stop = stopping.Stopping(7_000, requested_ms=100, is_closed=is_closed)
    assert stop.may_end(is_idle, 100 + elapsed_ms) is may_end


@pytest.mark.parametrize(
    ('elapsed_ms', 'left_ms', 'expected_ms', 'may_take'),
    [
        (0, 20_000, 0, True),
        (0, 20_000, 6_000, True),
        (0, 20_000, 7_000, False),
        (2_300, 20_000, 4_000, True),
        (2_300, 20_000, 4_500, False),
        (2_300, 4_000, 9_000, True),
        (3_000, 20_000, 0, False),
        (3_000, 3_500, 0, True),
        (6_500, 200, 0, False),
    ],
)
def test_stopping_host_takes_only_what_it_can_finish(
    elapsed_ms, left_ms, expected_ms, may_take
):
    stop = stopping.Stopping(7_000, requested_ms=100, is_closing=True)
    now_ms = 100 + elapsed_ms
    taken = stop.may_take(now_ms + left_ms, expected_ms, now_ms)
    assert taken is may_take


def test_listener_closes_once_after_the_grace_period():
    stop = stopping.Stopping(7_000, requested_ms=100)
    times_ms = [100, 100 + stopping.LISTENER_GRACE_MS, 5_000]
    results = [stop.should_close(now_ms) for now_ms in times_ms]
    assert results == [False, True, False]
