"""Document parsing: all faults with their paths, only typed errors."""

import pathlib

import hypothesis
from hypothesis import strategies
import pytest

from godwitglade.operators import errors
from godwitglade.operators import parsing

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'
TEXT = """\
pipeline: checks
team: onboarding
deadline_ms: 5000
stages:
  - {name: encode, kind: encode, pool: encoders, budget_ms: 400}
  - name: verdict
    kind: generate
    pool: models
    budget_ms: 3000
    model: {name: review, version: '2.3'}
workspaces:
  - {name: rabat}
pools:
  - {name: models}
priorities: {app: 0, desk: 1}
default_priority: desk
"""


def faults_of(old='', new=''):
    assert old in TEXT
    with pytest.raises(errors.DocumentError) as caught:
        parsing.parse_document(TEXT.replace(old, new, 1))
    return [str(fault) for fault in caught.value.faults]


@pytest.mark.parametrize(
    'path', sorted(EXAMPLES.glob('[ot]*/*.yaml')), ids=lambda path: path.stem
)
def test_example_is_valid(path):
    document = parsing.parse_document(path.read_text())
    assert (document.pipeline, document.team) == (path.stem, path.parent.name)


def test_examples_have_stages_that_run_at_most_once():
    documents = [
        parsing.parse_document(path.read_text())
        for path in EXAMPLES.glob('[ot]*/*.yaml')
    ]
    assert {doc.team for doc in documents if doc.has_non_repeatable} == {
        'onboarding',
        'touchline',
    }


@pytest.mark.parametrize(
    'old, new, fault',
    [
        (
            'budget_ms: 400',
            "budget_ms: 'x'",
            "stages[0].budget_ms: must be 1..600000 ms, not 'x'",
        ),
        (
            'budget_ms: 400',
            'budget_ms: true',
            'stages[0].budget_ms: must be 1..600000 ms, not True',
        ),
        (
            'budget_ms: 400',
            'budget_ms: 5001',
            'stages[0].budget_ms: must be at most deadline_ms, 5000 ms, '
            'not 5001',
        ),
        (
            'budget_ms: 400',
            'budget_ms: 400, is_hedge: true',
            "stages[0].is_hedge: is not known; did you mean 'is_hedged'?",
        ),
        (
            'budget_ms: 400',
            'budget_ms: 400, is_hedged: true, is_repeatable: false',
            'stages[0].is_hedged: must be false when is_repeatable is false',
        ),
        (
            'budget_ms: 400',
            'budget_ms: 400, path: "/x\\r\\ny"',
            'stages[0].path: must be a path that starts with / of at most '
            "128 characters, not '/x\\r\\ny'",
        ),
        ('team: onboarding\n', '', 'team: is required'),
        (
            'name: verdict',
            'name: encode',
            "stages[1].name: duplicate name 'encode'",
        ),
        (
            "    model: {name: review, version: '2.3'}\n",
            '',
            'stages[1].model: is required for a generate stage',
        ),
        ("'2.3'", '2.3', '(quote it), not 2.3'),
        (
            'kind: encode',
            'kind: encod',
            'stages[0].kind: must be one of encode, retrieve, rerank, '
            "generate, call, not 'encod'",
        ),
        ('- {name: rabat}', '- {name: rabat, share: 0}', 'must be 1..1000'),
        (
            'default_priority: desk',
            'default_priority: dask',
            'default_priority: is not defined in priorities; did you mean '
            "'desk'?",
        ),
        (
            '- {name: models}',
            '- {name: model}',
            'pools[0].name: is not used by any stage; did you mean '
            "'models'?",
        ),
        ('team: onboarding', 'pipeline: x', "duplicate key 'pipeline'"),
        ('team: onboarding', 'team: &a x', 'aliases and anchors'),
        ('team: onboarding', 'team: !!str x', 'tags are not accepted'),
        ('team: onboarding', f'team: {"[" * 20}', 'nested deeper'),
        ('team: onboarding', f'team: [{"1," * 50_000}]', 'too many values'),
        ('team: onboarding', f'team: {"x" * 300_000}', 'at most 262144'),
        ('team: onboarding', f'team: {"9" * 5_000}', 'not YAML'),
        (TEXT, '', '$: must be a mapping, not None'),
    ],
)
def test_fault_is_reported(old, new, fault):
    assert any(fault in listed for listed in faults_of(old, new))


def test_all_faults_are_reported_together():
    faults = faults_of('deadline_ms: 5000', 'deadline_ms: 0\nteem: x')
    assert len(faults) == 2


PLAIN = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.text(max_size=8),
    lambda inner: strategies.lists(inner, max_size=4)
    | strategies.dictionaries(strategies.text(max_size=8), inner, max_size=4),
    max_leaves=12,
)


@hypothesis.given(strategies.data())
@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
def test_only_typed_errors_are_raised(data):
    start = data.draw(strategies.integers(0, len(TEXT)))
    end = data.draw(strategies.integers(start, len(TEXT)))
    inserted = data.draw(
        strategies.text(max_size=30)
        | strategies.sampled_from(['!!int x', '<<: 1', '2026-99-99', '? [a]'])
        | PLAIN.map(repr)
    )
    try:
        parsing.parse_document(TEXT[:start] + inserted + TEXT[end:])
    except errors.DocumentError as error:
        assert error.faults and str(error)
