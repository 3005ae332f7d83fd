"""Runs the measurements: ``python -m bench.measure [--quick]``."""

import platform
import time
import typing

import typer

from bench.measure import baselines
from bench.measure import cases
from bench.measure import report
from bench.measure import runs

#: Cases longer than this run under the own policy only.
LONG_MS = 60_000

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
        if case in c.name and not (quick and _is_long(c))
    ]
    drawn = range(1, 3 if quick else seeds + 1)
    jobs = [
        job
        for job in runs.jobs_for(tuple(chosen), ALL_POLICIES, drawn)
        if job.policy in OWN_ONLY or not (own or _is_long(job.case))
    ]
    print(f'Python {platform.python_version()}, seeds 1 to {drawn[-1]}')
    scores = runs.run_all(jobs, processes)
    report.print_cases(scores, tuple(chosen))
    report.print_costs(scores, chosen[0])
    spent_s = time.monotonic() - started
    print(f'\n{len(jobs)} runs in {spent_s:.0f} s on {processes} processes')


def _is_long(case: cases.Case) -> bool:
    """Tell whether a case is left to the own policy for its length."""
    return case.duration_ms > LONG_MS


if __name__ == '__main__':
    typer.run(measure)
