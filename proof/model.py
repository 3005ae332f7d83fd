"""Checks every specification: ``python -m proof.model``.

Fails when a sound machine breaks a property, when its states could not all
be explored, or when a broken machine passes.
"""

import typing

import typer

from proof import claim_spec
from proof import document_spec
from proof import lease_spec
from proof import quarantine_spec
from proof import specs

MODULES = (claim_spec, lease_spec, document_spec, quarantine_spec)


def run(depth: specs.Depth) -> typing.Iterator[specs.Verdict]:
    """Check the cases of every specification, one after another."""
    for module in MODULES:
        for case in module.cases(depth):
            yield specs.check(case)


def line_of(verdict: specs.Verdict) -> str:
    """Return the verdict as one line, with the trace of a broken case."""
    result = 'ok' if verdict.is_as_expected else 'FAILED'
    line = f'{result:6} {verdict.state_count:8} states  {verdict.case.name}'
    if verdict.case.violates is None:
        broken = ''.join(f'; broken: {name}' for name in verdict.violated)
        return line + broken
    trace = ', '.join(verdict.trace) or 'no trace'
    return f'{line}; breaks "{verdict.case.violates}": {trace}'


def main(
    depth: specs.Depth = typer.Option(
        specs.Depth.USUAL, help='How much to explore.'
    ),
) -> None:
    """Check every specification and print the states explored."""
    verdicts = []
    for verdict in run(depth):
        verdicts.append(verdict)
        typer.echo(line_of(verdict))
    total = sum(verdict.state_count for verdict in verdicts)
    bad = sum(not verdict.is_as_expected for verdict in verdicts)
    typer.echo(f'{len(verdicts)} cases, {total} states, {bad} failed')
    raise typer.Exit(code=1 if bad else 0)


if __name__ == '__main__':
    typer.run(main)
