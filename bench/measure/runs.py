"""Runs cases under policies and seeds in several processes."""

import itertools
import multiprocessing

import attrs

from bench.measure import baselines
from bench.measure import callers
from bench.measure import cases
from bench.measure import deployments
from bench.measure import scoring
from bench.measure import simulation as simulations

#: Time allowed for the remaining requests after the last arrival.
DRAIN_MS = 12_000


@attrs.frozen
class Job:
    """One run; deployment and policy are indices, for pickling."""

    deployment: int
    case: cases.Case
    policy: int
    seed: int


def run(job: Job) -> scoring.Score:
    """Simulate a case and return its score."""
    simulation = simulate(job)
    return scoring.score(simulation, job.case)


def simulate(job: Job) -> simulations.Simulation:
    """Simulate a case and return the simulation in its final state."""
    deployment = deployments.ALL[job.deployment]
    policy = baselines.ALL[job.policy]
    simulation = simulations.Simulation(
        deployment, job.seed, policy.make_requests
    )
    callers.Callers(simulation, job.case, job.seed)
    for inject in job.case.faults:
        simulation.clock.call_at(cases.FAULT_MS, inject, simulation)
    simulation.clock.run_until(job.case.duration_ms + DRAIN_MS)
    return simulation


def run_all(jobs: list[Job], processes: int) -> dict[Job, scoring.Score]:
    """Run every job, the longest first."""
    ordered = sorted(
        jobs, key=lambda j: -j.case.duration_ms * j.case.burst_load
    )
    with multiprocessing.get_context('fork').Pool(processes) as pool:
        scores = pool.map(run, ordered, chunksize=1)
    return dict(zip(ordered, scores))


def jobs_for(
    selected: tuple[cases.Case, ...], policies: range, seeds: range
) -> list[Job]:
    """Return a job for each deployment, case, policy and seed."""
    deployment_indices = range(len(deployments.ALL))
    product = itertools.product(deployment_indices, selected, policies, seeds)
    return [Job(*combination) for combination in product]
