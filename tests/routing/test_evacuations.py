"""Targets of evacuated zones get nothing new, whichever way work comes."""

import random

import attrs
import pytest

from godwitglade.common import events
from godwitglade.coordination import bodies as shared_bodies
from godwitglade.coordination import effects as shared_effects
from godwitglade.coordination import hosts
from godwitglade.coordination import messages as shared_messages
from godwitglade.peers import codec
from godwitglade.routing import bodies
from godwitglade.routing import effects
from godwitglade.routing import evacuations
from godwitglade.routing import host as routing_host
from godwitglade.routing import messages
from godwitglade.routing import reachability
from godwitglade.routing import targets
from tests.routing import one_host
from tests.routing import table_world
from tests.routing import test_knowledge_ages


def retry(host):
    host.arrive()
    (first,) = host.sent_to
    zone = {'t1': 'z2', 't2': 'z1'}[first]
    host.evacuate(zone)
    host.handle(messages.CallNotRun('r1', 1, 503), 20)


def stage_items(host):
    host.evacuate('z3')
    host.arrive('/s/1', item_counts=(9,))
    host.arrive('/s/2', request_id='r2', item_counts=(9,))
    host.evacuate('z1', 'z3')


def stage_result(host):
    host.arrive('/s/1', item_counts=(1,))
    (call,) = host.found(effects.RunBatch)
    host.evacuate('z1')
    ended = messages.BatchEnded(call.call_id, (messages.ItemResult('h'),))
    host.handle(ended, 50)
    assert host.sent_to == ['t2']
    host.evacuate('z1', 'z2')
    host.arrive()


def wait_for_a_permit(host):
    for name in ('t1', 't2'):
        target = host.components.directory.find(name)
        limit = targets.NamedLimit(10_000)
        host.components.rate_limits.record_limit(target, limit, 10)
    host.arrive()
    assert not host.sent_to


def permit(host):
    wait_for_a_permit(host)
    host.evacuate('z1', 'z2')


def resumed_stream(host):
    host.evacuate('z1', 'z2')
    host.arrive('/b/1', last_event_id='4', resumes='a-1')


LEFT = [
    lambda host: (host.evacuate('z1', 'z2'), host.arrive()),
    retry,
    stage_items,
    stage_result,
    permit,
    resumed_stream,
]


@pytest.mark.parametrize('play', LEFT)
def test_request_without_another_target_is_refused_at_once(play):
    host = one_host.OneHost()
    play(host)
    assert host.is_refused and not host.sent_to


def test_permit_granted_earlier_is_not_used_at_an_evacuated_target():
    host = one_host.OneHost()
    wait_for_a_permit(host)
    timer = host.found(shared_effects.StartTimer)[-1]
    (request,) = host.components.requests._requests.values()
    (granted,) = request.permit_candidates
    host.components.directory.evacuated = {granted.listed.zone}
    host.handle(shared_messages.TimerFired(timer.token), timer.due_ms)
    assert host.sent_to == [{'t1': 't2', 't2': 't1'}[granted.name]]


@pytest.mark.parametrize('evacuate_ms', [None, 5_000])
def test_zones_that_overlap_end_one_by_one_and_are_used_again(evacuate_ms):
    settings = routing_host.Settings(evacuate_ms=evacuate_ms)
    host, used, logged = one_host.OneHost(settings), [], []
    orders = [('z1',), ('z1', 'z2', 'nowhere'), ('z2',), ()]
    for number, zones in enumerate(orders):
        host.evacuate(*zones)
        logged += host.found(shared_effects.LogEvent)
        (gauge,) = host.found(effects.SetGauge)
        assert gauge.value == len(zones)
        sent = set()
        for turn in range(12):
            host.arrive(request_id=f'r{number}-{turn}')
            sent.update(host.sent_to)
        used.append(sent)
    assert used == [{'t2'}, set(), {'t1'}, {'t1', 't2'}]
    ended = [e for e in logged if e.event is events.Event.EVACUATION_ENDED]
    assert [e.fields['zone'] for e in ended] == ['nowhere', 'z1', 'z2']


def test_reload_makes_a_host_tell_and_require_zones():
    host = one_host.OneHost(routing_host.Settings())
    host.evacuate()
    known = host.components.evacuations
    assert not known.is_required and not known.attached()
    host.handle(messages.SettingsReloaded(one_host.SETTINGS), 20)
    assert known.is_required and known.attached()


def test_older_set_of_zones_does_not_replace_a_newer_one():
    known = evacuations.Evacuations()
    orders = [(3, 0, 'a'), (2, 0, 'b'), (1, 1, 'c'), (9, 0, 'd')]
    for version, era, zone in orders:
        read = messages.EvacuationsRead(frozenset([zone]), version, era, 5)
        known.record(read, 10)
    assert known.zones == {'c'}


@pytest.mark.parametrize(
    ('zones', 'count'), [(['z1'], 2), (['z1', 'z2', 'z3'], 4)]
)
def test_evacuated_targets_are_probed_only_if_no_other_is_left(zones, count):
    host, probed = one_host.OneHost(), set()
    probes = reachability.Reachability(
        host.components.directory, random.Random(2)
    )
    effects_ = probes.record_unreachable(1_000)
    host.evacuate(*zones)
    probed = {
        probe.name
        for probe in probes.handle(
            messages.TargetProbed(effects_[0].name, False), 1_100
        )
    }
    open_names = {e.name for e in one_host.LISTED if e.zone not in zones}
    assert probed == (open_names or {e.name for e in one_host.LISTED})
    assert len(probed) == count


