"""Following a table: few calls, prompt changes, bounded staleness."""

import base64
import threading

import attrs
import pytest

from godwitglade.common import codec
from godwitglade.edge import decoding
from godwitglade.edge import store as edge_store
from godwitglade.platform import follower
from godwitglade.platform import paces
from godwitglade.platform import row_reader
from godwitglade.routing import messages

ROUND_TRIP_MS = 5
REVOKE_MS = 5_000


class Clock:
    def __init__(self):
        self.now_ms = 1_000_000

    def monotonic_ms(self):
        return self.now_ms


class Store:
    """A store with scripted feed delays, lost history and outages."""

    def __init__(self, clock):
        self.clock = clock
        self.version = 1
        self.calls = []
        self.change_after_ms = None
        self.is_history_gone = False
        self.is_unreachable = False
        self.era = 0

    def read(self, table):
        self._record_call('read')
        self.clock.now_ms += ROUND_TRIP_MS
        return follower.Rows([{'key': 'a'}], self.version)

    def feed(self, table, after, wait_ms):
        self._record_call('feed')
        if self.is_history_gone:
            self.clock.now_ms += ROUND_TRIP_MS
            raise follower.HistoryGoneError(table)
        if self.change_after_ms is None:
            self.clock.now_ms += wait_ms + ROUND_TRIP_MS
            return follower.Rows([], self.version, era=self.era)
        self.clock.now_ms += self.change_after_ms + ROUND_TRIP_MS
        self.version += 1
        return follower.Rows([{'key': 'a'}], self.version)

    def _record_call(self, name):
        self.calls.append(name)
        if self.is_unreachable:
            self.clock.now_ms += ROUND_TRIP_MS
            raise follower.UnavailableError('t', 'away')


def follow(pace, for_ms, prepare=lambda store: None):
    """Follow a store for ``for_ms``; return it and the applied reads."""
    clock = Clock()
    store = Store(clock)
    prepare(store)
    applied = []

    def apply(result, is_full_read, at_ms):
        applied.append((clock.now_ms, at_ms, is_full_read, result))

    made = follower.Follower(store, 't', apply, clock, lambda *_: None, pace)
    end_ms = clock.now_ms + for_ms
    while clock.now_ms < end_ms:
        pause_ms = made.run_once()
        clock.now_ms += pause_ms
    return store, applied


def test_unchanged_tables_are_queried_less_than_twice_a_second():
    followed = (paces.DOCUMENT, paces.TARGETS, paces.HOSTS)
    calls = [len(follow(pace, 60_000)[0].calls) for pace in followed]
    assert sum(calls) < 120


def test_document_is_refreshed_within_the_revocation_period():
    _, applied = follow(paces.DOCUMENT, 60_000)
    ages = [
        later[0] - earlier[1] for earlier, later in zip(applied, applied[1:])
    ]
    # Leaves time for one read that times out.
    assert max(ages) + edge_store.READ_TIMEOUT_MS < REVOKE_MS


@pytest.mark.parametrize(
    'pace',
    [
        paces.DOCUMENT,
        paces.TARGETS,
        paces.HOSTS,
    ],
)
def test_changes_are_applied_within_two_round_trips(pace):
    def prepare(store):
        store.change_after_ms = 400

    _, applied = follow(pace, 5_000, prepare)
    feeds = [
        (at_ms, started_ms)
        for at_ms, started_ms, is_full_read, _ in applied
        if not is_full_read
    ]
    assert feeds
    assert all(
        at_ms - started_ms <= 400 + 2 * ROUND_TRIP_MS
        for at_ms, started_ms in feeds
    )


@pytest.mark.parametrize('pace', [paces.HOSTS, paces.QUARANTINE])
def test_tables_that_are_not_urgent_cost_few_retries(pace):
    def prepare(store):
        store.is_unreachable = True

    store, _ = follow(pace, 10_000, prepare)
    assert 3 <= len(store.calls) <= 7


