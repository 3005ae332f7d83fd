"""Runs the scenario files: ``python -m proof.scenarios``.

Unless files are given, it also runs as many random walks over the faults as
``--seeds`` says, and prints a short script of each that breaks an invariant.
"""

import pathlib
import typing

import attrs
import typer

from proof import actions
from proof import invariants
from proof import known_red
from proof import language
from proof import random_walk
from proof import simulation as simulation_module

SCRIPTS = pathlib.Path(__file__).parent / 'scripts'

#: Simulated time after the last step of a scenario.
CLOSING_MS = 12_000


@attrs.frozen
class Result:
    """Failed expectations and violated invariants of one scenario."""

    scenario: language.Scenario
    failures: tuple[str, ...]
    violations: tuple[str, ...]

    @property
    def is_passed(self) -> bool:
        """Tell whether all expectations and invariants held."""
        return not self.failures and not self.violations


def read_scenarios(path: pathlib.Path) -> list[language.Scenario]:
    """Return the scenarios of one file; raises ScenarioError."""
    return language.parse(path.read_text(), path.name)


def all_scenarios() -> list[language.Scenario]:
    """Return the scenarios of all files, in order of file names."""
    return [
        scenario
        for path in sorted(SCRIPTS.glob('*.scenario'))
        for scenario in read_scenarios(path)
    ]


def run(scenario: language.Scenario) -> Result:
    """Run one scenario on the real decision code; raises ScenarioError."""
    simulation = simulation_module.Simulation(
        scenario.deployment, scenario.host_count, scenario.seed
    )
    checks = invariants.attach(simulation)
    step_runner = actions.StepRunner(simulation)
    for step in sorted(scenario.steps, key=lambda step: step.at_ms):
        simulation.run_until(step.at_ms)
        step_runner.run_step(step)
    simulation.run_until(simulation.now_ms + CLOSING_MS)
    is_undisturbed = (
        actions.undisturbed_ms(step_runner) >= invariants.PROPAGATION_MS
    )
    checks.check_end(is_undisturbed)
    return Result(
        scenario, tuple(step_runner.failures), tuple(checks.violations)
    )


def format_result(result: Result, is_known_red: bool) -> str:
    """Return the result as readable lines."""
    status = 'ok' if result.is_passed else 'FAILED'
    if is_known_red:
        status = 'mended?' if result.is_passed else 'known red'
    problems = (*result.failures, *result.violations)
    detail = ''.join(f'\n    {failure}' for failure in problems)
    scenario = result.scenario
    return f'{status:9} {scenario.deployment:10} {scenario.title}{detail}'


def main(
    paths: typing.Annotated[
        list[pathlib.Path],
        typer.Argument(help='Scenario files to run; all by default.'),
    ] = [],  # noqa: B006
    seeds: typing.Annotated[
        int,
        typer.Option(help='Number of random walks; none if files are given.'),
    ] = random_walk.DEFAULT_SEED_COUNT,
) -> None:
    """Run scenarios, then random walks over the faults."""
    try:
        chosen = [s for path in paths for s in read_scenarios(path)]
        results = [run(s) for s in chosen or all_scenarios()]
    except language.ScenarioError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(code=2) from error
    known_red_names = known_red.names()
    for result in results:
        typer.echo(
            format_result(result, result.scenario.title in known_red_names)
        )
    failed = [
        r
        for r in results
        if not r.is_passed and r.scenario.title not in known_red_names
    ]
    walk_results = [
        random_walk.find_failing_script(seed, run)
        for seed in range(seeds if not paths else 0)
    ]
    scripts = [script for script in walk_results if script is not None]
    for script in scripts:
        typer.echo(script)
    typer.echo(
        f'{len(results)} scenarios, {len(failed)} failed; '
        f'{len(walk_results)} walks, {len(scripts)} failed'
    )
    raise typer.Exit(code=1 if failed or scripts else 0)


if __name__ == '__main__':
    typer.run(main)
