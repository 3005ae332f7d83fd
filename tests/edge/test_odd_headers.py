"""Numbers in headers and events that int() refuses or that are too large."""

import pytest

from godwitglade.edge import headers
from godwitglade.routing import targets
from godwitglade.targets import event_reader

LONG = '9' * 5_000


@pytest.mark.parametrize('number', ['\u00b2', LONG, '-1', ''])
def test_load_with_an_odd_number_is_ignored(number):
    assert targets.parse_load(f'{number},1,1') is None


@pytest.mark.parametrize('number', ['\u00b2', LONG])
def test_prompt_with_an_odd_number_is_ignored(number):
    fields = {headers.PROMPT: f'a:{number}'}
    arrived = headers.decode_request('r1', 'GET', '/', fields, 0, b'')
    assert arrived.prompt == ()


@pytest.mark.parametrize(
    'name', [headers.DEADLINE, headers.ITEM_COUNTS, headers.TOKENS]
)
@pytest.mark.parametrize('number', ['\u00b2', LONG])
def test_odd_number_of_a_caller_is_malformed(name, number):
    with pytest.raises(headers.BadHeaderError):
        headers.decode_request('r1', 'GET', '/', {name: number}, 0, b'')


def test_long_id_of_an_event_does_not_end_the_stream():
    reader = event_reader.EventReader('1')
    reader.restart()
    event = f'id: {LONG}\ndata: x\n\n'.encode()
    assert reader.feed(event) == event
