"""Streams of events, split at their boundaries and continued elsewhere."""

import pytest

from godwitglade.targets import event_reader


def event(event_id, data=b'x'):
    return b'id: %s\ndata: %s\n\n' % (event_id, data)


FIRST = event(b'7')
LONG = b'9' * 5_000


@pytest.mark.parametrize(
    ('before', 'after'),
    [
        (FIRST, event(b'7')),
        (FIRST, event(b'3') + event(b'8')),
        (event(LONG), event(LONG)),
        (event(LONG), event(b'8')),
        (event(b'a-7'), event(b'a-7')),
    ],
)
@pytest.mark.parametrize('size', [1, 3, 10_000])
def test_event_that_comes_once_more_is_not_relayed(before, after, size):
    reader = event_reader.EventReader()
    assert reader.feed(before) == before
    reader.restart()
    with pytest.raises(event_reader.EventRepeatedError):
        for start in range(0, len(after), size):
            assert not reader.feed(after[start : start + size])


@pytest.mark.parametrize(
    ('before', 'after'),
    [
        (FIRST, event(b'8') + event(b'9')),
        (FIRST, event(LONG)),
        (FIRST + b'id: 8\ndata: cut', event(b'8')),
        (event(b'a-7'), event(b'a-8')),
        (event(b'007'), event(b'8')),
    ],
)
@pytest.mark.parametrize('size', [1, 3, 10_000])
def test_later_events_are_relayed_once(before, after, size):
    reader = event_reader.EventReader()
    reader.feed(before)
    reader.restart()
    chunks = [
        reader.feed(after[start : start + size])
        for start in range(0, len(after), size)
    ]
    assert b''.join(chunks) == after
    assert reader.is_at_event_boundary


@pytest.mark.parametrize(
    ('events', 'expected'),
    [
        (b'', True),
        (b': comment\n\n', True),
        (b'retry: 100\n\n' + FIRST, True),
        (FIRST + b': comment\n\n', True),
        (b'data: x\n\n' + FIRST, True),
        (b'data: x\n\n', False),
        (FIRST + b'data: x\n\n', False),
        (FIRST + b'data: x\n\n: comment\n\n', False),
    ],
)
@pytest.mark.parametrize('size', [1, 10_000])
def test_stream_goes_on_only_if_its_last_event_has_an_id(
    events, expected, size
):
    reader = event_reader.EventReader()
    for start in range(0, len(events), size):
        reader.feed(events[start : start + size])
    assert reader.can_go_on is expected
