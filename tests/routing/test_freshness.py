"""Confirmation of a host's document by peers while it cannot read the store.

Without it, the host would reject requests with keys although its document
is still the newest; with a wrong one, it would accept withdrawn keys.
"""

import random

import pytest

from godwitglade.coordination import bodies
from godwitglade.coordination import effects as shared_effects
from godwitglade.coordination import hosts
from godwitglade.coordination import members
from godwitglade.coordination import messages as shared_messages
from godwitglade.routing import document_state
from godwitglade.routing import documents
from godwitglade.routing import freshness
from godwitglade.routing import host
from godwitglade.routing import messages

REVOKE_MS = 5_000
STEP_MS = 100
#: Offsets of the hosts' clocks, which are unrelated.
CLOCK_OF = {'h1': 0, 'h2': 7_000_000, 'h3': 90_000}


def document(version):
    return documents.Document(version, (), {}, documents.Limits(), None)


class Fleet:
    """Three hosts; h1 cannot read the store after the start."""

    def __init__(self, delay_ms=0, disconnected=()):
        self.now_ms = 1_000
        self.delay_ms = delay_ms
        self.disconnected = frozenset(disconnected)
        self.version = 1
        self.timers = []
        self.in_transit = []
        self.hosts = {
            name: host.Host(
                host.make_components(
                    hosts.HostId(name, 'z1', 1),
                    name,
                    random.Random(1),
                    host.Settings(revoke_ms=REVOKE_MS),
                )
            )
            for name in CLOCK_OF
        }
        entries = tuple(members.HostEntry(n, 'z1', n) for n in CLOCK_OF)
        for name, host_ in self.hosts.items():
            self.apply(name, host_.start(self.clock(name)))
            self.deliver(name, messages.HostsRead(entries))
            self.read(name)

    def clock(self, name):
        return self.now_ms + CLOCK_OF[name]

    def read(self, name):
        message = messages.DocumentRead(
            document(self.version), self.clock(name)
        )
        self.deliver(name, message)

    def deliver(self, name, message):
        host_ = self.hosts[name]
        self.apply(name, host_.handle(message, self.clock(name)))

    def apply(self, name, effects_):
        for effect in effects_:
            if isinstance(effect, shared_effects.StartTimer):
                self.timers.append((effect.due_ms, name, effect.token))
            elif isinstance(effect, shared_effects.SendPeer):
                self.send(name, effect)

    def send(self, name, effect):
        if {name, effect.address} & self.disconnected:
            return
        peer = self.hosts[effect.address]
        sender = hosts.HostId(name, 'z1', 1)
        request = shared_messages.PeerMessage(sender, effect.body, 'reply')
        effects_ = peer.handle(request, self.clock(effect.address))
        for produced in effects_:
            if isinstance(produced, shared_effects.ReplyPeer):
                reply = shared_messages.PeerReply(effect.token, produced.body)
                due_ms = self.now_ms + self.delay_ms
                self.in_transit.append((due_ms, name, reply))

    def run(self, for_ms):
        """Advance the time; h2 and h3 read the store every second."""
        ends_ms = self.now_ms + for_ms
        while self.now_ms < ends_ms:
            self.now_ms += STEP_MS
            if self.now_ms % 1_000 == 0:
                self.read('h2')
                self.read('h3')
            due = [t for t in self.timers if t[0] <= self.clock(t[1])]
            self.timers = [t for t in self.timers if t not in due]
            for _, name, token in due:
                self.deliver(name, shared_messages.TimerFired(token))
            arrived = [u for u in self.in_transit if u[0] <= self.now_ms]
            self.in_transit = [u for u in self.in_transit if u not in arrived]
            for _, name, reply in arrived:
                self.deliver(name, reply)

    def may_accept_keys(self):
        state = self.hosts['h1'].components.document_state
        return state.may_accept_keys(self.clock('h1'))


@pytest.mark.parametrize(
    ('conditions', 'may_accept'),
    [
        ({}, True),
        ({'delay_ms': 300}, True),
        # A reply confirms the document for the time of the request only.
        ({'delay_ms': 6_000}, False),
        ({'disconnected': ['h1']}, False),
    ],
)
def test_host_without_store_accepts_keys_while_peers_confirm_the_document(
    conditions, may_accept
):
    fleet = Fleet(**conditions)
    fleet.run(20_000)
    assert fleet.may_accept_keys() is may_accept


def test_peers_do_not_confirm_an_older_document():
    fleet = Fleet()
    fleet.run(3_000)
    fleet.version = 2
    fleet.run(REVOKE_MS)
    assert not fleet.may_accept_keys()
    assert fleet.hosts['h1'].components.document_state.document.version == 1


def test_hosts_without_store_do_not_confirm_for_each_other():
    fleet = Fleet()
    fleet.run(3_000)
    fleet.read = lambda name: None
    fleet.run(REVOKE_MS)
    assert not fleet.may_accept_keys()


@pytest.mark.parametrize(
    ('age_ms', 'answers_ms', 'confirmed_ms'),
    [
        (400, 9_000, 8_600),
        (-400, 9_000, 1_000),
        (2**62, 9_000, 1_000),
        (0, 10_001, 1_000),
        (None, 9_000, 1_000),
        (400, None, 1_000),
    ],
)
def test_peer_cannot_confirm_the_document_for_a_time_to_come(
    age_ms, answers_ms, confirmed_ms
):
    state = document_state.DocumentState(5_000)
    state.apply(document(1), 1_000)
    exchange = bodies.Exchange(
        'h2',
        sequence=state.document.version,
        document_age_ms=age_ms,
        answers_ms=answers_ms,
    )
    freshness.Freshness(state).receive(exchange, 10_000)
    assert state.confirmed_ms == confirmed_ms
