"""Resumed streams at hosts that are out of step during a release."""

import itertools

import pytest

from godwitglade.routing import effects
from godwitglade.routing import messages
from tests.routing import out_of_step
from tests.routing import test_stream_versions

RELEASE_MS = 5_000
#: When a host falls out of step, relative to the first new target.
STARTS_MS = (-1_500, -300, 200)
SPANS_MS = (2_500, 6_000)
MOMENTS = tuple(itertools.product(STARTS_MS[:2], SPANS_MS))


def cut_peers(fleet, names):
    """Cut hosts off from the others."""
    fleet.cut_names = frozenset(names)
    return lambda: setattr(fleet, 'cut_names', frozenset())


def cut_store(fleet, names):
    """Cut hosts off from the store."""
    fleet.cut_store(names)
    return lambda: fleet.end_cut_store(names)


def cut_both(fleet, names):
    """Cut hosts off from the store and from the others."""
    ends = [cut_store(fleet, names), cut_peers(fleet, names)]
    return lambda: [end() for end in ends]


def stand_still(fleet, names):
    """Stop hosts for a while."""
    fleet.stand_still(names)
    return lambda: fleet.wake(names)


def stand_still_then_cut(fleet, names):
    """Stop hosts; they are cut off when they wake."""
    fleet.stand_still(names)

    def wake():
        end = cut_both(fleet, names)
        fleet.at(fleet.now_ms + 2_500, end)
        fleet.wake(names)

    return wake


def restart(fleet, names):
    """Restart hosts."""
    fleet.restart(names)
    return lambda: None


KINDS = [
    cut_peers,
    cut_store,
    cut_both,
    stand_still,
    stand_still_then_cut,
    restart,
]


def zone(host_count):
    """Return the names of the hosts of a data centre."""
    return tuple(f'h{n}' for n in range(0, host_count, 3))


def return_targets(fleet):
    """Let targets start again under their names with the other version."""
    for number in range(6):
        fleet.at(
            10_000 + 600 * number,
            test_stream_versions.swap_version,
            fleet,
            number,
        )


def play(
    seed, kind, start_ms, span_ms, host_count=9, odd=('h0',), is_release=True
):
    """Play a release during which some hosts are out of step."""
    fleet = out_of_step.Fleet(seed, host_count)
    fleet.odd = odd
    fleet.run(2_000)
    fleet.break_channels(100)
    load = test_stream_versions.Load(fleet, 50)
    load.send()
    if is_release:
        test_stream_versions.release(fleet)

    def begin():
        fleet.at(fleet.now_ms + span_ms, kind(fleet, odd))

    fleet.at(RELEASE_MS + start_ms, begin)
    fleet.run(18_000)
    return load


@pytest.mark.parametrize('kind', KINDS)
def test_hosts_out_of_step_do_not_join_two_versions(kind):
    plays = [
        play(1, kind, start_ms, span_ms, odd=zone(9))
        for start_ms, span_ms in MOMENTS
    ]
    assert not sum(load.joined() for load in plays)


@pytest.mark.parametrize(
    ('kind', 'start_ms', 'host_count', 'odd'),
    [
        (cut_both, -300, 9, ('h0',)),
        (cut_both, -300, 24, zone(24)),
        (cut_both, -300, 66, zone(66)),
        (cut_peers, 200, 66, ('h0',)),
    ],
)
def test_hosts_that_were_cut_off_do_not_join_two_versions(
    kind, start_ms, host_count, odd
):
    assert not play(1, kind, start_ms, 6_000, host_count, odd).joined()


@pytest.mark.parametrize('kind', [cut_peers, cut_store, restart])
def test_streams_go_on_beside_one_version_with_hosts_out_of_step(kind):
    load = play(1, kind, -300, 6_000, odd=zone(9), is_release=False)
    new, resumed = load.shares(RELEASE_MS - 300)
    assert len(load.resumed) >= test_stream_versions.MIN_RESUMED
    assert resumed >= test_stream_versions.MIN_SHARE * new


def test_stream_of_a_target_that_was_replaced_does_not_go_on_elsewhere():
    fleet = out_of_step.Fleet(1, 1)
    fleet.run(2_000)
    fleet.send(('own',), '/b/x')
    fleet.run(350)
    (began,) = (engine for engine in fleet.engines if engine.calls)
    ((key, (node, *_)),) = began.calls.items()
    # The host learns late that another process had begun the stream.
    began.version, began.started_ms = 'v2', 1
    listed = messages.TargetsChanged((began.listed,), (), 20, out_of_step.ERA)
    node.host.handle(listed, fleet.now_ms)
    broken = messages.StreamBroken(*key, True, 'lost')
    ending = node.host.handle(broken, fleet.now_ms)
    assert effects.AbortResponse(key[0]) in ending
    assert not [e for e in ending if isinstance(e, effects.Forward)]


def play_returns(seed, kind, host_count=9, odd=('h0',)):
    """Let targets return with another version beside hosts out of step."""
    fleet = out_of_step.Fleet(seed, host_count)
    fleet.odd = odd
    fleet.run(2_000)
    fleet.break_channels(100)
    load = test_stream_versions.Load(fleet, 50)
    load.send()
    test_stream_versions.release(fleet)
    return_targets(fleet)
    fleet.at(9_800, lambda: fleet.at(15_800, kind(fleet, odd)))
    fleet.run(20_000)
    return load


@pytest.mark.parametrize('host_count', [9, 24])
def test_host_that_stood_still_reads_the_list_before_it_resumes(host_count):
    load = play_returns(1, stand_still, host_count)
    assert load.joined() <= test_stream_versions.MAX_JOINED
    new, resumed = load.shares(9_800)
    assert resumed >= test_stream_versions.MIN_SHARE * new


def test_host_without_the_store_does_not_join_versions_of_returned_targets():
    load = play_returns(3, cut_store)
    assert load.joined() <= test_stream_versions.MAX_JOINED
