"""Simulates the cases: ``python -m bench.measure [--quick]``."""

import platform
import time
import typing

import typer

from bench.measure import baselines
from bench.measure import cases
from bench.measure import report
from bench.measure import runs

#: Longer cases run under the project's own policy only.
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
    """Run every case under every policy and print the results."""
    started = time.monotonic()
    selected = [
        c
        for c in cases.SINGLE + cases.PAIRS + cases.LOADS
        if case in c.name and not (quick and _is_long(c))
    ]
    seed_range = range(1, 3 if quick else seeds + 1)
    jobs = [
        job
        for job in runs.jobs_for(tuple(selected), ALL_POLICIES, seed_range)
        if job.policy in OWN_ONLY or not (own or _is_long(job.case))
    ]
    print(f'Python {platform.python_version()}, seeds 1 to {seed_range[-1]}')
    scores = runs.run_all(jobs, processes)
    report.print_cases(scores, tuple(selected))
    report.print_costs(scores, selected[0])
    elapsed_s = time.monotonic() - started
    print(f'\n{len(jobs)} runs in {elapsed_s:.0f} s on {processes} processes')


def _is_long(case: cases.Case) -> bool:
    """Return whether a case is too long for the policies compared."""
    return case.duration_ms > LONG_MS


if __name__ == '__main__':
    typer.run(measure)
