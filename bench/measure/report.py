"""Prints tables of the scores, median and worst over seeds."""

import itertools

from bench.measure import baselines
from bench.measure import cases
from bench.measure import deployments
from bench.measure import runs
from bench.measure import scoring

COLUMNS = (
    ('attained %', 'attainment', 100, True),
    ('repeatable %', 'repeatable', 100, True),
    ('non-rep. %', 'non_repeatable', 100, True),
    ('small %', 'small', 100, True),
    ('oracle %', 'goodput', 100, True),
    ('refused %', 'refused', 100, False),
    ('wasted %', 'wasted', 100, False),
    ('extra %', 'extra', 100, False),
)


def print_cases(
    scores: dict[runs.Job, scoring.Score], selected: tuple[cases.Case, ...]
) -> None:
    """Print a table per deployment, with a row per case and policy."""
    for deployment_index, deployment in enumerate(deployments.ALL):
        print(f'\n{deployment.name}: median/worst over seeds')
        headings = ' '.join(f'{head:>13}' for head, *_ in COLUMNS)
        print(
            f'{"case":<21} {"policy":<16}{headings}  crashed condemned faults'
        )
        for case, policy_index in itertools.product(
            selected, range(len(baselines.ALL))
        ):
            matching = _select_scores(
                scores, deployment_index, case, policy_index
            )
            if matching:
                print(
                    _format_row(
                        case, baselines.ALL[policy_index].name, matching
                    )
                )


def print_costs(
    scores: dict[runs.Job, scoring.Score], case: cases.Case
) -> None:
    """Print the stage time per answer in time, by stage."""
    for deployment_index, deployment in enumerate(deployments.ALL):
        print(f'\n{deployment.name}: ms by stage for an answer, {case.name}')
        for policy_index, policy in enumerate(baselines.ALL):
            matching = _select_scores(
                scores, deployment_index, case, policy_index
            )
            if matching:
                print(f'{policy.name:<16} {_format_costs(matching)}')


def _select_scores(
    scores, deployment_index, case, policy_index
) -> list[scoring.Score]:
    return [
        score
        for job, score in scores.items()
        if (job.deployment, job.case, job.policy)
        == (deployment_index, case, policy_index)
    ]


def _format_row(
    case: cases.Case, policy: str, matching: list[scoring.Score]
) -> str:
    cells = ' '.join(
        f'{_format_pair(matching, name, factor, is_higher_better):>13}'
        for _head, name, factor, is_higher_better in COLUMNS
    )
    counts = [
        max(getattr(score, name) for score in matching)
        for name in ('crashed', 'condemned', 'faults')
    ]
    tail = f'{counts[0]:>7} {counts[1]:>9} {counts[2]:>6}'
    return f'{case.name:<21} {policy:<16}{cells}  {tail}'


def _format_pair(
    matching, name: str, factor: float, is_higher_better: bool
) -> str:
    values = [factor * getattr(score, name) for score in matching]
    median, worst = scoring.median_and_worst(values, is_higher_better)
    return f'{median:.1f}/{worst:.1f}'


def _format_costs(matching: list[scoring.Score]) -> str:
    names = sorted({name for score in matching for name in score.cost_ms})
    parts = []
    for name in names:
        values = [score.cost_ms.get(name, 0.0) for score in matching]
        median, _worst = scoring.median_and_worst(values)
        parts.append(f'{name} {median:.0f}')
    return ', '.join(parts)
