"""YAML from outside as plain data: bounded, without aliases or tags."""

import typing

import yaml

from godwitglade.common import validation

MAX_CHARS = 262_144
MAX_DEPTH = 12
MAX_NODES = 40_000

_Loader = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)
_STARTS = (yaml.MappingStartEvent, yaml.SequenceStartEvent)
_ENDS = (yaml.MappingEndEvent, yaml.SequenceEndEvent)


class _UniqueKeysLoader(_Loader):
    """Refuses a mapping that has the same key twice."""

    def construct_mapping(self, node, deep=False):
        """Return the mapping in ``node``; raises ConstructorError."""
        mapping = super().construct_mapping(node, deep)
        if len(mapping) < len(node.value):
            raise self._doubled(node)
        return mapping

    def _doubled(self, node) -> yaml.MarkedYAMLError:
        seen = set()
        for key_node, _ in node.value:
            key = self.construct_object(key_node, True)
            if key in seen:
                break
            seen.add(key)
        problem = f'the key {validation.show(key)} stands twice'
        return yaml.MarkedYAMLError(None, None, problem, key_node.start_mark)


def parse(text: str) -> typing.Any:
    """Return the plain data in ``text``; raises validation.FaultsError.

    Longer texts than MAX_CHARS, deeper nesting than MAX_DEPTH, more nodes
    than MAX_NODES, aliases, anchors, tags and keys that stand twice are
    refused.
    """
    if len(text) > MAX_CHARS:
        raise _fault(f'must be at most {MAX_CHARS} characters')
    try:
        _check_events(text)
        return yaml.load(text, Loader=_UniqueKeysLoader)
    except yaml.MarkedYAMLError as error:
        raise _fault(_with_place(error)) from error
    except (yaml.YAMLError, ValueError, OverflowError) as error:
        raise _fault(f'is not YAML: {error}') from error


def _check_events(text: str) -> None:
    depth = 0
    for count, event in enumerate(yaml.parse(text, Loader=_Loader)):
        depth += isinstance(event, _STARTS) - isinstance(event, _ENDS)
        reason = _refusal(event, count, depth)
        if reason:
            raise yaml.MarkedYAMLError(None, None, reason, event.start_mark)


def _refusal(event: yaml.Event, count: int, depth: int) -> str | None:
    if depth > MAX_DEPTH:
        return f'nested deeper than {MAX_DEPTH} levels'
    if count > MAX_NODES:
        return f'more than {MAX_NODES} nodes'
    if isinstance(event, yaml.AliasEvent) or getattr(event, 'anchor', None):
        return 'aliases and anchors are not accepted'
    if getattr(event, 'tag', None):
        return 'tags are not accepted'
    return None


def _with_place(error: yaml.MarkedYAMLError) -> str:
    mark = error.problem_mark
    if mark is None:
        return f'is not YAML: {error.problem}'
    place = f'line {mark.line + 1}, column {mark.column + 1}'
    return f'{place}: {error.problem}'


def _fault(reason: str) -> validation.FaultsError:
    return validation.FaultsError((validation.Fault('$', reason),))
