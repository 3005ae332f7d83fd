"""Runs the scenario files: ``python -m proof.scenarios``.

With ``--seeds`` it also walks at random over the faults and prints the
shortest script that breaks an invariant.
"""

import pathlib
import typing

import attrs
import typer

from proof import actions
from proof import invariants
from proof import known_red
from proof import language
from proof import walk
from proof import world as world_module

SCRIPTS = pathlib.Path(__file__).parent / 'scripts'

#: Time given to a scenario after its last step.
CLOSING_MS = 12_000


@attrs.frozen
class Result:
    """How one scenario ended."""

    scenario: language.Scenario
    failures: tuple[str, ...]
    violations: tuple[str, ...]

    @property
    def is_passed(self) -> bool:
        """Tell whether everything expected held."""
        return not self.failures and not self.violations


def read_scenarios(path: pathlib.Path) -> list[language.Scenario]:
    """Return the scenarios of one file; raises ScenarioError."""
    return language.parse(path.read_text(), path.name)


def all_scenarios() -> list[language.Scenario]:
    """Return the scenarios of every file, in order of file names."""
    return [
        scenario
        for path in sorted(SCRIPTS.glob('*.scenario'))
        for scenario in read_scenarios(path)
    ]


def run(scenario: language.Scenario) -> Result:
    """Play one scenario on real hosts; raises ScenarioError."""
    world = world_module.World(
        scenario.deployment, scenario.host_count, scenario.seed
    )
    checks = invariants.watch(world)
    player = actions.Player(world)
    for step in sorted(scenario.steps, key=lambda step: step.at_ms):
        world.run_until(step.at_ms)
        player.play(step)
    world.run_until(world.now_ms + CLOSING_MS)
    is_quiet = actions.quiet_ms(player) >= invariants.SPREAD_MS
    checks.check_end(is_quiet)
    return Result(scenario, tuple(player.failures), tuple(checks.violations))


def line_of(result: Result, is_known_red: bool) -> str:
    """Return the result as lines for people."""
    word = 'ok' if result.is_passed else 'FAILED'
    if is_known_red:
        word = 'mended?' if result.is_passed else 'known red'
    found = (*result.failures, *result.violations)
    detail = ''.join(f'\n    {failure}' for failure in found)
    scenario = result.scenario
    return f'{word:9} {scenario.deployment:10} {scenario.title}{detail}'


def main(
    paths: typing.Annotated[
        list[pathlib.Path],
        typer.Argument(help='Scenario files; all when none is given.'),
    ] = [],  # noqa: B006
    seeds: typing.Annotated[
        int, typer.Option(help='Random walks to make.')
    ] = walk.CI_SEEDS,
) -> None:
    """Play scenarios, then walk at random."""
    try:
        chosen = [s for path in paths for s in read_scenarios(path)]
        results = [run(s) for s in chosen or all_scenarios()]
    except language.ScenarioError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(code=2) from error
    red = known_red.names()
    for result in results:
        typer.echo(line_of(result, result.scenario.title in red))
    failed = [
        r for r in results if not r.is_passed and r.scenario.title not in red
    ]
    found = [walk.walk(seed, run) for seed in range(seeds if not paths else 0)]
    scripts = [script for script in found if script is not None]
    for script in scripts:
        typer.echo(script)
    typer.echo(
        f'{len(results)} scenarios, {len(failed)} failed; '
        f'{len(found)} walks, {len(scripts)} failed'
    )
    raise typer.Exit(code=1 if failed or scripts else 0)


if __name__ == '__main__':
    typer.run(main)
