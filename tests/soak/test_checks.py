"""The soak checks report a record that violates a guarantee."""

import attrs
import pytest

from bench.soak import __main__ as command
from bench.soak import callers
from bench.soak import checks
from bench.soak import clusters
from bench.soak import stalls
from bench.soak import standins

KEYS = [
    clusters.KeyValidity('key-1', 0.0, 20.0),
    clusters.KeyValidity('key-2', 0.0),
    clusters.KeyValidity('key-3', 20.0),
]


def make_request(**fields):
    normal = callers.RequestRecord(
        'a1',
        '/once/x',
        'edge-1',
        1,
        'key-2',
        sent_s=30.0,
        ended_s=30.1,
        status=200,
        signature='signed',
        body=standins.response_body('a1'),
        is_complete=True,
    )
    return attrs.evolve(normal, **fields)


def make_run(**fields):
    normal = standins.Run('a1', 'app-1', 'app', 30.05, True)
    return attrs.evolve(normal, **fields)


def violations(requests, runs, draining_since_s=0.0, stall_spans=(), **fields):
    record = checks.Record(
        requests=requests,
        runs=runs,
        keys=KEYS,
        draining_since_s={'app-9': draining_since_s},
        planned=checks.Phase(25.0, 50.0),
        recovered=checks.Phase(40.0, 50.0),
        link_stalls=[stalls.Stall(*span) for span in stall_spans],
        **fields,
    )
    return sorted(
        {line.split(':')[0] for line in checks.find_violations(record)}
    )


RECOVERED = make_request(attempt_id='a9', sent_s=41, ended_s=42)
RECOVERED = attrs.evolve(RECOVERED, body=standins.response_body('a9'))
CUT = {'status': None, 'body': b'', 'is_complete': False}
CUT_BODY = standins.response_body('a1')[:-1]
CUT_STREAM = standins.stream_body('a1', 0, ['v1'])[:24]
STREAM = {'path': '/stream/x', 'body': standins.stream_body('a1', 0, ['v1'])}


@pytest.mark.parametrize(
    ('request_record', 'runs', 'expected'),
    [
        (make_request(), [make_run()], []),
        (make_request(**STREAM), [make_run()], []),
        (
            make_request(status=503, signature=None),
            [make_run(has_run=False)],
            [],
        ),
        (make_request(**CUT), [], []),
        (make_request(body=b'another'), [make_run()], ['MIXED']),
        (make_request(signature=None), [make_run()], ['MIXED']),
        (make_request(answers_id='a1'), [make_run()], []),
        (make_request(answers_id='a7'), [make_run()], ['MIXED']),
        (
            make_request(answers_id='a7', status=500),
            [make_run()],
            ['MIXED'],
        ),
        (make_request(body=CUT_BODY), [make_run()], ['MIXED']),
        (
            make_request(body=CUT_BODY, is_complete=False, sent_s=24.0),
            [make_run()],
            [],
        ),
        (
            make_request(**STREAM | {'body': CUT_STREAM}),
            [make_run()],
            ['MIXED'],
        ),
        (
            make_request(**STREAM | {'body': b'id: 2\n\n'}),
            [make_run()],
            ['MIXED'],
        ),
        (make_request(), [make_run(), make_run(target='app-2')], ['TWICE']),
        (
            make_request(path='/read/x'),
            [make_run(), make_run(target='app-2')],
            [],
        ),
        (make_request(), [make_run(), make_run(has_run=False)], []),
        (make_request(), [make_run(), make_run(attempt_id='a7')], ['UNASKED']),
        (make_request(status=503), [make_run()], ['REFUSED']),
        (make_request(status=502), [make_run()], []),
        (make_request(key='key-1', sent_s=24.5), [make_run()], []),
        (make_request(key='key-1'), [make_run()], ['CONFIG']),
        (make_request(status=401), [], ['DENIED']),
        (make_request(status=401, key='key-3', sent_s=22), [], []),
        (make_request(), [make_run(target='app-9')], ['DRAIN']),
        (make_request(**CUT), [make_run()], ['LOST']),
        (make_request(**CUT, ended_s=30.5), [], ['LOST']),
        (make_request(**CUT, sent_s=24.0), [make_run()], []),
        (make_request(ended_s=32.5), [make_run()], ['LATE']),
    ],
)
def test_violated_guarantee_is_reported(request_record, runs, expected):
    assert violations([request_record, RECOVERED], runs) == expected


@pytest.mark.parametrize(
    ('stall_spans', 'expected'),
    [([], ['LATE']), ([(31, 32)], []), ([(27, 29)], ['LATE'])],
)
def test_times_are_not_checked_while_the_links_stall(stall_spans, expected):
    late = make_request(ended_s=32.5)
    assert (
        violations([late, RECOVERED], [make_run()], stall_spans=stall_spans)
        == expected
    )


def test_older_document_after_a_newer_one_is_reported():
    newer = make_request(key='key-3', ended_s=21.0, sent_s=20.9)
    older = make_request(
        attempt_id='a2',
        key='key-1',
        sent_s=24.0,
        body=standins.response_body('a2'),
    )
    runs = [make_run(), make_run(attempt_id='a2', at_s=24.0)]
    assert violations([newer, older, RECOVERED], runs) == ['CONFIG']
    restarted = attrs.evolve(older, incarnation=2)
    assert violations([newer, restarted, RECOVERED], runs) == []


