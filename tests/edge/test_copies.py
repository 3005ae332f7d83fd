"""What copies of a request have in common, from headers to traits."""

import random

import pytest

from bench.standins import edge_document
from godwitglade.edge import decoding
from godwitglade.edge import headers
from godwitglade.routing import admission
from godwitglade.routing import document_state

FIELDS = {
    'Host': edge_document.HOST,
    'X-Attempt-Id': 'a1',
    'X-Deadline-Ms': '1500',
    'Authorization': 'Bearer key-1',
}


def admitted_traits(path='/read/x?y=1', body=b'{}', read_ms=0, **fields):
    """Return the traits of a request that is admitted."""
    document = edge_document.document(keys=('key-1', 'key-2'))
    document['tenants'].append({'name': 'other', 'apiKeys': ['key-3']})
    state = document_state.DocumentState(None)
    state.apply(decoding.decode_document(document), 0)
    received = FIELDS | {n.replace('_', '-'): v for n, v in fields.items()}
    arrived = headers.decode_request(
        f'r{read_ms}', 'POST', path, received, read_ms, body
    )
    gate = admission.Admission(state, random.Random(1))
    return gate.admit(arrived, read_ms).traits


@pytest.mark.parametrize(
    'changes',
    [
        {'X_Attempt_Id': 'a2'},
        {'X_Deadline_Ms': '200'},
        {'Authorization': 'Bearer key-2'},
        {'Last_Event_Id': '4'},
        {'X_Length_Hint': '90'},
        {'read_ms': 40_000},
    ],
)
def test_copy_that_differs_in_key_id_or_time_is_recognized(changes):
    assert admitted_traits(**changes) == admitted_traits() != ()


def test_copy_on_a_route_without_keys_is_recognized():
    first = admitted_traits('/open/x')
    assert first == admitted_traits('/open/x', Authorization='') != ()


@pytest.mark.parametrize(
    'changes',
    [
        {'path': '/read/x?y=2'},
        {'body': b'{"a": 1}'},
        {'Authorization': 'Bearer key-3'},
    ],
)
def test_request_of_another_path_body_or_workspace_is_no_copy(changes):
    assert admitted_traits(**changes) != admitted_traits()
