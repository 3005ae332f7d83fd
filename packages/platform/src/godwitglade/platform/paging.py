"""Reads of a table that is larger than a page of the store.

Each page is a snapshot of its own. What has changed between the first and
the last page is read from the feed, so that the rows are those of a single
version.
"""

import typing

import attrs

from godwitglade.platform import follower


@attrs.frozen
class Page:
    """Rows with keys in order, and whether there are more after them."""

    rows: follower.Rows
    has_more: bool


class ChangingTableError(ValueError):
    """The pages of a table belong to different states of the store."""


def read(
    read_page: typing.Callable[[str], Page],
    read_changes: typing.Callable[[int], follower.Rows],
) -> follower.Rows:
    """Return all rows of a table as of one version.

    ``read_page`` returns the rows from a key on, and ``read_changes`` those
    that have changed after a version, without waiting.
    """
    pages = [read_page('')]
    while pages[-1].has_more:
        last_key = pages[-1].rows.rows[-1]['key']
        # The least key after the last one.
        pages.append(read_page(last_key + '\0'))
        next_rows = pages[-1].rows.rows
        if next_rows and next_rows[0]['key'] <= last_key:
            raise ChangingTableError('a page starts before the last one ended')
    first, last = pages[0].rows, pages[-1].rows
    rows = [row for page in pages for row in page.rows.rows]
    read_ = attrs.evolve(first, rows=rows)
    if first.version != last.version or first.era != last.era:
        read_ = _merge(read_, read_changes(first.version))
    return read_


def _merge(read_: follower.Rows, changes: follower.Rows) -> follower.Rows:
    if changes.era != read_.era:
        raise ChangingTableError('the store went back between two pages')
    by_key = {row['key']: row for row in [*read_.rows, *changes.rows]}
    rows = [row for row in by_key.values() if not row.get('deleted')]
    return attrs.evolve(changes, rows=rows)
