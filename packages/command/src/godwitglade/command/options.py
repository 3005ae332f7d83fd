"""Options and arguments shared by several commands."""

import typing

import typer

Json = typing.Annotated[
    bool, typer.Option('--json', help='Print JSON for programs.')
]
Url = typing.Annotated[
    typing.Optional[str],
    typer.Option('--url', help='Operators\' listener; else GODWITGLADE_URL.'),
]
Token = typing.Annotated[
    typing.Optional[str],
    typer.Option(
        '--token', help='Operator\'s token; better in GODWITGLADE_TOKEN.'
    ),
]
CallersUrl = typing.Annotated[
    typing.Optional[str],
    typer.Option(
        '--url', help='Callers\' listener; else GODWITGLADE_CALLERS_URL.'
    ),
]
Paths = typing.Annotated[
    list[str], typer.Argument(metavar='DOC...', help='Files; - for stdin.')
]
Path = typing.Annotated[
    str, typer.Argument(metavar='DOC', help='A file; - for stdin.')
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
        help='Version that the text was edited from; else the first line '
        'that `show` writes, else 0 for a new document.',
    ),
]
Wait = typing.Annotated[
    bool,
    typer.Option('--wait', help='Wait until in force on every live host.'),
]
WaitS = typing.Annotated[
    int, typer.Option('--wait-s', min=1, help='Longest wait, in seconds.')
]
