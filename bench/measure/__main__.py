"""Runs the measurements: ``python -m bench.measure [--quick]``."""

import platform
import time
import typing

import typer

from bench.measure import baselines
from bench.measure import cases
from bench.measure import report
from bench.measure import runs

OWN_ONLY = range(1)
ALL_POLICIES = range(len(baselines.ALL))

Flag = typing.Annotated[bool, typer.Option()]
Number = typing.Annotated[int, typer.Option(min=1)]


def measure(
    quick: Flag = False,
    seeds: Number = 3,
    processes: Number = 5,
    own: Flag = False,
    case: str = '',
) -> None:
    """Run every case under every policy and print the figures."""
    started = time.monotonic()
    chosen = [
        c
        for c in cases.SINGLE + cases.PAIRS + cases.LOADS
        if case in c.name and not (quick and c.duration_ms > 60_000)
    ]
    drawn = range(1, 3 if quick else seeds + 1)
    policies = OWN_ONLY if own else ALL_POLICIES
    jobs = runs.jobs_for(tuple(chosen), policies, drawn)
    print(f'Python {platform.python_version()}, seeds 1 to {drawn[-1]}')
    scores = runs.run_all(jobs, processes)
    report.print_cases(scores, tuple(chosen))
    report.print_costs(scores, chosen[0])
    spent_s = time.monotonic() - started
    print(f'\n{len(jobs)} runs in {spent_s:.0f} s on {processes} processes')


if __name__ == '__main__':
    typer.run(measure)