def test_one_follower_tries_a_lost_store_and_wakes_the_others():
    clock = Clock()
    stores = [Store(clock) for _ in range(3)]
    prober, *others = (
        follower.Follower(
            store, 't', lambda *_: None, clock, lambda *_: None, paces.TARGETS
        )
        for store in stores
    )
    follower.share_probes(prober, others)
    for store in stores:
        store.is_unreachable = True
    for each in (prober, *others) * 5:
        clock.now_ms += each.run_once()
    assert [len(store.calls) for store in stores] == [5, 1, 1]
    woken = []
    for other in others:
        other.wake = lambda: woken.append(True)
    for store in stores:
        store.is_unreachable = False
    prober.run_once()
    assert len(woken) == 2
    assert [other.run_once() for other in others] == [0, 0]


def test_follower_does_not_wait_for_a_prober_that_follows_nothing():
    clock = Clock()
    store, own = Store(clock), Store(clock)
    prober, other = (
        follower.Follower(
            each, 't', lambda *_: None, clock, lambda *_: None, paces.TARGETS
        )
        for each in (store, own)
    )
    follower.share_probes(prober, [other])
    store.is_unreachable = own.is_unreachable = True
    prober.run_once()
    prober.set_following(False)
    other.run_once()
    other.run_once()
    assert len(own.calls) == 2


def test_reads_pause_while_the_history_stays_unavailable():
    def prepare(store):
        store.is_history_gone = True

    store, _ = follow(paces.TARGETS, 3_000, prepare)
    assert len(store.calls) < 3 * 2 * 5


def test_unreachable_store_is_retried_after_a_pause():
    def prepare(store):
        store.is_unreachable = True

    store, applied = follow(paces.TARGETS, 3_000, prepare)
    assert not applied and 10 <= len(store.calls) <= 15


@pytest.mark.parametrize(
    ('rows', 'posts', 'expected'),
    [
        ([], 1, {'h1': 'z1'}),
        ([('h2', 'z2')], 2, {'h1': 'z1', 'h2': 'z2'}),
        ([('h1', None)], 2, {}),
        ([('h1', 'z3')], 2, {'h1': 'z3'}),
    ],
)
def test_host_changes_are_merged_into_the_known_hosts(rows, posts, expected):
    posted = []
    reader = make_reader(posted)
    first = follower.Rows([host_row('h1', 'z1')], 1)
    reader.apply_hosts(first, True, 0)
    reader.apply_hosts(
        follower.Rows([host_row(*row) for row in rows], 2), False, 0
    )
    zones = {entry.name: entry.zone for entry in posted[-1].entries}
    assert len(posted) == posts
    assert zones == expected


@pytest.mark.parametrize(
    ('fields', 'capacities'),
    [
        ({}, [0.0]),
        ({'jobs_per_s': 146.5}, [146.5]),
        ({'jobs_per_s': 'many'}, []),
    ],
    ids=['of an older release', 'known', 'malformed'],
)
def test_capacity_of_a_host_is_read_if_it_is_known(fields, capacities):
    posted = []
    reader = make_reader(posted)
    reader.apply_hosts(
        follower.Rows([host_row('h1', 'z1', **fields)], 1), True, 0
    )
    assert [e.jobs_per_s for e in posted[-1].entries] == capacities


def test_feed_of_a_new_era_is_replaced_by_a_full_read():
    def prepare(store):
        store.change_after_ms = 100
        feed = store.feed
        eras = iter([1, 1, 2])

        def feed_in_era(table, after, wait_ms):
            rows = feed(table, after, wait_ms)
            store.era = next(eras, 2)
            return attrs.evolve(rows, era=store.era)

        read = store.read
        store.era = 1
        store.feed = feed_in_era
        store.read = lambda table: attrs.evolve(read(table), era=store.era)

    _, applied = follow(follower.Pace(2_000, 60_000), 600, prepare)
    assert [
        (result.era, is_full_read) for _, _, is_full_read, result in applied
    ][:5] == [(1, True), (1, False), (1, False), (2, True), (2, False)]


def test_rows_that_cannot_be_applied_do_not_end_the_follower():
    clock = Clock()
    results = iter([KeyError('key'), None])
    applied = []

    def apply(result, is_full_read, at_ms):
        error = next(results, None)
        if error is not None:
            raise error
        applied.append(is_full_read)

    made = follower.Follower(
        Store(clock), 't', apply, clock, lambda *_: None, follower.Pace(1, 1)
    )
    assert made.run_once() == follower.RETRY_MS
    made.run_once()
    assert applied == [True]


