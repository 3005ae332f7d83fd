"""Parser of the scenario language; its errors give their location.

The grammar is in ``scenario.lark``; docs/SCENARIOS.md is its reference.
"""

import pathlib
import typing

import attrs
import lark

from godwitglade.common import clock
from godwitglade.common import errors

GRAMMAR = (pathlib.Path(__file__).parent / 'scenario.lark').read_text()
UNITS_MS = {'ms': 1, 's': clock.SECOND_MS, 'min': clock.MINUTE_MS}


@attrs.define(auto_exc=True, str=False)
class ScenarioError(errors.CodedError):
    """A scenario file could not be parsed."""

    code = 'scenario_malformed'
    template = '{path}:{line}:{column}: {reason}'

    path: str
    line: int
    column: int
    reason: str


@attrs.frozen
class Location:
    """Location of a step in its file."""

    path: str
    line: int
    column: int

    def error(self, reason: str) -> ScenarioError:
        """Return an error at this location."""
        return ScenarioError(self.path, self.line, self.column, reason)


@attrs.frozen
class Step:
    """One step; ``action`` is the name of its rule in the grammar."""

    at_ms: int
    action: str
    arguments: tuple[typing.Any, ...]
    location: Location


@attrs.frozen
class Scenario:
    """A script for one simulation."""

    title: str
    steps: tuple[Step, ...]
    deployment: str = 'onboarding'
    host_count: int | None = None
    seed: int = 1


def parse(text: str, path: str = 'scenario') -> list[Scenario]:
    """Return the scenarios in ``text``; raises ScenarioError."""
    try:
        tree = _PARSER.parse(text)
    except lark.UnexpectedInput as error:
        raise _make_error(error, path) from error
    return _Builder(path).transform(tree)


def _make_error(error: lark.UnexpectedInput, path: str) -> ScenarioError:
    error_token = getattr(error, 'token', None)
    unexpected = error_token if error_token else 'end of text'
    if isinstance(error, lark.UnexpectedCharacters):
        unexpected = error.char
    expected = sorted(getattr(error, 'accepts', None) or error.allowed or ())
    hint = f'; expected {", ".join(expected[:8])}' if expected else ''
    reason = f'unexpected {str(unexpected)!r}{hint}'
    return ScenarioError(path, error.line, error.column, reason)


class _Builder(lark.Transformer):
    """Builds scenarios from the parse tree."""

    def __init__(self, path: str) -> None:
        super().__init__()
        self._path = path

    start = list

    def scenario(self, children: list) -> Scenario:
        """Return one scenario."""
        title, *rest = children
        settings = dict(c for c in rest if isinstance(c, tuple))
        steps = tuple(c for c in rest if isinstance(c, Step))
        return Scenario(title, steps, **settings)

    def deployment(self, children: list) -> tuple:
        """Return a setting."""
        return ('deployment', children[0])

    def host_count(self, children: list) -> tuple:
        """Return a setting."""
        return ('host_count', children[0])

    def seed(self, children: list) -> tuple:
        """Return a setting."""
        return ('seed', children[0])

    @lark.v_args(meta=True)
    def step(self, meta: typing.Any, children: list) -> Step:
        """Return one step with its location."""
        at_ms, action = children
        location = Location(self._path, meta.line, meta.column)
        return Step(at_ms, action.data, tuple(action.children), location)

    def time(self, children: list) -> int:
        """Return a duration in milliseconds."""
        return children[0] * UNITS_MS[children[1]]

    def outcomes(self, children: list) -> tuple:
        """Return the allowed outcomes or results."""
        return tuple(children)

    results = outcomes

    def workspace(self, children: list) -> tuple:
        """Return an option of a request."""
        return ('workspace', children[0])

    def through(self, children: list) -> tuple:
        """Return an option of a request."""
        return ('host', children[0])

    def key(self, children: list) -> tuple:
        """Return an option of a request."""
        return ('key', children[0])

    def streamed(self, _children: list) -> tuple:
        """Return an option of a request."""
        return ('is_streamed', True)

    def poison(self, _children: list) -> tuple:
        """Return an option of a request."""
        return ('is_poison', True)

    def repeated(self, children: list) -> tuple:
        """Return an option of a request."""
        return ('repeat', tuple(children))

    def INT(self, token: lark.Token) -> int:  # noqa: N802
        """Return a number."""
        return int(token)

    def STRING(self, token: lark.Token) -> str:  # noqa: N802
        """Return a string without its quotes."""
        return token[1:-1]

    def __default_token__(self, token: lark.Token) -> str:
        return str(token)


_PARSER = lark.Lark(GRAMMAR, parser='lalr', propagate_positions=True)
