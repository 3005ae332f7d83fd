"""Tables of the figures, median and worst over seeds."""

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
    scores: dict[runs.Job, scoring.Score], chosen: tuple[cases.Case, ...]
) -> None:
    """Print a table for each deployment, a row a case and policy."""
    for place, deployment in enumerate(deployments.ALL):
        print(f'\n{deployment.name}: median/worst over seeds')
        heads = ' '.join(f'{head:>13}' for head, *_ in COLUMNS)
        print(f'{"case":<21} {"policy":<16}{heads}  crashed condemned faults')
        for case, number in itertools.product(
            chosen, range(len(baselines.ALL))
        ):
            found = _found(scores, place, case, number)
            if found:
                print(_row(case, baselines.ALL[number].name, found))


def print_costs(
    scores: dict[runs.Job, scoring.Score], case: cases.Case
) -> None:
    """Print the stage time that an answer in time costs, by stage."""
    for place, deployment in enumerate(deployments.ALL):
        print(f'\n{deployment.name}: ms by stage for an answer, {case.name}')
        for number, policy in enumerate(baselines.ALL):
            found = _found(scores, place, case, number)
            if found:
                print(f'{policy.name:<16} {_costs(found)}')


def _found(scores, place, case, number) -> list[scoring.Score]:
    return [
        score
        for job, score in scores.items()
        if (job.deployment, job.case, job.policy) == (place, case, number)
    ]


def _row(case: cases.Case, policy: str, found: list[scoring.Score]) -> str:
    cells = ' '.join(
        f'{_pair(found, name, factor, is_high_good):>13}'
        for _head, name, factor, is_high_good in COLUMNS
    )
    counts = [
        max(getattr(score, name) for score in found)
        for name in ('crashed', 'condemned', 'faults')
    ]
    tail = f'{counts[0]:>7} {counts[1]:>9} {counts[2]:>6}'
    return f'{case.name:<21} {policy:<16}{cells}  {tail}'


def _pair(found, name: str, factor: float, is_high_good: bool) -> str:
    values = [factor * getattr(score, name) for score in found]
    median, worst = scoring.median_and_worst(values, is_high_good)
    return f'{median:.1f}/{worst:.1f}'


def _costs(found: list[scoring.Score]) -> str:
    names = sorted({name for score in found for name in score.cost_ms})
    parts = []
    for name in names:
        values = [score.cost_ms.get(name, 0.0) for score in found]
        median, _worst = scoring.median_and_worst(values)
        parts.append(f'{name} {median:.0f}')
    return ', '.join(parts)
