"""A table is followed with few calls, and no change is missed."""

import base64

import pytest

from godwitglade.common import codec
from godwitglade.common import errors
from godwitglade.edge import store as edge_store
from godwitglade.platform import follower

ROUND_TRIP_MS = 5
REVOKE_MS = 5_000


class Clock:
    def __init__(self):
        self.now_ms = 1_000_000

    def monotonic_ms(self):
        return self.now_ms


class Store:
    """A store that answers feeds late, loses history, or is away."""

    def __init__(self, clock):
        self.clock = clock
        self.version = 1
        self.calls = []
        self.change_after_ms = None
        self.is_gone = False
        self.is_away = False

    def read(self, table):
        self._count('read')
        self.clock.now_ms += ROUND_TRIP_MS
        return follower.Rows([{'key': 'a'}], self.version)

    def feed(self, table, after, wait_ms):
        self._count('feed')
        if self.is_gone:
            self.clock.now_ms += ROUND_TRIP_MS
            raise follower.HistoryGoneError(table)
        if self.change_after_ms is None:
            self.clock.now_ms += wait_ms + ROUND_TRIP_MS
            return follower.Rows([], self.version)
        self.clock.now_ms += self.change_after_ms + ROUND_TRIP_MS
        self.version += 1
        return follower.Rows([{'key': 'a'}], self.version)

    def _count(self, what):
        self.calls.append(what)
        if self.is_away:
            self.clock.now_ms += ROUND_TRIP_MS
            raise errors.MalformedError('$', 'away')


def follow(pace, for_ms, prepare=lambda store: None):
    """Return the store after a while, and what was taken with its time."""
    clock = Clock()
    store = Store(clock)
    prepare(store)
    taken = []

    def take(found, is_whole, at_ms):
        taken.append((clock.now_ms, at_ms, is_whole, found))

    made = follower.Follower(store, 't', take, clock, lambda *_: None, pace)
    ends_ms = clock.now_ms + for_ms
    while clock.now_ms < ends_ms:
        pause_ms = made.run_once()
        clock.now_ms += pause_ms
    return store, taken


def test_quiet_tables_are_asked_for_less_than_twice_a_second():
    paces = (
        edge_store.DOCUMENT_PACE,
        edge_store.TARGETS_PACE,
        edge_store.HOSTS_PACE,
    )
    calls = [len(follow(pace, 60_000)[0].calls) for pace in paces]
    assert sum(calls) < 120


def test_document_is_never_older_than_keys_may_be():
    _, taken = follow(edge_store.DOCUMENT_PACE, 60_000)
    ages = [later[0] - earlier[1] for earlier, later in zip(taken, taken[1:])]
    # A failed read of a second still fits in.
    assert max(ages) + edge_store.READ_TIMEOUT_MS < REVOKE_MS


@pytest.mark.parametrize(
    'pace',
    [
        edge_store.DOCUMENT_PACE,
        edge_store.TARGETS_PACE,
        edge_store.HOSTS_PACE,
    ],
)
def test_changes_are_taken_a_round_trip_after_they_were_made(pace):
    def prepare(store):
        store.change_after_ms = 400

    _, taken = follow(pace, 5_000, prepare)
    fed = [(at, begun) for at, begun, is_whole, _ in taken if not is_whole]
    assert fed
    assert all(at - begun <= 400 + 2 * ROUND_TRIP_MS for at, begun in fed)


def test_history_that_stays_gone_is_not_asked_for_without_pause():
    def prepare(store):
        store.is_gone = True

    store, _ = follow(edge_store.TARGETS_PACE, 3_000, prepare)
    assert len(store.calls) < 3 * 2 * 5


def test_store_that_is_away_is_asked_again_soon_but_not_at_once():
    def prepare(store):
        store.is_away = True

    store, taken = follow(edge_store.TARGETS_PACE, 3_000, prepare)
    assert not taken and 10 <= len(store.calls) <= 15


@pytest.mark.parametrize(
    ('rows', 'posts', 'expected'),
    [
        ([], 1, {'h1': 'z1'}),
        ([('h2', 'z2')], 2, {'h1': 'z1', 'h2': 'z2'}),
        ([('h1', None)], 2, {}),
        ([('h1', 'z3')], 2, {'h1': 'z3'}),
    ],
)
def test_changes_of_hosts_join_what_is_known(rows, posts, expected):
    posted = []
    reader = edge_store.Reader(posted.append, lambda *_: None)
    first = follower.Rows([host_row('h1', 'z1')], 1)
    reader.take_hosts(first, True, 0)
    reader.take_hosts(
        follower.Rows([host_row(*row) for row in rows], 2), False, 0
    )
    found = {entry.name: entry.zone for entry in posted[-1].entries}
    assert len(posted) == posts
    assert found == expected


def host_row(name, zone):
    """Return a host's row; without a zone it was removed."""
    if zone is None:
        return {'key': name, 'deleted': True}
    value = {'zone': zone, 'address': '10.0.0.1:1'}
    raw = base64.b64encode(codec.to_json(value)).decode()
    return {'key': name, 'value': raw}
