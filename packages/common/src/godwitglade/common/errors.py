"""Base class of typed errors, and errors that all packages raise."""

import sys
from typing import ClassVar

import attrs


@attrs.define(auto_exc=True, str=False)
class CodedError(Exception):
    """An error with a stable code.

    Subclasses set the class attributes and declare the fields that
    ``template`` formats. ``code`` never changes between releases;
    ``http_status`` is the status of the response to a call that the error
    ends; ``is_retryable`` means that the same call may succeed later.
    """

    code: ClassVar[str] = 'internal'
    http_status: ClassVar[int] = 500
    is_retryable: ClassVar[bool] = False
    template: ClassVar[str] = 'internal error'

    def __str__(self) -> str:
        return self.template.format(**attrs.asdict(self, recurse=False))


@attrs.define(auto_exc=True, str=False)
class MalformedError(CodedError):
    """The message does not have the expected structure."""

    code = 'malformed'
    http_status = 400
    template = '{path}: {reason}'

    path: str
    reason: str


def all_error_types() -> list[type[CodedError]]:
    """Return all loaded error types, sorted by code."""
    error_types: set[type[CodedError]] = set()
    pending = [CodedError]
    while pending:
        subclasses = pending.pop().__subclasses__()
        pending.extend(subclasses)
        error_types.update(filter(_is_current, subclasses))
    return sorted(error_types, key=lambda kind: kind.code)


def _is_current(kind: type) -> bool:
    # attrs replaces a class by a new one with slots; the original remains a
    # subclass until it is garbage collected.
    module = sys.modules[kind.__module__]
    return getattr(module, kind.__name__, None) is kind