TOLD = {'evacuated': ['z2'], 'evacuated_version': 12}
BAD = [
    {'evacuated': 'z1'},
    {'evacuated': [4]},
    {'evacuated': ['z1'] * 99},
    {'evacuated': ['z1'], 'evacuated_version': -1},
    {'evacuated': ['z1'], 'evacuated_era': 2**60},
    TOLD | {'evacuated_era': 1},
    TOLD | {'evacuated_version': 9},
]


@pytest.mark.parametrize(
    ('fields', 'known'), [(TOLD, {'z2'}), *((bad, {'z1'}) for bad in BAD)]
)
def test_host_without_the_store_learns_zones_from_exchanges(fields, known):
    host = one_host.OneHost()
    host.evacuate('z1')
    kinds = codec.Codec(routing_host.kinds())
    own = host.components.members.table.own
    sender = attrs.evolve(own, host=hosts.HostId('h2', 'z2', 1))
    exchange = shared_bodies.Exchange(sender, **fields)
    raw = kinds.encode(codec.Envelope(exchange, sender.host))
    for _ in range(2):
        body = kinds.decode(raw).body
        host.handle(shared_messages.PeerMessage(sender.host, body, 'reply'))
    assert host.components.directory.evacuated == known
    reply = host.found(shared_effects.ReplyPeer)[0].body
    assert set(reply.evacuated) == known


class World(table_world.World):
    """A store whose one document stays, beside rows that evacuate zones."""

    def __init__(self, zones, seed=1):
        self.sets = [(0, 0, frozenset())]
        super().__init__(zones, seed)

    def start(self, node):
        super().start(node)
        node.life._evacuations.is_required = True

    def change_document(self):
        """Evacuate other zones; check later which hosts know of them."""
        zones = frozenset(self.rng.sample(['z0', 'z1', 'z2'], 2))
        self.sets.append((self.era, self.version + 1, zones))
        self.change(table_world.DOCUMENT, 'evacuate')

    def rows(self, table, after):
        return attrs.evolve(super().rows(table, after), document_version=1)

    def check(self, change, document_version):
        if change.name != 'evacuate':
            super().check(change, document_version)
            return
        for node in self.nodes.values():
            if change.era == self.era and self.is_in_touch(node):
                self.checks += 1
                read = node.life._evacuations._read
                if read < (change.era, change.version):
                    self.late.append((node.host.name, change))

    def apply(self, node, table, rows, *args):
        if table == table_world.DOCUMENT:
            shown = [s for s in self.sets if s[:2] <= (rows.era, rows.version)]
            read = (shown[-1][2], rows.version, rows.era, args[-1])
            message = messages.EvacuationsRead(*read)
            node.life._evacuations.record(message, self.now_ms)
            node.life._evacuations.confirm(args[-1])
        super().apply(node, table, rows, *args)

    def deliver_inside(self, node, effect):
        if isinstance(effect.message, messages.EvacuationsRead):
            node.life._evacuations.record(effect.message, self.now_ms)
        else:
            node.life.record_targets(effect.message, self.now_ms)

    HANDLERS = table_world.World.HANDLERS | {
        shared_effects.Deliver: deliver_inside
    }


@pytest.mark.parametrize('trouble', test_knowledge_ages.TROUBLES)
def test_hosts_in_touch_know_evacuations_in_time(trouble, monkeypatch):
    monkeypatch.setattr(table_world, 'World', World)
    world = test_knowledge_ages.play(
        test_knowledge_ages.FLEETS['66 in 5 zones'],
        trouble,
        test_knowledge_ages.readers,
        seed=1,
    )
    assert world.checks and not world.late


def test_order_given_right_before_an_outage_is_known_after_it():
    world = World([f'z{n % 3}' for n in range(9)])
    for due_ms, step in (
        (9_999, world.change_document),
        (10_000, world.stop_store),
        (14_000, world.start_store),
        (18_000, lambda: world.check(world.history[-1], 1)),
    ):
        world.at(due_ms, step)
    world.run(19_000)
    assert world.checks == 9 and not world.late


@pytest.mark.parametrize(
    ('zones', 'era', 'is_good'),
    [(['z1'], 2, True), (['z1'], 1, False), ([7], 2, False), (None, 0, False)],
)
def test_reply_without_zones_of_its_era_is_not_relied_on(zones, era, is_good):
    sharing = World(['z0']).nodes['h0'].sharing
    reply = bodies.TablesKnown(2, evacuated=zones, evacuated_era=era)
    assert sharing._tells_evacuations(reply) is is_good


def test_document_confirmed_by_peers_does_not_confirm_evacuations():
    world = World(['z0'] * 9)
    sharing = world.nodes['h0'].sharing
    world.run(9_000)
    known_ms = sharing._evacuations.known_ms
    sharing._document_state.confirm(known_ms + 5_000)
    sharing.targets_known_ms = known_ms + 5_000
    assert sharing._reading_due_ms() < known_ms + world.bound_ms


def test_stream_of_an_evacuated_version_is_not_gone_for_good():
    host = one_host.OneHost()
    host.evacuate('z1')
    directory = host.components.directory
    assert directory.has_version('app', 'v1')
    assert not directory.usable('app', 10, 'v1')


@pytest.mark.parametrize(('is_told', 'count'), [(True, 10), (False, 66)])
def test_host_whose_reader_tells_no_zones_reads_the_store(
    is_told, count, monkeypatch
):
    if not is_told:
        monkeypatch.setattr(evacuations.Evacuations, 'told', lambda _: {})
    world = World([f'z{n % 5}' for n in range(66)])
    world.run(10_000)
    assert len(world.readers()) == count
