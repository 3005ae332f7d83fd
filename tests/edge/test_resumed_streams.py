"""Streams that callers take up beside engines of two software versions."""

import http.client

import pytest

from tests.edge import deployment

RESUMED = {'X_Attempt_Id': 'a2', 'Resumes': 'a1', 'Last_Event_Id': '1'}


@pytest.fixture
def uniform_edge():
    edge = deployment.Deployment()
    edge.set_behaviours('engine', 'stream')
    versions = edge.process.loop.host.components.versions
    edge.wait_for(lambda: versions.is_complete)
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


@pytest.mark.parametrize('first', ['stream_comment_cut', 'stream_again'])
def test_caller_that_takes_a_stream_up_gets_later_events_only(
    uniform_edge, first
):
    uniform_edge.set_behaviours('engine', first, 'stream')
    fields = RESUMED | {'Last_Event_Id': '2'}
    response = uniform_edge.send_request('/resume/x', **fields)
    ids = [
        line.removeprefix(b'id: ')
        for line in response.content.splitlines()
        if line.startswith(b'id: ')
    ]
    assert ids == [b'3', b'4', b'5', b'6']


def test_stream_does_not_go_on_after_an_event_without_an_id(uniform_edge):
    uniform_edge.set_behaviours('engine', 'stream_without_ids_cut', 'stream')
    with pytest.raises(http.client.IncompleteRead):
        uniform_edge.send_request('/resume/x')
    assert len(uniform_edge.runs('engine')) == 1
