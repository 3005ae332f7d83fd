"""Checks every specification: ``python -m proof.model``.

Fails if a sound machine violates an invariant, if its states exceed the
limit, or if a faulty machine does not violate its invariant.
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
    """Check the cases of every specification in turn."""
    for module in MODULES:
        for case in module.cases(depth):
            yield specs.check(case)


def format_verdict(verdict: specs.Verdict) -> str:
    """Return the verdict as one line, with the trace of a faulty case."""
    result = 'ok' if verdict.is_as_expected else 'FAILED'
    line = f'{result:6} {verdict.state_count:8} states  {verdict.case.name}'
    if verdict.case.violates is None:
        violations = ''.join(
            f'; violated: {name}' for name in verdict.violated
        )
        return line + violations
    trace = ', '.join(verdict.trace) or 'no trace'
    return f'{line}; violates "{verdict.case.violates}": {trace}'


def main(
    depth: specs.Depth = typer.Option(
        specs.Depth.USUAL, help='How large a state space to explore.'
    ),
) -> None:
    """Check every specification and print the number of states."""
    verdicts = []
    for verdict in run(depth):
        verdicts.append(verdict)
        typer.echo(format_verdict(verdict))
    total_states = sum(verdict.state_count for verdict in verdicts)
    failed_count = sum(not verdict.is_as_expected for verdict in verdicts)
    typer.echo(
        f'{len(verdicts)} cases, {total_states} states, {failed_count} failed'
    )
    raise typer.Exit(code=1 if failed_count else 0)


if __name__ == '__main__':
    typer.run(main)
