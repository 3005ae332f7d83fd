"""Tests of explain: the timeline of a request from hosts' logs."""

import io

import pytest

from godwitglade.command import core
from godwitglade.command import environment
from godwitglade.common import codec
from tests.command import log_texts

START = 1_700_000_000


LOG = [
    log_texts.format_line(1, 'h1', 'routes_in_force', version=4),
    log_texts.format_line(2, 'h2', 'store_lost', table='op'),
    log_texts.format_line(
        3, 'h1', 'request_admitted', request='r1', document_version=4
    ),
    '0.1 h2 '
    + log_texts.format_line(
        4, 'h2', 'batch_sent', call='c|1', requests=['r1', 'r2']
    ),
    log_texts.format_line(4.5, 'h1', 'request_admitted', request='r2'),
    'Traceback (most recent call last):\n',
    log_texts.format_line(5, 'h2', 'batch_lost', call='c|1', detail='reset'),
    log_texts.format_line(5.5, 'h2', 'batch_lost', call='c|9', detail='reset'),
    log_texts.format_line(
        6, 'h1', 'request_ended', request='r1', outcome='refused'
    ),
    log_texts.format_line(7, 'h1', 'stopping'),
]


def run(*args, text=''):
    env = environment.Environment(
        stdin=io.StringIO(text), stdout=io.StringIO(), stderr=io.StringIO()
    )
    status = core.main(['explain', *args], env)
    return status.name.lower(), env.stdout.getvalue()


@pytest.mark.parametrize('is_file', [True, False], ids=['files', 'input'])
def test_timeline_has_request_and_related_events(tmp_path, is_file):
    paths = []
    if is_file:
        # Two files, not ordered by time.
        for number, part in enumerate((LOG[4:], LOG[:4])):
            path = tmp_path / f'{number}.log'
            path.write_text(''.join(part))
            paths.append(str(path))
    text = '' if is_file else ''.join(LOG)
    status, out = run('--json', '--request', 'r1', *paths, text=text)
    lines = codec.parse_json(out.encode())['lines']
    assert status == 'ok'
    assert [(x['host'], x['event']) for x in lines] == [
        ('h1', 'routes_in_force'),
        ('h2', 'store_lost'),
        ('h1', 'request_admitted'),
        ('h2', 'batch_sent'),
        ('h2', 'batch_lost'),
        ('h1', 'request_ended'),
    ]


def test_unknown_request_is_a_usage_error():
    status, _ = run('--request', 'none', text=''.join(LOG))
    assert status == 'usage'
