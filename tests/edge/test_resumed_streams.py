"""Streams that callers take up beside engines of two software versions."""

import pytest

from tests.edge import deployment

RESUMED = {'X_Attempt_Id': 'a2', 'Resumes': 'a1', 'Last_Event_Id': '1'}


@pytest.fixture
def uniform_edge():
    edge = deployment.Deployment()
    edge.set_behaviours('engine', 'stream')
    yield edge
    edge.stop()


@pytest.fixture
def edge(uniform_edge):
    edge = uniform_edge
    newer = edge.target('engine-2')
    edge.store.put('servers', newer.name, newer.entry(version='v2'))
    directory = edge.process.loop.host.components.directory
    edge.wait_for(lambda: len(directory.versions('engine')) == 2)
    return edge


def test_stream_goes_on_at_the_version_that_began_it(edge):
    edge.send_request('/resume/x')
    (began,) = {t.name for t in edge.targets if t.pool == 'engine' and t.runs}
    for _ in range(8):
        assert edge.send_request('/resume/x', **RESUMED).status == 200
    (served,) = {t.name for t in edge.targets if t.pool == 'engine' and t.runs}
    assert served == began


def test_stream_of_unknown_version_is_refused_at_once(edge):
    response = edge.send_request('/resume/x', **RESUMED)
    assert response.status == 503
    assert response.headers.get('Retry-After') is None
    assert not edge.runs('engine')


def test_streams_of_two_versions_are_kept_in_the_store(edge):
    edge.wait_for(lambda: ('streams', 'h1') in edge.store.copy()[0])


def test_unknown_stream_goes_on_beside_one_version(uniform_edge):
    response = uniform_edge.send_request('/resume/x', **RESUMED)
    assert response.status == 200


def test_unknown_stream_waits_for_a_list_that_the_store_confirms(uniform_edge):
    uniform_edge.store.is_down = True
    response = uniform_edge.send_request('/resume/x', **RESUMED)
    assert response.status == 503
    assert response.headers.get('Retry-After') is not None
    assert not uniform_edge.runs('engine')
