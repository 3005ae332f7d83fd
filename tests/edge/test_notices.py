"""What targets say of themselves in their responses."""

import pytest

from tests.edge import deployment


@pytest.fixture
def edge():
    edge = deployment.Deployment()
    yield edge
    edge.stop()


def runs(edge, name):
    return len(edge.target(name).runs)


@pytest.mark.parametrize(
    ('path', 'pool', 'behaviour'),
    [
        ('/read/x', 'app', 'ok'),
        ('/read/x', 'app', 'error'),
        ('/once/x', 'app', 'not_run'),
        ('/stream/x', 'engine', 'stream'),
    ],
)
def test_target_that_says_it_leaves_gets_no_more_requests(
    edge, path, pool, behaviour
):
    edge.set_behaviours(pool, 'stream' if pool == 'engine' else 'ok')
    leaving = edge.target(f'{pool}-1')
    leaving.behaviours = [behaviour]
    leaving.extra_headers = {'Server-Leaving': '1'}
    while not leaving.runs:
        edge.send_request(path)
    before = len(leaving.runs)
    for _ in range(20):
        assert edge.send_request(path).status == 200
    assert len(leaving.runs) == before


def test_target_that_asks_for_a_pause_gets_no_requests_meanwhile(edge):
    paused = edge.target('app-1')
    paused.behaviours = ['not_run']
    paused.extra_headers = {'Retry-After': '1.5'}
    while not paused.runs:
        edge.send_request('/read/x')
    before = len(paused.runs)
    for _ in range(20):
        assert edge.send_request('/read/x').status == 200
    assert len(paused.runs) == before
    paused.behaviours = ['ok']
    edge.wait_for(
        lambda: edge.send_request('/read/x') and len(paused.runs) > before
    )


def test_caller_is_told_when_the_pause_of_all_targets_ends(edge):
    edge.set_behaviours('app', 'not_run')
    for name in ('app-1', 'app-2'):
        edge.target(name).extra_headers = {'Retry-After': '1.2'}
    while not (edge.target('app-1').runs and edge.target('app-2').runs):
        edge.send_request('/read/x')
    before = len(edge.runs('app'))
    response = edge.send_request('/once/x')
    assert response.status == 503
    assert 0.3 < float(response.headers['Retry-After']) <= 1.2
    assert len(edge.runs('app')) == before
