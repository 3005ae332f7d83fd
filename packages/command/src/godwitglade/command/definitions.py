"""Arguments, options and help of the command."""

import pathlib
import typing

import typer

from godwitglade.command import applying
from godwitglade.command import auditing
from godwitglade.command import change_states
from godwitglade.command import documents
from godwitglade.command import explaining
from godwitglade.command import operators_client
from godwitglade.command import options
from godwitglade.command import output
from godwitglade.command import quarantining
from godwitglade.command import reporting
from godwitglade.command import requesting
from godwitglade.command import rollout
from godwitglade.command import status
from godwitglade.command import tokens
from godwitglade.common import clock as clocks

DEFAULT_WAIT_S = 30

Context = typer.Context

app = typer.Typer(
    name='godwitglade',
    help='Manage and call godwitglade pipelines.\n\n'
    'Exit statuses: '
    + ', '.join(
        f'{item.value} {item.name.lower()}' for item in status.ExitStatus
    )
    + '.',
    no_args_is_help=True,
    rich_markup_mode='markdown',
    pretty_exceptions_enable=False,
)
quarantine_app = typer.Typer(
    help='Manage requests that are refused because they crashed targets.',
    no_args_is_help=True,
)
app.add_typer(quarantine_app, name='quarantine')


@app.command()
def check(
    context: Context, docs: options.Paths, json: options.Json = False
) -> None:
    """Validate documents without a server and list all faults.

    Example: `godwitglade check examples/onboarding/*.yaml`
    """
    _exit(documents.check(_printer(context, json), docs))


@app.command()
def apply(
    context: Context,
    docs: options.Paths,
    based_on: options.BasedOn = None,
    overwrite: typing.Annotated[
        bool,
        typer.Option(
            '--overwrite',
            help='Replace the version in force, whatever its number.',
        ),
    ] = False,
    wait: options.Wait = False,
    wait_s: options.WaitS = DEFAULT_WAIT_S,
    json: options.Json = False,
    url: options.Url = None,
    token: options.Token = None,
) -> None:
    """Create or update documents.

    A document that someone else has changed in the meantime is not
    replaced: the command exits with status 4, and `show` prints the current
    version.

    Example: `godwitglade apply --wait licence-check.yaml`
    """
    wait_ms = wait_s * clocks.SECOND_MS if wait else None
    apply_options = applying.Options(based_on, overwrite, wait_ms)
    printer = _printer(context, json)
    server = _server(context, url, token)
    _exit(applying.apply(printer, server, docs, apply_options))


@app.command()
def remove(
    context: Context,
    pipeline: options.Pipeline,
    based_on: options.BasedOn = None,
    wait: options.Wait = False,
    wait_s: options.WaitS = DEFAULT_WAIT_S,
    json: options.Json = False,
    url: options.Url = None,
    token: options.Token = None,
) -> None:
    """Remove a document; its pipeline then refuses requests.

    Example: `godwitglade remove --wait licence-check`
    """
    wait_ms = wait_s * clocks.SECOND_MS if wait else None
    apply_options = applying.Options(based_on, wait_ms=wait_ms)
    printer = _printer(context, json)
    server = _server(context, url, token)
    _exit(applying.remove(printer, server, pipeline, apply_options))


@app.command()
def show(
    context: Context,
    pipeline: typing.Annotated[
        typing.Optional[str], typer.Argument(metavar='[PIPELINE]')
    ] = None,
    json: options.Json = False,
    url: options.Url = None,
    token: options.Token = None,
) -> None:
    """Print a document for editing, or list all documents.

    Example: `godwitglade show licence-check > licence-check.yaml`
    """
    server = _server(context, url, token)
    _exit(documents.show(_printer(context, json), server, pipeline))


@app.command()
def diff(
    context: Context,
    doc: options.Path,
    json: options.Json = False,
    url: options.Url = None,
    token: options.Token = None,
) -> None:
    """Print the differences between a file and the version in force.

    Example: `godwitglade diff licence-check.yaml`
    """
    server = _server(context, url, token)
    _exit(documents.diff(_printer(context, json), server, doc))


@app.command(name='status')
def show_status(
    context: Context,
    json: options.Json = False,
    url: options.Url = None,
    token: options.Token = None,
) -> None:
    """Print the state of every host and the documents in force.

    Example: `godwitglade status --json`
    """
    server = _server(context, url, token)
    _exit(rollout.show(_printer(context, json), server))


@app.command()
def audit(
    context: Context,
    after: typing.Annotated[
        int,
        typer.Option('--after', min=0, help='Skip changes up to this number.'),
    ] = 0,
    limit: typing.Annotated[
        int, typer.Option('--limit', min=1, help='Maximum number of records.')
    ] = 100,
    verify: typing.Annotated[
        bool,
        typer.Option('--verify', help='Verify the hash chain of all records.'),
    ] = False,
    json: options.Json = False,
    url: options.Url = None,
    token: options.Token = None,
) -> None:
    """Print or verify the audit trail of changes.

    Example: `godwitglade audit --verify`
    """
    printer = _printer(context, json)
    server = _server(context, url, token)
    if verify:
        _exit(auditing.verify(printer, server))
    _exit(auditing.show(printer, server, after, limit))


