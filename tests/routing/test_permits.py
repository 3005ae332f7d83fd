"""Permits of limited targets, and the limits that hosts know."""

import random

import pytest

from godwitglade.coordination import effects as shared_effects
from godwitglade.coordination import hosts
from godwitglade.coordination import membership
from godwitglade.coordination import messages as shared_messages
from godwitglade.routing import bodies
from godwitglade.routing import hand_over
from godwitglade.routing import permit_schedule
from godwitglade.routing import rate_limits
from godwitglade.routing import targets
from tests.routing import builders

Asked = permit_schedule.Asked
KEY = 't1@0'


def make_limits():
    members = membership.Membership(
        hosts.HostId('h1', 'z1', 1), '10.0.1.1:1', random.Random(1)
    )
    return rate_limits.RateLimits('h1', members, hand_over.CutOffHosts('h1'))


TARGET = builders.target('t1', 'app')
NAMED = targets.NamedLimit(1_000)


def test_permits_are_spaced_by_the_limit():
    schedule = permit_schedule.PermitSchedule()
    asked = Asked(max_wait_ms=10_000)
    grants = [schedule.ask(asked, {KEY: 2_000}, 0) for _ in range(4)]
    assert [grant.wait_ms for grant in grants] == [500, 1_000, 1_500, 2_000]
    assert {grant.target for grant in grants} == {KEY}


def test_permits_of_a_high_limit_are_given_out_together():
    schedule = permit_schedule.PermitSchedule()
    schedule.ask(Asked(), {KEY: 100_000}, 0)
    grant = schedule.ask(Asked(count=50), {KEY: 100_000}, 100)
    assert grant == permit_schedule.Grant(10, 0, KEY)
    assert schedule.ask(Asked(), {KEY: 100_000}, 150).wait_ms == 50


def test_refused_caller_is_served_when_it_returns_before_new_ones():
    schedule = permit_schedule.PermitSchedule()
    asked = Asked(caller='c1', max_return_ms=5_000)
    refused = schedule.ask(asked, {KEY: 1_000}, 0)
    assert refused == permit_schedule.Grant(0, 1_000, is_kept=True)
    assert schedule.ask(asked, {KEY: 1_000}, 100).wait_ms == 900
    other = schedule.ask(Asked(caller='c2'), {KEY: 1_000}, 1_010)
    assert (other.count, other.wait_ms) == (0, 990)
    granted = schedule.ask(asked, {KEY: 1_000}, 1_020)
    assert granted == permit_schedule.Grant(1, 0, KEY)


def test_place_of_a_caller_that_does_not_return_expires():
    schedule = permit_schedule.PermitSchedule()
    asked = Asked(caller='c1', max_return_ms=5_000)
    schedule.ask(asked, {KEY: 1_000}, 0)
    late_ms = 1_001 + permit_schedule.KEPT_MS
    assert schedule.ask(Asked(caller='c2'), {KEY: 1_000}, late_ms).count == 1
    assert schedule.ask(asked, {KEY: 1_000}, late_ms).count == 0


def test_places_are_bounded():
    schedule = permit_schedule.PermitSchedule()
    kept = [
        schedule.ask(
            Asked(caller=f'c{n}', max_return_ms=10**9), {KEY: 1_000}, 0
        ).is_kept
        for n in range(permit_schedule.MAX_PLACES + 5)
    ]
    assert sum(kept) == permit_schedule.MAX_PLACES


@pytest.mark.parametrize(
    ('responses', 'is_limited'),
    [
        ([(3_000, 3_100)], True),
        ([(900, 3_000), (900, 3_100)], True),
        ([(1_100, 1_200), (1_200, 1_300)], True),
        ([(3_000, 3_100), (3_050, 3_150)], False),
    ],
)
def test_limit_ends_with_later_responses_that_do_not_name_it(
    responses, is_limited
):
    limits = make_limits()
    limits.record_response(TARGET, NAMED, 900, 1_000)
    for sent_ms, now_ms in responses:
        limits.record_response(TARGET, None, sent_ms, now_ms)
    assert limits.is_limited(TARGET) is is_limited


def test_unreadable_limit_neither_sets_nor_ends_one():
    limits = make_limits()
    unreadable = targets.NamedLimit(None)
    limits.record_response(TARGET, unreadable, 0, 10)
    assert not limits.is_limited(TARGET)
    limits.record_response(TARGET, NAMED, 0, 20)
    for now_ms in (5_000, 5_100, 5_200):
        limits.record_response(TARGET, unreadable, now_ms - 10, now_ms)
    assert limits.is_limited(TARGET)


def test_limit_that_changes_with_each_response_is_told_once_a_second():
    limits = make_limits()
    told = [
        effect
        for now_ms in range(0, 5_000, 50)
        for effect in limits.record_response(
            TARGET, targets.NamedLimit(1_000 + now_ms), now_ms, now_ms
        )
        if isinstance(effect, shared_effects.PublishFact)
    ]
    assert len(told) == 5


@pytest.mark.parametrize(
    'value', ['1', [], [1, 2], [-1], [1.5], [True], [10**12], {'a': 1}]
)
def test_malformed_limit_of_another_host_is_ignored(value):
    limits = make_limits()
    fact = shared_messages.FactChanged('limit', KEY, value, 'h2')
    limits.handle(fact, 10)
    assert not limits.is_limited(TARGET)


def test_limit_does_not_hold_for_a_new_incarnation():
    limits = make_limits()
    limits.record_response(TARGET, NAMED, 0, 10)
    restarted = builders.target('t1', 'app', started_ms=9)
    assert not limits.is_limited(restarted)
    limits.maintain([restarted], 20)
    assert not limits.is_limited(TARGET)


@pytest.mark.parametrize(
    'body',
    [
        bodies.PermitRequest('app', {}),
        bodies.PermitRequest('p' * 10_000, {KEY: 1}),
        bodies.PermitRequest('app', {'k' * 10_000: 1}),
        bodies.PermitRequest('app', {KEY: -5}, -1, 'c', -1, -1),
    ],
)
def test_malformed_request_for_permits_gets_none(body):
    assert make_limits().grant(body, 10).count == 0


def test_host_that_does_not_reply_gives_no_permit():
    assert rate_limits.decode_grant(None).count == 0
    granted = bodies.PermitGranted(10**9, -5, KEY)
    assert rate_limits.decode_grant(granted) == permit_schedule.Grant(
        rate_limits.MAX_PERMITS, 0, KEY
    )


def test_permit_for_another_target_closes_those_that_were_asked_for():
    limits = make_limits()
    limits.record_response(TARGET, NAMED, 0, 10)
    foreign = permit_schedule.Grant(1, 0, 'other@0')
    assert limits.apply_grant([TARGET], foreign, 20, 20).count == 0
    assert limits.wait_ms(TARGET, 20) > 0


@pytest.mark.parametrize(
    ('wait_ms', 'late_ms', 'count'),
    [(0, 100, 3), (0, 250, 0), (400, 500, 3), (400, 5_000, 0)],
)
def test_permits_in_a_reply_that_is_read_after_a_standstill_are_lost(
    wait_ms, late_ms, count
):
    limits = make_limits()
    limits.record_response(TARGET, NAMED, 0, 10)
    granted = permit_schedule.Grant(3, wait_ms, KEY)
    used = limits.apply_grant([TARGET], granted, 1_000, 1_000 + late_ms)
    assert used.count == count
    assert limits.use_permit(TARGET, 1_000 + late_ms) is (count > 0)
