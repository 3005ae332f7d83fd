"""Options and arguments shared by several commands."""

import typing

import typer

Json = typing.Annotated[
    bool, typer.Option('--json', help='Print the result as JSON.')
]
Url = typing.Annotated[
    typing.Optional[str],
    typer.Option(
        '--url', help='URL of the operators\' listener (or GODWITGLADE_URL).'
    ),
]
Token = typing.Annotated[
    typing.Optional[str],
    typer.Option(
        '--token',
        help='Operator\'s token; prefer the variable GODWITGLADE_TOKEN.',
    ),
]
CallersUrl = typing.Annotated[
    typing.Optional[str],
    typer.Option(
        '--url',
        help='URL of the callers\' listener (or GODWITGLADE_CALLERS_URL).',
    ),
]
Paths = typing.Annotated[
    list[str],
    typer.Argument(metavar='DOC...', help='Document files; - for stdin.'),
]
Path = typing.Annotated[
    str, typer.Argument(metavar='DOC', help='Document file; - for stdin.')
]
Pipeline = typing.Annotated[
    str, typer.Argument(metavar='PIPELINE', help='Name of the pipeline.')
]
Workspace = typing.Annotated[
    str, typer.Option('--workspace', '-w', help='Name of the workspace.')
]
BasedOn = typing.Annotated[
    typing.Optional[int],
    typer.Option(
        '--based-on',
        min=0,
        help='Version that the edit started from; default: the version in '
        'the first line that `show` prints, or 0 for a new document.',
    ),
]
Wait = typing.Annotated[
    bool,
    typer.Option(
        '--wait', help='Wait until the change is in force on every live host.'
    ),
]
WaitS = typing.Annotated[
    int, typer.Option('--wait-s', min=1, help='Maximum wait in seconds.')
]
