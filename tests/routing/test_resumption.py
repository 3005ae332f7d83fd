"""Decisions on streams that callers take up."""

import attrs
import pytest

from godwitglade.routing import pool_versions
from godwitglade.routing import resumption
from godwitglade.routing import stream_versions
from godwitglade.routing import targets
from tests.routing import builders

NOW_MS = 100_000
V2 = frozenset({'v2'})
Begun = stream_versions.Begun
Evidence = resumption.Evidence
Refusal = resumption.Refusal

#: Versions of the listed targets of two pools.
UNIFORM = {'a': ('v1', 'v1'), 'b': ('v1',)}
MIXED = {'a': ('v1', 'v2'), 'b': ('v1',)}
UNNAMED = {'a': ('', ''), 'b': ('',)}
PARTLY_NAMED = {'a': ('', 'v1'), 'b': ('v1',)}


def decide(listed, evidence, past=(), is_complete=True, confirmed_ms=NOW_MS):
    directory = targets.Directory()
    entries = [
        builders.listed(f'{pool}{number}', pool, version=version)
        for pool, names in listed.items()
        for number, version in enumerate(names)
    ]
    directory.replace(entries, 1, NOW_MS)
    versions = pool_versions.PoolVersions()
    for pool in listed:
        versions.set_listed(pool, directory.versions(pool), NOW_MS)
    for version, at_ms in past:
        versions.record('a', version, at_ms)
    versions.is_complete = is_complete
    versions.confirmed_ms = confirmed_ms
    evidence = attrs.evolve(evidence, asked_ms=NOW_MS)
    return resumption.decide(evidence, ['a', 'b'], versions, directory, NOW_MS)


@pytest.mark.parametrize(
    ('listed', 'evidence', 'expected'),
    [
        (MIXED, Evidence(Begun('a', 'v1')), Begun('a', 'v1')),
        (MIXED, Evidence(Begun('a', 'v2')), Begun('a', 'v2')),
        (MIXED, Evidence(Begun('b', 'v1')), Begun('b', 'v1')),
        (MIXED, Evidence(Begun('b', 'v2')), Refusal.GONE),
        (MIXED, Evidence(Begun('c', 'v1')), Refusal.GONE),
        (MIXED, Evidence(Begun('a', 'v0')), Refusal.GONE),
        (MIXED, Evidence(Begun('a', '')), Refusal.UNKNOWN),
        (MIXED, Evidence(None), Refusal.UNKNOWN),
        (MIXED, Evidence(None, 3, 3), Refusal.UNKNOWN),
        (MIXED, Evidence(None, 3, 2), Refusal.UNCONFIRMED),
        (UNIFORM, Evidence(None), Begun('a', 'v1')),
        (UNIFORM, Evidence(Begun('b', '')), Begun('b', 'v1')),
        (UNIFORM, Evidence(Begun('a', 'v2')), Refusal.GONE),
        (UNNAMED, Evidence(None), Begun('a', '')),
        (PARTLY_NAMED, Evidence(Begun('a', '')), Refusal.UNKNOWN),
        (PARTLY_NAMED, Evidence(Begun('a', 'v1')), Begun('a', 'v1')),
    ],
)
def test_stream_goes_on_only_at_the_version_that_began_it(
    listed, evidence, expected
):
    assert decide(listed, evidence) == expected


@pytest.mark.parametrize(
    ('fields', 'evidence', 'expected'),
    [
        ({}, Evidence(None), Begun('a', 'v1')),
        ({'past': [('v2', NOW_MS - 50_000)]}, Evidence(None), Refusal.UNKNOWN),
        ({'past': [('v2', 1_000)]}, Evidence(None), Begun('a', 'v1')),
        ({'is_complete': False}, Evidence(None, 3, 3), Refusal.UNCONFIRMED),
        ({'confirmed_ms': None}, Evidence(None), Refusal.OUTDATED),
        ({'confirmed_ms': 99_000}, Evidence(None), Refusal.OUTDATED),
        ({'confirmed_ms': 99_000}, Evidence(None, 3, 0), Refusal.OUTDATED),
        ({'confirmed_ms': 99_000}, Evidence(None, 3, 2), Refusal.OUTDATED),
        ({'confirmed_ms': 99_000}, Evidence(None, 3, 3), Begun('a', 'v1')),
        ({}, Evidence(None, 3, 0), Begun('a', 'v1')),
        ({}, Evidence(None, 3, 3, V2), Refusal.UNKNOWN),
        ({}, Evidence(None, 3, 2, V2), Refusal.UNCONFIRMED),
    ],
)
def test_unknown_stream_goes_on_only_beside_a_single_version(
    fields, evidence, expected
):
    assert decide(UNIFORM, evidence, **fields) == expected


def test_versions_of_a_pool_are_bounded():
    versions = pool_versions.PoolVersions()
    for number in range(5_000):
        versions.record('a', f'v{number}', NOW_MS)
        versions.record(f'p{number}', 'v1', NOW_MS)
    assert len(versions.known('a', NOW_MS)) == pool_versions.MAX_VERSIONS
    assert not versions.known('p4999', NOW_MS)
