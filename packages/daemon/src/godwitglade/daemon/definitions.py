"""Command-line options of ``godwitgladed``."""

import pathlib
import typing

import typer

SettingsPath = typing.Annotated[
    pathlib.Path,
    typer.Option(
        '--settings',
        help='YAML file with the settings of this host.',
        metavar='FILE',
        show_default=False,
    ),
]

CheckOnly = typing.Annotated[
    bool,
    typer.Option('--check', help='Check the settings and exit.'),
]

EPILOG = 'Example: godwitgladed --settings /etc/godwitglade/host.yaml'
