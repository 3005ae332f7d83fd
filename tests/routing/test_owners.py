"""Which host owns a stage pool."""

import random

import pytest

from godwitglade.coordination import hosts
from godwitglade.coordination import members
from godwitglade.coordination import membership
from godwitglade.routing import hand_over
from godwitglade.routing import owners

POOLS = [f'p{n}' for n in range(40)]
SMALL = owners.jobs_per_s(cores=0.5, link_mbps=5.0)
LARGE = owners.jobs_per_s(cores=2.0, link_mbps=100.0)


def make_owners(capacities):
    self_id = hosts.HostId('h0', 'z1', 1)
    members_ = membership.Membership(self_id, 'h0:1', random.Random(1))
    owners_ = owners.Owners(
        self_id, members_, hand_over.CutOffHosts(self_id.name)
    )
    owners_.set_registered(
        members.HostEntry(name, 'z1', f'{name}:1', capacity)
        for name, capacity in capacities.items()
    )
    return owners_


def all_owners(owners_, now_ms=0):
    return {owners_.owner_of(pool, now_ms) for pool in POOLS}


@pytest.mark.parametrize(
    ('capacities', 'expected'),
    [
        ({'h0': SMALL, 'h1': LARGE, 'h2': SMALL, 'h3': LARGE}, {'h1', 'h3'}),
        ({'h0': SMALL, 'h1': SMALL}, {'h0', 'h1'}),
        ({'h0': 0.0, 'h1': 0.0}, {'h0', 'h1'}),
        ({'h0': 0.0, 'h1': SMALL}, {'h1'}),
    ],
    ids=[
        'some are large',
        'all are alike',
        'unknown',
        'one is of a release ' 'that does not tell',
    ],
)
def test_small_host_owns_no_pool_while_a_large_one_is_available(
    capacities, expected
):
    assert all_owners(make_owners(capacities)) == expected


def test_messages_lost_together_suspend_their_owner_once():
    owners_ = make_owners({'h0': SMALL, 'h1': LARGE})
    for _ in range(8):
        owners_.suspend('h1', 0)
    assert all_owners(owners_, owners.OWNER_SUSPENSION_MS) == {'h1'}
    for _ in range(2):
        owners_.suspend('h1', owners.OWNER_SUSPENSION_MS)
    end_ms = 3 * owners.OWNER_SUSPENSION_MS
    assert all_owners(owners_, end_ms - 1) == {'h0'}
    assert all_owners(owners_, end_ms) == {'h1'}


def test_pools_move_to_small_hosts_when_the_large_ones_are_suspended():
    owners_ = make_owners({'h0': SMALL, 'h1': LARGE, 'h2': SMALL})
    owners_.suspend('h1', 0)
    assert all_owners(owners_) == {'h0', 'h2'}
    assert all_owners(owners_, owners.OWNER_SUSPENSION_MS) == {'h1'}
