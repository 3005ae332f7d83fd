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
