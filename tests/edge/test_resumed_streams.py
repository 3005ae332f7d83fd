"""Streams that callers take up beside engines of two software versions."""

import contextlib
import http.client
import time

import pytest

from bench.standins import edge_document
from bench.standins import edge_platform
from godwitglade.common import codec
from tests.edge import deployment

WRITE_S = 0.1
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


def kept_streams(store):
    """Return the number of streams in the row of the host."""
    row = store.copy()[0].get(('streams', 'h1'), {})
    if 'value' not in row:
        return 0
    return len(codec.parse_json(edge_platform.decode(row['value']))['streams'])


def test_first_event_reaches_the_caller_after_the_store_holds_its_version(
    edge,
):
    edge.set_behaviours('engine', 'stream_slow')
    edge.wait_for(lambda: ('streams', 'h1') in edge.store.copy()[0])
    answer = edge.store.answer

    def answer_slowly(request):
        if request.method == 'POST':
            time.sleep(WRITE_S)
        return answer(request)

    edge.store.answer = answer_slowly
    connection = http.client.HTTPConnection(edge.address, timeout=5)
    with contextlib.closing(connection):
        fields = {
            'Host': edge_document.HOST,
            'X-Attempt-Id': 'a1',
            'X-Deadline-Ms': '1500',
            'Authorization': 'Bearer key-1',
        }
        connection.request('POST', '/resume/x', b'{}', fields)
        response = connection.getresponse()
        assert (response.status, kept_streams(edge.store)) == (200, 1)


def test_first_event_does_not_wait_for_a_store_that_is_away(edge):
    edge.wait_for(lambda: ('streams', 'h1') in edge.store.copy()[0])
    edge.store.is_down = True
    for number in range(3):
        response = edge.send_request('/resume/x', X_Attempt_Id=f'b{number}')
        assert response.status == 200


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


@pytest.fixture
def replaced(edge):
    """Let the target that began a stream return with the other version.

    Its entry in the store still names the former process.
    """
    edge.send_request('/resume/x')
    (began,) = [t for t in edge.targets if t.pool == 'engine' and t.runs]
    began.crash()
    began.restart()
    began.requests.clear()
    yield began


def test_stream_does_not_go_on_at_a_target_that_has_another_version_now(
    edge, replaced
):
    responses = [edge.send_request('/resume/x', **RESUMED) for _ in range(4)]
    assert {response.status for response in responses} == {503}
    assert not replaced.runs


def test_stream_of_a_new_process_goes_on_at_its_version(edge, replaced):
    directory = edge.process.loop.host.components.directory
    (other,) = (
        t for t in edge.targets if t.pool == 'engine' and t is not replaced
    )
    version = directory.find(other.name).listed.version
    edge.store.delete('servers', other.name)
    edge.wait_for(lambda: directory.find(other.name) is None)
    assert edge.send_request('/resume/x', X_Attempt_Id='b1').status == 200
    edge.store.put('servers', other.name, other.entry(version=version))
    edge.store.put('servers', replaced.name, replaced.entry(version='v3'))
    edge.wait_for(lambda: 'v3' in directory.versions('engine'))
    edge.wait_for(lambda: directory.find(other.name) is not None)
    fields = RESUMED | {'Resumes': 'b1', 'X_Deadline_Ms': '4000'}
    for _ in range(4):
        assert edge.send_request('/resume/x', **fields).status == 200
    assert not [r for r in other.runs if r.headers.get('Resumes') == 'b1']
    assert len(replaced.runs) == 5
