"""The command line of ``godwitgladed``."""

import contextlib
import pathlib
import signal
import threading
import typing

import typer

from godwitglade.common import errors
from godwitglade.common import events
from godwitglade.daemon import assembly
from godwitglade.daemon import context
from godwitglade.daemon import definitions
from godwitglade.daemon import logs
from godwitglade.daemon import settings
from godwitglade.daemon import status
from godwitglade.decisions import messages


def main(
    args: typing.Sequence[str], env: context.Environment
) -> status.ExitStatus:
    """Run ``godwitgladed`` with ``args`` until it stops.

    >>> main(['--settings', 'host.yaml', '--check'], Environment())
    <ExitStatus.SUCCESS: 0>
    """
    app = typer.Typer(add_completion=False)

    @app.command(epilog=definitions.EPILOG)
    def serve(
        path: definitions.SettingsPath,
        is_check: definitions.CheckOnly = False,
    ) -> None:
        """Serve pipelines on this entry host until stopped."""
        raise typer.Exit(_run(path, is_check, env))

    with (
        contextlib.redirect_stdout(env.stdout),
        contextlib.redirect_stderr(env.stderr),
    ):
        try:
            app(list(args), prog_name='godwitgladed')
        except SystemExit as exit_request:
            return status.ExitStatus(exit_request.code or 0)
    return status.ExitStatus.SUCCESS


def _run(
    path: pathlib.Path, is_check: bool, env: context.Environment
) -> status.ExitStatus:
    try:
        loaded = settings.load_settings(path, env.variables)
        daemon = None if is_check else assembly.assemble(loaded, env)
    except errors.CodedError as error:
        logger = logs.make_logger(env.stderr, 'info', '', '')
        fields = {'code': error.code, 'reason': str(error)}
        logs.log_event(logger, events.Event.SETTINGS_REFUSED, fields)
        return status.ExitStatus.SETTINGS
    return status.ExitStatus.SUCCESS if daemon is None else _serve(daemon)


def _serve(daemon: assembly.Daemon) -> status.ExitStatus:
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(
            signal_number,
            lambda *_: daemon.loop.post(messages.StopRequested()),
        )
    try:
        daemon.servers.start()
    except OSError as error:
        fields = {'reason': str(error)}
        logs.log_event(daemon.logger, events.Event.CANNOT_BIND, fields)
        daemon.effect_runner.stop()
        return status.ExitStatus.CANNOT_BIND
    logs.log_event(daemon.logger, events.Event.STARTED, {})
    daemon.effect_runner.stop_loop = lambda: threading.Thread(
        target=_close, args=(daemon,), daemon=True
    ).start()
    daemon.loop.run()
    daemon.effect_runner.stop()
    logs.log_event(daemon.logger, events.Event.STOPPED, {})
    return status.ExitStatus.SUCCESS


def _close(daemon: assembly.Daemon) -> None:
    """Close the listeners, then end the loop that answers their requests."""
    try:
        daemon.servers.stop()
    finally:
        daemon.loop.stop()