@pytest.mark.parametrize(('retries', 'expected'), [(20, []), (21, ['BUDGET'])])
def test_retries_beyond_the_allowance_are_reported(retries, expected):
    runs = [
        make_run(has_run=False, at_s=30 + n / 100) for n in range(retries + 1)
    ]
    assert (
        violations([make_request(path='/read/x'), RECOVERED], runs) == expected
    )


def make_stream(number, version, **fields):
    """Return a try that got the first two events of a stream, or more."""
    attempt_id = f's{number}'
    last_event_id = fields.get('last_event_id', 0)
    body = standins.stream_body(attempt_id, last_event_id, [version])
    values = {
        'attempt_id': attempt_id,
        'path': '/resume/x',
        'body': body,
        **fields,
    }
    return make_request(**values)


@pytest.mark.parametrize(
    ('joined', 'expected'), [(0, []), (2, []), (3, ['ORDER'])]
)
def test_streams_of_two_versions_are_reported(joined, expected):
    tries = [
        make_stream(
            f'{n}{version}',
            'v2' if version and n < joined else 'v1',
            resumes=f's{n}' if version else '',
            last_event_id=version,
        )
        for n in range(5)
        for version in (0, 2)
    ]
    for number, first in enumerate(tries[::2]):
        tries[2 * number] = attrs.evolve(first, resumes=f's{number}')
    runs = [make_run(attempt_id=r.attempt_id, pool='engine') for r in tries]
    assert violations([*tries, RECOVERED], runs) == expected


@pytest.mark.parametrize(
    ('gone_on', 'expected'), [(6, []), (5, ['LOST']), (0, ['LOST'])]
)
def test_resumed_streams_that_do_not_go_on_are_reported(gone_on, expected):
    new = [make_stream(n, 'v1') for n in range(10)]
    resumed = [
        make_stream(
            10 + n,
            'v1',
            resumes=f's{n}',
            last_event_id=2,
            **({} if n < gone_on else {'status': 503, 'body': b''}),
        )
        for n in range(12)
    ]
    assert (
        violations(
            [*new, *resumed, RECOVERED], [], streams=checks.Phase(29.0, 31.0)
        )
        == expected
    )


@pytest.mark.parametrize(
    ('served', 'expected'), [(36, []), (24, []), (23, ['RECOVER'])]
)
def test_hosts_without_targets_that_serve_less_are_reported(served, expected):
    at_cut = [
        make_request(
            attempt_id='a1', sent_s=34.0, status=200 if n < served else 502
        )
        for n in range(36)
    ]
    others = [make_request(edge='edge-2', sent_s=34.0) for _ in range(36)]
    cut = checks.Cut(frozenset({'edge-1'}), 30.0, 38.0)
    requests = [
        attrs.evolve(request, ended_s=34.1) for request in at_cut + others
    ]
    assert violations([*requests, RECOVERED], [], cuts=(cut,)) == expected


@pytest.mark.parametrize(('served', 'expected'), [(9, []), (8, ['RECOVER'])])
def test_service_that_does_not_recover_is_reported(served, expected):
    requests = [
        attrs.evolve(RECOVERED, status=200 if n < served else 500)
        for n in range(10)
    ]
    assert violations(requests, []) == expected


def test_failed_seeds_are_parsed_from_the_list():
    text = 'Seeds that ever failed.\n12 the store lost an answer\n\n7 same\n'
    assert command.parse_failed_seeds(text) == [12, 7]


COPIES = '/read/bad-1'


@pytest.mark.parametrize(
    ('crashes_s', 'late', 'begun', 'expected'),
    [
        ([30, 31, 32], 3, 20, []),
        ([30, 31, 32], 4, 20, ['BUDGET']),
        ([30, 31], 4, 20, []),
        ([30, 31, 32], 0, 9, ['LOST']),
    ],
)
def test_copies_sent_on_or_sound_requests_lost_are_reported(
    crashes_s, late, begun, expected
):
    sound = [
        make_request(
            path='/read/x',
            sent_s=39,
            ended_s=39.1,
            status=200 if n < begun else 503,
        )
        for n in range(20)
    ]
    runs = [
        make_run(attempt_id='a1', parts=(COPIES,), at_s=35.5, has_run=False)
        for _ in range(late)
    ]
    record = checks.Record(
        requests=[*sound, RECOVERED],
        runs=runs,
        keys=KEYS,
        draining_since_s={},
        planned=checks.Phase(50.0, 50.0),
        recovered=checks.Phase(40.0, 50.0),
        crashes=(checks.Crashes(COPIES, frozenset({COPIES}), 45, crashes_s),),
    )
    lines = checks.find_violations(record)
    assert sorted({line.split(':')[0] for line in lines}) == expected


@pytest.mark.parametrize(
    ('count', 'milli_per_s', 'expected'),
    [(13, 1_400, []), (14, 1_400, ['LIMIT']), (6, 0, ['LIMIT'])],
)
def test_requests_beyond_a_named_limit_are_reported(
    count, milli_per_s, expected
):
    record = checks.Record(
        requests=[make_request(), RECOVERED],
        runs=[make_run(at_s=34 + n / 10, has_run=False) for n in range(count)],
        keys=KEYS,
        draining_since_s={},
        planned=checks.Phase(50.0, 50.0),
        recovered=checks.Phase(40.0, 50.0),
        limits=(checks.Limit('app-1', milli_per_s, 30, 40),),
    )
    lines = checks.find_violations(record)
    assert {line.split(':')[0] for line in lines} == set(expected)