def test_first_read_without_history_does_not_end_the_follower():
    clock = Clock()
    store = Store(clock)

    def read(table):
        raise follower.HistoryGoneError(table)

    store.read = read
    made = follower.Follower(
        store, 't', print, clock, lambda *_: None, follower.Pace(1, 1)
    )
    assert made.run_once() == follower.RETRY_MS


def make_reader(posted):
    return row_reader.RowReader(
        posted.append, lambda *_: None, 'h1', threading.Event(), decoding
    )


@pytest.mark.parametrize('value', ['e30=', '{', 4, None])
def test_row_evacuates_a_zone_whatever_its_value(value):
    posted = []
    made = make_reader(posted)
    rows = [{'key': 'evacuate/z1', 'value': value}, {'key': 'evacuate'}]
    made.apply_document(follower.Rows(rows, 4, era=1), True, 10)
    removed = [{'key': 'evacuate/z1', 'deleted': True}]
    made.apply_document(follower.Rows(removed, 5, era=1), False, 20)
    assert posted == [
        messages.EvacuationsRead(frozenset(['z1']), 4, 1, 10),
        messages.EvacuationsRead(frozenset(), 5, 1, 20),
    ]


def host_row(name, zone, **fields):
    """Return a host's row; one without a zone is a removal."""
    if zone is None:
        return {'key': name, 'deleted': True}
    value = {'zone': zone, 'address': '10.0.0.1:1', **fields}
    raw = base64.b64encode(codec.to_json(value)).decode()
    return {'key': name, 'value': raw}


def make_follower(clock, store, applied):
    def apply(rows, is_full_read, read_ms):
        applied.append(is_full_read)

    pace = follower.Pace(wait_ms=2_000, full_read_ms=60_000)
    return follower.Follower(store, 't', apply, clock, lambda *_: None, pace)


def test_follower_that_leaves_reading_to_others_makes_no_call():
    clock, applied = Clock(), []
    made = make_follower(clock, Store(clock), applied)
    made.run_once()
    made.set_following(False)
    assert made.run_once() == follower.IDLE_MS
    assert applied == [True]


def test_follower_reads_once_on_request_while_others_read():
    clock, applied = Clock(), []
    made = make_follower(clock, Store(clock), applied)
    made.run_once()
    made.set_following(False)
    made.request_full_read()
    made.run_once()
    assert made.run_once() == follower.IDLE_MS
    assert applied == [True, True]


@pytest.mark.parametrize('is_following', [True, False])
def test_new_era_is_told_to_the_followers_of_other_tables(is_following):
    clock, applied, noticed = Clock(), [], []
    store, other_store = Store(clock), Store(clock)
    made = make_follower(clock, store, applied)
    other = make_follower(clock, other_store, noticed)
    follower.share_eras([made, other])
    era = 1
    for each in (store, other_store):
        read, feed = each.read, each.feed
        each.read = lambda t, read=read: attrs.evolve(read(t), era=era)
        each.feed = lambda *a, feed=feed: attrs.evolve(feed(*a), era=era)
    for each in (made, other):
        each.run_once()
        each.run_once()
    other.set_following(is_following)
    era = 2
    made.run_once()
    made.run_once()
    other.run_once()
    assert applied == [True, False, True]
    assert noticed == [True, False] + [True] * is_following


def test_follower_starts_again_with_a_full_read():
    clock, applied = Clock(), []
    made = make_follower(clock, Store(clock), applied)
    made.run_once()
    made.run_once()
    made.set_following(False)
    made.run_once()
    made.set_following(True)
    made.run_once()
    assert applied == [True, False, True]


@pytest.mark.parametrize('method', ['feed', 'read'])
def test_read_requested_during_a_call_follows_it(method):
    clock, applied = Clock(), []
    store = Store(clock)
    made = make_follower(clock, store, applied)
    if method == 'feed':
        made.run_once()
    call = getattr(store, method)

    def call_and_request(*args):
        setattr(store, method, call)
        made.request_full_read()
        return call(*args)

    setattr(store, method, call_and_request)
    assert made.run_once() == 0
    made.run_once()
    assert applied[-2:] == [method == 'read', True]
    made.run_once()
    assert applied[-1] is False


