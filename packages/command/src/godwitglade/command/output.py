"""Prints results as text and tables, or as JSON."""

import typing

import attrs
import orjson
from rich import console as consoles
from rich import markup
from rich import table as tables

from godwitglade.command import environment
from godwitglade.command import errors
from godwitglade.common import codec
from godwitglade.common import errors as common_errors

PLAIN_WIDTH = 120


@attrs.frozen
class Printer:
    """Prints to the streams of a run, as JSON if ``is_json``."""

    env: environment.Environment
    is_json: bool = False

    def show(
        self, data: typing.Any, render: typing.Callable[[], None]
    ) -> None:
        """Print ``data`` as JSON, or call ``render`` to print text."""
        if self.is_json:
            self.json(codec.to_plain(data))
        else:
            render()

    def json(self, data: typing.Any) -> None:
        """Print ``data`` as indented JSON."""
        raw = orjson.dumps(data, option=orjson.OPT_INDENT_2)
        print(raw.decode(), file=self.env.stdout)

    def line(self, text: str) -> None:
        """Print a line, unless the output is JSON."""
        if not self.is_json:
            print(text, file=self.env.stdout)

    def piece(self, text: str) -> None:
        """Print part of a line and flush it, unless the output is JSON."""
        if not self.is_json:
            print(text, end='', flush=True, file=self.env.stdout)

    def stderr_line(self, text: str) -> None:
        """Print a line of progress or an error to standard error."""
        print(text, file=self.env.stderr)

    def table(
        self,
        columns: typing.Iterable[str],
        rows: typing.Iterable[typing.Iterable[typing.Any]],
    ) -> None:
        """Print a table; None becomes an empty cell."""
        table = tables.Table(*columns, box=None, pad_edge=False)
        for row in rows:
            table.add_row(*(_cell(value) for value in row))
        self._console().print(table)

    def error(self, error: common_errors.CodedError) -> None:
        """Print an error: each of its faults, or its message."""
        is_server_error = isinstance(error, errors.ServerError)
        fields = error.fields if is_server_error else {}
        if self.is_json:
            shown = {'code': error.code, 'message': str(error), **fields}
            self.json({'error': shown})
            return
        faults = fields.get('faults') or ()
        for fault in faults:
            self.stderr_line(f'{fault["path"]}: {fault["reason"]}')
        if not faults:
            self.stderr_line(f'error: {error}')

    def _console(self) -> consoles.Console:
        is_terminal = self.env.stdout.isatty()
        width = None if is_terminal else PLAIN_WIDTH
        return consoles.Console(file=self.env.stdout, width=width)


def _cell(value: typing.Any) -> str:
    return '' if value is None else markup.escape(str(value))
