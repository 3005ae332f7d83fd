"""The base of all typed errors and the errors that every package raises."""

import sys
from typing import ClassVar

import attrs


@attrs.define(auto_exc=True, str=False)
class CodedError(Exception):
    """An error with a stable code.

    Subclasses set the class attributes and declare the fields that
    ``template`` formats. ``code`` never changes between releases;
    ``http_status`` is the answer's status where the error ends a call;
    ``is_retryable`` says that the same call may succeed later.
    """

    code: ClassVar[str] = 'internal'
    http_status: ClassVar[int] = 500
    is_retryable: ClassVar[bool] = False
    template: ClassVar[str] = 'internal error'

    def __str__(self) -> str:
        return self.template.format(**attrs.asdict(self, recurse=False))


@attrs.define(auto_exc=True, str=False)
class MalformedError(CodedError):
    """A message that does not have the shape asked for."""

    code = 'malformed'
    http_status = 400
    template = '{path}: {reason}'

    path: str
    reason: str


def all_error_types() -> list[type[CodedError]]:
    """Return every loaded error type, ordered by code."""
    found: set[type[CodedError]] = set()
    pending = [CodedError]
    while pending:
        subclasses = pending.pop().__subclasses__()
        pending.extend(subclasses)
        found.update(filter(_is_current, subclasses))
    return sorted(found, key=lambda kind: kind.code)


def _is_current(kind: type) -> bool:
    # attrs makes a class with slots anew; the first one lives on a while.
    module = sys.modules[kind.__module__]
    return getattr(module, kind.__name__, None) is kind
