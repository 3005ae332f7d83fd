"""Versions of targets that hosts learn from the rows of others."""

import random

import pytest

from godwitglade.coordination import hosts
from godwitglade.coordination import membership
from godwitglade.routing import effects
from godwitglade.routing import messages
from godwitglade.routing import pool_versions
from godwitglade.routing import stream_versions

KEPT_MS = pool_versions.KEPT_MS
STEP_MS = 20_000


def start(now_ms, row=None):
    """Start a host that lists v2 only; return it and its versions."""
    self_id = hosts.HostId('h1', 'z1', 1)
    members = membership.Membership(self_id, '10.0.1.1:1', random.Random(1))
    versions = pool_versions.PoolVersions()
    versions.set_listed('engine', frozenset({'v2'}), now_ms)
    streams = stream_versions.StreamVersions(self_id, members, versions)
    streams.handle(messages.StreamsRead((row,) if row else ()), now_ms)
    return streams, versions


def written(effects_):
    """Return the row that a host writes, None for none."""
    rows = [e for e in effects_ if isinstance(e, effects.WriteStreams)]
    if not rows:
        return None
    (row,) = rows
    return messages.StreamsRow(
        row.versions, row.streams, ages_ms=getattr(row, 'ages_ms', {})
    )


def test_version_that_has_gone_is_forgotten_although_hosts_restart():
    _, versions = start(0)
    first = messages.StreamsRow({'engine': ('v1', 'v2')})
    streams, versions = start(0, first)
    for now_ms in range(STEP_MS, 2 * KEPT_MS, STEP_MS):
        assert versions.is_mixed(['engine'], now_ms - 1) is (
            now_ms - 1 < KEPT_MS
        )
        row = written(streams.maintain(now_ms))
        streams, versions = start(now_ms, row)
    assert not versions.is_mixed(['engine'], now_ms)


@pytest.mark.parametrize(
    'ages_ms',
    [(), (-1, 0), ('1', 0), (None, 0), (10**18, 0), (1.5, 0), (True, 0)],
)
def test_version_whose_age_cannot_be_true_counts_as_listed_now(ages_ms):
    row = messages.StreamsRow(
        {'engine': ('v1', 'v2')}, ages_ms={'engine': ages_ms}
    )
    _, versions = start(0, row)
    assert versions.is_mixed(['engine'], KEPT_MS - 1)
    assert not versions.is_mixed(['engine'], KEPT_MS)


def test_older_news_of_a_version_does_not_shorten_its_time():
    versions = pool_versions.PoolVersions()
    versions.record('engine', 'v1', 1_000)
    versions.record('engine', 'v1', 2_000, 50_000)
    assert versions.known('engine', 1_000 + KEPT_MS - 1)


def test_row_that_differs_in_ages_only_is_not_written_again():
    first = messages.StreamsRow({'engine': ('v1', 'v2')})
    streams, _ = start(0, first)
    assert written(streams.maintain(200)) is not None
    streams.handle(messages.StreamsRowWritten(True), 210)
    assert written(streams.maintain(400)) is None
