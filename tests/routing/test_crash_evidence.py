"""Decisions on which traits of requests crash targets."""

import pytest

from godwitglade.routing import crash_evidence

Verdict = crash_evidence.Verdict


def make_evidence(crashes, cleared=()):
    """Return evidence of crashes, each with the traits that it struck."""
    evidence = crash_evidence.CrashEvidence()
    for number, struck in enumerate(crashes):
        evidence.add(f'r{number}', f'c{number}', tuple(struck))
    for trait in cleared:
        evidence.clear(trait, 'h1', evidence.crashes(trait))
    return evidence


@pytest.mark.parametrize(
    ('crashes', 'cleared', 'blocked'),
    [
        (['p', 'p'], '', ''),
        (['p', 'p', 'p'], '', 'p'),
        (['ps', 'ps', 'ps'], 's', 'p'),
        (['ps', 'ps', 'ps'], '', 'ps'),
        (['ps', 'ps', 'ps', 'p'], '', 'p'),
        (['p', 'q', 'p', 'q', 'p', 'q'], '', 'pq'),
        (['pq', 'pq', 'pq', 'p', 'q', 'q', 'q'], '', 'q'),
        (['ps', 'qs', 'ps', 'qs', 'ps', 'qs'], 's', 'pq'),
        (['p', 'p', 'p'], 'p', ''),
    ],
)
def test_trait_that_explains_most_crashes_is_blocked(
    crashes, cleared, blocked
):
    assert make_evidence(crashes, cleared).blocked == frozenset(blocked)


@pytest.mark.parametrize(
    ('crashes', 'request_traits', 'served', 'expected'),
    [
        (['p', 'p', 'p'], 'x', '', Verdict.FREE),
        (['p', 'p', 'p'], 'px', '', Verdict.BLOCKED),
        (['p', 'p', 'p'], 'px', 'p', Verdict.TRIAL),
        (['ps', 'ps', 'ps'], 'ps', '', Verdict.BLOCKED),
        (['ps', 'ps', 'ps'], 'ps', 's', Verdict.BLOCKED),
        (['ps', 'ps', 'ps'], 's', '', Verdict.TRIAL),
        (['ps', 'ps', 'qs', 'qs'], 's', '', Verdict.TRIAL),
        (['ps', 'ps', 'qs', 'qs'], 'sp', '', Verdict.BLOCKED),
    ],
)
def test_request_is_a_trial_if_its_crashes_may_have_another_cause(
    crashes, request_traits, served, expected
):
    evidence = make_evidence(crashes)
    assert evidence.verdict(request_traits, served) is expected


def test_removed_report_no_longer_counts():
    evidence = make_evidence(['p', 'p', 'p'])
    evidence.remove('r1')
    assert evidence.blocked == frozenset()
    assert len(evidence.crashes('p')) == 2


def test_crash_after_the_clearing_counts_again():
    evidence = make_evidence(['p', 'p', 'p'], cleared='p')
    for number in range(3, 6):
        evidence.add(f'r{number}', f'c{number}', ('p',))
    assert evidence.blocked == {'p'}
