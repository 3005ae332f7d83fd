"""Hosts that are cut off from all targets, at hosts free of I/O."""

import itertools

import pytest

from godwitglade.coordination import bodies
from godwitglade.coordination import effects as shared_effects
from godwitglade.routing import hand_over
from tests.routing import fleet

CUT_MS = 8_000
BACK_MS = 20_000
END_MS = 26_000
OBJECTIVE_MS = fleet.ROUTE.objective_ms
#: Least share of first attempts served at hosts that are cut off, of that at
#: the others.
MIN_SHARE = 0.95
PATHS = ('/a/x', '/b/x', '/c/x')


class Load:
    """Callers that send each request once, to any host."""

    def __init__(self, fleet_, gap_ms=40):
        self.fleet = fleet_
        self.gap_ms = gap_ms
        self.numbers = itertools.count()

    def send(self):
        number = next(self.numbers)
        subject = f'subject{self.fleet.rng.randrange(60)}'
        parts = ('system0', subject, f'own{number}')
        self.fleet.send(parts, PATHS[number % len(PATHS)])
        due_ms = self.fleet.now_ms + self.fleet.rng.randint(1, 2 * self.gap_ms)
        if due_ms < END_MS:
            self.fleet.at(due_ms, self.send)


def engines_crash(fleet_):
    """End two engines during the cut; others start."""
    for number, engine in enumerate(fleet_.engines[:2]):
        fleet_.at(12_000 + 3_000 * number, fleet_.end_engine, engine)


def hosts_restart(fleet_):
    """Restart hosts, some of them cut off, during the cut."""
    names = list(fleet_.nodes)
    fleet_.at(13_000, fleet_.restart, [names[0], names[-1]])


def more_hosts_cut(fleet_):
    """Cut off also a host that takes requests of others."""
    names = list(fleet_.nodes)
    cut = [*names[:3], names[-1]]
    fleet_.at(15_000, fleet_.cut_from_engines, cut, 'hang')


FAULTS = {
    'none': lambda fleet_: None,
    'engines crash': engines_crash,
    'hosts restart': hosts_restart,
    'more hosts cut': more_hosts_cut,
    'messages lost': lambda fleet_: setattr(fleet_, 'lost_share', 0.1),
}


def play(seed, cut_count, how, host_count=9, fault='none'):
    """Play 26 s of load; hosts are cut off from 8 to 20 s."""
    fleet_ = fleet.Fleet(seed, host_count)
    fleet_.run(2_000)
    Load(fleet_).send()
    names = list(fleet_.nodes)[:cut_count]
    fleet_.at(CUT_MS, fleet_.cut_from_engines, names, how)
    fleet_.at(BACK_MS, fleet_.end_cut)
    FAULTS[fault](fleet_)
    fleet_.run(END_MS + 8_000)
    return fleet_


def shares(fleet_, cut_count, from_ms=CUT_MS + 3_000, until_ms=BACK_MS):
    """Return the shares of attempts served at cut hosts, and at others."""
    names = set(list(fleet_.nodes)[:cut_count])
    sent = [a for a in fleet_.attempts if from_ms <= a.sent_ms < until_ms]
    groups = (
        [a for a in sent if a.host_name in names],
        [a for a in sent if a.host_name not in names],
    )
    return tuple(
        sum(a.begun_ms is not None for a in group) / max(1, len(group))
        for group in groups
    )


def check(fleet_, cut_count):
    """Check that cut hosts serve nearly as often as the others."""
    at_cut, at_others = shares(fleet_, cut_count)
    assert at_cut >= MIN_SHARE * at_others
    assert at_others >= 0.9


@pytest.mark.parametrize('how', ['hang', 'refused', 'reset', 'kept'])
@pytest.mark.parametrize('cut_count', [1, 2, 6, 8])
def test_callers_of_hosts_without_targets_are_served(cut_count, how):
    check(play(1, cut_count, how), cut_count)


def test_callers_of_40_of_60_hosts_without_targets_are_served():
    check(play(2, 40, 'hang', host_count=60), 40)


@pytest.mark.parametrize('fault', [f for f in FAULTS if f != 'none'])
def test_callers_of_hosts_without_targets_are_served_beside(fault):
    check(play(3, 3, 'hang', fault=fault), 3)


def test_all_hosts_without_targets_refuse_at_once():
    fleet_ = play(4, 9, 'refused')
    refused = [
        a for a in fleet_.attempts if CUT_MS + 3_000 <= a.sent_ms < BACK_MS
    ]
    assert {a.status for a in refused} == {503}
    assert all(a.retry_after_ms for a in refused)
    assert not any(a.begun_ms for a in refused)


@pytest.mark.parametrize('how', ['hang', 'refused', 'reset', 'kept'])
def test_no_request_is_quarantined_for_connections_lost_in_a_cut(how):
    fleet_ = play(5, 6, how)
    assert not any(
        a.retry_after_ms == 30_000
        for a in fleet_.attempts
        if a.retry_after_ms is not None
    )


def test_host_that_a_late_message_says_to_be_cut_off_is_used_again_at_once():
    fleet_ = fleet.Fleet(1, 9)
    fleet_.run(5_000)
    sender, receiver = fleet_.nodes['h2'], fleet_.nodes['h0']
    said = bodies.FactRecord(
        hand_over.FACT_KIND, 'h1', 'h1', 1, 1, hand_over.TTL_MS, True
    )
    own = sender.host.components.members.table.own
    late = bodies.Exchange(own, facts=(said,))
    fleet_._send_peer(
        sender,
        shared_effects.SendPeer('late', receiver.address, late, 500),
    )
    fleet_.run(2_000)
    believing = [
        node.name
        for node in fleet_.nodes.values()
        if 'h1' in node.host.components.cut_off
    ]
    assert not believing
