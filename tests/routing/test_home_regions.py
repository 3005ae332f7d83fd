"""Requests with home regions reach targets and hosts there only."""

import random
import types

import attrs
import pytest

from godwitglade.common import events
from godwitglade.coordination import effects as shared_effects
from godwitglade.coordination import hosts
from godwitglade.coordination import members
from godwitglade.coordination import messages as shared_messages
from godwitglade.peers import codec
from godwitglade.routing import bodies
from godwitglade.routing import documents
from godwitglade.routing import hand_over
from godwitglade.routing import home_regions
from godwitglade.routing import host as routing_host
from godwitglade.routing import messages
from tests.routing import builders
from tests.routing import one_host

ZONES = {'z1': 'eu', 'z2': 'us'}
SETTINGS = routing_host.Settings(regions=ZONES)
LISTED = (
    *one_host.LISTED,
    builders.listed('t3', 'app', 'z3', version='v3'),
    builders.listed('e2', 'encode', 'z2'),
)


def make_host(regions=(), listed=LISTED, settings=SETTINGS, **fields):
    routes = [
        attrs.evolve(route, regions=regions) for route in one_host.ROUTES
    ]
    return one_host.OneHost(settings, routes, listed, **fields)


def send_many(host, path='/a/x', **fields):
    """Return the targets of some requests, and whether all were refused."""
    sent, refused = set(), []
    for number in range(12):
        host.arrive(path, request_id=f'r{number}', **fields)
        sent.update(host.sent_to)
        refused.append(host.is_refused)
    return sent, all(refused)


@pytest.mark.parametrize(
    ('of_route', 'of_workspace', 'used'),
    [
        ((), (), {'t1', 't2', 't3'}),
        (('eu',), (), {'t1'}),
        ((), ('us', 'mars'), {'t2'}),
        (('eu', 'us'), ('us',), {'t2'}),
        (('eu',), ('us',), set()),
        (('mars',), (), set()),
        (('z3',), (), set()),
    ],
)
def test_requests_reach_targets_of_regions_in_both_lists(
    of_route, of_workspace, used
):
    workspace = documents.Workspace('w', ('k',), None, of_workspace)
    host = make_host(of_route, workspaces=(workspace,))
    sent, is_refused = send_many(host, key='k')
    assert (sent, is_refused) == (used, not used)


@pytest.mark.parametrize(
    ('path', 'fields'),
    [
        ('/s/x', {'item_counts': (2,)}),
        ('/b/x', {'last_event_id': '4', 'resumes': 'a-1'}),
    ],
)
def test_work_that_home_targets_cannot_do_is_refused_at_once(path, fields):
    listed = [e for e in LISTED if e.zone != 'z2']
    sent, is_refused = send_many(make_host(('us',), listed), path, **fields)
    assert is_refused and not sent


@pytest.mark.parametrize('slowness', [1.0, 9.0])
def test_stage_items_wait_for_home_targets_though_others_are_free(slowness):
    """Also a slow target gets them, if only others are faster."""
    host = make_host(('eu',))
    host.arrive('/s/1', item_counts=(10,))
    assert host.sent_to == ['e1']
    states = host.components.work._batchers['encode']._states
    state = states.of(host.components.directory.find('e1'))
    host.arrive('/s/2', request_id='r2', item_counts=(10,))
    assert not host.sent_to and not host.is_refused
    state.slowness, state.sampled_ms = slowness, 20
    ended = messages.BatchEnded(
        'encode|2', (messages.ItemResult('h', ''),) * 10
    )
    host.handle(ended, 20)
    assert sorted(host.sent_to) == ['e1', 't1']


def test_owner_keeps_items_of_other_hosts_in_their_regions():
    host = make_host()
    job = builders.job_request('j1', 2, regions=('us',))
    sender = hosts.HostId('h2', 'z2', 1)
    kinds = codec.Codec(routing_host.kinds())
    body = bodies.WorkRequest('h2:1', (job,))
    body = kinds.decode(kinds.encode(codec.Envelope(body, sender))).body
    host.handle(shared_messages.PeerMessage(sender, body, 'reply'))
    assert host.sent_to == ['e2']


def test_reload_refuses_items_that_have_no_home_target_any_more():
    host = make_host(('eu',))
    host.arrive('/s/1', item_counts=(10,))
    host.arrive('/s/2', request_id='r2', item_counts=(10,))
    moved = attrs.evolve(SETTINGS, regions=ZONES | {'z1': 'us'})
    host.handle(messages.SettingsReloaded(moved), 20)
    ended = host.found(shared_effects.LogEvent)
    answers = {e.fields.get('request') for e in ended} - {None}
    assert answers == {'a-r1', 'a-r2'}
    assert send_many(host) == (set(), True)


@pytest.mark.parametrize(
    ('regions', 'takers'),
    [(None, {'h1', 'h2', 'h3'}), ({'us'}, {'h2'}), ({'mars'}, {None})],
)
def test_bodies_are_handed_to_hosts_of_home_regions_only(regions, takers):
    entries = [
        members.HostEntry(f'h{n}', f'z{n}', '', hand_over_address=f'h{n}:1')
        for n in (1, 2, 3)
    ]
    running = types.SimpleNamespace(
        serving=lambda: [
            types.SimpleNamespace(host=hosts.HostId(e.name, e.zone, 1))
            for e in entries
        ]
    )
    chooser = hand_over.HandOver(
        'h0',
        running,
        hand_over.CutOffHosts('h0'),
        random.Random(1),
        home_regions.HomeRegions(ZONES),
    )
    chooser.set_registered(entries)
    chosen = [chooser.choose((), 10, regions) for _ in range(30)]
    assert {c and c.name.removeprefix('host:') for c in chosen} == takers


@pytest.mark.parametrize(('regions', 'zones'), [(('eu',), ['z3']), ((), [])])
def test_zone_without_a_region_is_logged_once(regions, zones):
    host, logged = make_host(regions, listed=()), []
    for version in (2, 3):
        host.handle(messages.TargetsChanged(LISTED, (), version))
        logged += host.found(shared_effects.LogEvent)
    event = events.Event.ZONE_WITHOUT_REGION
    assert [e.fields['zone'] for e in logged if e.event is event] == zones
