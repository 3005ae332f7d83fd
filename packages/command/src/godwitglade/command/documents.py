"""Processing of check, show, diff, remove and the texts of documents."""

import difflib
import pathlib
import re
import typing

import attrs

from godwitglade.command import environment
from godwitglade.command import errors
from godwitglade.command import operators
from godwitglade.command import output
from godwitglade.command import status
from godwitglade.common import validation
from godwitglade.decisions import documents
from godwitglade.operators import errors as operator_errors
from godwitglade.operators import parsing

#: First line that ``show`` writes and ``apply`` reads.
_MARK = re.compile(r'# godwitglade: version ([0-9]{1,12})\n')


@attrs.frozen
class DocumentFile:
    """A document as read from a file.

    ``based_on`` is the version that it was edited from, None when the file
    does not say so; ``text`` is without that line.
    """

    path: str
    text: str
    based_on: int | None = None

    def parse(self) -> documents.Document:
        """Return the document; raises ServerError as the server would."""
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
class Check:
    """What checking one file found; ``pipeline`` None with faults."""

    path: str
    pipeline: str | None
    faults: tuple[validation.Fault, ...]


@attrs.frozen
class Checks:
    """What checking files found."""

    documents: list[Check]


@attrs.frozen
class Difference:
    """Lines of a unified diff from the version in force to a file."""

    pipeline: str
    version: int
    diff: list[str]


def read_file(env: environment.Environment, path: str) -> DocumentFile:
    """Return the document at ``path``, ``-`` for the standard input."""
    text = read_text(env, path)
    mark = _MARK.match(text)
    if mark is None:
        return DocumentFile(path, text)
    return DocumentFile(path, text[mark.end() :], int(mark[1]))


def read_text(env: environment.Environment, path: str) -> str:
    """Return the text at ``path``; raises OptionError."""
    if path == '-':
        return env.stdin.read()
    try:
        return pathlib.Path(path).read_text('utf-8')
    except (OSError, UnicodeDecodeError, ValueError) as error:
        raise errors.OptionError(path, str(error)) from error


def mark_text(version: int, text: str) -> str:
    """Return ``text`` with a first line that names its version."""
    return f'# godwitglade: version {version}\n{text}'


def check(printer: output.Printer, paths: list[str]) -> status.ExitStatus:
    """Check each document by itself, without a server."""
    found = Checks([_check_one(printer.env, path) for path in paths])
    printer.show(
        found,
        lambda: [printer.line(line) for line in _check_lines(found)],
    )
    has_faults = any(check.faults for check in found.documents)
    return status.ExitStatus.INVALID if has_faults else status.ExitStatus.OK


def _check_one(env: environment.Environment, path: str) -> Check:
    file = read_file(env, path)
    try:
        document = parsing.parse_document(file.text)
    except operator_errors.DocumentError as error:
        return Check(path, None, error.faults)
    return Check(path, document.pipeline, ())


def _check_lines(found: Checks) -> typing.Iterator[str]:
    for check_ in found.documents:
        if not check_.faults:
            yield f'{check_.path}: valid'
        for fault in check_.faults:
            yield f'{check_.path}: {fault}'


def show(
    printer: output.Printer,
    server: operators.Operators,
    pipeline: str | None,
) -> status.ExitStatus:
    """Print a document ready for editing, or the list of documents."""
    if pipeline is not None:
        view = server.document(pipeline)
        text = mark_text(view.version, view.text)
        printer.show(view, lambda: printer.env.stdout.write(text))
        return status.ExitStatus.OK
    found = server.documents()
    columns = ('pipeline', 'team', 'version', 'change')
    rows = [
        (view.pipeline, view.team, view.version, view.sequence)
        for view in found.documents
    ]
    printer.show(found, lambda: printer.table(columns, rows))
    return status.ExitStatus.OK


def diff(
    printer: output.Printer, server: operators.Operators, path: str
) -> status.ExitStatus:
    """Print how the file differs from the version in force."""
    file = read_file(printer.env, path)
    pipeline = file.parse().pipeline
    version, text = current(server, pipeline)
    lines = list(
        difflib.unified_diff(
            text.splitlines(),
            file.text.splitlines(),
            f'{pipeline} version {version}',
            path,
            lineterm='',
        )
    )
    found = Difference(pipeline, version, lines)
    printer.show(found, lambda: [printer.line(line) for line in lines])
    return status.ExitStatus.OK


def current(server: operators.Operators, pipeline: str) -> tuple[int, str]:
    """Return version and text in force, 0 and nothing when there is none."""
    try:
        view = server.document(pipeline)
    except errors.ServerError as error:
        if error.exit_status is not status.ExitStatus.NOT_FOUND:
            raise
        return 0, ''
    return view.version, view.text
