"""Numbers in headers and events that int() refuses or that are too large."""

import pytest

from godwitglade.edge import headers
from godwitglade.routing import targets
from godwitglade.targets import event_reader

LONG = '9' * 5_000


@pytest.mark.parametrize('number', ['\u00b2', LONG, '-1', ''])
def test_load_with_an_odd_number_is_used_without_it(number):
    load = targets.parse_load(f'{number},1,1')
    assert load == targets.Load(None, 1, 1)
    assert 0 < len(load.malformed) < 50


@pytest.mark.parametrize(
    ('value', 'load', 'is_malformed'),
    [
        ('3,1,4', targets.Load(3, 1, 4), False),
        (' 3 , 1 , 4 ,250 ', targets.Load(3, 1, 4, 250), False),
        ('3', targets.Load(3, None, None), True),
        ('3,1', targets.Load(3, 1, None), True),
        ('3,1,4,250,9,9,9', targets.Load(3, 1, 4, 250), True),
        ('3,1,4,250' + ',9' * 9_999, targets.Load(3, 1, 4, 250), True),
        ('3,1,4,0', targets.Load(3, 1, 4), True),
        ('3,1,4,999999999', targets.Load(3, 1, 4), True),
        ('3,1,4,-70', targets.Load(3, 1, 4), True),
        ('3,1,4,1.5', targets.Load(3, 1, 4), True),
        ('', targets.Load(None, None, None), True),
    ],
)
def test_readable_figures_of_a_load_are_used(value, load, is_malformed):
    """Guards against dropping a whole header for one odd figure."""
    assert targets.parse_load(value) == load
    assert bool(targets.parse_load(value).malformed) is is_malformed


def test_target_that_reports_no_load_has_none():
    assert targets.parse_load(None) is None


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
