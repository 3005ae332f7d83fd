"""A fleet's view from the logs of some hosts."""

import io

import pytest

from godwitglade.command import core
from godwitglade.command import environment
from godwitglade.common import codec
from tests.command import log_texts


def ended(second, outcome, elapsed_ms, route='a'):
    fields = {'outcome': outcome, 'elapsed_ms': elapsed_ms, 'route': route}
    return log_texts.line(second, 'h1', 'request_ended', **fields)


LOG = ''.join(
    [
        log_texts.line(1, 'h1', 'started'),
        log_texts.line(2, 'h2', 'store_lost', table='op'),
        ended(1.5, 'answered_200', 100),
        ended(2.5, 'answered_200', 300),
        ended(2.6, 'late', 900, route='b'),
        'Traceback (most recent call last):\n',
        log_texts.line(
            2.7, 'h2', 'request_refused', status=404, reason='no_route'
        ),
        log_texts.line(
            3, 'h1', 'stage_failed', route='b', stage=1, ending='late'
        ),
        log_texts.line(4, 'h1', 'store_lost', table='op'),
    ]
)


def run(*args, text=LOG):
    env = environment.Environment(
        stdin=io.StringIO(text), stdout=io.StringIO(), stderr=io.StringIO()
    )
    found = core.main(['report', *args], env)
    return found.name.lower(), env.stdout.getvalue(), env.stderr.getvalue()


def test_report_counts_ends_times_and_beliefs():
    status, out, _ = run('--json')
    found = codec.parse_json(out.encode())
    assert status == 'ok'
    assert found['outcomes'] == {'answered_200': 2, 'late': 1, 'no_route': 1}
    assert found['by_second'] == {
        '0': {'answered_200': 1},
        '1': {'answered_200': 1, 'late': 1, 'no_route': 1},
    }
    times = {r['route']: r['median_ms'] for r in found['routes']}
    assert times == {'a': 200, 'b': 900}
    assert found['stages'] == {'b stage 1: late': 1}
    beliefs = {
        b['event']: (b['changes'], b['hosts']) for b in found['beliefs']
    }
    assert beliefs == {'started': (1, 1), 'store_lost': (2, 2)}


def test_people_get_tables_and_a_picture(tmp_path):
    path = tmp_path / 'outcomes.svg'
    status, out, _ = run('--plot', str(path))
    assert status == 'ok'
    assert 'b stage 1: late' in out and '10:00:02.000' in out
    assert path.read_text().lstrip().startswith('<?xml')


@pytest.mark.parametrize(
    ('args', 'text', 'named'),
    [
        ((), 'no log\n', 'LOGS'),
        (('missing.log',), '', 'missing.log'),
        (('--plot', 'outcomes.unknown'), LOG, '--plot'),
    ],
)
def test_what_cannot_be_told_is_named(args, text, named):
    status, _, err = run(*args, text=text)
    assert status != 'ok'
    assert named in err
