"""Each promise of the soak's checks: a record that breaks it is told."""

import attrs
import pytest

from bench.soak import __main__ as command
from bench.soak import callers
from bench.soak import checks
from bench.soak import standins
from bench.soak import standstills
from bench.soak import world

KEYS = [
    world.KeyTerm('key-1', 0.0, 20.0),
    world.KeyTerm('key-2', 0.0),
    world.KeyTerm('key-3', 20.0),
]


def seen(**fields):
    usual = callers.Seen(
        'a1',
        '/once/x',
        'edge-1',
        1,
        'key-2',
        sent_s=30.0,
        ended_s=30.1,
        status=200,
        signature='signed',
        body=standins.whole_body('a1'),
        is_whole=True,
    )
    return attrs.evolve(usual, **fields)


def run(**fields):
    usual = standins.Run('a1', 'app-1', 'app', 30.05, True)
    return attrs.evolve(usual, **fields)


def broken(asked, runs, left_s=0.0, stills=()):
    record = checks.Record(
        seen=asked,
        runs=runs,
        keys=KEYS,
        left_s={'app-9': left_s},
        planned=checks.Phase(25.0, 50.0),
        settled=checks.Phase(40.0, 50.0),
        stills=[standstills.Standstill(*still) for still in stills],
    )
    return sorted({line.split(':')[0] for line in checks.find_broken(record)})


SETTLED = seen(attempt_id='a9', sent_s=41, ended_s=42)
SETTLED = attrs.evolve(SETTLED, body=standins.whole_body('a9'))
CUT = {'status': None, 'body': b'', 'is_whole': False}
STREAM = {'path': '/stream/x', 'body': standins.whole_stream('a1')}


@pytest.mark.parametrize(
    ('asked', 'runs', 'expected'),
    [
        (seen(), [run()], []),
        (seen(**STREAM), [run()], []),
        (seen(status=503, signature=None), [run(has_run=False)], []),
        (seen(**CUT), [], []),
        (seen(body=b'another'), [run()], ['MIXED']),
        (seen(signature=None), [run()], ['MIXED']),
        (seen(**STREAM | {'body': b'id: 2\n\n'}), [run()], ['MIXED']),
        (seen(), [run(), run(target='app-2')], ['TWICE']),
        (seen(path='/read/x'), [run(), run(target='app-2')], []),
        (seen(), [run(), run(has_run=False)], []),
        (seen(), [run(), run(attempt_id='a7')], ['UNASKED']),
        (seen(status=503), [run()], ['REFUSED']),
        (seen(status=502), [run()], []),
        (seen(key='key-1', sent_s=24.5), [run()], []),
        (seen(key='key-1'), [run()], ['CONFIG']),
        (seen(status=401), [], ['DENIED']),
        (seen(status=401, key='key-3', sent_s=22), [], []),
        (seen(), [run(target='app-9')], ['DRAIN']),
        (seen(**CUT), [run()], ['LOST']),
        (seen(**CUT, ended_s=30.5), [], ['LOST']),
        (seen(**CUT, sent_s=24.0), [run()], []),
        (seen(ended_s=32.5), [run()], ['LATE']),
    ],
)
def test_broken_promise_is_told(asked, runs, expected):
    assert broken([asked, SETTLED], runs) == expected


@pytest.mark.parametrize(
    ('stills', 'expected'),
    [([], ['LATE']), ([(31, 32)], []), ([(27, 29)], ['LATE'])],
)
def test_times_are_not_judged_while_the_soak_stands_still(stills, expected):
    late = seen(ended_s=32.5)
    assert broken([late, SETTLED], [run()], stills=stills) == expected


def test_older_document_after_a_newer_one_is_told():
    newer = seen(key='key-3', ended_s=21.0, sent_s=20.9)
    older = seen(
        attempt_id='a2',
        key='key-1',
        sent_s=24.0,
        body=standins.whole_body('a2'),
    )
    runs = [run(), run(attempt_id='a2', at_s=24.0)]
    assert broken([newer, older, SETTLED], runs) == ['CONFIG']
    restarted = attrs.evolve(older, boot=2)
    assert broken([newer, restarted, SETTLED], runs) == []


@pytest.mark.parametrize(('repeats', 'expected'), [(20, []), (21, ['BUDGET'])])
def test_repeats_beyond_the_allowance_are_told(repeats, expected):
    runs = [run(has_run=False, at_s=30 + n / 100) for n in range(repeats + 1)]
    assert broken([seen(path='/read/x'), SETTLED], runs) == expected


@pytest.mark.parametrize(('served', 'expected'), [(9, []), (8, ['RECOVER'])])
def test_service_that_does_not_recover_is_told(served, expected):
    asked = [
        attrs.evolve(SETTLED, status=200 if n < served else 500)
        for n in range(10)
    ]
    assert broken(asked, []) == expected


def test_failed_seeds_are_read_from_the_list():
    text = 'Seeds that ever failed.\n12 the store lost an answer\n\n7 same\n'
    assert command.known_failures(text) == [12, 7]
