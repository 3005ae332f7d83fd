"""Prints results: tables for people, JSON for programs."""

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
    """Prints to the streams of a run; ``is_json`` for programs."""

    env: environment.Environment
    is_json: bool = False

    def show(
        self, data: typing.Any, render: typing.Callable[[], None]
    ) -> None:
        """Print ``data`` as JSON, or call ``render`` for people."""
        if self.is_json:
            self.json(codec.to_plain(data))
        else:
            render()

    def json(self, data: typing.Any) -> None:
        """Print ``data`` as indented JSON."""
        raw = orjson.dumps(data, option=orjson.OPT_INDENT_2)
        print(raw.decode(), file=self.env.stdout)

    def line(self, text: str) -> None:
        """Print one line, for people only."""
        if not self.is_json:
            print(text, file=self.env.stdout)

    def piece(self, text: str) -> None:
        """Print a piece of a line at once, for people only."""
        if not self.is_json:
            print(text, end='', flush=True, file=self.env.stdout)

    def note(self, text: str) -> None:
        """Print one line of progress beside the results."""
        print(text, file=self.env.stderr)

    def table(
        self,
        columns: typing.Iterable[str],
        rows: typing.Iterable[typing.Iterable[typing.Any]],
    ) -> None:
        """Print a table; cells that are None stay empty."""
        table = tables.Table(*columns, box=None, pad_edge=False)
        for row in rows:
            table.add_row(*(_cell(value) for value in row))
        self._console().print(table)

    def error(self, error: common_errors.CodedError) -> None:
        """Print an error: every fault, then what to do about it."""
        is_answer = isinstance(error, errors.ServerError)
        fields = error.fields if is_answer else {}
        if self.is_json:
            shown = {'code': error.code, 'message': str(error), **fields}
            self.json({'error': shown})
            return
        faults = fields.get('faults') or ()
        for fault in faults:
            self.note(f'{fault["path"]}: {fault["reason"]}')
        if not faults:
            self.note(f'error: {error}')

    def _console(self) -> consoles.Console:
        is_terminal = self.env.stdout.isatty()
        width = None if is_terminal else PLAIN_WIDTH
        return consoles.Console(file=self.env.stdout, width=width)


def _cell(value: typing.Any) -> str:
    return '' if value is None else markup.escape(str(value))
