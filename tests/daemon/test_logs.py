"""The form of log lines, which operators' tools read."""

import io
import json

from godwitglade.common import events
from godwitglade.daemon import logs


def write(level, event, **fields):
    """Return the lines that one event gives at a level."""
    stream = io.StringIO()
    logs.log_event(logs.make_logger(stream, level, 'h1', 'z1'), event, fields)
    return stream.getvalue()


def test_line_has_its_fields_in_order():
    line = write('info', events.Event.STARTED, request='r1', odd={1, 2}.pop)
    assert line.endswith('}\n')
    plain = json.loads(line)
    assert list(plain) == [
        'host',
        'zone',
        'number',
        'request',
        'odd',
        'event',
        'level',
        'timestamp',
    ]
    assert '"event": "started", "level": "info"' in line
    assert plain['timestamp'].endswith('Z')
    assert plain['number'] == events.number_of(events.Event.STARTED)


def test_events_below_the_level_are_not_written():
    assert write('error', events.Event.STARTED) == ''
