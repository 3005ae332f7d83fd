"""Tests of report: statistics from the logs of several hosts."""

import io

import pytest

from godwitglade.command import core
from godwitglade.command import environment
from godwitglade.common import codec
from tests.command import log_texts


def format_ended(second, outcome, elapsed_ms, route='a'):
    fields = {'outcome': outcome, 'elapsed_ms': elapsed_ms, 'route': route}
    return log_texts.format_line(second, 'h1', 'request_ended', **fields)


LOG = ''.join(
    [
        log_texts.format_line(1, 'h1', 'started'),
        log_texts.format_line(2, 'h2', 'store_lost', table='op'),
        format_ended(1.5, 'answered_200', 100),
        format_ended(2.5, 'answered_200', 300),
        format_ended(2.6, 'late', 900, route='b'),
        'Traceback (most recent call last):\n',
        log_texts.format_line(
            2.7, 'h2', 'request_refused', status=404, reason='no_route'
        ),
        log_texts.format_line(
            3, 'h1', 'stage_failed', route='b', stage=1, ending='late'
        ),
        log_texts.format_line(4, 'h1', 'store_lost', table='op'),
    ]
)


def run(*args, text=LOG):
    env = environment.Environment(
        stdin=io.StringIO(text), stdout=io.StringIO(), stderr=io.StringIO()
    )
    status = core.main(['report', *args], env)
    return status.name.lower(), env.stdout.getvalue(), env.stderr.getvalue()


def test_report_counts_outcomes_times_and_state_changes():
    status, out, _ = run('--json')
    report = codec.parse_json(out.encode())
    assert status == 'ok'
    assert report['outcomes'] == {'answered_200': 2, 'late': 1, 'no_route': 1}
    assert report['by_second'] == {
        '0': {'answered_200': 1},
        '1': {'answered_200': 1, 'late': 1, 'no_route': 1},
    }
    times = {r['route']: r['median_ms'] for r in report['routes']}
    assert times == {'a': 200, 'b': 900}
    assert report['stages'] == {'b stage 1: late': 1}
    beliefs = {
        b['event']: (b['changes'], b['hosts']) for b in report['beliefs']
    }
    assert beliefs == {'started': (1, 1), 'store_lost': (2, 2)}


def test_report_prints_tables_and_draws_plot(tmp_path):
    path = tmp_path / 'outcomes.svg'
    status, out, _ = run('--plot', str(path))
    assert status == 'ok'
    assert 'b stage 1: late' in out and '10:00:02.000' in out
    assert path.read_text().lstrip().startswith('<?xml')


@pytest.mark.parametrize(
    ('args', 'text', 'message'),
    [
        ((), 'no log\n', 'LOGS'),
        (('missing.log',), '', 'missing.log'),
        (('--plot', 'outcomes.unknown'), LOG, '--plot'),
    ],
)
def test_invalid_input_is_named_in_the_error(args, text, message):
    status, _, err = run(*args, text=text)
    assert status != 'ok'
    assert message in err
