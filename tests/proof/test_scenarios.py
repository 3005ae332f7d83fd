"""Scenarios pass, malformed ones are rejected, violations are detected."""

import pytest

from godwitglade.coordination import claim_rows
from godwitglade.coordination import claim_state_machine
from godwitglade.decisions import endings
from godwitglade.decisions import outcomes
from proof import known_red
from proof import language
from proof import random_walk
from proof import scenarios

SCENARIOS = scenarios.all_scenarios()


@pytest.mark.parametrize(
    'scenario', SCENARIOS, ids=lambda scenario: scenario.title
)
def test_scenario(scenario):
    result = scenarios.run(scenario)
    if not result.is_passed and scenario.title in known_red.names():
        pytest.xfail('listed in KNOWN-RED.txt')
    assert result.is_passed, scenarios.format_result(result, False)


def test_scenarios_are_repeatable():
    results = [scenarios.run(SCENARIOS[0]) for _ in range(2)]
    assert results[0] == results[1]


def test_titles_are_unique():
    titles = [scenario.title for scenario in SCENARIOS]
    assert len(set(titles)) == len(titles)


def test_random_walk_holds():
    assert random_walk.find_failing_script(0, scenarios.run) is None


@pytest.mark.parametrize(
    'text, line, column',
    [
        ('', 1, 1),
        ('scenario "x"\nat 3 s store gone', 2, 14),
        ('scenario "x"\nat 3 days store up', 2, 6),
        ('scenario "x"\nat 3 s host host-1 pauses', 2, 20),
        ('scenario "x"\nat 1 s expect r1 great', 2, 18),
        ('scenario "x"\nhosts many', 2, 7),
    ],
)
def test_malformed_scenario_is_an_error_with_its_location(text, line, column):
    with pytest.raises(language.ScenarioError) as caught:
        language.parse(text)
    assert (caught.value.line, caught.value.column) == (line, column)


def test_unknown_name_is_an_error_with_its_location():
    parsed = language.parse('scenario "x"\n  at 1 s target t-9 crashes')
    with pytest.raises(language.ScenarioError, match='unknown name .t-9.'):
        scenarios.run(parsed[0])


SLOW_AND_RETRIED = """scenario "broken"
at 3 s target onboarding-application-1 slow times 8
at 3 s target onboarding-application-2 slow times 8
at 3 s target onboarding-application-3 slow times 8
at 3 s request r1 account-activation through host-1 key k1
at 3100 ms resend r1 as r2 through host-2
"""
STOPPED_HOST = """scenario "broken"
at 3 s target language-models-1 crashes
at 3 s request r1 licence-check through host-1
at 3030 ms host host-1 stops
"""


def take_over_dispatched(self, claim, row, content):
    claim.row_version = row.version
    if content.state is claim_rows.State.DISPATCHED:
        return self.write(claim, 0)
    return []


def refuse_always(context, job, reason, now_ms, *_args, **_options):
    refusal = outcomes.RefusedNotRun(reason)
    return endings.finish(context, job, refusal, now_ms)


def finish_without_results(context, job, outcome, now_ms):
    return original_finish(context, job, outcomes.Answered({}), now_ms)


original_finish = endings.finish


@pytest.mark.parametrize(
    'target, name, replacement, script, violation',
    [
        (
            claim_state_machine.ClaimStateMachine,
            '_on_foreign_row',
            take_over_dispatched,
            SLOW_AND_RETRIED,
            'ran',
        ),
        (
            endings,
            'finish',
            finish_without_results,
            STOPPED_HOST,
            'wrong set of results',
        ),
        (
            endings,
            'finish',
            lambda *_args: [],
            STOPPED_HOST,
            'r1 got no outcome',
        ),
    ],
)
def test_violation_of_an_invariant_is_reported(
    monkeypatch, target, name, replacement, script, violation
):
    monkeypatch.setattr(target, name, replacement)
    result = scenarios.run(language.parse(script)[0])
    assert any(violation in found for found in result.violations)