@app.command()
def change(
    context: Context,
    change_id: typing.Annotated[str, typer.Argument(metavar='CHANGE_ID')],
    settle: typing.Annotated[
        bool,
        typer.Option(
            '--settle',
            help='Make the result final: applied, or never applied.',
        ),
    ] = False,
    json: options.Json = False,
    url: options.Url = None,
    token: options.Token = None,
) -> None:
    """Print whether the change with the given id was applied.

    Example: `godwitglade change 2f6c1c0e-6f0f-4a53-9a43-0a3f6d6b8c11`
    """
    printer = _printer(context, json)
    server = _server(context, url, token)
    _exit(change_states.show(printer, server, change_id, settle))


@app.command()
def request(
    context: Context,
    pipeline: options.Pipeline,
    workspace: options.Workspace,
    data: typing.Annotated[
        str,
        typer.Option(
            '--data', '-d', help='JSON input, @FILE, or - for stdin.'
        ),
    ] = '{}',
    deadline_ms: typing.Annotated[
        typing.Optional[int],
        typer.Option(
            '--deadline-ms', min=1, help='Time limit of the request in ms.'
        ),
    ] = None,
    priority: typing.Annotated[
        typing.Optional[str], typer.Option('--priority')
    ] = None,
    key: typing.Annotated[
        typing.Optional[str],
        typer.Option('--key', '-k', help='Idempotency key.'),
    ] = None,
    stream: typing.Annotated[
        bool, typer.Option('--stream', help='Print the output as it arrives.')
    ] = False,
    json: options.Json = False,
    url: options.CallersUrl = None,
) -> None:
    """Send one request and print its outcome.

    Example: `godwitglade request licence-check -w rabat-desk -d @scan.json`
    """
    request_options = requesting.Options(
        pipeline, workspace, data, deadline_ms, priority, key, stream
    )
    address = context.obj.callers_url(url)
    _exit(requesting.send(_printer(context, json), address, request_options))


@app.command()
def outcome(
    context: Context,
    pipeline: options.Pipeline,
    key: typing.Annotated[
        str, typer.Argument(metavar='KEY', help='Idempotency key.')
    ],
    workspace: options.Workspace,
    json: options.Json = False,
    url: options.CallersUrl = None,
) -> None:
    """Print the outcome of an earlier request by its idempotency key.

    Example: `godwitglade outcome account-activation key-1 -w rabat-desk`
    """
    printer = _printer(context, json)
    address = context.obj.callers_url(url)
    _exit(requesting.show_outcome(printer, address, pipeline, workspace, key))


@app.command()
def token(context: Context, json: options.Json = False) -> None:
    """Create an operator's token and its hash for the settings.

    Example: `godwitglade token`
    """
    _exit(tokens.make(_printer(context, json)))


@quarantine_app.command('list')
def quarantine_list(
    context: Context,
    json: options.Json = False,
    url: options.Url = None,
    token: options.Token = None,
) -> None:
    """List the requests in quarantine.

    Example: `godwitglade quarantine list`
    """
    server = _server(context, url, token)
    _exit(quarantining.show(_printer(context, json), server))


@quarantine_app.command('clear')
def quarantine_clear(
    context: Context,
    fingerprint: typing.Annotated[str, typer.Argument(metavar='FINGERPRINT')],
    json: options.Json = False,
    url: options.Url = None,
    token: options.Token = None,
) -> None:
    """Remove a request from quarantine on every host.

    Example: `godwitglade quarantine clear 9c1f0a6be2d84c55`
    """
    server = _server(context, url, token)
    _exit(quarantining.clear(_printer(context, json), server, fingerprint))


@app.command()
def explain(
    context: Context,
    request: typing.Annotated[
        str,
        typer.Option(
            '--request', help='Id of the request, as sent by the caller.'
        ),
    ],
    logs: typing.Annotated[
        list[pathlib.Path] | None,
        typer.Argument(metavar='[LOGS]...', help='Log files; default: stdin.'),
    ] = None,
    json: options.Json = False,
) -> None:
    """Print the log events that concern one routed request.

    Example: `godwitglade explain --request 9c41d07be2a35f68 *.log`
    """
    paths = logs or []
    printer = _printer(context, json)
    stdin = context.obj.stdin
    _exit(explaining.show(printer, request, paths, stdin))


@app.command()
def report(
    context: Context,
    logs: typing.Annotated[
        list[pathlib.Path] | None,
        typer.Argument(metavar='[LOGS]...', help='Log files; default: stdin.'),
    ] = None,
    plot: typing.Annotated[
        pathlib.Path | None,
        typer.Option(help='Write a plot of outcomes per second to this file.'),
    ] = None,
    json: options.Json = False,
) -> None:
    """Print statistics of all routed requests in host logs.

    Example: `godwitglade report --plot outcomes.svg *.log`
    """
    printer = _printer(context, json)
    _exit(reporting.show(printer, logs or [], context.obj.stdin, plot))


def _printer(context: Context, is_json: bool) -> output.Printer:
    return output.Printer(context.obj, is_json)


def _server(
    context: Context, url: str | None, token: str | None
) -> operators_client.Client:
    env = context.obj
    return operators_client.Client(
        env, env.operators_url(url), env.token(token)
    )


def _exit(exit_status: status.ExitStatus) -> typing.NoReturn:
    raise typer.Exit(int(exit_status))
