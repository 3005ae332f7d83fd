"""Run the soak test (``python -m bench.soak``) and report violations."""

import pathlib
import random
import tempfile
import time
import typing

import typer

from bench.soak import core

FAILED_SEEDS_PATH = pathlib.Path(__file__).with_name('failed_seeds.txt')
SEED_BITS = 32


def main(
    seeds: typing.Annotated[
        int, typer.Option(help='Number of new random seeds to run.')
    ] = 1,
    seed: typing.Annotated[
        int | None, typer.Option(help='Run this seed only.')
    ] = None,
    minutes: typing.Annotated[
        float, typer.Option(help='Run new random seeds for this long.')
    ] = 0.0,
    hosts: typing.Annotated[
        int, typer.Option(help='Number of edge processes.')
    ] = core.Plan().hosts,
    crash_s: typing.Annotated[
        float, typer.Option(help='Let requests crash targets so long.')
    ] = 12.0,
    limit_s: typing.Annotated[
        float, typer.Option(help='Let targets name limits so long.')
    ] = 10.0,
    cut_s: typing.Annotated[
        float, typer.Option(help='Cut hosts off from all targets so long.')
    ] = 8.0,
    streams_s: typing.Annotated[
        float, typer.Option(help='Let engines break off streams so long.')
    ] = 6.0,
    answers_s: typing.Annotated[
        float, typer.Option(help='Let answers be cut or copied so long.')
    ] = 10.0,
    other_path: typing.Annotated[
        str, typer.Option(help='PYTHONPATH of every second host.')
    ] = '',
    failed: typing.Annotated[
        bool, typer.Option(help='Run the seeds that failed before first.')
    ] = False,
) -> None:
    """Run soak tests; exit with 1 if a guarantee was violated."""
    plan = core.Plan(
        hosts=hosts,
        callers=3 * hosts,
        crash_s=crash_s,
        limit_s=limit_s,
        cut_s=cut_s,
        streams_s=streams_s,
        answers_s=answers_s,
        other_path=other_path,
    )
    queue = _seeds_to_run(seeds, seed, minutes, failed)
    results = [_run_seed(number, plan) for number in queue]
    typer.echo(f'{len(results)} seeds, {sum(results)} with violations')
    raise typer.Exit(1 if any(results) else 0)


def _seeds_to_run(
    seeds: int, seed: int | None, minutes: float, failed: bool
) -> typing.Iterator[int]:
    if seed is not None:
        yield seed
        return
    if failed:
        yield from parse_failed_seeds(FAILED_SEEDS_PATH.read_text())
    end_s = time.monotonic() + 60 * minutes
    remaining = seeds
    while remaining > 0 or time.monotonic() < end_s:
        remaining -= 1
        yield random.SystemRandom().getrandbits(SEED_BITS)


def parse_failed_seeds(text: str) -> list[int]:
    """Return the seeds in ``text``; other lines are ignored."""
    lines = [line.split(maxsplit=1) for line in text.splitlines()]
    return [int(parts[0]) for parts in lines if parts and parts[0].isdigit()]


def _run_seed(seed: int, plan: core.Plan) -> bool:
    directory = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
    result = core.run(seed, plan, directory)
    typer.echo(
        f'seed {seed}: {len(result.violations)} violations, links stalled '
        f'for {result.stalled_s:.1f} s, logs in {directory.name}'
    )
    for line in result.violations:
        typer.echo(f'  {line}')
    return bool(result.violations)


if __name__ == '__main__':
    typer.run(main)
