"""Runs of cases over policies and seeds, on a few processes."""

import itertools
import multiprocessing

import attrs

from bench.measure import baselines
from bench.measure import callers
from bench.measure import cases
from bench.measure import deployments
from bench.measure import scoring
from bench.measure import world as worlds

#: Time after the last arrival in which every request must end.
LINGER_MS = 12_000


@attrs.frozen
class Job:
    """One run, by names so that it can go to another process."""

    deployment: int
    case: cases.Case
    policy: int
    seed: int


def run(job: Job) -> scoring.Score:
    """Run a case and return its figures."""
    world = play(job)
    return scoring.score(world, job.case)


def play(job: Job) -> worlds.World:
    """Run a case and return the world as it ended."""
    deployment = deployments.ALL[job.deployment]
    policy = baselines.ALL[job.policy]
    world = worlds.World(deployment, job.seed, policy.make)
    callers.Callers(world, job.case, job.seed)
    for inject in job.case.faults:
        world.clock.at(cases.FAULT_MS, inject, world)
    world.clock.run_until(job.case.duration_ms + LINGER_MS)
    return world


def run_all(jobs: list[Job], processes: int) -> dict[Job, scoring.Score]:
    """Run every job; the longest go first."""
    ordered = sorted(jobs, key=lambda j: -j.case.duration_ms * j.case.burst)
    with multiprocessing.get_context('fork').Pool(processes) as pool:
        scores = pool.map(run, ordered, chunksize=1)
    return dict(zip(ordered, scores))


def jobs_for(
    chosen: tuple[cases.Case, ...], policies: range, seeds: range
) -> list[Job]:
    """Return a job for each deployment, case, policy and seed."""
    places = range(len(deployments.ALL))
    product = itertools.product(places, chosen, policies, seeds)
    return [Job(*parts) for parts in product]
