"""Runs the command and converts errors into exit statuses."""

import contextlib

from godwitglade.command import definitions
from godwitglade.command import environment
from godwitglade.command import errors as command_errors
from godwitglade.command import output
from godwitglade.command import status
from godwitglade.common import errors

JSON_OPTION = '--json'


def main(args: list[str], env: environment.Environment) -> status.ExitStatus:
    """Run the command with ``args``, which exclude the program's name."""
    with (
        contextlib.redirect_stdout(env.stdout),
        contextlib.redirect_stderr(env.stderr),
    ):
        try:
            definitions.app(args, obj=env, prog_name='godwitglade')
        except SystemExit as end:
            return status.ExitStatus(end.code or 0)
        except errors.CodedError as error:
            output.Printer(env, JSON_OPTION in args).error(error)
            return _status_of(error)
        except KeyboardInterrupt:
            return status.ExitStatus.INTERRUPTED
    return status.ExitStatus.OK


def _status_of(error: errors.CodedError) -> status.ExitStatus:
    if isinstance(error, command_errors.CommandError):
        return error.exit_status
    return status.ExitStatus.ERROR
