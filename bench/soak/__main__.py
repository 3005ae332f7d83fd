"""``python -m bench.soak``: plays seeds, and tells what was broken."""

import pathlib
import random
import tempfile
import time
import typing

import typer

from bench.soak import core

SEEDS = pathlib.Path(__file__).with_name('failed_seeds.txt')
SEED_BITS = 32


def main(
    seeds: typing.Annotated[
        int, typer.Option(help='How many fresh seeds to play.')
    ] = 1,
    seed: typing.Annotated[
        int | None, typer.Option(help='Play this seed only.')
    ] = None,
    minutes: typing.Annotated[
        float, typer.Option(help='Play fresh seeds for so long.')
    ] = 0.0,
    hosts: typing.Annotated[
        int, typer.Option(help='Edge processes of a soak.')
    ] = core.Plan().hosts,
    failed: typing.Annotated[
        bool, typer.Option(help='Play the seeds that ever failed first.')
    ] = False,
) -> None:
    """Play soaks; the exit status tells whether a promise was broken."""
    plan = core.Plan(hosts=hosts, callers=3 * hosts)
    queue = _queue(seeds, seed, minutes, failed)
    results = [_play(one, plan) for one in queue]
    typer.echo(f'{len(results)} seeds, {sum(results)} with a broken promise')
    raise typer.Exit(1 if any(results) else 0)


def _queue(
    seeds: int, seed: int | None, minutes: float, failed: bool
) -> typing.Iterator[int]:
    if seed is not None:
        yield seed
        return
    if failed:
        yield from known_failures(SEEDS.read_text())
    ends_s = time.monotonic() + 60 * minutes
    left = seeds
    while left > 0 or time.monotonic() < ends_s:
        left -= 1
        yield random.SystemRandom().getrandbits(SEED_BITS)


def known_failures(text: str) -> list[int]:
    """Return the seeds listed, each followed by its cause."""
    lines = [line.split(maxsplit=1) for line in text.splitlines()]
    return [int(parts[0]) for parts in lines if parts and parts[0].isdigit()]


def _play(seed: int, plan: core.Plan) -> bool:
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
    result = core.play(seed, plan, folder)
    typer.echo(
        f'seed {seed}: {len(result.broken)} broken, links stood still '
        f'{result.still_s:.1f} s, logs in {folder.name}'
    )
    for line in result.broken:
        typer.echo(f'  {line}')
    return bool(result.broken)


if __name__ == '__main__':
    typer.run(main)
