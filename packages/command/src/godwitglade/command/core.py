"""Runs the command: arguments in, exit status out."""

import contextlib

from godwitglade.command import definitions
from godwitglade.command import environment
from godwitglade.command import errors
from godwitglade.command import output
from godwitglade.command import status

JSON_OPTION = '--json'


def main(args: list[str], env: environment.Environment) -> status.ExitStatus:
    """Run the command with ``args``, without the program's name."""
    with (
        contextlib.redirect_stdout(env.stdout),
        contextlib.redirect_stderr(env.stderr),
    ):
        try:
            definitions.app(args, obj=env, prog_name='godwitglade')
        except SystemExit as end:
            return status.ExitStatus(end.code or 0)
        except errors.CommandError as error:
            output.Printer(env, JSON_OPTION in args).error(error)
            return error.exit_status
        except KeyboardInterrupt:
            return status.ExitStatus.INTERRUPTED
    return status.ExitStatus.OK
