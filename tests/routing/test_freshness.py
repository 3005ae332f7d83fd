"""A host that the store turns away learns from others that it is current."""

import random

import pytest

from godwitglade.coordination import effects as shared_effects
from godwitglade.coordination import hosts
from godwitglade.coordination import members
from godwitglade.coordination import messages as shared_messages
from godwitglade.routing import documents
from godwitglade.routing import host
from godwitglade.routing import messages

REVOKE_MS = 5_000
STEP_MS = 100
#: Clocks of hosts have nothing in common.
CLOCK_OF = {'h1': 0, 'h2': 7_000_000, 'h3': 90_000}


def document(version):
    return documents.Document(version, (), {}, documents.Limits(), None)


class Fleet:
    """Three hosts; h1 is turned away by the store after the start."""

    def __init__(self, delay_ms=0, cut=()):
        self.now_ms = 1_000
        self.delay_ms = delay_ms
        self.cut = frozenset(cut)
        self.version = 1
        self.timers = []
        self.under_way = []
        self.hosts = {
            name: host.Host(
                host.make_parts(
                    hosts.HostId(name, 'z1', 1),
                    name,
                    random.Random(1),
                    host.Settings(revoke_ms=REVOKE_MS),
                )
            )
            for name in CLOCK_OF
        }
        entries = tuple(members.HostEntry(n, 'z1', n) for n in CLOCK_OF)
        for name, one in self.hosts.items():
            self.carry_out(name, one.start(self.clock(name)))
            self.tell(name, messages.HostsRead(entries))
            self.read(name)

    def clock(self, name):
        return self.now_ms + CLOCK_OF[name]

    def read(self, name):
        found = messages.DocumentRead(document(self.version), self.clock(name))
        self.tell(name, found)

    def tell(self, name, message):
        one = self.hosts[name]
        self.carry_out(name, one.handle(message, self.clock(name)))

    def carry_out(self, name, found):
        for effect in found:
            if isinstance(effect, shared_effects.StartTimer):
                self.timers.append((effect.due_ms, name, effect.token))
            elif isinstance(effect, shared_effects.SendPeer):
                self.send(name, effect)

    def send(self, name, effect):
        if {name, effect.address} & self.cut:
            return
        peer = self.hosts[effect.address]
        sender = hosts.HostId(name, 'z1', 1)
        asked = shared_messages.PeerMessage(sender, effect.body, 'reply')
        answers = peer.handle(asked, self.clock(effect.address))
        for answer in answers:
            if isinstance(answer, shared_effects.ReplyPeer):
                reply = shared_messages.PeerReply(effect.token, answer.body)
                due_ms = self.now_ms + self.delay_ms
                self.under_way.append((due_ms, name, reply))

    def run(self, for_ms):
        """Run; h2 and h3 read the store all the while."""
        ends_ms = self.now_ms + for_ms
        while self.now_ms < ends_ms:
            self.now_ms += STEP_MS
            if self.now_ms % 1_000 == 0:
                self.read('h2')
                self.read('h3')
            due = [t for t in self.timers if t[0] <= self.clock(t[1])]
            self.timers = [t for t in self.timers if t not in due]
            for _, name, token in due:
                self.tell(name, shared_messages.TimerFired(token))
            came = [u for u in self.under_way if u[0] <= self.now_ms]
            self.under_way = [u for u in self.under_way if u not in came]
            for _, name, reply in came:
                self.tell(name, reply)

    def may_accept_keys(self):
        known = self.hosts['h1'].parts.knowledge
        return known.may_accept_keys(self.clock('h1'))


@pytest.mark.parametrize(
    ('conditions', 'may_accept'),
    [
        ({}, True),
        ({'delay_ms': 300}, True),
        # What a late reply says held when it was asked for.
        ({'delay_ms': 6_000}, False),
        ({'cut': ['h1']}, False),
    ],
)
def test_host_turned_away_serves_keys_while_others_vouch(
    conditions, may_accept
):
    fleet = Fleet(**conditions)
    fleet.run(20_000)
    assert fleet.may_accept_keys() is may_accept


def test_nobody_vouches_for_an_older_document():
    fleet = Fleet()
    fleet.run(3_000)
    fleet.version = 2
    fleet.run(REVOKE_MS)
    assert not fleet.may_accept_keys()
    assert fleet.hosts['h1'].parts.knowledge.document.version == 1


def test_hosts_that_all_lost_the_store_do_not_vouch_for_each_other():
    fleet = Fleet()
    fleet.run(3_000)
    fleet.read = lambda name: None
    fleet.run(REVOKE_MS)
    assert not fleet.may_accept_keys()