def test_read_on_request_is_repeated_until_it_succeeds():
    clock, applied = Clock(), []
    store = Store(clock)
    made = make_follower(clock, store, applied)
    made.run_once()
    made.set_following(False)
    made.request_full_read()
    read, store.read = store.read, raise_unavailable
    assert made.run_once() == follower.RETRY_MS
    store.read = read
    made.run_once()
    assert applied == [True, True]


def raise_unavailable(table):
    raise edge_store.StoreError(table, 'is not available')


@pytest.mark.parametrize(
    ('fault', 'reads'),
    [
        ({}, [(False, 0)]),
        ({'is_unreachable': True}, []),
        ({'is_history_gone': True}, []),
        ({'era': 1}, []),
    ],
)
def test_read_beside_the_feed_tells_when_it_started(fault, reads):
    clock = Clock()
    store = Store(clock)
    applied = []

    def apply(rows, is_full_read, read_ms):
        applied.append((is_full_read, read_ms - clock.now_ms + ROUND_TRIP_MS))

    pace = follower.Pace(wait_ms=2_000, full_read_ms=10_000)
    made = follower.Follower(store, 't', apply, clock, lambda *_: None, pace)
    made.run_once()
    applied.clear()
    for name, value in fault.items():
        setattr(store, name, value)
    made.confirm()
    assert applied == reads


def test_read_beside_the_feed_starts_from_a_version_that_is_applied():
    clock = Clock()
    store = Store(clock)
    applied = []

    def apply(rows, is_full_read, read_ms):
        if is_full_read:
            thread.start()
            thread.join(0.1)
        applied.append(is_full_read)

    pace = follower.Pace(wait_ms=2_000, full_read_ms=10_000)
    made = follower.Follower(store, 't', apply, clock, lambda *_: None, pace)
    thread = threading.Thread(target=made.confirm)
    made.run_once()
    thread.join()
    assert applied == [True, False]


@pytest.mark.parametrize('change_after_ms', [None, 3, 180, 440, 690])
@pytest.mark.parametrize('pace', [paces.READER_DOCUMENT, paces.READER_TARGETS])
def test_reader_confirms_its_tables_often(pace, change_after_ms):
    def prepare(store):
        feed = store.feed

        def wait(table, after, wait_ms):
            is_changed = change_after_ms and change_after_ms <= wait_ms
            store.change_after_ms = change_after_ms if is_changed else None
            return feed(table, after, wait_ms)

        store.feed = wait

    store, applied = follow(pace, 10_000, prepare)
    ages = [
        later[0] - earlier[1] for earlier, later in zip(applied, applied[1:])
    ]
    assert max(ages) <= paces.CONFIRM_MS + 4 * ROUND_TRIP_MS
    if change_after_ms is None:
        assert len(store.calls) <= 20


def test_table_is_read_some_time_after_following_resumes():
    clock = Clock()
    store = Store(clock)
    made = follower.Follower(
        store, 't', print, clock, lambda *_: None, paces.HOSTS
    )
    made.run_once()
    made.set_following(False)
    made.set_following(True)
    pause_ms = made.run_once()
    assert (pause_ms, store.calls) == (paces.HOSTS.resume_ms, ['read'])
    clock.now_ms += pause_ms
    made.run_once()
    assert store.calls == ['read', 'read']


@pytest.mark.parametrize(
    ('has_rows', 'wait_ms', 'taken_ms', 'confirmed_ms'),
    [
        (False, 700, 705, 1_700),
        (False, 700, 5_000, 1_700),
        # The store did not wait as long as it was asked to.
        (False, 700, 699, 1_000),
        (True, 700, 705, 1_000),
        (False, 0, 4, 1_000),
    ],
)
def test_feed_confirms_its_table_up_to_the_end_of_its_wait(
    has_rows, wait_ms, taken_ms, confirmed_ms
):
    assert confirmed_ms == follower.feed_confirms_ms(
        has_rows, wait_ms, 1_000, 1_000 + taken_ms
    )
