"""Tables of several pages are read as of one version."""

import itertools
import random

import pytest

from godwitglade.platform import follower
from godwitglade.platform import paging

PAGE_ROWS = 5


class Store:
    """A table that changes after each page that is read."""

    def __init__(self, rng, keys, changes_per_page):
        self.rng = rng
        self.version, self.era = len(keys), 1
        self.rows = {
            key: {'key': key, 'value': n} for n, key in enumerate(keys)
        }
        self.log = []
        self.states = {}
        self.changes_per_page = changes_per_page
        self.feeds = 0

    def state(self):
        return sorted(self.rows.values(), key=lambda row: row['key'])

    def change(self):
        key = f'k{self.rng.randrange(40):02}'
        self.version += 1
        if key in self.rows and self.rng.random() < 0.5:
            del self.rows[key]
            self.log.append((self.version, {'key': key, 'deleted': True}))
        else:
            self.rows[key] = {'key': key, 'value': self.version}
            self.log.append((self.version, self.rows[key]))

    def read_page(self, start):
        rows = [row for row in self.state() if row['key'] >= start]
        page = paging.Page(
            follower.Rows(rows[:PAGE_ROWS], self.version, era=self.era),
            len(rows) > PAGE_ROWS,
        )
        for _ in range(self.changes_per_page):
            self.change()
        return page

    def read_changes(self, after):
        self.feeds += 1
        rows = [row for version, row in self.log if version > after]
        return follower.Rows(rows, self.version, era=self.era)


@pytest.mark.parametrize(
    ('seed', 'changes_per_page'),
    list(itertools.product(range(10), (0, 1, 4))),
)
def test_table_that_changes_between_pages_is_read_as_of_one_version(
    seed, changes_per_page
):
    rng = random.Random(seed)
    keys = [f'k{n:02}' for n in sorted(rng.sample(range(40), 25))]
    store = Store(rng, keys, changes_per_page)
    read = paging.read(store.read_page, store.read_changes)
    assert sorted(read.rows, key=lambda row: row['key']) == store.state()
    assert read.version == store.version
    assert store.feeds == bool(changes_per_page)


def page(keys, era=1, has_more=True):
    rows = [{'key': key} for key in keys]
    return paging.Page(follower.Rows(rows, era, era=era), has_more)


@pytest.mark.parametrize(
    'pages',
    [
        [page(['a']), page(['a'])],
        [page(['b']), page(['a'])],
        [page(['a']), page(['b'], era=2, has_more=False)],
    ],
    ids=['repeated page', 'earlier page', 'store went back'],
)
def test_pages_that_do_not_belong_together_are_an_error(pages):
    left = iter(pages)
    with pytest.raises(paging.ChangingTableError):
        paging.read(
            lambda start: next(left), lambda after: follower.Rows([], 2, era=2)
        )
