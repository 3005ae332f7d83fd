"""Limits that targets name in their responses."""

import pytest

from godwitglade.routing import targets
from tests.edge import deployment


@pytest.mark.parametrize(
    ('value', 'expected'),
    [
        (None, None),
        ('1.3', targets.NamedLimit(1_300)),
        (' 4 ', targets.NamedLimit(4_000)),
        ('0', targets.NamedLimit(0)),
        ('999999999999', targets.NamedLimit(1_000_000_000)),
        ('many', targets.NamedLimit(None)),
        ('-1', targets.NamedLimit(None)),
        ('nan', targets.NamedLimit(None)),
        ('1e9', targets.NamedLimit(None)),
        ('\u0661', targets.NamedLimit(None)),
        ('9' * 400, targets.NamedLimit(None)),
        ('', targets.NamedLimit(None)),
    ],
)
def test_named_limit_is_bounded_and_checked(value, expected):
    assert targets.parse_limit(value) == expected


@pytest.mark.parametrize(
    ('limit', 'brittle', 'expected'),
    [
        (None, '3', targets.NamedLimit(3_000, True)),
        ('2', '3', targets.NamedLimit(2_000)),
        (None, '0', targets.NamedLimit(0, True)),
        (None, 'often', targets.NamedLimit(None, True)),
        (None, None, None),
    ],
)
def test_requests_that_a_target_may_turn_away_are_read(
    limit, brittle, expected
):
    assert targets.parse_limit(limit, brittle) == expected


@pytest.mark.parametrize(
    ('value', 'expected_ms'),
    [
        (None, 0),
        ('1.5', 1_500),
        (' 3 ', 3_000),
        ('0', 0),
        ('999999', targets.MAX_PAUSE_MS),
        ('-1', 0),
        ('nan', 0),
        ('Fri, 04 Dec 2026 18:00:00 GMT', 0),
        ('9' * 400, 0),
    ],
)
def test_pause_is_bounded_and_checked(value, expected_ms):
    assert targets.parse_notice(503, None, value).pause_ms == expected_ms
    assert targets.parse_notice(200, None, value).pause_ms == 0


@pytest.mark.parametrize(
    ('path', 'pool', 'behaviour'),
    [
        ('/once/x', 'app', 'ok'),
        ('/once/x', 'app', 'error'),
        ('/stream/x', 'engine', 'stream'),
    ],
)
def test_limit_that_a_target_names_is_logged(path, pool, behaviour):
    edge = deployment.Deployment()
    try:
        edge.set_behaviours(pool, behaviour)
        for target in edge.targets:
            target.named_limit = '1.3'
        edge.send_request(path)
        edge.wait_for(lambda: '"target_limited"' in edge.log.text)
    finally:
        edge.stop()
