"""Prints the size of each part of the code: ``python -m bench.lines``.

It counts lines of Python that are neither blank nor only a comment.
"""

import pathlib
import typing

import attrs
import typer

ROOT = pathlib.Path(__file__).parents[1]
MAX_SOAK_SHARE = 1 / 10
MIN_POLICY_SHARE = 1 / 4
CODE = 'packages'
POLICY_PACKAGES = ('coordination', 'decisions', 'routing')


@attrs.frozen
class Shares:
    """Line counts by top-level directory and by package, and of the soak."""

    by_part: dict[str, int]
    by_package: dict[str, int]
    soak: int

    @property
    def code(self) -> int:
        """Return the line count of the packages that are released."""
        return self.by_part[CODE]

    @property
    def soak_share(self) -> float:
        """Return the ratio of soak test lines to package lines."""
        return self.soak / self.code

    @property
    def policy_share(self) -> float:
        """Return the share of package lines in ``POLICY_PACKAGES``."""
        lines = sum(self.by_package[name] for name in POLICY_PACKAGES)
        return lines / self.code


def count(root: pathlib.Path = ROOT) -> Shares:
    """Return the line counts of the tree at ``root``."""
    parts = (CODE, 'platform', 'tests', 'proof', 'bench')
    packages = sorted(p.name for p in (root / CODE).iterdir() if p.is_dir())
    return Shares(
        {part: _count_lines_under(root / part) for part in parts},
        {
            name: _count_lines_under(root / CODE / name / 'src')
            for name in packages
        },
        _count_lines_under(root / 'bench' / 'soak'),
    )


def report(shares: Shares) -> typing.Iterator[str]:
    """Yield the lines of the report."""
    for part, lines in shares.by_part.items():
        yield f'{part:14} {lines:6}'
    for name, lines in shares.by_package.items():
        yield f'  {name:12} {lines:6} {lines / shares.code:6.1%}'
    yield (
        f'soak to packages: {shares.soak_share:.1%}, '
        f'limit {MAX_SOAK_SHARE:.1%}'
    )
    yield (
        'routing, limits, retries, membership, state and recovery: '
        f'{shares.policy_share:.1%}, at least {MIN_POLICY_SHARE:.1%}'
    )


def main() -> None:
    """Print the report; exit with 1 if a share is out of bounds."""
    shares = count()
    for line in report(shares):
        typer.echo(line)
    is_within_bounds = (
        shares.soak_share < MAX_SOAK_SHARE
        and shares.policy_share >= MIN_POLICY_SHARE
    )
    raise typer.Exit(code=0 if is_within_bounds else 1)


def _count_lines_under(folder: pathlib.Path) -> int:
    return sum(_count_lines(path) for path in sorted(folder.rglob('*.py')))


def _count_lines(path: pathlib.Path) -> int:
    stripped = (line.strip() for line in path.read_text().splitlines())
    return sum(bool(line) and not line.startswith('#') for line in stripped)


if __name__ == '__main__':
    typer.run(main)
