"""Processing of check, show and diff, and reading of document files."""

import difflib
import pathlib
import re
import typing

import attrs

from godwitglade.command import environment
from godwitglade.command import errors
from godwitglade.command import operators_client
from godwitglade.command import output
from godwitglade.command import status
from godwitglade.common import validation
from godwitglade.decisions import documents
from godwitglade.operators import errors as operator_errors
from godwitglade.operators import parsing

#: First line that ``show`` writes and ``apply`` reads.
_VERSION_LINE = re.compile(r'# godwitglade: version ([0-9]{1,12})\n')


@attrs.frozen
class DocumentFile:
    """A document read from a file.

    ``based_on`` is the version that the file was edited from, or None if
    the file has no version line; ``text`` excludes that line.
    """

    path: str
    text: str
    based_on: int | None = None

    def parse(self) -> documents.Document:
        """Return the document.

        Raises ServerError with the faults that the server would report.
        """
        try:
            return parsing.parse_document(self.text)
        except operator_errors.DocumentError as error:
            faults = [attrs.asdict(fault) for fault in error.faults]
            raise errors.ServerError(
                error.http_status,
                error.code,
                f'{self.path}: {error}',
                False,
                {'path': self.path, 'faults': faults},
            ) from error


@attrs.frozen
class CheckResult:
    """Result of checking a file; ``pipeline`` is None if it has faults."""

    path: str
    pipeline: str | None
    faults: tuple[validation.Fault, ...]


@attrs.frozen
class CheckResults:
    """Results of checking files."""

    documents: list[CheckResult]


@attrs.frozen
class Difference:
    """Lines of a unified diff from the version in force to a file."""

    pipeline: str
    version: int
    diff: list[str]


def read_file(env: environment.Environment, path: str) -> DocumentFile:
    """Return the document at ``path``; ``-`` reads standard input."""
    text = read_text(env, path)
    version_line = _VERSION_LINE.match(text)
    if version_line is None:
        return DocumentFile(path, text)
    return DocumentFile(path, text[version_line.end() :], int(version_line[1]))


def read_text(env: environment.Environment, path: str) -> str:
    """Return the text at ``path``; ``-`` reads standard input.

    Raises OptionError if the file cannot be read.
    """
    if path == '-':
        return env.stdin.read()
    try:
        return pathlib.Path(path).read_text('utf-8')
    except (OSError, UnicodeDecodeError, ValueError) as error:
        raise errors.OptionError(path, str(error)) from error


def add_version_line(version: int, text: str) -> str:
    """Return ``text`` below a line that names its version."""
    return f'# godwitglade: version {version}\n{text}'


def check(printer: output.Printer, paths: list[str]) -> status.ExitStatus:
    """Check documents without a server and print their faults."""
    results = CheckResults([_check_file(printer.env, path) for path in paths])
    printer.show(
        results,
        lambda: [printer.line(line) for line in _check_lines(results)],
    )
    has_faults = any(result.faults for result in results.documents)
    return status.ExitStatus.INVALID if has_faults else status.ExitStatus.OK


def _check_file(env: environment.Environment, path: str) -> CheckResult:
    file = read_file(env, path)
    try:
        document = parsing.parse_document(file.text)
    except operator_errors.DocumentError as error:
        return CheckResult(path, None, error.faults)
    return CheckResult(path, document.pipeline, ())


def _check_lines(results: CheckResults) -> typing.Iterator[str]:
    for result in results.documents:
        if not result.faults:
            yield f'{result.path}: valid'
        for fault in result.faults:
            yield f'{result.path}: {fault}'


def show(
    printer: output.Printer,
    server: operators_client.Client,
    pipeline: str | None,
) -> status.ExitStatus:
    """Print a document ready for editing, or the list of documents."""
    if pipeline is not None:
        view = server.document(pipeline)
        text = add_version_line(view.version, view.text)
        printer.show(view, lambda: printer.env.stdout.write(text))
        return status.ExitStatus.OK
    body = server.documents()
    columns = ('pipeline', 'team', 'version', 'change')
    rows = [
        (view.pipeline, view.team, view.version, view.sequence)
        for view in body.documents
    ]
    printer.show(body, lambda: printer.table(columns, rows))
    return status.ExitStatus.OK


def diff(
    printer: output.Printer, server: operators_client.Client, path: str
) -> status.ExitStatus:
    """Print the differences from the version in force to the file."""
    file = read_file(printer.env, path)
    pipeline = file.parse().pipeline
    version, text = fetch_current(server, pipeline)
    lines = list(
        difflib.unified_diff(
            text.splitlines(),
            file.text.splitlines(),
            f'{pipeline} version {version}',
            path,
            lineterm='',
        )
    )
    difference = Difference(pipeline, version, lines)
    printer.show(difference, lambda: [printer.line(line) for line in lines])
    return status.ExitStatus.OK


def fetch_current(
    server: operators_client.Client, pipeline: str
) -> tuple[int, str]:
    """Return the version and text in force, or 0 and an empty text."""
    try:
        view = server.document(pipeline)
    except errors.ServerError as error:
        if error.exit_status is not status.ExitStatus.NOT_FOUND:
            raise
        return 0, ''
    return view.version, view.text
